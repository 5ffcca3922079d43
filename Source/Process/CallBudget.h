#pragma once

#include "Process/Clock.h"

#include <mutex>

namespace poplardock {

/// Limits the calls of one daemon to the store: a token bucket with rate and burst.
/// Thread-safe.
class CallBudget
{
public:
    /// Preconditions: both values are above 0. Units: calls per second, calls.
    CallBudget(double ratePerSecond, double burst, TimePoint now);

    /// Takes one call from the budget; false when it is used up.
    auto tryAcquire(TimePoint now) -> bool;

private:
    const double ratePerSecond_;
    const double burst_;
    std::mutex mutex_;
    double level_;
    TimePoint updatedAt_;
};

} // namespace poplardock
