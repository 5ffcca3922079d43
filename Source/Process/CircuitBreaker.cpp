#include "Process/CircuitBreaker.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr int FAILURES_TO_OPEN = 5;
constexpr double FIRST_WAIT_MS = 500;
constexpr double LONGEST_WAIT_MS = 2000;

} // namespace

CircuitBreaker::CircuitBreaker(std::uint64_t seed)
    : random_(seed)
{
}

auto CircuitBreaker::allow(TimePoint now) -> bool
{
    const std::lock_guard lock(mutex_);
    if (consecutiveFailures_ < FAILURES_TO_OPEN) {
        return true;
    }
    if (now < nextProbeAt_) {
        return false;
    }
    // The trial call reserves the next interval; a success closes the breaker before that.
    nextProbeAt_ = now + Milliseconds(static_cast<std::int64_t>(LONGEST_WAIT_MS));
    return true;
}

auto CircuitBreaker::recordSuccess() -> void
{
    const std::lock_guard lock(mutex_);
    consecutiveFailures_ = 0;
    failedProbes_ = 0;
}

auto CircuitBreaker::recordFailure(TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    ++consecutiveFailures_;
    if (consecutiveFailures_ < FAILURES_TO_OPEN) {
        return;
    }
    const double longest
        = std::min(LONGEST_WAIT_MS, FIRST_WAIT_MS * static_cast<double>(1U << static_cast<unsigned>(std::min(failedProbes_, 4))));
    std::uniform_real_distribution<double> wait(longest / 2, longest);
    nextProbeAt_ = now + Milliseconds(static_cast<std::int64_t>(wait(random_)));
    ++failedProbes_;
}

auto CircuitBreaker::isOpen() const -> bool
{
    const std::lock_guard lock(mutex_);
    return consecutiveFailures_ >= FAILURES_TO_OPEN;
}

} // namespace poplardock
