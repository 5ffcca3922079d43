#include "Process/RootCommitter.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace poplardock {

namespace {

/// Above the number of members that may join at the same time (8).
constexpr int MAX_ATTEMPTS = 12;
/// No attempt starts later than this after the first one. An attempt makes up to three store calls of 2 s.
constexpr Milliseconds ATTEMPT_START_TIMEOUT { 5000 };
constexpr Milliseconds INITIAL_BACKOFF { 20 };
constexpr Milliseconds MAX_BACKOFF { 500 };
/// Commits that the root lists. After a lost response, a writer finds its commit in the list as long as fewer than
/// this number of commits followed. The full list takes 1.1 KB.
constexpr std::size_t MAX_RECENT_COMMITS = 16;

auto isRetryable(const absl::Status &status) -> bool
{
    return absl::IsAborted(status) || absl::IsUnavailable(status) || absl::IsUnknown(status);
}

auto changedVersion(const FleetVersion &base, const FleetChange &change, std::uint64_t revision) -> absl::StatusOr<FleetVersion>
{
    Configuration::Data data = change.configuration ? *change.configuration : base.configuration.data();
    auto configuration = Configuration::create(FleetCodec::sorted(std::move(data)));
    if (!configuration.ok()) {
        return configuration.status();
    }
    const std::uint64_t configurationRevision = change.configuration ? revision : base.configurationRevision;
    return FleetVersion { revision, configurationRevision, *std::move(configuration), change.members.value_or(base.members) };
}

} // namespace

RootCommitter::RootCommitter(StoreClient &store, FleetState &state, VersionLoader &loader, std::string writer, std::uint64_t seed)
    : store_(store)
    , state_(state)
    , loader_(loader)
    , writer_(std::move(writer))
    , random_(seed)
{
}

auto RootCommitter::makeCommitId() -> std::string
{
    const std::lock_guard lock(mutex_);
    return absl::StrCat(writer_, "-", absl::Hex(random_(), absl::kZeroPad16));
}

auto RootCommitter::backOff(int attempt) -> void
{
    const Milliseconds limit = std::min(MAX_BACKOFF, INITIAL_BACKOFF * (1 << std::min(attempt, 6)));
    Milliseconds backoff;
    {
        const std::lock_guard lock(mutex_);
        backoff = Milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random_));
    }
    std::this_thread::sleep_for(backoff);
}

auto RootCommitter::makeBase(const StoredObject &stored, TimePoint readAt) -> absl::StatusOr<Base>
{
    const RootedVersion current = loader_.inForce();
    const std::uint64_t revision = current.root.revision;
    const auto root = FleetRoot::fromText(stored.spec);
    if (absl::IsUnimplemented(root.status())) {
        return absl::FailedPreconditionError(root.status().message());
    }
    if (root.ok() && root->revision < revision) {
        return absl::UnavailableError(absl::StrCat("the store has revision ", root->revision, " while ", revision, " is in force"));
    }
    const auto version = root.ok() && !loader_.isRefused(*root)
                             ? loader_.load(*root, {})
                             : absl::StatusOr<FleetVersionPointer>(absl::InvalidArgumentError("refused"));
    if (version.ok()) {
        return Base { stored, *root, *version, root->revision, readAt };
    }
    if (!absl::IsInvalidArgument(version.status())) {
        return absl::UnavailableError(version.status().message());
    }
    if (!current.version) {
        return absl::FailedPreconditionError("the stored version is invalid and no other one is in force here");
    }
    return Base { stored, current.root, current.version, root.ok() ? root->revision : revision, readAt };
}

auto RootCommitter::readBase() -> absl::StatusOr<Base>
{
    const TimePoint readAt = Clock::now();
    const auto stored = store_.get(ROOT_KIND, ROOT_NAME);
    return stored.ok() ? makeBase(*stored, readAt) : stored.status();
}

auto RootCommitter::classifySentUpdate(const Commit &commit, const Base &base) -> UpdateOutcome
{
    const auto &recent = base.root.recentCommits;
    const bool isRecorded
        = std::any_of(recent.begin(), recent.end(), [&commit](const RecentCommit &entry) { return entry.id == commit.id; });
    if (isRecorded) {
        return UpdateOutcome::Applied;
    }
    if (base.stored.version == commit.sent->baseVersion) {
        return UpdateOutcome::Pending;
    }
    const bool isCovered = recent.size() < MAX_RECENT_COMMITS || recent.front().revision <= commit.sent->revision;
    return isCovered ? UpdateOutcome::Conflicted : UpdateOutcome::Indeterminate;
}

