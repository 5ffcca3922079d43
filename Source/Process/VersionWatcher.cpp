#include "Process/VersionWatcher.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds PEER_TIMEOUT { 1000 };
constexpr std::int64_t SHORTEST_PAUSE_MS = 100;
constexpr std::int64_t LONGEST_PAUSE_MS = 300;
/// Peers that a starting daemon asks for a higher revision.
constexpr std::size_t PEERS_AT_START = 7;
/// A version whose shards the store does not have, and no peer either, is refused after this many loads:
/// shards are written before the root, so they are missing only if the store lost them.
constexpr int LOADS_BEFORE_REFUSAL = 20;
/// Age of a confirmation that a peer gives none for; far above the freshness bound.
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
    // Before anything is in force, since the store may have answered with an outdated or an invalid root.
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
    // With an older version from a peer in force, the watch deals with the stored one.
    return state_.current()->revision > 0 ? absl::OkStatus() : version.status();
}

auto VersionWatcher::fetchFromMembers(const MemberTable &members) -> void
{
    std::size_t asked = 0;
    for (const Member &member : members.members()) {
        if (member.name != state_.memberName() && asked < PEERS_AT_START) {
            ++asked;
            static_cast<void>(fetchFromPeer(member.address));
        }
    }
}

auto VersionWatcher::refuse(const FleetRoot &root, const StoredObject &stored, TimePoint sentAt, const absl::Status &reason) -> void
{
    Log::error(Part::Version,
               absl::StrCat("Refused revision ",
                            root.revision,
                            " as a whole, revision ",
                            state_.current()->revision,
                            " stays in force: ",
                            reason.message()));
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
    // A refused root never takes force, so that the version in force is confirmed by it.
    const std::uint64_t confirmed = storedRevision_ == 0 ? current : storedRevision_;
    if (confirmed >= current) {
        state_.confirm(confirmed, sentAt, true);
    }
}

auto VersionWatcher::isLostFor(const StoredObject &stored, const absl::Status &loaded) -> bool
{
    if (!absl::IsDataLoss(loaded)) {
        return false;
    }
    incompleteLoads_ = incompleteVersion_ == stored.version ? incompleteLoads_ + 1 : 1;
    incompleteVersion_ = stored.version;
    return incompleteLoads_ >= LOADS_BEFORE_REFUSAL;
}

auto VersionWatcher::acceptStored(const StoredObject &stored, TimePoint sentAt) -> bool
{
    const auto root = FleetRoot::fromText(stored.spec);
    if (absl::IsUnimplemented(root.status())) {
        // A newer build has committed a version, so that a higher revision exists which this build cannot have.
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
        Log::warning(Part::Version,
                     absl::StrCat("The store offered revision ", root->revision, ", revision ", current, " stays in force."));
        return false;
    }
    const absl::Status adopted = loader_.loadAndInstall(*root, sentAt, {});
    if (absl::IsInvalidArgument(adopted) || isLostFor(stored, adopted)) {
        refuse(*root, stored, sentAt, adopted);
        return true;
    }
    state_.confirm(root->revision, sentAt, true);
    if (!adopted.ok()) {
        Log::warning(Part::Version, absl::StrCat("Revision ", root->revision, " is not in force yet: ", adopted.message()));
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
        return acceptStored(**change, sentAt);
    }
    confirmUnchanged(sentAt);
    return true;
}

auto VersionWatcher::fetchFromPeer(const std::string &peerAddress) -> absl::Status
{
    const TimePoint sentAt = Clock::now();
    const CallResult result = peers_.clientFor(peerAddress)->call({ "GET", "/peers/shards/root", {}, {}, PEER_TIMEOUT });
    const auto *answer = std::get_if<HttpResponse>(&result);
    if (answer == nullptr || answer->status != 200) {
        return absl::UnavailableError(absl::StrCat("peer ", peerAddress, " gave no root"));
    }
    const auto object = Json::parseObject(answer->body);
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
    absl::Status adopted = loader_.loadAndInstall(*root, sentAt - std::min(Milliseconds(*age), UNCONFIRMED_AGE), peerAddress);
    if (!adopted.ok()) {
        Log::warning(Part::Version,
                     absl::StrCat("Revision ", root->revision, " of peer ", peerAddress, " was not taken: ", adopted.message()));
    }
    return adopted;
}

auto VersionWatcher::scheduleFetch(std::uint64_t revision, const std::string &peerAddress) -> void
{
    if (revision <= state_.current()->revision) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (offer_ && offer_->revision > revision) {
            return;
        }
        offer_ = Offer { revision, peerAddress };
    }
    offered_.notify_all();
}

auto VersionWatcher::watchLoop(const std::stop_token &stop) -> void
{
    std::uniform_int_distribution<std::int64_t> pause(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
    while (!stop.stop_requested()) {
        if (watchOnce()) {
            continue;
        }
        std::unique_lock lock(mutex_);
        offered_.wait_for(lock, stop, Milliseconds(pause(random_)), [] { return false; });
    }
}

auto VersionWatcher::peerLoop(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        std::string address;
        {
            std::unique_lock lock(mutex_);
            if (!offered_.wait(lock, stop, [this] { return offer_.has_value(); })) {
                return;
            }
            address = offer_->address;
            offer_.reset();
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
