#pragma once

#include "Process/Clock.h"

#include <algorithm>

namespace poplardock {

/// Longest time that is taken from outside. Clocks count nanoseconds in 64 bits, so sums with a few such times do not overflow.
constexpr Milliseconds LONGEST_STATED_TIME = std::chrono::hours(24 * 365 * 10);

/// A number of milliseconds from a header, message, setting or stored object, cut to the longest time in both directions; 0 for
/// a value that is not a number. Thread-safe.
template<typename Number>
auto boundedMilliseconds(Number milliseconds) -> Milliseconds
{
    const auto longest = static_cast<Number>(LONGEST_STATED_TIME.count());
    // Only a value that is not a number differs from itself.
    return Milliseconds(milliseconds == milliseconds ? static_cast<Milliseconds::rep>(std::clamp(milliseconds, -longest, longest)) : 0);
}

} // namespace poplardock
