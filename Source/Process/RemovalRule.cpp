#include "Process/RemovalRule.h"

#include <algorithm>

namespace poplardock {

namespace {

auto isSilentFor(const TimeSinceSeenByMember &silence, const std::string &member, Milliseconds wait) -> bool
{
    const auto found = silence.find(member);
    return found != silence.end() && found->second >= wait;
}

auto isUnheard(const Member &member, const RemovalInput &input, Milliseconds wait) -> bool
{
    if (!input.hasLiveMajority || input.reportedTimeSinceSeen.contains(member.name)) {
        return false;
    }
    const auto isSilentThere = [&member, wait](const auto &report) {
        return isSilentFor(report.second, member.name, wait);
    };
    return isSilentFor(input.ownTimeSinceSeen, member.name, wait)
           && std::all_of(input.reportedTimeSinceSeen.begin(), input.reportedTimeSinceSeen.end(), isSilentThere);
}

auto isVmGone(const Member &member, const RemovalInput &input, Milliseconds wait) -> bool
{
    return !member.vm.empty() && isSilentFor(input.vmAbsence, member.vm, wait);
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
        const Member *first = others.homeOf(member.name, {});
        const bool isFirst = first != nullptr && first->name == input.self;
        const Milliseconds wait = isFirst ? REMOVAL_WAIT : REMOVAL_WAIT + REMOVAL_STAGGER;
        if (isUnheard(member, input, wait) || isVmGone(member, input, wait)) {
            removed.push_back(member);
        }
    }
    return removed;
}

} // namespace poplardock
