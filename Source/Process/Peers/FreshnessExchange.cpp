#include "Process/Peers/FreshnessExchange.h"

#include "Process/EventLog.h"
#include "Process/Peers/PeerFetch.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *LEADER_KEY = "configuration";
constexpr Milliseconds ROUND_PERIOD { 500 };
/// Daemons hear each other within this time after a start; earlier each one would take itself for leader and feeder.
constexpr Milliseconds SETTLE_TIME { 1500 };
/// Watches of upstreams at the leader, by whose revision the feeders notice that they hear nothing.
constexpr Milliseconds LEADER_WAIT { 1200 };
/// Age of the belief at which a daemon asks the store itself. The leader reads each 0.5 s and a question is sent each
/// 0.5 s, so a belief is hardly older than a second while all is well.
constexpr Milliseconds OWN_CALL_AGE { 2200 };
constexpr Milliseconds REFRESH_PAUSE { 1000 };
/// Answers in a row that name a newer revision, after which the store is asked: the first may come from another data
/// centre before the feeder knows, the second led to a fetch.
constexpr int LONGEST_BEHIND = 3;
/// A question that is older than this is no use any more.
constexpr Milliseconds QUESTION_TIME { 4000 };

} // namespace

FreshnessExchange::FreshnessExchange(
    EventLoop &loop, const PeerDirectory &peers, std::string ownName, Follower configuration, Follower upstreams, Handlers handlers)
    : loop_(loop)
    , peers_(peers)
    , ownName_(std::move(ownName))
    , configuration_ { std::move(configuration), 0, {}, {}, {} }
    , upstreams_ { std::move(upstreams), 0, {}, {}, {} }
    , handlers_(std::move(handlers))
{
}

auto FreshnessExchange::start() -> void
{
    startedAt_ = BootClock::now();
    timer_ = loop_.every(ROUND_PERIOD, [this] { tick(); });
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
    // A watch that fails is retried by itself.
    if (now - kind.refreshedAt > REFRESH_PAUSE && !kind.follower.watch.isFailing()) {
        kind.refreshedAt = now;
        kind.follower.watch.refresh();
    }
}

auto FreshnessExchange::tick() -> void
{
    const BootTime now = BootClock::now();
    const std::string leader = peers_.homeOf(LEADER_KEY, now);
    const std::string feeder = peers_.storeWatcher(now);
    const bool isLeader = leader == ownName_;
    const bool isFeeder = feeder == ownName_;
    std::erase_if(pending_, [now](const auto &each) { return now - each.second.sentAt > QUESTION_TIME; });
    if (now - startedAt_ > SETTLE_TIME) {
        configuration_.follower.watch.setWatching(isFeeder);
        upstreams_.follower.watch.setWatching(isFeeder || isLeader);
    }
    upstreams_.follower.watch.setWait(isLeader ? LEADER_WAIT : KindWatch::DEFAULT_WAIT);
    if (isLeader) {
        readAsLeader(now);
    } else {
        sendRequest(leader, now);
    }
    if (!isFeeder && feeder != leader) {
        sendRequest(feeder, now);
    }
    if (now - confirmedAt() > OWN_CALL_AGE) {
        refresh(configuration_, now);
    }
    // The first watch of a new leader may still be a long one, and nobody may answer.
    const BootTime upstreamsKnownAt = std::max(upstreams_.caughtUpAt, upstreams_.follower.watch.confirmedAt());
    if ((isLeader || !isFeeder) && now - upstreamsKnownAt > OWN_CALL_AGE) {
        refresh(upstreams_, now);
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
    // A read shows the state at its send or later; a watch that returns without events shows only that of its send.
    if (!configuration_.follower.watch.isFailing()) {
        handlers_.readConfiguration([this, now] { readSentAt_ = std::max(readSentAt_, now); });
    }
}

auto FreshnessExchange::handleRequest(const FreshnessRequest &request, const std::string &sender) -> void
{
    const auto age = std::chrono::ceil<Milliseconds>(BootClock::now() - std::max(readSentAt_, configuration_.follower.watch.confirmedAt()));
    handlers_.send(sender,
                   FreshnessResponse { request.correlationId, configuration_.follower.revision(), age, upstreams_.follower.revision() });
}

auto FreshnessExchange::handleResponse(const FreshnessResponse &answer, const std::string &sender) -> void
{
    const auto asked = pending_.find(answer.correlationId);
    if (asked == pending_.end()) {
        return;
    }
    const PendingRequest question = asked->second;
    pending_.erase(asked);
    if (reconcile(configuration_, answer.configurationRevision, question.isLocal, sender)) {
        peerConfirmedAt_ = std::max(peerConfirmedAt_, question.sentAt - answer.age);
    }
    reconcile(upstreams_, answer.upstreamRevision, question.isLocal, sender);
}

auto FreshnessExchange::reconcile(KindState &kind, std::uint64_t revision, bool isNear, const std::string &address) -> bool
{
    const BootTime now = BootClock::now();
    if (revision <= kind.follower.syncedRevision()) {
        kind.timesBehind = 0;
        kind.caughtUpAt = now;
        return true;
    }
    if (now - kind.fetchedAt < PEER_FETCH_TIMEOUT) {
        return false;
    }
    ++kind.timesBehind;
    EventLog::write("belief_behind", { { "peer", address }, { "revision", revision }, { "own", kind.follower.syncedRevision() } });
    // Bytes from another data centre are dear; the feeder of this one knows a moment later.
    if (isNear || kind.timesBehind > 1) {
        kind.fetchedAt = now;
        kind.follower.fetch(address);
    }
    if (kind.timesBehind >= LONGEST_BEHIND) {
        refresh(kind, now);
    }
    return false;
}

} // namespace poplardock
