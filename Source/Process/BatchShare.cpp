#include "Process/BatchShare.h"

#include <algorithm>

namespace poplardock {

BatchShare::BatchShare(Tuning tuning)
    : tuning_(tuning)
{
}

auto BatchShare::limit() const -> int
{
    return static_cast<int>(limit_);
}

auto BatchShare::cut(TimePoint now, int batchRunning) -> void
{
    // Starting from what runs, not from an unused limit, so that each cut has an effect.
    limit_ = std::max(1.0, std::min(limit_, static_cast<double>(batchRunning)) * tuning_.decrease);
    nextCutAt_ = now + tuning_.reportLag;
    nextIncreaseAt_ = std::max(nextIncreaseAt_, now + tuning_.reportLag);
}

auto BatchShare::yieldNow(TimePoint now, int batchRunning) -> int
{
    cut(now, batchRunning);
    limit_ = batchRunning <= 1 ? 0 : limit_;
    nextIncreaseAt_ = now + tuning_.holdOff;
    return std::max(0, batchRunning - limit());
}

auto BatchShare::update(TimePoint now, const ObservedLoad &load, int batchRunning, double targetMs) -> int
{
    const bool isQueueing = load.waiting > 0;
    if (isQueueing && load.onlineInFlight > 0 && batchRunning > 0 && now >= nextCutAt_) {
        return yieldNow(now, batchRunning);
    }
    const bool isLate = load.onlineFirstTokenP95Ms > targetMs * tuning_.targetFraction;
    if (isQueueing || isLate) {
        if (now >= nextCutAt_) {
            cut(now, batchRunning);
        }
        return 0;
    }
    const bool isUsedUp = batchRunning >= limit();
    if (isUsedUp && now >= nextIncreaseAt_) {
        limit_ = std::min<double>(tuning_.maximum, limit_ + tuning_.increase);
        nextIncreaseAt_ = now + tuning_.interval;
    }
    return 0;
}

} // namespace poplardock
