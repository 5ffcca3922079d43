#include "Process/CircuitBreaker.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr int FAILURES_TO_OPEN = 5;
constexpr double INITIAL_BACKOFF_MS = 500;
constexpr double MAXIMUM_BACKOFF_MS = 2000;

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
    // Blocks further calls while the probe is in flight; its success closes the breaker at once.
    nextProbeAt_ = now + Milliseconds(static_cast<std::int64_t>(MAXIMUM_BACKOFF_MS));
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
    const double backoff
        = std::min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * static_cast<double>(1U << static_cast<unsigned>(std::min(failedProbes_, 4))));
    std::uniform_real_distribution<double> jittered(backoff / 2, backoff);
    nextProbeAt_ = now + Milliseconds(static_cast<std::int64_t>(jittered(random_)));
    ++failedProbes_;
}

auto CircuitBreaker::isOpen() const -> bool
{
    const std::lock_guard lock(mutex_);
    return consecutiveFailures_ >= FAILURES_TO_OPEN;
}

} // namespace poplardock
