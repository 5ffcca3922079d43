#include "Process/Peers/FreshnessExchange.h"

#include "Process/EventLog.h"
#include "Process/Peers/PeerFetch.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds TICK_PERIOD { 500 };
/// Daemons discover each other within this time after a start. Before that, each one would consider itself the leader
/// and the store watcher.
constexpr Milliseconds DISCOVERY_TIME { 1500 };
/// Duration of the leader's watches of the upstreams. Store watchers compare their revision with the leader's to notice
/// that their own watch delivers nothing.
constexpr Milliseconds LEADER_WATCH_TIME { 1200 };
/// Age of the confirmation at which a daemon that is no relay queries the leader. The leader reads every 0.5 s, its relay
/// queries every 0.5 s and sends a summary several times a second.
constexpr Milliseconds MAX_RELAYED_AGE { 1600 };
/// Age of the confirmation at which a daemon queries the store itself.
constexpr Milliseconds MAX_CONFIRMATION_AGE { 2200 };
constexpr Milliseconds MIN_REFRESH_INTERVAL { 1000 };
/// Time for which this daemon may miss a revision that another one has named before it fetches it from a daemon of another data
/// centre. The store watcher of this data centre usually has the revision a moment later, without traffic between them.
constexpr Milliseconds REMOTE_FETCH_DELAY { 400 };
/// The same before it reads the store: the fetches have failed, or reached a daemon that does not have the revision either.
constexpr Milliseconds STORE_READ_DELAY { 1000 };
/// Requests without a response are forgotten after this time.
constexpr Milliseconds REQUEST_TIMEOUT { 4000 };

} // namespace

FreshnessExchange::FreshnessExchange(EventLoop &loop,
                                     const PeerDirectory &peers,
                                     std::string ownName,
                                     Follower configuration,
                                     Follower upstreams,
                                     std::optional<Follower> evacuations,
                                     Handlers handlers)
    : loop_(loop)
    , peers_(peers)
    , ownName_(std::move(ownName))
    , configuration_ { std::move(configuration), {}, {}, {}, {} }
    , upstreams_ { std::move(upstreams), {}, {}, {}, {} }
    , handlers_(std::move(handlers))
{
    if (evacuations) {
        evacuations_.emplace(KindState { *std::move(evacuations), {}, {}, {}, {} });
    }
}

auto FreshnessExchange::start() -> void
{
    startedAt_ = BootClock::now();
    timer_ = loop_.every(TICK_PERIOD, [this] { tick(); });
}

auto FreshnessExchange::stop() -> void
{
    timer_.cancel();
}

auto FreshnessExchange::confirmedAt() const -> BootTime
{
    return std::max({ peerConfirmedAt_, readSentAt_, configuration_.follower.watch.confirmedAt() });
}

auto FreshnessExchange::refresh(KindState &kind, BootTime now) -> void
{
    // A failed watch retries by itself.
    if (now - kind.refreshedAt > MIN_REFRESH_INTERVAL && !kind.follower.watch.isFailing()) {
        kind.refreshedAt = now;
        kind.follower.watch.refresh();
    }
}

auto FreshnessExchange::tick() -> void
{
    const BootTime now = BootClock::now();
    const std::string leader = peers_.leader(now);
    const std::string watcher = peers_.storeWatcher(now);
    const bool isLeader = leader == ownName_;
    const bool isStoreWatcher = watcher == ownName_;
    std::erase_if(pending_, [now](const auto &each) { return now - each.second.sentAt > REQUEST_TIMEOUT; });
    if (now - startedAt_ > DISCOVERY_TIME) {
        configuration_.follower.watch.setWatching(isStoreWatcher);
        upstreams_.follower.watch.setWatching(isStoreWatcher || isLeader);
        if (evacuations_) {
            evacuations_->follower.watch.setWatching(isStoreWatcher || isLeader);
        }
    }
    const Milliseconds wait = isLeader ? LEADER_WATCH_TIME : KindWatch::DEFAULT_WAIT;
    upstreams_.follower.watch.setWait(wait);
    if (evacuations_) {
        evacuations_->follower.watch.setWait(wait);
    }
    if (isLeader) {
        readAsLeader(now);
    } else if (peers_.isRelay(now) || now - confirmedAt() > MAX_RELAYED_AGE) {
        sendRequest(leader, now);
    }
    closeGap(configuration_, now);
    closeGap(upstreams_, now);
    if (now - confirmedAt() > MAX_CONFIRMATION_AGE) {
        refresh(configuration_, now);
    }
    const bool hasLongWatch = isStoreWatcher && !isLeader;
    refreshIfStale(upstreams_, hasLongWatch, now);
    if (evacuations_) {
        closeGap(*evacuations_, now);
        refreshIfStale(*evacuations_, hasLongWatch, now);
    }
}

