#include "Version/MemberTable.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace poplardock {

namespace {

auto tableOf(int count) -> MemberTable
{
    MemberTable table;
    for (int index = 0; index < count; ++index) {
        table = table.with({ "entry-" + std::to_string(index), "127.0.0.1:1", "dc", index % 2 == 0 ? "south" : "north", 1, "i", "" });
    }
    return table;
}

} // namespace

// Guards against homes that move needlessly: one new member among n takes over 1/n of the keys, and no other key moves.
BOOST_AUTO_TEST_CASE(JoinMovesOnlyKeysOfTheNewMember)
{
    constexpr int KEYS = 10000;
    const MemberTable before = tableOf(7);
    const MemberTable after = tableOf(8);
    int moved = 0;
    for (int key = 0; key < KEYS; ++key) {
        const std::string name = "team-" + std::to_string(key);
        const Member *home = after.homeOf(name, "");
        if (*home != *before.homeOf(name, "")) {
            ++moved;
            BOOST_TEST(home->name == "entry-7");
        }
    }
    BOOST_TEST(moved > KEYS / 8.0 * 0.9);
    BOOST_TEST(moved < KEYS / 8.0 * 1.1);
}

BOOST_AUTO_TEST_CASE(HomeIsWithinTheRegion)
{
    const MemberTable table = tableOf(6);
    for (int key = 0; key < 100; ++key) {
        BOOST_TEST(table.homeOf(std::to_string(key), "north")->region == "north");
    }
    BOOST_TEST(table.homeOf("a", "west") == nullptr);
}

BOOST_AUTO_TEST_CASE(JsonRoundTripKeepsTheTable)
{
    const MemberTable table = tableOf(3);
    const auto read = MemberTable::fromJson(*table.toJson());
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == table));
    BOOST_TEST(!MemberTable::create({ { "a", "x", "", "", 1, "i", "" }, { "a", "x", "", "", 1, "i", "" } }).ok());
}

} // namespace poplardock
