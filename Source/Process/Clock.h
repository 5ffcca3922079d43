#pragma once

#include <chrono>

namespace poplardock {

/// Monotonic clock for deadlines. It keeps counting while the process is paused, so an expired lease is
/// seen as expired after the process resumes.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time, only for due times that callers give and for log lines.
using WallClock = std::chrono::system_clock;

} // namespace poplardock
