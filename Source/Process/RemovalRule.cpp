#include "Process/RemovalRule.h"

#include <algorithm>

namespace poplardock {

namespace {

auto isAbsentFor(const TimeSinceSeenByMember &times, const std::string &name, Milliseconds wait) -> bool
{
    const auto found = times.find(name);
    return found != times.end() && found->second >= wait;
}

auto isUnseen(const Member &member, const RemovalInput &input, Milliseconds wait) -> bool
{
    if (!input.hasLiveMajority || input.reportedTimeSinceSeen.contains(member.name)) {
        return false;
    }
    const auto isUnseenThere = [&member, wait](const auto &report) {
        return isAbsentFor(report.second, member.name, wait);
    };
    return isAbsentFor(input.ownTimeSinceSeen, member.name, wait)
           && std::all_of(input.reportedTimeSinceSeen.begin(), input.reportedTimeSinceSeen.end(), isUnseenThere);
}

auto isVmGone(const Member &member, const RemovalInput &input, Milliseconds wait) -> bool
{
    return !member.vm.empty() && isAbsentFor(input.vmAbsence, member.vm, wait);
}

} // namespace

auto membersToRemove(const MemberTable &table, const RemovalInput &input) -> std::vector<Member>
{
    std::vector<Member> removed;
    if (!input.hasStoreContact) {
        return removed;
    }
    for (const Member &member : table.members()) {
        if (member.name == input.self) {
            continue;
        }
        const MemberTable others = table.without(member.name);
        const Member *designated = others.homeOf(member.name, {});
        const bool isDesignated = designated != nullptr && designated->name == input.self;
        const Milliseconds wait = isDesignated ? REMOVAL_WAIT : REMOVAL_WAIT + REMOVAL_STAGGER;
        if (isUnseen(member, input, wait) || isVmGone(member, input, wait)) {
            removed.push_back(member);
        }
    }
    return removed;
}

} // namespace poplardock
