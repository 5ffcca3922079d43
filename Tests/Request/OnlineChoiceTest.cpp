#include "Request/OnlineChoice.h"

#include "Support/UpstreamViews.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

namespace poplardock {

namespace {

const BootTime NOW = VIEW_TIME;

auto nearView(const std::string &name, int online, int batch) -> UpstreamView
{
    UpstreamView view = makeView(name, online, batch);
    view.isLocal = true;
    return view;
}

/// How often each candidate is chosen in 2000 draws.
auto countChoices(const std::vector<UpstreamView> &views, const std::set<std::string> &excluded) -> std::map<std::string, int>
{
    std::mt19937_64 random(11);
    std::map<std::string, int> counts;
    for (int draw = 0; draw < 2000; ++draw) {
        const auto choice = chooseForOnline(views, excluded, NOW, random());
        ++counts[choice ? views[choice->index].name : ""];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OnlineChoiceSuite)

// Load pattern: a wave has filled some upstreams with online requests and others with batch work. Guards against a
// request that queues behind others while a slot is free, or can be freed.
BOOST_AUTO_TEST_CASE(AFreeSlotBeatsAYieldAndAYieldBeatsAQueue)
{
    const UpstreamView isFree = nearView("free", 7, 0);
    const UpstreamView holdsBatch = nearView("batch", 4, 4);
    const UpstreamView isFull = nearView("full", 8, 0);
    BOOST_TEST(countChoices({ isFull, holdsBatch, isFree }, {})["free"] == 2000);
    BOOST_TEST(countChoices({ isFull, holdsBatch }, {})["batch"] == 2000);
    const auto choice = chooseForOnline({ isFull, holdsBatch }, {}, NOW, 1);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->needsPreemption);
    BOOST_TEST(!chooseForOnline({ isFull }, {}, NOW, 1)->needsPreemption);
}

// Guards against a queue estimate that ignores how many wait before a request or how fast the upstream is.
BOOST_AUTO_TEST_CASE(TheWaitGrowsWithTheQueueAndTheServiceTime)
{
    BOOST_TEST(expectedWaitMs(nearView("a", 7, 0)) == 0);
    BOOST_TEST(expectedWaitMs(nearView("a", 8, 0)) < expectedWaitMs(nearView("a", 12, 0)));
    UpstreamView fast = nearView("fast", 12, 0);
    fast.serviceMs = 400;
    BOOST_TEST(expectedWaitMs(fast) < expectedWaitMs(nearView("a", 12, 0)));
}

// Guards against work for upstreams that failed lately or whose entry is gone while a sound one is left.
BOOST_AUTO_TEST_CASE(SoundUpstreamsComeFirst)
{
    UpstreamView ejected = nearView("ejected", 0, 0);
    ejected.ejectedUntil = NOW + Milliseconds(1);
    UpstreamView doubtful = nearView("doubtful", 0, 0);
    doubtful.isSuspect = true;
    const UpstreamView busy = nearView("busy", 9, 0);
    BOOST_TEST(countChoices({ ejected, doubtful, busy }, {})["busy"] == 2000);
    BOOST_TEST(countChoices({ ejected, doubtful, busy }, { "busy" })["ejected"] == 2000);
    BOOST_TEST(countChoices({ ejected, doubtful }, { "ejected" })["doubtful"] == 2000);
    BOOST_TEST(countChoices({ ejected }, { "ejected" })[""] == 2000);
}

// Load pattern: several daemons place requests at the same moment with the same belief. Guards against all of them
// choosing one upstream.
BOOST_AUTO_TEST_CASE(EqualUpstreamsShareTheRequests)
{
    const auto counts = countChoices({ nearView("a", 2, 0), nearView("b", 2, 0), nearView("c", 2, 0), nearView("d", 2, 0) }, {});
    for (const auto &[name, count] : counts) {
        BOOST_TEST(count > 300, name << " was chosen " << count << " times of 2000");
    }
}

// Guards against bytes between data centres for nothing: an upstream nearby is used while both are equally free.
BOOST_AUTO_TEST_CASE(NearUpstreamsAreUsedFirst)
{
    UpstreamView remote = nearView("remote", 1, 0);
    remote.isLocal = false;
    BOOST_TEST(countChoices({ remote, nearView("near", 1, 0) }, {})["near"] == 2000);
    BOOST_TEST(countChoices({ remote, nearView("near", 8, 0) }, {})["remote"] == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
