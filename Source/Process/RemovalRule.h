#pragma once

#include "Process/Clock.h"
#include "Version/MemberTable.h"

#include <map>
#include <string>
#include <vector>

namespace poplardock {

/// A member is removed when no member of a majority has seen it, or its VM has been missing from the VM list, for
/// this long. Longer than a pause or restart that callers would not notice.
constexpr Milliseconds REMOVAL_WAIT { 10000 };
/// All members but the one designated for a removal wait this much longer, so that normally only that one writes it.
constexpr Milliseconds REMOVAL_STAGGER { 3000 };

/// Time since members were last seen, by member name.
using TimeSinceSeenByMember = std::map<std::string, Milliseconds>;

/// Known state on which one member decides removals.
struct RemovalInput
{
    std::string self;
    /// Whether this member reached the store within the freshness bound.
    bool hasStoreContact = false;
    /// Whether a majority of the members answered with the revision in force within the freshness bound.
    bool hasLiveMajority = false;
    TimeSinceSeenByMember ownTimeSinceSeen;
    /// The last report of each member that was seen within the freshness bound.
    std::map<std::string, TimeSinceSeenByMember> reportedTimeSinceSeen;
    /// Time since a VM disappeared from the VM list, by VM name. Only VMs that have been in the list.
    std::map<std::string, Milliseconds> vmAbsence;

    auto operator==(const RemovalInput &) const -> bool = default;
};

/// The members to remove now, never this one itself. A member that is missing from a report counts as seen. A missing
/// VM needs no majority: the platform lists a VM until it has ended, so its daemon can no longer act.
/// Pure function; see "Membership" in docs/design.md.
auto membersToRemove(const MemberTable &table, const RemovalInput &input) -> std::vector<Member>;

} // namespace poplardock
