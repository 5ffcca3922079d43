#pragma once

#include "Request/UpstreamLoad.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// Chooses an upstream for one request: draws two of the usable candidates and takes the one with the lower
/// product of requests there and learned service time. Two draws instead of the best of all keep daemons
/// with the same old reports from sending everything to the same upstream.
/// Not usable are leaving and excluded candidates, and ejected ones unless all others are ejected too.
/// Pure function of its arguments; "random" is uniform over all 64-bit values. Returns the index of the
/// candidate, unset when none is usable.
auto chooseUpstream(const std::vector<UpstreamLoad> &candidates, const std::set<std::string> &excluded, std::uint64_t random, TimePoint now)
    -> std::optional<std::size_t>;

} // namespace poplardock
