#pragma once

#include "Request/UpstreamView.h"

#include <optional>
#include <vector>

namespace poplardock {

/// Whether an online request is taken on.
struct Admission
{
    bool isAdmitted = true;
    /// Expected time until its first event or answer at the best upstream, in milliseconds.
    double expectedMs = 0;
    /// Time after which the caller may come again with a good prospect.
    std::optional<Milliseconds> retryAfter;

    auto operator==(const Admission &) const -> bool = default;
};

/// Answers the load that comes in waves above the capacity of the upstreams: a request whose first event is expected
/// after its target would take a slot from one that can still be on time, so it is refused at once, with the time in
/// which the queues will have drained to within the target. "left" is the time for which the caller still waits.
/// Pure function; thread-safe.
auto admitOnline(const std::vector<UpstreamView> &candidates, Milliseconds target, std::optional<Milliseconds> left, BootTime now)
    -> Admission;

} // namespace poplardock
