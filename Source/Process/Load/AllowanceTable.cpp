#include "Process/Load/AllowanceTable.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Requests beyond the burst that the home may admit, and that all daemons together may admit from their shares. If the
/// home becomes unreachable, both can be spent in one window, so their sum stays below the 20 requests of slack that the
/// platform grants to a distributed counter.
constexpr double HOME_EXTRA_BURST = 10;
constexpr double SHARE_EXTRA_BURST = 5;
/// Fraction of the rate at which the shares go on while the home is alive but does not answer: it may be admitting the whole
/// rate. The platform grants a tenth above rate and burst.
constexpr double SILENT_HOME_REFILL = 0.1;
/// Requests per second; lower demand is left out of the reports.
constexpr double MIN_REPORTED_DEMAND = 0.01;
/// A reachable home responds within a few milliseconds. Waiting longer for an unreachable one would use up too much of
/// the request's latency target.
constexpr Milliseconds HOME_RESPONSE_TIMEOUT { 40 };
/// Retry hint of a daemon that does not know who the others are; their records come soon after the store is back.
constexpr Milliseconds UNKNOWN_MEMBERS_RETRY_AFTER { 500 };

} // namespace

AllowanceTable::AllowanceTable(EventLoop &loop, const PeerDirectory &peers, std::string ownName, Sender send)
    : loop_(loop)
    , peers_(peers)
    , ownName_(std::move(ownName))
    , send_(std::move(send))
    , startedAt_(BootClock::now())
{
}

auto AllowanceTable::tryAcquireFrom(std::map<std::string, AllowanceShare> &buckets, const Team &team, bool isHomeBucket, BootTime now)
    -> std::optional<Milliseconds>
{
    // Daemons that do not reach the home admit from their shares meanwhile; that part of the rate is not the home's.
    const double part = isHomeBucket ? aliveFraction_ : 1;
    const RateLimit limits { team.ratePerSecond * part, team.burst * part };
    const auto [entry, isNew] = buckets.try_emplace(team.name, limits, isHomeBucket ? HOME_EXTRA_BURST : SHARE_EXTRA_BURST, now);
    if (isNew) {
        // The previous home, or this daemon before a restart, may just have admitted a whole burst, so a new home bucket
        // holds only the tokens that have accrued since this daemon started. A share starts empty, because a daemon that
        // has just started does not know yet how many others it shares the allowance with.
        const double accrued = team.ratePerSecond * std::chrono::duration<double>(now - startedAt_).count();
        entry->second.capTokens(isHomeBucket ? std::min(HOME_EXTRA_BURST, accrued) : 0);
        if (!isHomeBucket) {
            updateShare(entry->second, 0, peers_.daemonCount(now), peers_.presumedCount(now), now);
        }
    }
    entry->second.setLimit(limits, now);
    return entry->second.tryAcquire(now);
}

auto AllowanceTable::isHome(const std::string &homeName, BootTime now) const -> bool
{
    return homeName == ownName_ && peers_.membership(now) == MembershipState::InTouch
           && peers_.daemonCount(now) > peers_.presumedCount(now);
}

auto AllowanceTable::tryAcquire(const Team &team, Handler handler) -> void
{
    const BootTime now = BootClock::now();
    const MembershipState membership = peers_.membership(now);
    const bool knowsMembers = membership == MembershipState::InTouch || membership == MembershipState::OutOfTouch;
    // Any number of daemons that do not know each other may be in the same state, so no share of the allowance is safe, and none is
    // filled. The home can still be asked.
    const std::optional<Milliseconds> fallbackDecision
        = team.ratePerSecond > 0 && !knowsMembers ? UNKNOWN_MEMBERS_RETRY_AFTER : tryAcquireFrom(shares_, team, false, now);
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
        setHomeSilent(team.name, false, now);
        handler(fallbackDecision);
        return;
    }
    const std::uint64_t correlationId = ++lastCorrelationId_;
    PendingRequest pending { team.name,
                             std::move(handler),
                             fallbackDecision,
                             loop_.at(now + HOME_RESPONSE_TIMEOUT, [this, correlationId, team = team.name] {
                                 EventLog::write("allowance_home_silent", { { "team", team } });
                                 setHomeSilent(team, true, BootClock::now());
                                 handleResponse({ correlationId, TokenResponse::Outcome::NotHome });
                             }) };
    pending_.emplace(correlationId, std::move(pending));
    send_(home->address, TokenRequest { team.name, correlationId });
}

auto AllowanceTable::handleRequest(const Team *team, const TokenRequest &request, const std::string &sender) -> void
{
    const BootTime now = BootClock::now();
    TokenResponse response { request.correlationId, TokenResponse::Outcome::NotHome };
    if (team != nullptr && isHome(peers_.allowanceHomeOf(request.team, now), now)) {
        const auto wait = tryAcquireFrom(homeBuckets_, *team, true, now);
        response.outcome = wait ? TokenResponse::Outcome::Refused : TokenResponse::Outcome::Granted;
        response.retryAfter = wait.value_or(Milliseconds(0));
    }
    send_(sender, response);
}

auto AllowanceTable::handleResponse(const TokenResponse &response) -> void
{
    const auto found = pending_.find(response.correlationId);
    if (found == pending_.end()) {
        return;
    }
    PendingRequest pending = std::move(found->second);
    pending_.erase(found);
    pending.timeout.cancel();
    if (response.outcome != TokenResponse::Outcome::NotHome) {
        setHomeSilent(pending.team, false, BootClock::now());
    }
    switch (response.outcome) {
    case TokenResponse::Outcome::Granted:
        pending.handler(std::nullopt);
        return;
    case TokenResponse::Outcome::Refused:
        pending.handler(response.retryAfter);
        return;
    case TokenResponse::Outcome::NotHome:
        pending.handler(pending.fallbackDecision);
        return;
    }
}

auto AllowanceTable::setHomeSilent(const std::string &team, bool isSilent, BootTime now) -> void
{
    const auto share = shares_.find(team);
    if (share != shares_.end()) {
        share->second.setRefillFraction(isSilent ? SILENT_HOME_REFILL : 1, now);
    }
}

auto AllowanceTable::demand(BootTime now) -> std::map<std::string, double>
{
    std::map<std::string, double> result;
    for (auto &[team, share] : shares_) {
        const double demand = share.demand(now);
        if (demand >= MIN_REPORTED_DEMAND) {
            result.emplace(team, demand);
        }
    }
    return result;
}

auto AllowanceTable::updatePeerDemand(BootTime now) -> void
{
    aliveFraction_ = peers_.aliveFraction(now);
    const int heard = peers_.daemonCount(now);
    const int presumed = peers_.presumedCount(now);
    const std::map<std::string, double> demand = peers_.demand(now);
    for (auto &[team, share] : shares_) {
        const auto others = demand.find(team);
        updateShare(share, others == demand.end() ? 0 : others->second, heard, presumed, now);
    }
}

auto AllowanceTable::updateShare(AllowanceShare &share, double reportedDemand, int heard, int presumed, BootTime now) -> void
{
    share.setPeerDemand(reportedDemand + share.demand(now) * presumed, heard + presumed, now);
}

} // namespace poplardock
