#include "Request/OnlineChoice.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);

auto makeView(const std::string &name, int online, int batch) -> UpstreamView
{
    UpstreamView view;
    view.name = name;
    view.slots = 8;
    view.online = online;
    view.batch = batch;
    view.serviceMs = 680;
    view.firstMs = 15;
    view.isNear = true;
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
    const UpstreamView isFree = makeView("free", 7, 0);
    const UpstreamView holdsBatch = makeView("batch", 4, 4);
    const UpstreamView isFull = makeView("full", 8, 0);
    BOOST_TEST(countChoices({ isFull, holdsBatch, isFree }, {})["free"] == 2000);
    BOOST_TEST(countChoices({ isFull, holdsBatch }, {})["batch"] == 2000);
    const auto choice = chooseForOnline({ isFull, holdsBatch }, {}, NOW, 1);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->needsYield);
    BOOST_TEST(!chooseForOnline({ isFull }, {}, NOW, 1)->needsYield);
}

// Guards against a queue estimate that ignores how many wait before a request or how fast the upstream is.
BOOST_AUTO_TEST_CASE(TheWaitGrowsWithTheQueueAndTheServiceTime)
{
    BOOST_TEST(expectedWaitMs(makeView("a", 7, 0)) == 0);
    BOOST_TEST(expectedWaitMs(makeView("a", 8, 0)) < expectedWaitMs(makeView("a", 12, 0)));
    UpstreamView fast = makeView("fast", 12, 0);
    fast.serviceMs = 400;
    BOOST_TEST(expectedWaitMs(fast) < expectedWaitMs(makeView("a", 12, 0)));
}

// Guards against work for upstreams that failed lately or whose entry is gone while a sound one is left.
BOOST_AUTO_TEST_CASE(SoundUpstreamsComeFirst)
{
    UpstreamView ejected = makeView("ejected", 0, 0);
    ejected.ejectedUntil = NOW + Milliseconds(1);
    UpstreamView doubtful = makeView("doubtful", 0, 0);
    doubtful.isDoubtful = true;
    const UpstreamView busy = makeView("busy", 9, 0);
    BOOST_TEST(countChoices({ ejected, doubtful, busy }, {})["busy"] == 2000);
    BOOST_TEST(countChoices({ ejected, doubtful, busy }, { "busy" })["ejected"] == 2000);
    BOOST_TEST(countChoices({ ejected, doubtful }, { "ejected" })["doubtful"] == 2000);
    BOOST_TEST(countChoices({ ejected }, { "ejected" })[""] == 2000);
}

// Load pattern: several daemons place requests at the same moment with the same belief. Guards against all of them
// choosing one upstream.
BOOST_AUTO_TEST_CASE(EqualUpstreamsShareTheRequests)
{
    const auto counts = countChoices({ makeView("a", 2, 0), makeView("b", 2, 0), makeView("c", 2, 0), makeView("d", 2, 0) }, {});
    for (const auto &[name, count] : counts) {
        BOOST_TEST(count > 300, name << " was chosen " << count << " times of 2000");
    }
}

// Guards against bytes between data centres for nothing: an upstream nearby is used while both are equally free.
BOOST_AUTO_TEST_CASE(NearUpstreamsAreUsedFirst)
{
    UpstreamView remote = makeView("remote", 1, 0);
    remote.isNear = false;
    BOOST_TEST(countChoices({ remote, makeView("near", 1, 0) }, {})["near"] == 2000);
    BOOST_TEST(countChoices({ remote, makeView("near", 8, 0) }, {})["remote"] == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
