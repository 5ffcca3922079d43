#include "Process/BatchLimiter.h"

#include <algorithm>

namespace poplardock {

BatchLimiter::BatchLimiter(Tuning tuning)
    : tuning_(tuning)
{
}

auto BatchLimiter::limit() const -> int
{
    const double bound = std::min(limit_, ceiling_);
    return static_cast<int>(isHoldingOff_ ? std::min(bound, holdOffLimit_) : bound);
}

auto BatchLimiter::preempt(TimePoint now, int batchRunning) -> int
{
    if (!isHoldingOff_) {
        limit_ = std::max(1.0, limit_ * tuning_.decreaseFactor);
    }
    holdOffLimit_ = batchRunning <= 1 ? 0 : batchRunning * tuning_.keptFraction;
    isHoldingOff_ = true;
    holdOffUntil_ = now + tuning_.holdOff;
    nextPreemptionAt_ = now + tuning_.reportLag;
    return std::max(0, batchRunning - limit());
}

auto BatchLimiter::updateSlotEstimate(TimePoint now, const ObservedLoad &load) -> void
{
    if (load.waiting > 0 && load.running > 0) {
        slots_ = load.running;
        nextProbeAt_ = now + tuning_.probeInterval;
    } else if (slots_ && now >= nextProbeAt_) {
        slots_ = std::min<double>(tuning_.maximum, *slots_ + 1);
        nextProbeAt_ = now + tuning_.probeInterval;
    }
}

auto BatchLimiter::update(TimePoint now, const ObservedLoad &load, int batchRunning, double targetMs) -> int
{
    updateSlotEstimate(now, load);
    isHoldingOff_ = isHoldingOff_ && now < holdOffUntil_;
    const double online = std::max<double>(load.onlineInFlight, load.onlineExpected);
    ceiling_ = slots_ ? std::max(0.0, *slots_ * (1 - tuning_.reserve) - online) : tuning_.maximum;
    const bool isLate = load.onlineFirstTokenP95Ms > targetMs * tuning_.targetFraction;
    const bool isQueueing = load.waiting > 0 && load.onlineInFlight > 0;
    if ((isLate || isQueueing) && now >= nextPreemptionAt_) {
        return preempt(now, batchRunning);
    }
    if (!isHoldingOff_ && batchRunning >= static_cast<int>(limit_) && now >= nextIncreaseAt_) {
        limit_ = std::min(slots_.value_or(tuning_.maximum), limit_ + tuning_.increase);
        nextIncreaseAt_ = now + tuning_.interval;
    }
    // Items above the ceiling may finish, but are aborted when they occupy slots that online requests need.
    const double excess = slots_ ? batchRunning + online - *slots_ : 0;
    return std::clamp(static_cast<int>(excess), 0, batchRunning);
}

} // namespace poplardock
