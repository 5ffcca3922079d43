#include "Request/AllowancePolicy.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// Demand that one loan covers, one term. Half of it costs 20% more messages (MeasureAllowances, seed 1, steady).
constexpr double LOAN_HORIZON_SECONDS = 1;
/// Up to this size no request is relayed: the home is asked instead, and the answer need not pass through it.
constexpr std::size_t RELAY_FLEET_SIZE = 32;
/// Demand below which a loan of one term (1 s) is seldom used twice.
constexpr double REUSE_DEMAND_PER_SECOND = 2;
constexpr double DECAY_SECONDS = 1;

} // namespace

auto chooseAllowanceSource(const AllowanceDemand &demand) -> AllowanceSource
{
    if (demand.memberCount > RELAY_FLEET_SIZE && demand.perSecond < REUSE_DEMAND_PER_SECOND) {
        return ForwardRequest {};
    }
    const double members = static_cast<double>(std::max<std::size_t>(demand.memberCount, 1));
    const double bound = demand.burst / members;
    const double horizon = std::min(demand.perSecond, demand.ratePerSecond) * LOAN_HORIZON_SECONDS;
    return RequestLoan { std::max<std::int64_t>(static_cast<std::int64_t>(std::min(horizon, bound)), 1) };
}

auto renewalTokens(const AllowanceDemand &demand) -> std::int64_t
{
    if (demand.perSecond < REUSE_DEMAND_PER_SECOND) {
        return 0;
    }
    const AllowanceSource choice = chooseAllowanceSource(demand);
    const auto *loan = std::get_if<RequestLoan>(&choice);
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
