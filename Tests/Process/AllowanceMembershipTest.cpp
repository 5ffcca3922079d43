#include "Support/DaemonTables.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(AllowanceMembershipSuite)

// Guards against daemons that restart while the store is away, know of no others, and each admit the whole allowance: 433 requests
// ran in a window that allows 152.
BOOST_AUTO_TEST_CASE(DaemonsThatHaveLearnedOfNobodyAdmitNothing)
{
    DaemonTables tables(12);
    tables.team = { "team", 20, 20, {} };
    std::vector<BootTime> admitted;
    const auto sendUnheard = [&tables, &admitted](int steps) {
        for (int step = 0; step < steps; ++step) {
            tables.sendToAll(admitted);
            for (const auto &table : tables.tables) {
                table->updatePeerDemand(BootClock::now());
            }
            tables.loop.runUntil(BootClock::now() + Milliseconds(100));
        }
    };
    sendUnheard(10);
    BOOST_TEST(admitted.empty());
    // A team without a limit needs no share.
    bool isAdmitted = false;
    tables.tables[0]->tryAcquire({ "open", 0, 0, {} }, [&isAdmitted](std::optional<Milliseconds> wait) { isAdmitted = !wait; });
    BOOST_TEST(isAdmitted);
    tables.listMembers();
    sendUnheard(8);
    sendMany(tables, Milliseconds(3500), admitted);
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against daemons that restart while they are cut off from each other but not from the store, and take the others, which
// they have never heard, for gone after a few seconds.
BOOST_AUTO_TEST_CASE(DaemonsThatNeverHeardEachOtherShareTheAllowance)
{
    DaemonTables tables(4);
    tables.team = { "team", 20, 20, {} };
    tables.listMembers();
    std::vector<BootTime> admitted;
    for (int step = 0; step < 80; ++step) {
        tables.sendToAll(admitted);
        for (const auto &table : tables.tables) {
            table->updatePeerDemand(BootClock::now());
        }
        tables.loop.runUntil(BootClock::now() + Milliseconds(100));
    }
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against a daemon that is alone for good and does not admit its teams' requests.
BOOST_AUTO_TEST_CASE(ADaemonThatIsAloneAdmitsTheWholeAllowance)
{
    DaemonTables tables(1);
    tables.listMembers();
    tables.loop.runUntil(BootClock::now() + UPTIME);
    BOOST_TEST(tables.sendRequests(50) >= 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
