#pragma once

#include "Request/UpstreamView.h"

#include <optional>
#include <vector>

namespace poplardock {

/// The decision whether to admit an online request.
struct Admission
{
    bool isAdmitted = true;
    /// Expected time until the first event or response at the best upstream, in milliseconds.
    double expectedMs = 0;
    /// Time after which a retry by the caller is likely to be admitted. Set when the request is refused.
    std::optional<Milliseconds> retryAfter;

    auto operator==(const Admission &) const -> bool = default;
};

/// Sheds load when waves of requests exceed the capacity of the upstreams. A request whose first event is expected
/// after its target would take a slot from one that can still meet its target, so it is refused at once. The retry hint
/// estimates when the queues will have drained enough to meet the target. "callerTimeout" is the time that remains
/// until the caller gives up, if known. A target of 0 means that there is none. Pure function; thread-safe.
auto admitOnline(const std::vector<UpstreamView> &candidates, Milliseconds target, std::optional<Milliseconds> callerTimeout, BootTime now)
    -> Admission;

} // namespace poplardock
