#include "Request/BatchPlan.h"

#include "Support/UpstreamViews.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const BootTime NOW = VIEW_TIME;

} // namespace

BOOST_AUTO_TEST_SUITE(BatchPlanSuite)

// Load pattern: waves of online requests, about two seconds long, with batch work in the troughs. Guards against batch
// work that takes the last slot, so that the first request of the next wave has to wait.
BOOST_AUTO_TEST_CASE(AReserveIsLeftForOnlineRequests)
{
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 0, 0), 1, NOW) == 7);
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 3, 4), 1, NOW) == 0);
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 8, 2), 1, NOW) == 0);
}

// Load pattern: many daemons with a long time between reports, so that several online requests reach an upstream before
// the other daemons learn of them. Guards against a reserve that is sufficient only in a small fleet.
BOOST_AUTO_TEST_CASE(TheReserveGrowsWithThePropagationDelay)
{
    BOOST_TEST(BatchPlan::reservedSlots(Milliseconds(100)) == 1);
    BOOST_TEST(BatchPlan::reservedSlots(Milliseconds(400)) == 3);
    UpstreamView small = makeView("a", 0, 0);
    small.slots = 2;
    BOOST_TEST(BatchPlan::availableSlots(small, 3, NOW) == 1);
}

// Guards against an item that misses its due time although reserved slots are unused.
BOOST_AUTO_TEST_CASE(UrgentWorkMayUseTheReserve)
{
    BOOST_TEST(BatchPlan::availableSlots(makeView("a", 3, 4), 0, NOW) == 1);
    BOOST_TEST(!BatchPlan::chooseForBatch({ makeView("a", 3, 4) }, 1, NOW, 5).has_value());
    BOOST_TEST(BatchPlan::chooseForBatch({ makeView("a", 3, 4) }, 0, NOW, 5).has_value());
}

// Load pattern: a trough frees many slots at once and all daemons see them. Guards against several daemons filling the
// same slots, which puts batch work ahead of online requests in the queue of the upstream.
BOOST_AUTO_TEST_CASE(DaemonsShareTheAvailableSlots)
{
    std::vector<UpstreamView> views;
    views.reserve(12);
    for (int index = 0; index < 12; ++index) {
        views.push_back(makeView("u" + std::to_string(index), 1, 0));
    }
    // In two ticks between two reports, all daemons together must not start more runs than there are available slots.
    int started = 0;
    constexpr int DAEMONS = 8;
    constexpr int REPETITIONS = 1000;
    for (int repetition = 0; repetition < REPETITIONS; ++repetition) {
        for (int tick = 0; tick < 2 * DAEMONS; ++tick) {
            started += BatchPlan::startsPerTick(views, 1, DAEMONS, 0.5, (repetition * 16 + tick) % 97 / 97.0, NOW);
        }
    }
    const double available = 12 * 6;
    BOOST_TEST(started <= REPETITIONS * available * 1.02);
    BOOST_TEST(started >= REPETITIONS * available * 0.98);
    // A single free slot must be taken by about one of many daemons.
    int taken = 0;
    for (int daemon = 0; daemon < 67; ++daemon) {
        taken += BatchPlan::startsPerTick({ makeView("a", 3, 3) }, 1, 67, 1, daemon / 67.0, NOW);
    }
    BOOST_TEST(taken >= 1);
    BOOST_TEST(taken <= 2);
}

// Guards against batch runs that pile up on one upstream, or go to an ejected or suspect one.
BOOST_AUTO_TEST_CASE(TheLeastLoadedHealthyUpstreamIsChosen)
{
    UpstreamView ejected = makeView("ejected", 0, 0);
    ejected.ejectedUntil = NOW + Milliseconds(10);
    UpstreamView suspect = makeView("suspect", 0, 0);
    suspect.isSuspect = true;
    const std::vector<UpstreamView> views { ejected, suspect, makeView("busy", 5, 1), makeView("empty", 1, 0) };
    for (std::uint64_t random = 1; random < 100; ++random) {
        const auto choice = BatchPlan::chooseForBatch(views, 0, NOW, random * 0x12345678987ULL);
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(views[*choice].name == "empty");
    }
}

