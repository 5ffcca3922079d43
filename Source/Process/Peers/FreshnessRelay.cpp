#include "Process/Peers/FreshnessRelay.h"

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

FreshnessRelay::FreshnessRelay(
    EventLoop &loop, const PeerDirectory &peers, std::string ownName, Follower configuration, Follower upstreams, Handlers handlers)
    : loop_(loop)
    , peers_(peers)
    , ownName_(std::move(ownName))
    , configuration_ { std::move(configuration), 0, {}, {}, {} }
    , upstreams_ { std::move(upstreams), 0, {}, {}, {} }
    , handlers_(std::move(handlers))
{
}

auto FreshnessRelay::start() -> void
{
    startedAt_ = BootClock::now();
    timer_ = loop_.every(ROUND_PERIOD, [this] { round(); });
}

auto FreshnessRelay::stop() -> void
{
    timer_.cancel();
}

auto FreshnessRelay::confirmedAt() const -> BootTime
{
    return std::max({ relayedAt_, readAt_, configuration_.follower.watch.confirmedAt() });
}

auto FreshnessRelay::refresh(Kind &kind, BootTime now) -> void
{
    // A watch that fails is retried by itself.
    if (now - kind.refreshedAt > REFRESH_PAUSE && !kind.follower.watch.isFailing()) {
        kind.refreshedAt = now;
        kind.follower.watch.refresh();
    }
}

auto FreshnessRelay::round() -> void
{
    const BootTime now = BootClock::now();
    const std::string leader = peers_.homeOf(LEADER_KEY, now);
    const std::string feeder = peers_.feederOf(now);
    const bool isLeader = leader == ownName_;
    const bool isFeeder = feeder == ownName_;
    std::erase_if(asked_, [now](const auto &each) { return now - each.second.sentAt > QUESTION_TIME; });
    if (now - startedAt_ > SETTLE_TIME) {
        configuration_.follower.watch.setWatching(isFeeder);
        upstreams_.follower.watch.setWatching(isFeeder || isLeader);
    }
    upstreams_.follower.watch.setWait(isLeader ? LEADER_WAIT : KindWatch::DEFAULT_WAIT);
    if (isLeader) {
        readAsLeader(now);
    } else {
        ask(leader, now);
    }
    if (!isFeeder && feeder != leader) {
        ask(feeder, now);
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

auto FreshnessRelay::ask(const std::string &daemon, BootTime now) -> void
{
    const Peer *peer = peers_.find(daemon);
    asked_.emplace(++lastNumber_, Question { now, peers_.isNeighbour(*peer) });
    handlers_.send(peer->address, FreshnessRequest { lastNumber_ });
}

auto FreshnessRelay::readAsLeader(BootTime now) -> void
{
    // A read shows the state at its send or later; a watch that returns without events shows only that of its send.
    if (!configuration_.follower.watch.isFailing()) {
        handlers_.readConfiguration([this, now] { readAt_ = std::max(readAt_, now); });
    }
}

auto FreshnessRelay::answer(const FreshnessRequest &request, const std::string &sender) -> void
{
    const auto age = std::chrono::ceil<Milliseconds>(BootClock::now() - std::max(readAt_, configuration_.follower.watch.confirmedAt()));
    handlers_.send(sender, FreshnessAnswer { request.number, configuration_.follower.revision(), age, upstreams_.follower.revision() });
}

auto FreshnessRelay::takeAnswer(const FreshnessAnswer &answer, const std::string &sender) -> void
{
    const auto asked = asked_.find(answer.number);
    if (asked == asked_.end()) {
        return;
    }
    const Question question = asked->second;
    asked_.erase(asked);
    if (compare(configuration_, answer.configurationRevision, question.isNear, sender)) {
        relayedAt_ = std::max(relayedAt_, question.sentAt - answer.age);
    }
    compare(upstreams_, answer.upstreamRevision, question.isNear, sender);
}

auto FreshnessRelay::compare(Kind &kind, std::uint64_t revision, bool isNear, const std::string &address) -> bool
{
    const BootTime now = BootClock::now();
    if (revision <= kind.follower.knownUpTo()) {
        kind.timesBehind = 0;
        kind.caughtUpAt = now;
        return true;
    }
    if (now - kind.fetchedAt < PEER_FETCH_TIME) {
        return false;
    }
    ++kind.timesBehind;
    EventLog::write("belief_behind", { { "peer", address }, { "revision", revision }, { "own", kind.follower.knownUpTo() } });
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
