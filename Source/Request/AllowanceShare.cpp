#include "Request/AllowanceShare.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// Demand is a moving average over about this time: longer than the gap between the requests of a small team,
/// shorter than the waves of the load.
constexpr double DEMAND_SECONDS = 2;
/// Demand that each daemon counts as if it had it, so that one without requests keeps a small part.
constexpr double IDLE_DEMAND = 0.1;

auto secondsBetween(BootTime a, BootTime b) -> double
{
    return std::max(0.0, std::chrono::duration<double>(b - a).count());
}

} // namespace

AllowanceShare::AllowanceShare(RateLimit limits, double grain, BootTime now)
    : limit_(limits)
    , extraBurst_(grain)
    , refilledAt_(now)
    , demandUpdatedAt_(now)
{
    tokens_ = capacity();
}

auto AllowanceShare::capTokens(double tokens) -> void
{
    tokens_ = std::min(tokens_, tokens);
}

auto AllowanceShare::setLimit(RateLimit limits, BootTime now) -> void
{
    if (limits == limit_) {
        return;
    }
    refill(now);
    limit_ = limits;
    tokens_ = std::min(tokens_, capacity());
}

auto AllowanceShare::setPeerDemand(double demandPerSecond, int daemons, BootTime now) -> void
{
    refill(now);
    peerDemand_ = demandPerSecond;
    daemonCount_ = std::max(1, daemons);
    tokens_ = std::min(tokens_, capacity());
}

auto AllowanceShare::tryAcquire(BootTime now) -> std::optional<Milliseconds>
{
    demand_ = demand(now) + 1 / DEMAND_SECONDS;
    if (limit_.ratePerSecond <= 0) {
        return std::nullopt;
    }
    refill(now);
    if (tokens_ >= 1) {
        tokens_ -= 1;
        return std::nullopt;
    }
    constexpr double MS_PER_SECOND = 1000;
    const double rate = std::max(limit_.ratePerSecond * fraction(), 1e-3);
    return Milliseconds(static_cast<std::int64_t>(std::ceil((1 - tokens_) / rate * MS_PER_SECOND)));
}

auto AllowanceShare::demand(BootTime now) -> double
{
    demand_ *= std::exp(-secondsBetween(demandUpdatedAt_, now) / DEMAND_SECONDS);
    demandUpdatedAt_ = std::max(demandUpdatedAt_, now);
    return demand_;
}

auto AllowanceShare::fraction() const -> double
{
    return (demand_ + IDLE_DEMAND) / (demand_ + peerDemand_ + IDLE_DEMAND * daemonCount_);
}

auto AllowanceShare::refill(BootTime now) -> void
{
    tokens_ = std::min(capacity(), tokens_ + limit_.ratePerSecond * fraction() * secondsBetween(refilledAt_, now));
    refilledAt_ = std::max(refilledAt_, now);
}

auto AllowanceShare::capacity() const -> double
{
    return limit_.burst * fraction() + extraBurst_ / daemonCount_;
}

} // namespace poplardock