// Guards against batch items that take the limit of an upstream from online requests, and urgent ones that never get any.
BOOST_AUTO_TEST_CASE(BatchTakesTheSurplusOfALimit)
{
    UpstreamView view = makeView("limited", 0, 0);
    view.usableAt = VIEW_TIME;
    view.spareAt = VIEW_TIME + Milliseconds(500);
    BOOST_TEST(BatchPlan::availableSlots(view, 1, VIEW_TIME) == 0);
    BOOST_TEST(BatchPlan::availableSlots(view, 0, VIEW_TIME) == 8);
    BOOST_TEST(BatchPlan::availableSlots(view, 1, VIEW_TIME + Milliseconds(500)) == 7);
}

// Load pattern: all upstreams of a group have named a limit and one of many daemons has the jobs. Guards against tokens of
// a daemon that it hardly uses, as if the other daemons were to start runs with them too.
BOOST_AUTO_TEST_CASE(TokensOfALimitAreNotSharedWithOtherDaemons)
{
    UpstreamView view = makeView("limited", 0, 0);
    view.usableAt = VIEW_TIME - Milliseconds(1);
    view.spareAt = VIEW_TIME - Milliseconds(1);
    BOOST_TEST(BatchPlan::startsPerTick({ view }, 1, 67, 0.25, 0, VIEW_TIME) == 1);
    BOOST_TEST(BatchPlan::startsPerTick({ view, view }, 1, 67, 0.25, 0, VIEW_TIME) == 2);
    view.online = 8;
    BOOST_TEST(BatchPlan::startsPerTick({ view }, 1, 67, 0.25, 0, VIEW_TIME) == 0);
}

// Guards against tokens that are borrowed for upstreams that cannot take a run, or while other upstreams have room.
BOOST_AUTO_TEST_CASE(OnlyLimitsThatKeepRunsFromStartingCount)
{
    UpstreamView view = makeView("limited", 0, 0);
    view.usableAt = VIEW_TIME + Milliseconds(500);
    view.spareAt = VIEW_TIME + Milliseconds(900);
    UpstreamView full = view;
    full.online = 8;
    const UpstreamView unlimited = makeView("unlimited", 0, 0);
    BOOST_TEST(BatchPlan::limitingUpstreams({ view, full }, 1, VIEW_TIME) == std::vector<std::string> { "limited" });
    BOOST_TEST(BatchPlan::limitingUpstreams({ view, unlimited }, 1, VIEW_TIME).empty());
    BOOST_TEST(BatchPlan::limitingUpstreams({ view, makeView("busy", 8, 0) }, 1, VIEW_TIME).size() == 1U);
}

// Guards against batch work that takes the requests that a cold upstream can handle from online requests, urgent work too, and
// that goes there while a warm upstream has a slot.
BOOST_AUTO_TEST_CASE(BatchWorkGetsWhatOnlineRequestsLeaveOfAColdUpstream)
{
    UpstreamView cold = makeView("cold", 0, 0);
    cold.isCold = true;
    cold.usableAt = NOW;
    cold.spareAt = NOW + Milliseconds(1);
    const UpstreamView busy = makeView("busy", 8, 0);
    for (const int reserve : { 0, 1 }) {
        BOOST_TEST(BatchPlan::availableSlots(cold, reserve, NOW) == 0);
        BOOST_TEST(!BatchPlan::chooseForBatch({ cold, busy }, reserve, NOW, 5).has_value());
    }
    cold.spareAt = NOW;
    BOOST_TEST((BatchPlan::chooseForBatch({ cold, busy }, 0, NOW, 5) == std::optional<std::size_t>(0)));
    BOOST_TEST((BatchPlan::chooseForBatch({ cold, makeView("warm", 6, 0) }, 0, NOW, 5) == std::optional<std::size_t>(1)));
    BOOST_TEST(BatchPlan::startsPerTick({ cold, busy }, 1, 400, 0.5, 0, NOW) == 1);
    BOOST_TEST(BatchPlan::startsPerTick({ cold, makeView("warm", 6, 0) }, 1, 400, 0.5, 0, NOW) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
