#pragma once

#include <chrono>
#include <ctime>

namespace poplardock {

/// Monotonic clock for deadlines. It advances while the process is suspended, so a lease that expires meanwhile is
/// seen as expired when the process resumes. It does not advance while the VM is suspended; see BootClock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Monotonic clock that also advances while the VM is suspended, unlike the steady clock. Used for the age of known
/// state and for the deadlines of the event loop.
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

/// Time from start to end in milliseconds; negative when end is earlier.
inline auto millisecondsBetween(BootTime start, BootTime end) -> double
{
    return std::chrono::duration<double, std::milli>(end - start).count();
}

/// Wall-clock time, only for due times that callers give and for log lines.
using WallClock = std::chrono::system_clock;

} // namespace poplardock
