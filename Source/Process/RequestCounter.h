#pragma once

#include "Process/Clock.h"

#include <condition_variable>
#include <mutex>

namespace poplardock {

/// Counts the requests in progress, so that a shutdown can wait for them. Thread-safe.
class RequestCounter
{
public:
    /// Counts one request as in progress during its lifetime.
    class Guard
    {
    public:
        explicit Guard(RequestCounter &counter);
        Guard(const Guard &) = delete;
        auto operator=(const Guard &) -> Guard & = delete;
        Guard(Guard &&) = delete;
        auto operator=(Guard &&) -> Guard & = delete;
        ~Guard();

    private:
        RequestCounter &counter_;
    };

    [[nodiscard]] auto count() const -> int;
    /// Waits until no request is in progress. False when some still are at the deadline.
    auto waitUntilIdle(TimePoint deadline) -> bool;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
};

} // namespace poplardock
