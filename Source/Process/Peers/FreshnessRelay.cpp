#include "Process/Peers/FreshnessRelay.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *LEADER_KEY = "configuration";
constexpr Milliseconds ROUND_PERIOD { 500 };
/// Watches of upstreams at the leader, by whose revision the others notice that they hear nothing.
constexpr Milliseconds LEADER_WAIT { 1200 };
/// All other watches, which only bring changes.
constexpr Milliseconds FOLLOWER_WAIT { 20000 };
/// Age of the belief at which a daemon asks the store itself. The leader reads each 0.5 s and a question is sent each
/// 0.5 s, so a belief is hardly older than a second while all is well.
constexpr Milliseconds OWN_CALL_AGE { 2200 };
constexpr Milliseconds REFRESH_PAUSE { 1000 };
/// A question that is older than this is no use any more.
constexpr Milliseconds QUESTION_TIME { 4000 };

} // namespace

FreshnessRelay::FreshnessRelay(
    EventLoop &loop, const PeerDirectory &peers, std::string ownName, KindWatch &configuration, KindWatch &upstreams, Handlers handlers)
    : loop_(loop)
    , peers_(peers)
    , ownName_(std::move(ownName))
    , configuration_(configuration)
    , upstreams_(upstreams)
    , handlers_(std::move(handlers))
{
}

auto FreshnessRelay::start() -> void
{
    timer_ = loop_.every(ROUND_PERIOD, [this] { round(); });
}

auto FreshnessRelay::stop() -> void
{
    timer_.cancel();
}

auto FreshnessRelay::confirmedAt() const -> BootTime
{
    return std::max({ relayedAt_, readAt_, configuration_.confirmedAt() });
}

auto FreshnessRelay::refresh(KindWatch &watch, BootTime &lastAt, BootTime now) -> void
{
    // A watch that fails is retried by itself.
    if (now - lastAt > REFRESH_PAUSE && !watch.isFailing()) {
        lastAt = now;
        watch.refresh();
    }
}

auto FreshnessRelay::round() -> void
{
    const BootTime now = BootClock::now();
    const std::string leader = peers_.homeOf(LEADER_KEY, now);
    const bool isLeader = leader == ownName_;
    configuration_.setWait(FOLLOWER_WAIT);
    upstreams_.setWait(isLeader ? LEADER_WAIT : FOLLOWER_WAIT);
    std::erase_if(asked_, [now](const auto &each) { return now - each.second > QUESTION_TIME; });
    if (isLeader && !configuration_.isFailing()) {
        readAsLeader(now);
    }
    if (!isLeader) {
        asked_.emplace(++lastNumber_, now);
        handlers_.send(peers_.find(leader)->address, FreshnessRequest { lastNumber_ });
    }
    if (now - confirmedAt() > OWN_CALL_AGE) {
        refresh(configuration_, configurationRefreshedAt_, now);
    }
    // The first watch of a new leader may still be a long one.
    if (isLeader && now - upstreams_.confirmedAt() > OWN_CALL_AGE) {
        refresh(upstreams_, upstreamsRefreshedAt_, now);
    }
}

auto FreshnessRelay::readAsLeader(BootTime now) -> void
{
    // A read shows the state at its send or later; a watch that returns without events shows only that of its send.
    handlers_.readConfiguration([this, now] { readAt_ = std::max(readAt_, now); });
}

auto FreshnessRelay::answer(const FreshnessRequest &request, const std::string &sender) -> void
{
    const auto age = std::chrono::ceil<Milliseconds>(BootClock::now() - std::max(readAt_, configuration_.confirmedAt()));
    handlers_.send(sender, FreshnessAnswer { request.number, handlers_.configurationRevision(), age, handlers_.upstreamRevision() });
}

auto FreshnessRelay::takeAnswer(const FreshnessAnswer &answer, const std::string &sender) -> void
{
    const auto asked = asked_.find(answer.number);
    if (asked == asked_.end()) {
        return;
    }
    const BootTime now = BootClock::now();
    const BootTime confirmedAt = asked->second - answer.age;
    asked_.erase(asked);
    if (answer.configurationRevision > handlers_.configurationRevision()) {
        EventLog::write("configuration_behind", { { "leader", sender }, { "revision", answer.configurationRevision } });
        refresh(configuration_, configurationRefreshedAt_, now);
        if (configuration_.isFailing() && now - fetchedAt_ > ROUND_PERIOD / 2) {
            fetchedAt_ = now;
            handlers_.fetchConfiguration(sender);
        }
    } else {
        relayedAt_ = std::max(relayedAt_, confirmedAt);
    }
    // Changes reach the others within a pause between two watches; a watch that hears nothing is found here.
    if (answer.upstreamRevision > handlers_.upstreamRevision() && now - upstreams_.confirmedAt() > REFRESH_PAUSE) {
        refresh(upstreams_, upstreamsRefreshedAt_, now);
    }
}

} // namespace poplardock
