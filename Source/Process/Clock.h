#pragma once

#include <chrono>
#include <ctime>

namespace poplardock {

/// Monotonic clock for deadlines. It keeps counting while the process is paused, so an expired lease is
/// seen as expired after the process resumes.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Monotonic clock that also counts the time for which the VM was suspended, which the steady clock does not.
/// Ages of beliefs and deadlines of the event loop use it.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The standard library prescribes the name. NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool is_steady = true;

    /// Thread-safe.
    static auto now() -> time_point
    {
        timespec value {};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
    }
};
using BootTime = BootClock::time_point;

/// The time from a to b in milliseconds; negative when b is earlier.
inline auto millisecondsBetween(BootTime a, BootTime b) -> double
{
    return std::chrono::duration<double, std::milli>(b - a).count();
}

/// Wall-clock time, only for due times that callers give and for log lines.
using WallClock = std::chrono::system_clock;

} // namespace poplardock
