#pragma once

#include "Request/UpstreamView.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// Where an online request is to run.
struct OnlineChoice
{
    std::size_t index = 0;
    /// Expected time until its first event or answer.
    double expectedMs = 0;
    /// All slots are taken, some by batch work that has to be broken off.
    bool needsPreemption = false;

    auto operator==(const OnlineChoice &) const -> bool = default;
};

/// Expected wait for a slot of an online request at the upstream, in milliseconds: none with a free slot, the time
/// of a yield when batch work holds the last ones, else the time in which the online requests before it end.
auto expectedWaitMs(const UpstreamView &view) -> double;

/// The upstream with the earliest expected answer; a faster one goes first, a remote one costs a little more, and
/// equals are told apart by "random", so that daemons with the same belief do not choose the same one.
/// Not usable are excluded candidates; ejected and doubtful ones only when no other is left.
/// Pure function; thread-safe. Unset when none is usable.
auto chooseForOnline(const std::vector<UpstreamView> &candidates, const std::set<std::string> &excluded, BootTime now, std::uint64_t random)
    -> std::optional<OnlineChoice>;

} // namespace poplardock
