#include "Request/AllowancePolicy.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// A loan covers the demand expected within its term. Loans for half a term would cost 20% more messages under steady
/// load (benchmark MeasureAllowances, seed 1).
constexpr double LOAN_TERM_SECONDS = 1;
/// Requests are not forwarded in a fleet of up to this size, so that responses need not pass through the home.
constexpr std::size_t MAX_FLEET_SIZE_WITHOUT_FORWARDING = 32;
/// Below this demand a loan is for a single token, so it serves no second request within its term.
constexpr double REUSE_DEMAND_PER_SECOND = 2;
/// Time constant of the demand estimate: after this time, an event counts 1/e of its initial weight.
constexpr double DECAY_SECONDS = 1;

} // namespace

auto chooseAllowanceSource(const AllowanceDemand &demand) -> AllowanceSource
{
    if (demand.memberCount > MAX_FLEET_SIZE_WITHOUT_FORWARDING && demand.perSecond < REUSE_DEMAND_PER_SECOND) {
        return ForwardRequest {};
    }
    const double members = static_cast<double>(std::max<std::size_t>(demand.memberCount, 1));
    const double burstShare = demand.burst / members;
    const double expectedTokens = std::min(demand.perSecond, demand.ratePerSecond) * LOAN_TERM_SECONDS;
    return RequestLoan { std::max<std::int64_t>(static_cast<std::int64_t>(std::min(expectedTokens, burstShare)), 1) };
}

auto renewalTokens(const AllowanceDemand &demand) -> std::int64_t
{
    if (demand.perSecond < REUSE_DEMAND_PER_SECOND) {
        return 0;
    }
    const AllowanceSource source = chooseAllowanceSource(demand);
    const auto *loan = std::get_if<RequestLoan>(&source);
    return loan == nullptr ? 0 : loan->tokens;
}

auto DemandEstimate::record(TimePoint now) -> void
{
    perSecond_ = perSecond(now) + 1 / DECAY_SECONDS;
    updatedAt_ = std::max(now, updatedAt_);
}

auto DemandEstimate::perSecond(TimePoint now) const -> double
{
    const double elapsed = std::chrono::duration<double>(now - updatedAt_).count();
    return perSecond_ * std::exp(-std::max(elapsed, 0.0) / DECAY_SECONDS);
}

} // namespace poplardock
