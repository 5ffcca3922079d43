#include "Request/BatchPlan.h"

#include "Support/UpstreamViews.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const BootTime NOW = VIEW_TIME;

} // namespace

BOOST_AUTO_TEST_SUITE(BatchPlanSuite)

// Load pattern: online waves of about two seconds over a batch that fills the troughs. Guards against batch work that
// takes the last slot, on which the first request of the next wave would wait.
BOOST_AUTO_TEST_CASE(AReserveIsLeftForOnlineRequests)
{
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 0, 0), 1, NOW) == 7);
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 3, 4), 1, NOW) == 0);
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 8, 2), 1, NOW) == 0);
}

// Load pattern: many daemons whose reports are far apart, so that several online requests come to an upstream before
// the others know. Guards against a reserve that fits only a small fleet.
BOOST_AUTO_TEST_CASE(TheReserveGrowsWithTheTimeBetweenReports)
{
    BOOST_TEST(BatchPlan::reservedSlots(Milliseconds(100)) == 1);
    BOOST_TEST(BatchPlan::reservedSlots(Milliseconds(400)) == 3);
    UpstreamView small = makeView("a", 0, 0);
    small.slots = 2;
    BOOST_TEST(BatchPlan::availableSlots(small, 3, NOW) == 1);
}

// Guards against an item that misses its due time beside an unused reserve.
BOOST_AUTO_TEST_CASE(UrgentWorkMayUseTheReserve)
{
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 3, 4), 0, NOW) == 1);
    BOOST_TEST(!BatchPlan::chooseForBatch({ makeView("a", 3, 4) }, 1, NOW, 5).has_value());
    BOOST_TEST(BatchPlan::chooseForBatch({ makeView("a", 3, 4) }, 0, NOW, 5).has_value());
}

// Load pattern: a trough opens many slots at once and all daemons see them. Guards against all of them filling the
// same slots, which puts batch work in front of online requests in an upstream's queue.
BOOST_AUTO_TEST_CASE(DaemonsShareTheRoom)
{
    std::vector<UpstreamView> views;
    views.reserve(12);
    for (int index = 0; index < 12; ++index) {
        views.push_back(makeView("u" + std::to_string(index), 1, 0));
    }
    // Two rounds of all daemons between two reports must not start more than there is room for.
    int started = 0;
    constexpr int DAEMONS = 8;
    constexpr int PLAYS = 1000;
    for (int play = 0; play < PLAYS; ++play) {
        for (int round = 0; round < 2 * DAEMONS; ++round) {
            started += BatchPlan::startsPerTick(views, 1, DAEMONS, 0.5, (play * 16 + round) % 97 / 97.0, NOW);
        }
    }
    const double room = 12 * 6;
    BOOST_TEST(started <= PLAYS * room * 1.02);
    BOOST_TEST(started >= PLAYS * room * 0.98);
    // A single free slot is taken by about one of many daemons.
    int taken = 0;
    for (int daemon = 0; daemon < 67; ++daemon) {
        taken += BatchPlan::startsPerTick({ makeView("a", 3, 3) }, 1, 67, 1, daemon / 67.0, NOW);
    }
    BOOST_TEST(taken >= 1);
    BOOST_TEST(taken <= 2);
}

// Guards against batch runs that pile up on one upstream, or go to one that fails or is about to leave.
BOOST_AUTO_TEST_CASE(TheEmptiestSoundUpstreamIsChosen)
{
    UpstreamView ejected = makeView("ejected", 0, 0);
    ejected.ejectedUntil = NOW + Milliseconds(10);
    UpstreamView doubtful = makeView("doubtful", 0, 0);
    doubtful.isSuspect = true;
    const std::vector<UpstreamView> views { ejected, doubtful, makeView("busy", 5, 1), makeView("empty", 1, 0) };
    for (std::uint64_t random = 1; random < 100; ++random) {
        const auto choice = BatchPlan::chooseForBatch(views, 0, NOW, random * 0x12345678987ULL);
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(views[*choice].name == "empty");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
