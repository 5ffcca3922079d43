#pragma once

#include "Process/Clock.h"

#include <mutex>
#include <random>

namespace poplardock {

/// Circuit breaker that stops calls to the store after consecutive failures. While open, it lets one probe call
/// through after each backoff. The backoff doubles up to a limit and is jittered, so that the daemons of a fleet do
/// not all return at the same moment. Thread-safe.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(std::uint64_t seed);

    /// True when a call may be made now. The outcome of each allowed call must be recorded.
    auto allow(TimePoint now) -> bool;
    auto recordSuccess() -> void;
    auto recordFailure(TimePoint now) -> void;
    [[nodiscard]] auto isOpen() const -> bool;

private:
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    int consecutiveFailures_ = 0;
    int failedProbes_ = 0;
    TimePoint nextProbeAt_;
};

} // namespace poplardock
