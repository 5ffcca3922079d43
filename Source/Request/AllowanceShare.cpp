#include "Request/AllowanceShare.h"

#include <algorithm>
#include <cmath>

namespace poplardock {

namespace {

/// Time constant of the demand average: longer than the gap between the requests of a small team, shorter than the
/// waves of the load.
constexpr double DEMAND_TIME_CONSTANT_SECONDS = 2;
/// Requests per second added to the demand of each daemon, so that a daemon without requests keeps a small share.
constexpr double BASE_DEMAND_PER_SECOND = 0.1;

auto secondsBetween(BootTime a, BootTime b) -> double
{
    return std::max(0.0, std::chrono::duration<double>(b - a).count());
}

} // namespace

AllowanceShare::AllowanceShare(RateLimit limit, double extraBurst, BootTime now)
    : limit_(limit)
    , extraBurst_(extraBurst)
    , refilledAt_(now)
    , demandUpdatedAt_(now)
{
    tokens_ = capacity();
}

auto AllowanceShare::capTokens(double tokens) -> void
{
    tokens_ = std::min(tokens_, tokens);
}

auto AllowanceShare::setLimit(RateLimit limit, BootTime now) -> void
{
    if (limit == limit_) {
        return;
    }
    refill(now);
    limit_ = limit;
    tokens_ = std::min(tokens_, capacity());
}

auto AllowanceShare::setPeerDemand(double demandPerSecond, int daemonCount, BootTime now) -> void
{
    refill(now);
    peerDemand_ = demandPerSecond;
    daemonCount_ = std::max(1, daemonCount);
    tokens_ = std::min(tokens_, capacity());
}

auto AllowanceShare::setRefillFraction(double fraction, BootTime now) -> void
{
    refill(now);
    refillFraction_ = fraction;
}

auto AllowanceShare::tryAcquire(BootTime now) -> std::optional<Milliseconds>
{
    demand_ = demand(now) + 1 / DEMAND_TIME_CONSTANT_SECONDS;
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
    demand_ *= std::exp(-secondsBetween(demandUpdatedAt_, now) / DEMAND_TIME_CONSTANT_SECONDS);
    demandUpdatedAt_ = std::max(demandUpdatedAt_, now);
    return demand_;
}

auto AllowanceShare::fraction() const -> double
{
    return (demand_ + BASE_DEMAND_PER_SECOND) / (demand_ + peerDemand_ + BASE_DEMAND_PER_SECOND * daemonCount_);
}

auto AllowanceShare::refill(BootTime now) -> void
{
    tokens_ = std::min(capacity(), tokens_ + limit_.ratePerSecond * refillFraction_ * fraction() * secondsBetween(refilledAt_, now));
    refilledAt_ = std::max(refilledAt_, now);
}

auto AllowanceShare::capacity() const -> double
{
    return limit_.burst * fraction() + extraBurst_ / daemonCount_;
}

} // namespace poplardock
