#include "Request/OnlineAdmission.h"

#include "Request/OnlineChoice.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Shortest and longest time that a caller is told to wait. Callers follow it up to a third of the time they have.
constexpr double SHORTEST_RETRY_MS = 100;
constexpr double LONGEST_RETRY_MS = 1500;
/// Time after which a group without any upstream is asked again; a restarted upstream registers within seconds.
constexpr double EMPTY_RETRY_MS = 1000;

} // namespace

auto admitOnline(const std::vector<UpstreamView> &candidates, Milliseconds target, std::optional<Milliseconds> left, BootTime now)
    -> Admission
{
    const auto choice = chooseForOnline(candidates, {}, now, 0);
    if (!choice) {
        return { false, 0, Milliseconds(static_cast<std::int64_t>(EMPTY_RETRY_MS)) };
    }
    double bound = target.count() > 0 ? static_cast<double>(target.count()) : choice->expectedMs;
    if (left) {
        bound = std::min(bound, static_cast<double>(left->count()));
    }
    // Only a queue is a reason to refuse: another moment would not make an upstream faster.
    const double waitMs = expectedWaitMs(candidates[choice->index]);
    if (choice->expectedMs <= bound || waitMs <= 0) {
        return { true, choice->expectedMs, std::nullopt };
    }
    const double retry = std::clamp(choice->expectedMs - bound / 2, SHORTEST_RETRY_MS, LONGEST_RETRY_MS);
    return { false, choice->expectedMs, Milliseconds(static_cast<std::int64_t>(retry)) };
}

} // namespace poplardock
