#pragma once

#include "Process/Clock.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace poplardock {

/// Limits retries to a tenth of the requests of the last 30 s, so that they add at most 10% to the load when all
/// upstreams fail. A minimum allows retries to a daemon with too few requests to earn one.
/// Thread-safe. A time before the latest one seen is treated as the latest.
class RetryBudget
{
public:
    /// "minimum": number of retries per 30 s that are allowed regardless of the requests.
    explicit RetryBudget(std::uint64_t minimum = 0);

    /// Counts a request; to be called for its first attempt only.
    auto recordRequest(TimePoint now) -> void;
    /// Spends one retry of the budget; false when it is exhausted.
    auto tryAcquire(TimePoint now) -> bool;

private:
    /// Long enough for a slow service with one request in three seconds to earn a retry.
    static constexpr std::size_t WINDOW_SECONDS = 30;

    struct SecondCounts
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    auto countsAt(TimePoint now) -> SecondCounts &;

    const std::uint64_t minimum_;
    std::mutex mutex_;
    std::int64_t latestSecond_ = 0;
    std::array<SecondCounts, WINDOW_SECONDS> counts_;
};

} // namespace poplardock
