#pragma once

#include "Process/Clock.h"

#include <mutex>
#include <random>

namespace poplardock {

/// Stops calls to the store after repeated failures. Once open, it lets one trial call through after a
/// jittered wait that doubles up to a limit, so that the daemons of a fleet do not return at once.
/// Thread-safe.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(std::uint64_t seed);

    /// True when a call may be made now. Each call that was let through must be reported.
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
