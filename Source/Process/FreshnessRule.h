#pragma once

#include "Process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace poplardock {

/// A confirmation of the configuration older than this no longer counts. Below the 5 s within which an
/// accepted change must be in force everywhere.
constexpr Milliseconds FRESHNESS_BOUND { 4000 };

enum class Freshness
{
    /// The store confirmed the current revision within the bound, directly or through a peer.
    Current,
    /// Nobody in a majority of the members has store contact: the store is down for all.
    StoreOutage,
    /// The configuration may be outdated; keyed routes are refused and homes do not act.
    Stale,
};

/// What a daemon knows about its configuration at one moment.
struct FreshnessInput
{
    TimePoint now;
    /// Unset while the current revision was never confirmed.
    std::optional<TimePoint> confirmedAt;
    std::uint64_t ownRevision = 0;
    std::uint64_t highestKnownRevision = 0;
    /// Members heard within the bound, this daemon included.
    std::size_t liveMembers = 0;
    std::size_t memberCount = 0;

    auto operator==(const FreshnessInput &) const -> bool = default;
};

/// Pure function; see "Freshness" in docs/design.md for why it is safe.
auto evaluateFreshness(const FreshnessInput &input) -> Freshness;

} // namespace poplardock
