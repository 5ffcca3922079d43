#pragma once

#include "Process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace poplardock {

/// Maximum age of a configuration's confirmation. Below the 5 s within which an accepted change must be in force
/// everywhere.
constexpr Milliseconds FRESHNESS_BOUND { 4000 };

enum class Freshness
{
    /// The store confirmed the revision in force within the bound, directly or through a peer.
    Current,
    /// No confirmation within the bound, although a majority of the members is reachable: none of them has store
    /// contact, so the store is down for the whole fleet.
    StoreOutage,
    /// The configuration may be outdated: keyed routes are refused and homes do not act.
    Stale,
};

/// Known state of a daemon's configuration at one instant.
struct FreshnessInput
{
    TimePoint now;
    /// Last confirmation of the revision in force; unset if there was none yet.
    std::optional<TimePoint> confirmedAt;
    std::uint64_t ownRevision = 0;
    std::uint64_t highestKnownRevision = 0;
    /// Members last seen within the bound, this daemon included.
    std::size_t liveMembers = 0;
    std::size_t memberCount = 0;

    auto operator==(const FreshnessInput &) const -> bool = default;
};

/// Pure function. See "Freshness" in docs/design.md for the safety argument.
auto evaluateFreshness(const FreshnessInput &input) -> Freshness;

} // namespace poplardock
