#include "Process/RequestCounter.h"

namespace poplardock {

RequestCounter::Guard::Guard(RequestCounter &counter)
    : counter_(counter)
{
    const std::lock_guard lock(counter_.mutex_);
    ++counter_.running_;
}

RequestCounter::Guard::~Guard()
{
    const std::lock_guard lock(counter_.mutex_);
    --counter_.running_;
    counter_.changed_.notify_all();
}

auto RequestCounter::count() const -> int
{
    const std::lock_guard lock(mutex_);
    return running_;
}

auto RequestCounter::waitUntilIdle(TimePoint deadline) -> bool
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, deadline, [this] { return running_ == 0; });
}

} // namespace poplardock
