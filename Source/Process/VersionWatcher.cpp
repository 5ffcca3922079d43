#include "Process/VersionWatcher.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds PEER_TIMEOUT { 1000 };
constexpr std::int64_t MIN_BACKOFF_MS = 100;
constexpr std::int64_t MAX_BACKOFF_MS = 300;
/// Peers that a starting daemon queries for a higher revision.
constexpr std::size_t MAX_PEERS_AT_START = 7;
/// Failed loads after which a version is refused if neither the store nor a peer has all of its shards. Shards are
/// written before the root, so one is missing only if the store lost it.
constexpr int LOADS_BEFORE_REFUSAL = 20;
/// Age that is assumed when a peer does not state the age of its confirmation; far above the freshness bound.
constexpr Milliseconds UNCONFIRMED_AGE { 3600 * 1000 };

} // namespace

VersionWatcher::VersionWatcher(StoreClient &store, FleetState &state, VersionLoader &loader, PeerClients &peers, std::uint64_t seed)
    : store_(store)
    , state_(state)
    , loader_(loader)
    , peers_(peers)
    , random_(seed)
{
}

VersionWatcher::~VersionWatcher()
{
    stop();
}

auto VersionWatcher::loadInitial() -> absl::Status
{
    const TimePoint sentAt = Clock::now();
    const auto stored = store_.get(ROOT_KIND, ROOT_NAME);
    if (!stored.ok()) {
        return stored.status();
    }
    const auto root = FleetRoot::fromText(stored->spec);
    if (!root.ok()) {
        return root.status();
    }
    // Done before any version is in force, since the store may have returned an outdated or an invalid root.
    const auto members = loader_.loadMembers(*root);
    if (members.ok()) {
        fetchFromMembers(*members);
    }
    if (state_.current()->revision >= root->revision) {
        return absl::OkStatus();
    }
    const auto version = loader_.load(*root, {});
    if (version.ok()) {
        loader_.install(*root, *version, sentAt);
        state_.confirm(root->revision, sentAt, true);
        return absl::OkStatus();
    }
    // When an older version from a peer is in force, the watch handles the stored one.
    return state_.current()->revision > 0 ? absl::OkStatus() : version.status();
}

auto VersionWatcher::fetchFromMembers(const MemberTable &members) -> void
{
    std::size_t queried = 0;
    for (const Member &member : members.members()) {
        if (member.name != state_.memberName() && queried < MAX_PEERS_AT_START) {
            ++queried;
            static_cast<void>(fetchFromPeer(member.address));
        }
    }
}

auto VersionWatcher::refuse(const FleetRoot &root, const StoredObject &stored, TimePoint sentAt, const absl::Status &reason) -> void
{
    Log::error(
        Part::Version,
        absl::StrCat("Refused revision ", root.revision, "; revision ", state_.current()->revision, " stays in force: ", reason.message()));
    loader_.markRefused(root);
    storedVersion_ = stored.version;
    storedRevision_ = 0;
    confirmUnchanged(sentAt);
}

auto VersionWatcher::confirmUnchanged(TimePoint sentAt) -> void
{
    const std::uint64_t current = state_.current()->revision;
    if (storedVersion_ == 0) {
        return;
    }
    // A refused root never comes into force, so that it confirms the version in force.
    const std::uint64_t confirmed = storedRevision_ == 0 ? current : storedRevision_;
    if (confirmed >= current) {
        state_.confirm(confirmed, sentAt, true);
    }
}

auto VersionWatcher::isPermanentlyIncomplete(const StoredObject &stored, const absl::Status &loaded) -> bool
{
    if (!absl::IsDataLoss(loaded)) {
        return false;
    }
    incompleteLoads_ = incompleteVersion_ == stored.version ? incompleteLoads_ + 1 : 1;
    incompleteVersion_ = stored.version;
    return incompleteLoads_ >= LOADS_BEFORE_REFUSAL;
}

