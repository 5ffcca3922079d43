#pragma once

#include "Process/Clock.h"

#include <mutex>

namespace poplardock {

/// Token bucket that limits the calls of one daemon to the store. Thread-safe.
class CallBudget
{
public:
    /// Preconditions: the rate (calls per second) and the burst (calls) are above 0.
    CallBudget(double ratePerSecond, double burst, TimePoint now);

    /// Spends one call of the budget; false when it is exhausted.
    auto tryAcquire(TimePoint now) -> bool;

private:
    const double ratePerSecond_;
    const double burst_;
    std::mutex mutex_;
    double level_;
    TimePoint updatedAt_;
};

} // namespace poplardock
