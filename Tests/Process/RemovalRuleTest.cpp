#include "Process/RemovalRule.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds LONG = REMOVAL_WAIT + REMOVAL_STAGGER;

auto table() -> MemberTable
{
    std::vector<Member> members;
    for (const char *name : { "a", "b", "c" }) {
        members.push_back({ name, "127.0.0.1:1", "dc1", "r1", 1, std::string("i-") + name, std::string("vm-") + name });
    }
    return *MemberTable::create(std::move(members));
}

/// Input of member a when neither a nor b has seen c for long enough to remove it.
auto unseenC() -> RemovalInput
{
    RemovalInput input;
    input.self = "a";
    input.hasStoreContact = true;
    input.hasLiveMajority = true;
    input.ownTimeSinceSeen = { { "b", Milliseconds(500) }, { "c", LONG } };
    input.reportedTimeSinceSeen = { { "b", { { "a", Milliseconds(500) }, { "c", LONG } } } };
    return input;
}

auto removedNames(const RemovalInput &input) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const Member &member : membersToRemove(table(), input)) {
        names.push_back(member.name);
    }
    return names;
}

const std::vector<std::string> NOBODY;
const std::vector<std::string> ONLY_C = { "c" };

} // namespace

BOOST_AUTO_TEST_SUITE(RemovalRuleSuite)

// Guards against unreachable members that remain homes for ever.
BOOST_AUTO_TEST_CASE(MemberThatNobodySeesIsRemoved)
{
    BOOST_TEST(removedNames(unseenC()) == ONLY_C);
}

// Guards against the removal of a member that only this daemon, or only a minority, cannot reach.
BOOST_AUTO_TEST_CASE(MemberThatSomebodySeesStays)
{
    RemovalInput input = unseenC();
    input.reportedTimeSinceSeen["b"]["c"] = REMOVAL_WAIT - Milliseconds(1);
    BOOST_TEST(removedNames(input) == NOBODY);
    input.reportedTimeSinceSeen["b"].erase("c");
    BOOST_TEST(removedNames(input) == NOBODY);
    input = unseenC();
    input.ownTimeSinceSeen["c"] = REMOVAL_WAIT - Milliseconds(1);
    BOOST_TEST(removedNames(input) == NOBODY);
    input = unseenC();
    input.reportedTimeSinceSeen["c"] = {};
    BOOST_TEST(removedNames(input) == NOBODY);
}

// Guards against removals by a daemon that is itself cut off.
BOOST_AUTO_TEST_CASE(CutOffDaemonRemovesNobody)
{
    RemovalInput input = unseenC();
    input.hasLiveMajority = false;
    BOOST_TEST(removedNames(input) == NOBODY);
    input = unseenC();
    input.hasStoreContact = false;
    input.vmAbsence = { { "vm-c", LONG } };
    BOOST_TEST(removedNames(input) == NOBODY);
}

// Guards against members whose VM was replaced but that stay in the table, and against a daemon that removes itself.
BOOST_AUTO_TEST_CASE(MemberWithoutVmIsRemoved)
{
    RemovalInput input = unseenC();
    input.ownTimeSinceSeen = {};
    input.reportedTimeSinceSeen = {};
    input.hasLiveMajority = false;
    input.vmAbsence = { { "vm-a", LONG }, { "vm-c", LONG } };
    BOOST_TEST(removedNames(input) == ONLY_C);
    input.vmAbsence["vm-c"] = REMOVAL_WAIT - Milliseconds(1);
    BOOST_TEST(removedNames(input) == NOBODY);
}

// Guards against all members writing the same removal at once.
BOOST_AUTO_TEST_CASE(OneMemberIsDesignated)
{
    std::size_t removals = 0;
    for (const char *self : { "a", "b" }) {
        RemovalInput input = unseenC();
        input.self = self;
        input.ownTimeSinceSeen = { { "c", REMOVAL_WAIT } };
        input.reportedTimeSinceSeen = { { self == std::string("a") ? "b" : "a", { { "c", REMOVAL_WAIT } } } };
        removals += membersToRemove(table(), input).size();
    }
    BOOST_TEST(removals == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