auto VersionWatcher::handleStoredRoot(const StoredObject &stored, TimePoint sentAt) -> bool
{
    const auto root = FleetRoot::fromText(stored.spec);
    if (absl::IsUnimplemented(root.status())) {
        // A newer build has committed a version in a format that this build cannot read. A higher revision exists, so that
        // this daemon is stale.
        Log::error(Part::Version, std::string(root.status().message()));
        state_.noteRevision(state_.current()->revision + 1);
        return false;
    }
    if (!root.ok()) {
        refuse(FleetRoot(), stored, sentAt, root.status());
        return true;
    }
    const std::uint64_t current = state_.current()->revision;
    if (root->revision < current) {
        Log::warning(Part::Version, absl::StrCat("The store has revision ", root->revision, "; revision ", current, " stays in force."));
        return false;
    }
    const absl::Status loaded = loader_.loadAndInstall(*root, sentAt, {});
    if (absl::IsInvalidArgument(loaded) || isPermanentlyIncomplete(stored, loaded)) {
        refuse(*root, stored, sentAt, loaded);
        return true;
    }
    state_.confirm(root->revision, sentAt, true);
    if (!loaded.ok()) {
        Log::warning(Part::Version, absl::StrCat("Revision ", root->revision, " is not in force yet: ", loaded.message()));
        return false;
    }
    storedVersion_ = stored.version;
    storedRevision_ = root->revision;
    return true;
}

auto VersionWatcher::watchOnce() -> bool
{
    const TimePoint sentAt = Clock::now();
    const auto change = store_.awaitChange(ROOT_KIND, ROOT_NAME, storedVersion_);
    if (!change.ok()) {
        return false;
    }
    if (change->has_value()) {
        return handleStoredRoot(**change, sentAt);
    }
    confirmUnchanged(sentAt);
    return true;
}

auto VersionWatcher::fetchFromPeer(const std::string &peerAddress) -> absl::Status
{
    const TimePoint sentAt = Clock::now();
    const CallResult result = peers_.clientFor(peerAddress)->call({ "GET", "/peers/shards/root", {}, {}, PEER_TIMEOUT });
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->status != 200) {
        return absl::UnavailableError(absl::StrCat("peer ", peerAddress, " sent no root"));
    }
    const auto object = Json::parseObject(response->body);
    const auto rootObject = object.ok() ? Json::requireObject(**object, "root") : absl::StatusOr<JsonObject::Ptr>(object.status());
    if (!rootObject.ok()) {
        return rootObject.status();
    }
    const auto root = FleetRoot::fromText(Json::toText(**rootObject));
    const auto age = Json::optionalInteger(**object, "confirmed_age_ms", UNCONFIRMED_AGE.count());
    if (!root.ok() || !age.ok() || *age < 0) {
        return root.ok() ? absl::InvalidArgumentError("the age of the confirmation is malformed") : root.status();
    }
    if (root->revision <= state_.current()->revision) {
        return absl::OkStatus();
    }
    absl::Status loaded = loader_.loadAndInstall(*root, sentAt - std::min(Milliseconds(*age), UNCONFIRMED_AGE), peerAddress);
    if (!loaded.ok()) {
        Log::warning(Part::Version,
                     absl::StrCat("Revision ", root->revision, " of peer ", peerAddress, " was not put in force: ", loaded.message()));
    }
    return loaded;
}

auto VersionWatcher::scheduleFetch(std::uint64_t revision, const std::string &peerAddress) -> void
{
    if (revision <= state_.current()->revision) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (pendingFetch_ && pendingFetch_->revision > revision) {
            return;
        }
        pendingFetch_ = PendingFetch { revision, peerAddress };
    }
    fetchScheduled_.notify_all();
}

auto VersionWatcher::watchLoop(const std::stop_token &stop) -> void
{
    std::uniform_int_distribution<std::int64_t> backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
    while (!stop.stop_requested()) {
        if (watchOnce()) {
            continue;
        }
        std::unique_lock lock(mutex_);
        fetchScheduled_.wait_for(lock, stop, Milliseconds(backoff(random_)), [] { return false; });
    }
}

auto VersionWatcher::peerLoop(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        std::string address;
        {
            std::unique_lock lock(mutex_);
            if (!fetchScheduled_.wait(lock, stop, [this] { return pendingFetch_.has_value(); })) {
                return;
            }
            address = pendingFetch_->address;
            pendingFetch_.reset();
        }
        static_cast<void>(fetchFromPeer(address));
    }
}

auto VersionWatcher::start() -> void
{
    watchThread_ = std::jthread([this](const std::stop_token &stop) { watchLoop(stop); });
    peerThread_ = std::jthread([this](const std::stop_token &stop) { peerLoop(stop); });
}

auto VersionWatcher::stop() -> void
{
    watchThread_.request_stop();
    peerThread_.request_stop();
    if (watchThread_.joinable()) {
        watchThread_.join();
    }
    if (peerThread_.joinable()) {
        peerThread_.join();
    }
}

} // namespace poplardock
