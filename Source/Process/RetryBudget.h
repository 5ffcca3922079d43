#pragma once

#include "Process/Clock.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace poplardock {

/// Limits how many requests are sent to an upstream again: at most a tenth of the requests of the last 30 s,
/// so that retries add at most 10% to the load when all upstreams fail. A minimum lets a daemon with few requests
/// retry at all.
/// Thread-safe. Times that move back are taken as the latest time seen.
class RetryBudget
{
public:
    /// "minimum": retries of the last 30 s that are always allowed.
    explicit RetryBudget(std::uint64_t minimum = 0);

    /// Counts the first attempt of a request.
    auto recordRequest(TimePoint now) -> void;
    /// Takes one retry from the budget; false when it is used up.
    auto tryAcquire(TimePoint now) -> bool;

private:
    /// A slow service with one request in three seconds still gets a retry within this window.
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
