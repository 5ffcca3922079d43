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

auto RetryBudget::countsAt(TimePoint now) -> SecondCounts &
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    latestSecond_ = std::max(latestSecond_, second);
    SecondCounts &slot = counts_[static_cast<std::size_t>(latestSecond_) % WINDOW_SECONDS];
    if (slot.second != latestSecond_) {
        slot = { latestSecond_, 0, 0 };
    }
    return slot;
}

auto RetryBudget::recordRequest(TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    ++countsAt(now).requests;
}

auto RetryBudget::tryAcquire(TimePoint now) -> bool
{
    const std::lock_guard lock(mutex_);
    SecondCounts &current = countsAt(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const SecondCounts &slot : counts_) {
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
