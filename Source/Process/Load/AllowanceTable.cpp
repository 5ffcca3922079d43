#include "Process/Load/AllowanceTable.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Requests above the burst: what a home may give out, and what all daemons together may keep when they admit from
/// their own shares. Both may be spent in one window when a home falls silent, so their sum stays below the platform's
/// slack of 20 for a count that is kept by many daemons.
constexpr double HOME_GRAIN = 10;
constexpr double SHARE_GRAIN = 5;
/// Demand below this is not worth a line in each report.
constexpr double SMALLEST_DEMAND = 0.01;
/// A home answers within a few milliseconds; a request must not lose more of its target to a silent one.
constexpr Milliseconds ANSWER_TIME { 40 };

} // namespace

AllowanceTable::AllowanceTable(EventLoop &loop, const PeerDirectory &peers, std::string ownName, Sender send)
    : loop_(loop)
    , peers_(peers)
    , ownName_(std::move(ownName))
    , send_(std::move(send))
    , startedAt_(BootClock::now())
{
}

auto AllowanceTable::takeFrom(std::map<std::string, AllowanceShare> &buckets, const Team &team, bool isWhole, BootTime now)
    -> std::optional<Milliseconds>
{
    const RateLimit limits { team.ratePerSecond, team.burst };
    const auto [entry, isNew] = buckets.try_emplace(team.name, limits, isWhole ? HOME_GRAIN : SHARE_GRAIN, now);
    if (isNew) {
        // The home before, or this daemon before a restart, may just have given out a whole burst: the bucket holds what
        // the rate has given since the start. A daemon that has just started knows of nobody with whom it shares, so its
        // own share starts with nothing.
        const double accrued = team.ratePerSecond * std::chrono::duration<double>(now - startedAt_).count();
        entry->second.capTokens(isWhole ? std::min(HOME_GRAIN, accrued) : 0);
    }
    entry->second.setLimit(limits, now);
    return entry->second.tryAcquire(now);
}

auto AllowanceTable::isHome(const std::string &homeName, BootTime now) const -> bool
{
    return homeName == ownName_ && !peers_.isAlone(now);
}

auto AllowanceTable::take(const Team &team, Handler handler) -> void
{
    const BootTime now = BootClock::now();
    const std::optional<Milliseconds> ownDecision = takeFrom(shares_, team, false, now);
    if (team.ratePerSecond <= 0) {
        handler(std::nullopt);
        return;
    }
    const std::string homeName = peers_.allowanceHomeOf(team.name, now);
    if (isHome(homeName, now)) {
        handler(takeFrom(homes_, team, true, now));
        return;
    }
    const Peer *home = peers_.find(homeName);
    if (home == nullptr || !peers_.isAlive(*home, now)) {
        handler(ownDecision);
        return;
    }
    const std::uint64_t number = ++lastNumber_;
    Pending pending { std::move(handler), ownDecision, loop_.at(now + ANSWER_TIME, [this, number, team = team.name] {
                         EventLog::write("allowance_home_silent", { { "team", team } });
                         takeAnswer({ number, TokenAnswer::Outcome::NotHome });
                     }) };
    pending_.emplace(number, std::move(pending));
    send_(home->address, TokenRequest { team.name, number });
}

auto AllowanceTable::answer(const Team *team, const TokenRequest &request, const std::string &sender) -> void
{
    const BootTime now = BootClock::now();
    TokenAnswer answer { request.number, TokenAnswer::Outcome::NotHome };
    if (team != nullptr && isHome(peers_.allowanceHomeOf(request.team, now), now)) {
        const auto wait = takeFrom(homes_, *team, true, now);
        answer.outcome = wait ? TokenAnswer::Outcome::Refused : TokenAnswer::Outcome::Granted;
        answer.retryAfter = wait.value_or(Milliseconds(0));
    }
    send_(sender, answer);
}

auto AllowanceTable::takeAnswer(const TokenAnswer &answer) -> void
{
    const auto found = pending_.find(answer.number);
    if (found == pending_.end()) {
        return;
    }
    Pending pending = std::move(found->second);
    pending_.erase(found);
    pending.timeout.cancel();
    switch (answer.outcome) {
    case TokenAnswer::Outcome::Granted:
        pending.handler(std::nullopt);
        return;
    case TokenAnswer::Outcome::Refused:
        pending.handler(answer.retryAfter);
        return;
    case TokenAnswer::Outcome::NotHome:
        pending.handler(pending.ownDecision);
        return;
    }
}

auto AllowanceTable::demand(BootTime now) -> std::map<std::string, double>
{
    std::map<std::string, double> result;
    for (auto &[team, share] : shares_) {
        const double demand = share.demand(now);
        if (demand >= SMALLEST_DEMAND) {
            result.emplace(team, demand);
        }
    }
    return result;
}

auto AllowanceTable::update(BootTime now) -> void
{
    const int daemons = peers_.daemonCount(now);
    const std::map<std::string, double> demand = peers_.demand(now);
    for (auto &[team, share] : shares_) {
        const auto others = demand.find(team);
        share.setPeerDemand(others == demand.end() ? 0 : others->second, daemons, now);
    }
}

} // namespace poplardock
