#include "Process/FreshnessRule.h"

namespace poplardock {

auto evaluateFreshness(const FreshnessInput &input) -> Freshness
{
    if (!input.confirmedAt || input.highestKnownRevision > input.ownRevision) {
        return Freshness::Stale;
    }
    if (input.now - *input.confirmedAt <= FRESHNESS_BOUND) {
        return Freshness::Current;
    }
    const bool hasMajority = input.memberCount > 0 && 2 * input.liveMembers > input.memberCount;
    return hasMajority ? Freshness::StoreOutage : Freshness::Stale;
}

} // namespace poplardock
