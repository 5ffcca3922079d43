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

AllowanceShare::AllowanceShare(AllowanceLimits limits, double grain, BootTime now)
    : limits_(limits)
    , grain_(grain)
    , filledAt_(now)
    , demandAt_(now)
{
    tokens_ = bound();
}

auto AllowanceShare::startWith(double tokens) -> void
{
    tokens_ = std::min(tokens_, tokens);
}

auto AllowanceShare::setLimits(AllowanceLimits limits, BootTime now) -> void
{
    if (limits == limits_) {
        return;
    }
    refill(now);
    limits_ = limits;
    tokens_ = std::min(tokens_, bound());
}

auto AllowanceShare::setOthers(double demandPerSecond, int daemons, BootTime now) -> void
{
    refill(now);
    othersDemand_ = demandPerSecond;
    daemons_ = std::max(1, daemons);
    tokens_ = std::min(tokens_, bound());
}

auto AllowanceShare::take(BootTime now) -> std::optional<Milliseconds>
{
    demand_ = demand(now) + 1 / DEMAND_SECONDS;
    if (limits_.ratePerSecond <= 0) {
        return std::nullopt;
    }
    refill(now);
    if (tokens_ >= 1) {
        tokens_ -= 1;
        return std::nullopt;
    }
    constexpr double MS_PER_SECOND = 1000;
    const double rate = std::max(limits_.ratePerSecond * part(), 1e-3);
    return Milliseconds(static_cast<std::int64_t>(std::ceil((1 - tokens_) / rate * MS_PER_SECOND)));
}

auto AllowanceShare::demand(BootTime now) -> double
{
    demand_ *= std::exp(-secondsBetween(demandAt_, now) / DEMAND_SECONDS);
    demandAt_ = std::max(demandAt_, now);
    return demand_;
}

auto AllowanceShare::part() const -> double
{
    return (demand_ + IDLE_DEMAND) / (demand_ + othersDemand_ + IDLE_DEMAND * daemons_);
}

auto AllowanceShare::refill(BootTime now) -> void
{
    tokens_ = std::min(bound(), tokens_ + limits_.ratePerSecond * part() * secondsBetween(filledAt_, now));
    filledAt_ = std::max(filledAt_, now);
}

auto AllowanceShare::bound() const -> double
{
    return limits_.burst * part() + grain_ / daemons_;
}

} // namespace poplardock
