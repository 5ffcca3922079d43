#include "Request/OnlineAdmission.h"

#include "Request/OnlineChoice.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Bounds of the retry hint. Callers respect a hint of up to a third of their remaining time.
constexpr double MINIMUM_RETRY_MS = 100;
constexpr double MAXIMUM_RETRY_MS = 1500;
/// Retry hint when a group has no usable upstream; a restarted upstream registers within seconds.
constexpr double NO_UPSTREAM_RETRY_MS = 1000;

/// Time in milliseconds until the first upstream may get a request within the limit that it has named; unset when none has.
auto limitWaitMs(const std::vector<UpstreamView> &candidates, BootTime now) -> std::optional<double>
{
    std::optional<double> shortest;
    for (const UpstreamView &view : candidates) {
        if (view.usableAt > now) {
            const double wait = millisecondsBetween(now, view.usableAt);
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

} // namespace

auto admitOnline(const std::vector<UpstreamView> &candidates, Milliseconds target, std::optional<Milliseconds> callerTimeout, BootTime now)
    -> Admission
{
    const auto choice = chooseForOnline(candidates, {}, now, 0);
    if (!choice) {
        const double limitMs = limitWaitMs(candidates, now).value_or(NO_UPSTREAM_RETRY_MS);
        return { false, 0, Milliseconds(static_cast<std::int64_t>(std::clamp(limitMs, MINIMUM_RETRY_MS, MAXIMUM_RETRY_MS))) };
    }
    double limitMs = target.count() > 0 ? static_cast<double>(target.count()) : choice->expectedMs;
    if (callerTimeout) {
        limitMs = std::min(limitMs, static_cast<double>(callerTimeout->count()));
    }
    // Refused only when there is a queue: without one, a later retry would not find the upstream any faster.
    const double waitMs = expectedWaitMs(candidates[choice->index]);
    if (choice->expectedMs <= limitMs || waitMs <= 0) {
        return { true, choice->expectedMs, std::nullopt };
    }
    const double retryMs = std::clamp(choice->expectedMs - limitMs / 2, MINIMUM_RETRY_MS, MAXIMUM_RETRY_MS);
    return { false, choice->expectedMs, Milliseconds(static_cast<std::int64_t>(retryMs)) };
}

} // namespace poplardock