auto FreshnessExchange::refreshIfStale(KindState &kind, bool hasLongWatch, BootTime now) -> void
{
    // A new leader's current watch may still be a long one, and peers may not respond.
    const BootTime knownAt = std::max(kind.caughtUpAt, kind.follower.watch.confirmedAt());
    if (!hasLongWatch && now - knownAt > MAX_CONFIRMATION_AGE) {
        refresh(kind, now);
    }
}

auto FreshnessExchange::sendRequest(const std::string &daemon, BootTime now) -> void
{
    const Peer *peer = peers_.find(daemon);
    pending_.emplace(++lastCorrelationId_, PendingRequest { now, peers_.isLocal(*peer) });
    handlers_.send(peer->address, FreshnessRequest { lastCorrelationId_ });
}

auto FreshnessExchange::readAsLeader(BootTime now) -> void
{
    // A read returns the state at the time of sending or later. A watch that returns without events only confirms the
    // state at the time of sending.
    if (!configuration_.follower.watch.isFailing()) {
        handlers_.readConfiguration([this, now] { readSentAt_ = std::max(readSentAt_, now); });
    }
}

auto FreshnessExchange::state() const -> FreshnessState
{
    const BootTime now = BootClock::now();
    const auto age = std::chrono::ceil<Milliseconds>(now - confirmedAt());
    return {
        configuration_.follower.revision(), age, namedRevision(upstreams_, now), evacuations_ ? namedRevision(*evacuations_, now) : 0
    };
}

auto FreshnessExchange::namedRevision(const KindState &kind, BootTime now) -> std::uint64_t
{
    // The daemons that hear of revisions only through this one have to know that it is behind.
    const auto behindSince = kind.gap.since(kind.follower.syncedRevision());
    const bool isLeftBehind = behindSince && now - *behindSince > STORE_READ_DELAY;
    const std::uint64_t revision = kind.follower.revision();
    return isLeftBehind ? std::max(kind.gap.highest(), revision) : revision;
}

auto FreshnessExchange::handleRequest(const FreshnessRequest &request, const std::string &sender) -> void
{
    handlers_.send(sender, FreshnessResponse { request.correlationId, state() });
}

auto FreshnessExchange::handleResponse(const FreshnessResponse &response, const std::string &sender) -> void
{
    const auto found = pending_.find(response.correlationId);
    if (found == pending_.end()) {
        return;
    }
    const PendingRequest request = found->second;
    pending_.erase(found);
    applyState(response.state, request.sentAt, request.isLocal, sender);
}

auto FreshnessExchange::handleState(const FreshnessState &state, BootTime sentAt, const std::string &sender) -> void
{
    applyState(state, sentAt, true, sender);
}

auto FreshnessExchange::applyState(const FreshnessState &state, BootTime sentAt, bool isLocal, const std::string &sender) -> void
{
    const BootTime now = BootClock::now();
    if (reconcile(configuration_, state.configurationRevision, isLocal, sender, now)) {
        peerConfirmedAt_ = std::max(peerConfirmedAt_, sentAt - state.age);
    }
    reconcile(upstreams_, state.upstreamRevision, isLocal, sender, now);
    // A daemon that does not follow evacuations, or has read none yet, names no revision and confirms nothing.
    if (evacuations_ && state.evacuationRevision > 0) {
        reconcile(*evacuations_, state.evacuationRevision, isLocal, sender, now);
    }
}

auto FreshnessExchange::reconcile(KindState &kind, std::uint64_t revision, bool isLocal, const std::string &address, BootTime now) -> bool
{
    const std::uint64_t own = kind.follower.syncedRevision();
    kind.gap.record(revision, own, address, now);
    if (revision <= own) {
        if (!kind.gap.since(own)) {
            kind.caughtUpAt = now;
        }
        return true;
    }
    if (isLocal) {
        fetch(kind, address, now);
    }
    return false;
}

auto FreshnessExchange::closeGap(KindState &kind, BootTime now) -> void
{
    const auto behindSince = kind.gap.since(kind.follower.syncedRevision());
    if (!behindSince) {
        return;
    }
    if (now - *behindSince > REMOTE_FETCH_DELAY) {
        fetch(kind, kind.gap.address(), now);
    }
    if (now - *behindSince > STORE_READ_DELAY) {
        refresh(kind, now);
    }
}

auto FreshnessExchange::fetch(KindState &kind, const std::string &address, BootTime now) -> void
{
    if (now - kind.fetchedAt < PEER_FETCH_TIMEOUT) {
        return;
    }
    EventLog::write("belief_behind",
                    { { "peer", address }, { "revision", kind.gap.highest() }, { "own", kind.follower.syncedRevision() } });
    kind.fetchedAt = now;
    kind.follower.fetch(address);
}

} // namespace poplardock
