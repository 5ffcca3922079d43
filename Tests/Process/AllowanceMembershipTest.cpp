#include "Process/Peers/Rendezvous.h"
#include "Support/DaemonTables.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

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

/// The daemons in the order in which they become home of the team.
auto rankedDaemons(const DaemonTables &tables) -> std::vector<std::size_t>
{
    std::vector<std::size_t> ranked(tables.tables.size());
    std::iota(ranked.begin(), ranked.end(), 0);
    const auto scoreOf = [&tables](std::size_t daemon) {
        return rendezvousScore("d" + std::to_string(daemon), tables.team.name, 1);
    };
    std::sort(ranked.begin(), ranked.end(), [&scoreOf](std::size_t a, std::size_t b) { return scoreOf(a) > scoreOf(b); });
    return ranked;
}

// Guards against daemons of which half restart while the store is away, hear the other half but not each other, and each act as the
// home or admit a share that counts too few daemons: 203 requests ran in a window that allows 152.
BOOST_AUTO_TEST_CASE(HalfOfTheDaemonsRestartWithoutTheStore)
{
    constexpr std::size_t DAEMONS = 8;
    DaemonTables tables(DAEMONS, UPTIME);
    tables.team = { "team", 20, 20, {} };
    std::vector<BootTime> admitted;
    sendMany(tables, Milliseconds(2500), admitted);
    const std::vector<std::size_t> ranked = rankedDaemons(tables);
    for (std::size_t rank = 0; rank < DAEMONS / 2; ++rank) {
        tables.restartWithoutStore(ranked[rank]);
    }
    sendMany(tables, Milliseconds(4000), admitted);
    tables.listMembers();
    sendMany(tables, Milliseconds(3500), admitted);
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against a daemon that restarts while the store is away and refuses sound requests although the home of the team runs on.
BOOST_AUTO_TEST_CASE(ADaemonThatKnowsSomeOthersAsksTheHome)
{
    DaemonTables tables(6, UPTIME);
    tables.team = { "team", 20, 20, {} };
    tables.sendRequests(6);
    const std::size_t restarted = rankedDaemons(tables).back();
    tables.restartWithoutStore(restarted);
    tables.exchangeReports();
    int admitted = 0;
    for (int request = 0; request < 20; ++request) {
        tables.tables[restarted]->tryAcquire(tables.team, [&admitted](std::optional<Milliseconds> wait) { admitted += wait ? 0 : 1; });
        tables.exchangeReports();
        tables.loop.runUntil(BootClock::now() + Milliseconds(100));
    }
    BOOST_TEST(admitted == 20);
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
