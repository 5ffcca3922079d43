#pragma once

#include "Request/UpstreamView.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// The upstream selected for an online request.
struct OnlineChoice
{
    /// Index into the candidates.
    std::size_t index = 0;
    /// Expected time until the first event or response, in milliseconds.
    double expectedMs = 0;
    /// All slots are taken, some of them by batch work, which has to be preempted.
    bool needsPreemption = false;

    auto operator==(const OnlineChoice &) const -> bool = default;
};

/// Expected time in milliseconds that an online request waits for a slot of the upstream: 0 when a slot is free, the
/// duration of a preemption when batch work holds a slot, else the time until enough of the online requests ahead of it
/// have ended.
auto expectedWaitMs(const UpstreamView &view) -> double;

/// Expected time in milliseconds from the start of a request at the upstream to its first event or response, when it need not
/// wait for a slot.
auto expectedFirstEventMs(const UpstreamView &view) -> double;

/// Selects the upstream with the lowest cost: the expected time until the first event or response, plus small penalties
/// for load and for a remote data centre. "random" breaks near ties, so that daemons with the same view do not all
/// select the same upstream. Excluded candidates are never selected, ejected and suspect ones only when no other is
/// left, and those whose limit is used up never. A cold candidate gets warm-up requests, and others only when no warm one has room. Unset
/// when no candidate is usable. Pure function; thread-safe.
auto chooseForOnline(const std::vector<UpstreamView> &candidates, const std::set<std::string> &excluded, BootTime now, std::uint64_t random)
    -> std::optional<OnlineChoice>;

} // namespace poplardock
