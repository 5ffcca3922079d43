#pragma once

#include "Request/UpstreamLoad.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// Selects an upstream for one request by power of two choices: of two usable candidates drawn at random, the one with
/// the lower product of requests in flight and average service time. Comparing only two keeps daemons with the same
/// stale reports from sending all requests to the same upstream. Draining and excluded candidates are not usable;
/// ejected ones are used only when no other is left. Pure function; "random" must be uniform over all 64-bit values.
/// Returns the index of the candidate, unset when none is usable.
auto chooseUpstream(const std::vector<UpstreamLoad> &candidates, const std::set<std::string> &excluded, std::uint64_t random, TimePoint now)
    -> std::optional<std::size_t>;

} // namespace poplardock
