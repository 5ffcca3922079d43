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

auto AllowanceTable::tryAcquireFrom(std::map<std::string, AllowanceShare> &buckets, const Team &team, bool isWhole, BootTime now)
    -> std::optional<Milliseconds>
{
    const AllowanceLimits limits { team.ratePerSecond, team.burst };
    const auto [entry, isNew] = buckets.try_emplace(team.name, limits, isWhole ? HOME_GRAIN : SHARE_GRAIN, now);
    if (isNew) {
        // The home before, or this daemon before a restart, may just have given out a whole burst: the bucket holds what
        // the rate has given since the start. A daemon that has just started knows of nobody with whom it shares, so its
        // own share starts with nothing.
        const double accrued = team.ratePerSecond * std::chrono::duration<double>(now - startedAt_).count();
        entry->second.startWith(isWhole ? std::min(HOME_GRAIN, accrued) : 0);
    }
    entry->second.setLimits(limits, now);
    return entry->second.take(now);
}

auto AllowanceTable::isHome(const std::string &homeName, BootTime now) const -> bool
{
    return homeName == ownName_ && !peers_.isIsolated(now);
}

auto AllowanceTable::tryAcquire(const Team &team, Handler handler) -> void
{
    const BootTime now = BootClock::now();
    const std::optional<Milliseconds> ownDecision = tryAcquireFrom(shares_, team, false, now);
    if (team.ratePerSecond <= 0) {
        handler(std::nullopt);
        return;
    }
    const std::string homeName = peers_.allowanceHomeOf(team.name, now);
    if (isHome(homeName, now)) {
        handler(tryAcquireFrom(homeBuckets_, team, true, now));
        return;
    }
    const Peer *home = peers_.find(homeName);
    if (home == nullptr || !peers_.isAlive(*home, now)) {
        handler(ownDecision);
        return;
    }
    const std::uint64_t number = ++lastCorrelationId_;
    PendingRequest pending { std::move(handler), ownDecision, loop_.at(now + ANSWER_TIME, [this, number, team = team.name] {
                                EventLog::write("allowance_home_silent", { { "team", team } });
                                handleResponse({ number, TokenResponse::Outcome::NotHome });
                            }) };
    pending_.emplace(number, std::move(pending));
    send_(home->address, TokenRequest { team.name, number });
}

auto AllowanceTable::handleRequest(const Team *team, const TokenRequest &request, const std::string &sender) -> void
{
    const BootTime now = BootClock::now();
    TokenResponse answer { request.correlationId, TokenResponse::Outcome::NotHome };
    if (team != nullptr && isHome(peers_.allowanceHomeOf(request.team, now), now)) {
        const auto wait = tryAcquireFrom(homeBuckets_, *team, true, now);
        answer.outcome = wait ? TokenResponse::Outcome::Refused : TokenResponse::Outcome::Granted;
        answer.retryAfter = wait.value_or(Milliseconds(0));
    }
    send_(sender, answer);
}

auto AllowanceTable::handleResponse(const TokenResponse &answer) -> void
{
    const auto found = pending_.find(answer.correlationId);
    if (found == pending_.end()) {
        return;
    }
    PendingRequest pending = std::move(found->second);
    pending_.erase(found);
    pending.timeout.cancel();
    switch (answer.outcome) {
    case TokenResponse::Outcome::Granted:
        pending.handler(std::nullopt);
        return;
    case TokenResponse::Outcome::Refused:
        pending.handler(answer.retryAfter);
        return;
    case TokenResponse::Outcome::NotHome:
        pending.handler(pending.fallbackDecision);
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

auto AllowanceTable::updatePeerDemand(BootTime now) -> void
{
    const int daemons = peers_.daemonCount(now);
    const std::map<std::string, double> demand = peers_.demand(now);
    for (auto &[team, share] : shares_) {
        const auto others = demand.find(team);
        share.setOthers(others == demand.end() ? 0 : others->second, daemons, now);
    }
}

} // namespace poplardock
