#include "Process/RetryBudget.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr std::uint64_t REQUESTS_PER_RETRY = 10;

} // namespace

RetryBudget::RetryBudget(std::uint64_t minimum)
    : minimum_(minimum)
{
}

auto RetryBudget::slotAt(TimePoint now) -> Slot &
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    latestSecond_ = std::max(latestSecond_, second);
    Slot &slot = slots_[static_cast<std::size_t>(latestSecond_) % WINDOW_SECONDS];
    if (slot.second != latestSecond_) {
        slot = { latestSecond_, 0, 0 };
    }
    return slot;
}

auto RetryBudget::recordRequest(TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    ++slotAt(now).requests;
}

auto RetryBudget::takeRetry(TimePoint now) -> bool
{
    const std::lock_guard lock(mutex_);
    Slot &current = slotAt(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const Slot &slot : slots_) {
        if (latestSecond_ - slot.second < static_cast<std::int64_t>(WINDOW_SECONDS)) {
            requests += slot.requests;
            retries += slot.retries;
        }
    }
    if (retries >= minimum_ && (retries + 1) * REQUESTS_PER_RETRY > requests) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace poplardock
