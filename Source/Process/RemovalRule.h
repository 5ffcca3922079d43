#pragma once

#include "Process/Clock.h"
#include "Version/MemberTable.h"

#include <map>
#include <string>
#include <vector>

namespace poplardock {

/// A member is removed after nobody in a majority has heard it, or the VM list has not shown its VM, for this
/// long. Longer than a pause or restart that callers would not notice.
constexpr Milliseconds REMOVAL_WAIT { 10000 };
/// The members that do not go first wait this much longer, so that one of them writes the removal.
constexpr Milliseconds REMOVAL_STAGGER { 3000 };

/// How long some members have not been heard, by member name.
using TimeSinceSeenByMember = std::map<std::string, Milliseconds>;

/// What one member knows when it decides on removals.
struct RemovalInput
{
    std::string self;
    /// Store contact, and a majority of the members heard with the revision in force, both within the
    /// freshness bound.
    bool hasStoreContact = false;
    bool hasLiveMajority = false;
    TimeSinceSeenByMember ownTimeSinceSeen;
    /// What each member that was heard within the freshness bound said in its last answer.
    std::map<std::string, TimeSinceSeenByMember> reportedTimeSinceSeen;
    /// For how long the VM list, which had shown a VM, has not shown it; by VM name.
    std::map<std::string, Milliseconds> vmAbsence;

    auto operator==(const RemovalInput &) const -> bool = default;
};

/// The members that are to be removed now, never this one itself. A member that a report does not mention
/// counts as heard. The absence of a VM needs no majority: the platform shows a VM until it has ended, so its
/// daemon cannot act any more. Pure function; see "Membership" in docs/design.md.
auto membersToRemove(const MemberTable &table, const RemovalInput &input) -> std::vector<Member>;

} // namespace poplardock
