#include "Process/RootCommitter.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace poplardock {

namespace {

/// More than the members that may join at the same moment today (8).
constexpr int ATTEMPTS = 12;
/// No attempt starts later than this. One attempt takes up to three calls of 2 s.
constexpr Milliseconds COMMIT_LIMIT { 5000 };
constexpr Milliseconds FIRST_PAUSE { 20 };
constexpr Milliseconds LONGEST_PAUSE { 500 };
/// Remembered commits; a writer that lost an answer finds its commit while fewer others followed. 1.1 KB.
constexpr std::size_t RECENT_COMMITS = 16;

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

auto RootCommitter::nextId() -> std::string
{
    const std::lock_guard lock(mutex_);
    return absl::StrCat(writer_, "-", absl::Hex(random_(), absl::kZeroPad16));
}

auto RootCommitter::pauseBeforeRetry(int attempt) -> void
{
    const Milliseconds longest = std::min(LONGEST_PAUSE, FIRST_PAUSE * (1 << std::min(attempt, 6)));
    Milliseconds pause;
    {
        const std::lock_guard lock(mutex_);
        pause = Milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
    }
    std::this_thread::sleep_for(pause);
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
        return absl::UnavailableError(
            absl::StrCat("the store answered with revision ", root->revision, " while ", revision, " is in force"));
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

auto RootCommitter::effectOf(const Commit &commit, const Base &base) -> Effect
{
    const auto &recent = base.root.recentCommits;
    const bool isThere = std::any_of(recent.begin(), recent.end(), [&commit](const RecentCommit &entry) { return entry.id == commit.id; });
    if (isThere) {
        return Effect::TookEffect;
    }
    if (base.stored.version == commit.sent->baseVersion) {
        return Effect::Pending;
    }
    const bool reachesBack = recent.size() < RECENT_COMMITS || recent.front().revision <= commit.sent->revision;
    return reachesBack ? Effect::Lost : Effect::Undecided;
}

auto RootCommitter::writeShards(const std::vector<Shard> &shards) -> absl::Status
{
    for (const Shard &shard : shards) {
        const auto created = store_.create({ SHARD_KIND, shard.name, 0, {}, shard.content });
        if (created.ok() || absl::IsAlreadyExists(created.status())) {
            continue;
        }
        // A shard that may or may not have been written has no effect without a root that names it.
        return absl::IsUnknown(created.status()) ? absl::UnavailableError(created.status().message()) : created.status();
    }
    return absl::OkStatus();
}

auto RootCommitter::finish(const FleetRoot &root, const FleetVersionPointer &version, TimePoint sentAt) -> FleetVersionPointer
{
    loader_.install(root, version, sentAt);
    state_.confirm(root.revision, sentAt, true);
    return version;
}

auto RootCommitter::applyChange(Commit &commit, const Base &base, const FleetChange &change) -> absl::StatusOr<FleetVersionPointer>
{
    // Above every revision that was ever heard of, so that a false claim of a higher one is overtaken.
    const std::uint64_t revision = std::max(base.floor, state_.highestKnownRevision()) + 1;
    auto version = changedVersion(*base.version, change, revision);
    if (!version.ok()) {
        return version.status();
    }
    EncodedFleet encoded = FleetCodec::encode(*version, { base.root, base.version });
    encoded.root.recentCommits = base.root.recentCommits;
    encoded.root.recentCommits.push_back({ commit.id, revision });
    if (encoded.root.recentCommits.size() > RECENT_COMMITS) {
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
        return finish(encoded.root, std::make_shared<const FleetVersion>(*std::move(version)), sentAt);
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
        const Effect effect = effectOf(commit, *base);
        if (effect == Effect::TookEffect) {
            return finish(base->root, base->version, base->readAt);
        }
        if (effect == Effect::Undecided) {
            return absl::DataLossError("the root no longer tells whether the change took effect");
        }
        if (effect == Effect::Lost) {
            commit.sent.reset();
        }
    }
    const auto change = commit.change(*base->version);
    if (!change.ok()) {
        return change.status();
    }
    if (!change->configuration && !change->members) {
        return finish(base->root, base->version, base->readAt);
    }
    return applyChange(commit, *base, *change);
}

auto RootCommitter::isWorthRetrying(const absl::Status &status, const Commit &commit) const -> bool
{
    // With calls suspended, waiting is of use only to find out what became of an update that was sent.
    return isRetryable(status) && (commit.sent || !store_.isSuspended());
}

auto RootCommitter::commit(const ChangeFunction &change) -> absl::StatusOr<FleetVersionPointer>
{
    Commit commit { change, nextId(), {} };
    const TimePoint deadline = Clock::now() + COMMIT_LIMIT;
    auto version = attempt(commit);
    for (int number = 1; number < ATTEMPTS && Clock::now() < deadline; ++number) {
        if (version.ok() || !isWorthRetrying(version.status(), commit)) {
            break;
        }
        pauseBeforeRetry(number);
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
    return finish(encoded.root, std::make_shared<const FleetVersion>(std::move(version)), sentAt);
}

} // namespace poplardock