auto RootCommitter::writeShards(const std::vector<Shard> &shards) -> absl::Status
{
    for (const Shard &shard : shards) {
        const auto created = store_.create({ SHARD_KIND, shard.name, 0, {}, shard.content });
        if (created.ok() || absl::IsAlreadyExists(created.status())) {
            continue;
        }
        // A shard has no effect until a root names it, so that it does not matter whether this one was written.
        return absl::IsUnknown(created.status()) ? absl::UnavailableError(created.status().message()) : created.status();
    }
    return absl::OkStatus();
}

auto RootCommitter::installCommitted(const FleetRoot &root, const FleetVersionPointer &version, TimePoint sentAt) -> FleetVersionPointer
{
    loader_.install(root, version, sentAt);
    state_.confirm(root.revision, sentAt, true);
    return version;
}

auto RootCommitter::applyChange(Commit &commit, const Base &base, const FleetChange &change) -> absl::StatusOr<FleetVersionPointer>
{
    // Above every known revision, so that a revision that a peer reported wrongly is superseded.
    const std::uint64_t revision = std::max(base.highestRevision, state_.highestKnownRevision()) + 1;
    auto version = changedVersion(*base.version, change, revision);
    if (!version.ok()) {
        return version.status();
    }
    EncodedFleet encoded = FleetCodec::encode(*version, { base.root, base.version });
    encoded.root.recentCommits = base.root.recentCommits;
    encoded.root.recentCommits.push_back({ commit.id, revision });
    if (encoded.root.recentCommits.size() > MAX_RECENT_COMMITS) {
        encoded.root.recentCommits.erase(encoded.root.recentCommits.begin());
    }
    const absl::Status written = writeShards(encoded.shards);
    if (!written.ok()) {
        return written;
    }
    StoredObject object = base.stored;
    object.spec = encoded.root.toText();
    const TimePoint sentAt = Clock::now();
    const auto updated = store_.update(object);
    if (updated.ok()) {
        loader_.addShards(encoded.shards);
        return installCommitted(encoded.root, std::make_shared<const FleetVersion>(*std::move(version)), sentAt);
    }
    if (absl::IsAborted(updated.status()) || absl::IsUnknown(updated.status())) {
        commit.sent = SentUpdate { base.stored.version, revision };
    }
    return updated.status();
}

auto RootCommitter::attempt(Commit &commit) -> absl::StatusOr<FleetVersionPointer>
{
    const auto base = readBase();
    if (!base.ok()) {
        return base.status();
    }
    if (commit.sent) {
        const UpdateOutcome outcome = classifySentUpdate(commit, *base);
        if (outcome == UpdateOutcome::Applied) {
            return installCommitted(base->root, base->version, base->readAt);
        }
        if (outcome == UpdateOutcome::Indeterminate) {
            return absl::DataLossError("the root no longer lists the commits that would tell whether the change took effect");
        }
        if (outcome == UpdateOutcome::Conflicted) {
            commit.sent.reset();
        }
    }
    const auto change = commit.change(*base->version);
    if (!change.ok()) {
        return change.status();
    }
    if (!change->configuration && !change->members) {
        return installCommitted(base->root, base->version, base->readAt);
    }
    return applyChange(commit, *base, *change);
}

auto RootCommitter::shouldRetry(const absl::Status &status, const Commit &commit) const -> bool
{
    // While the circuit breaker is open, a retry can only help to determine the outcome of an update that was sent.
    return isRetryable(status) && (commit.sent || !store_.isSuspended());
}

auto RootCommitter::commit(const ChangeFunction &change) -> absl::StatusOr<FleetVersionPointer>
{
    Commit commit { change, makeCommitId(), {} };
    const TimePoint deadline = Clock::now() + ATTEMPT_START_TIMEOUT;
    auto version = attempt(commit);
    for (int retry = 1; retry < MAX_ATTEMPTS && Clock::now() < deadline; ++retry) {
        if (version.ok() || !shouldRetry(version.status(), commit)) {
            break;
        }
        backOff(retry);
        version = attempt(commit);
    }
    if (!version.ok() && commit.sent) {
        return absl::UnknownError(absl::StrCat("the change may have taken effect: ", version.status().message()));
    }
    return version;
}

auto RootCommitter::createRoot(const MemberTable &members) -> absl::StatusOr<FleetVersionPointer>
{
    FleetVersion version { 1, 0, Configuration(), members };
    const EncodedFleet encoded = FleetCodec::encode(version, {});
    const absl::Status written = writeShards(encoded.shards);
    if (!written.ok()) {
        return written;
    }
    const TimePoint sentAt = Clock::now();
    const auto created = store_.create({ ROOT_KIND, ROOT_NAME, 0, {}, encoded.root.toText() });
    if (!created.ok()) {
        return created.status();
    }
    loader_.addShards(encoded.shards);
    Log::info(Part::Version, "Created the root with an empty configuration.");
    return installCommitted(encoded.root, std::make_shared<const FleetVersion>(std::move(version)), sentAt);
}

} // namespace poplardock
