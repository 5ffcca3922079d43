#include "Process/CallBudget.h"

#include <algorithm>

namespace poplardock {

CallBudget::CallBudget(double ratePerSecond, double burst, TimePoint now)
    : ratePerSecond_(ratePerSecond)
    , burst_(burst)
    , level_(burst)
    , updatedAt_(now)
{
}

auto CallBudget::tryAcquire(TimePoint now) -> bool
{
    const std::lock_guard lock(mutex_);
    if (now > updatedAt_) {
        const std::chrono::duration<double> elapsed = now - updatedAt_;
        level_ = std::min(burst_, level_ + elapsed.count() * ratePerSecond_);
        updatedAt_ = now;
    }
    if (level_ < 1) {
        return false;
    }
    level_ -= 1;
    return true;
}

} // namespace poplardock
