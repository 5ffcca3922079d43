#include "Request/OnlineChoice.h"

#include "Request/Slowdown.h"
#include "Support/UpstreamViews.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <numeric>
#include <random>

namespace poplardock {

namespace {

const BootTime NOW = VIEW_TIME;

auto localView(const std::string &name, int online, int batch) -> UpstreamView
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
// request that queues behind others while a slot is free or can be freed by preemption.
BOOST_AUTO_TEST_CASE(AFreeSlotBeatsPreemptionAndPreemptionBeatsAQueue)
{
    const UpstreamView withFreeSlot = localView("free", 7, 0);
    const UpstreamView withBatch = localView("batch", 4, 4);
    const UpstreamView full = localView("full", 8, 0);
    BOOST_TEST(countChoices({ full, withBatch, withFreeSlot }, {})["free"] == 2000);
    BOOST_TEST(countChoices({ full, withBatch }, {})["batch"] == 2000);
    const auto choice = chooseForOnline({ full, withBatch }, {}, NOW, 1);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->needsPreemption);
    BOOST_TEST(!chooseForOnline({ full }, {}, NOW, 1)->needsPreemption);
}

// Guards against an estimated wait that ignores the length of the queue or the speed of the upstream.
BOOST_AUTO_TEST_CASE(TheWaitGrowsWithTheQueueAndTheServiceTime)
{
    BOOST_TEST(expectedWaitMs(localView("a", 7, 0)) == 0);
    BOOST_TEST(expectedWaitMs(localView("a", 8, 0)) < expectedWaitMs(localView("a", 12, 0)));
    UpstreamView fast = localView("fast", 12, 0);
    fast.serviceMs = 400;
    BOOST_TEST(expectedWaitMs(fast) < expectedWaitMs(localView("a", 12, 0)));
}

// Guards against selecting an ejected or suspect upstream while a healthy one is left.
BOOST_AUTO_TEST_CASE(HealthyUpstreamsComeFirst)
{
    UpstreamView ejected = localView("ejected", 0, 0);
    ejected.ejectedUntil = NOW + Milliseconds(1);
    UpstreamView suspect = localView("suspect", 0, 0);
    suspect.isSuspect = true;
    const UpstreamView busy = localView("busy", 9, 0);
    BOOST_TEST(countChoices({ ejected, suspect, busy }, {})["busy"] == 2000);
    BOOST_TEST(countChoices({ ejected, suspect, busy }, { "busy" })["ejected"] == 2000);
    BOOST_TEST(countChoices({ ejected, suspect }, { "ejected" })["suspect"] == 2000);
    BOOST_TEST(countChoices({ ejected }, { "ejected" })[""] == 2000);
}

// Load pattern: several daemons place requests at the same moment with the same view. Guards against all of them
// selecting the same upstream.
BOOST_AUTO_TEST_CASE(EqualUpstreamsShareTheRequests)
{
    const auto counts = countChoices({ localView("a", 2, 0), localView("b", 2, 0), localView("c", 2, 0), localView("d", 2, 0) }, {});
    for (const auto &[name, count] : counts) {
        BOOST_TEST(count > 300, name << " was chosen " << count << " times of 2000");
    }
}

// Guards against needless traffic between data centres: a local upstream is preferred while it has a free slot.
BOOST_AUTO_TEST_CASE(LocalUpstreamsAreUsedFirst)
{
    UpstreamView remote = localView("remote", 1, 0);
    remote.isLocal = false;
    BOOST_TEST(countChoices({ remote, localView("local", 1, 0) }, {})["local"] == 2000);
    BOOST_TEST(countChoices({ remote, localView("local", 8, 0) }, {})["remote"] == 2000);
}

// Load pattern: 15% of the VMs are 2.5 times slower for 600 ms at a time. Guards against queueing at an upstream that is slow right
// now, and against avoiding one that was slow some time ago.
BOOST_AUTO_TEST_CASE(UpstreamsThatAreSlowNowAreAvoided)
{
    std::vector<UpstreamView> views;
    for (int index = 0; index < 20; ++index) {
        views.push_back(localView((index < 3 ? "slow" : "usual") + std::to_string(index), 9, 0));
        views.back().slowdown = index < 3 ? 2.5 : 1;
    }
    const auto slowChoices = [&views] {
        const auto counts = countChoices(views, {});
        return std::accumulate(counts.begin(), counts.end(), 0, [](int sum, const auto &each) {
            return sum + (each.first.starts_with("slow") ? each.second : 0);
        });
    };
    BOOST_TEST(slowChoices() == 0);
    // A request need not wait for a fast upstream when a slow one has a free slot.
    views[0].online = 0;
    BOOST_TEST(countChoices(views, {})["slow0"] == 2000);
    views[0].online = 9;
    // An old statement has faded.
    for (UpstreamView &view : views) {
        view.slowdown = Slowdown::expectedAfter(view.slowdown, view.meanSlowdown, 3000);
    }
    BOOST_TEST(slowChoices() > 200);
}

// Guards against spending the burst of a limited upstream in calm, so that nothing is left of it for a wave, and against
// leaving its limit unused. Load pattern: calm between waves.
BOOST_AUTO_TEST_CASE(ALimitedUpstreamIsUsedFromItsSurplus)
{
    std::vector<UpstreamView> views = { makeView("free", 2, 0), makeView("limited", 0, 0) };
    views[1].usableAt = VIEW_TIME - Milliseconds(1);
    views[1].spareAt = VIEW_TIME + Milliseconds(500);
    BOOST_TEST(chooseForOnline(views, {}, VIEW_TIME, 0)->index == 0);
    views[1].spareAt = VIEW_TIME;
    BOOST_TEST(chooseForOnline(views, {}, VIEW_TIME, 0)->index == 1);
    views[1].usableAt = VIEW_TIME + Milliseconds(1);
    views[0].online = 20;
    BOOST_TEST(chooseForOnline(views, {}, VIEW_TIME, 0)->index == 0);
}

// Load pattern: an upstream has just started and is empty, the others have some requests or are full. Guards against the traffic
// that an empty upstream attracts while it is cold, and against one that is left alone although the others are full.
BOOST_AUTO_TEST_CASE(AColdUpstreamGetsWarmUpRequestsWhileOthersHaveRoom)
{
    UpstreamView cold = localView("cold", 0, 0);
    cold.isCold = true;
    cold.usableAt = NOW;
    cold.warmUpAt = NOW + Milliseconds(1);
    const UpstreamView warm = localView("warm", 7, 0);
    const UpstreamView withBatch = localView("batch", 4, 4);
    const UpstreamView full = localView("full", 8, 0);
    UpstreamView ejected = localView("ejected", 0, 0);
    ejected.ejectedUntil = NOW + Milliseconds(100);
    BOOST_TEST(countChoices({ cold, warm }, {})["warm"] == 2000);
    BOOST_TEST(countChoices({ cold, withBatch }, {})["batch"] == 2000);
    BOOST_TEST(countChoices({ cold, full }, {})["cold"] == 2000);
    BOOST_TEST(countChoices({ cold, ejected }, {})["cold"] == 2000);
    BOOST_TEST(countChoices({ cold, warm }, { "warm" })["cold"] == 2000);
    cold.warmUpAt = NOW;
    BOOST_TEST(countChoices({ cold, warm }, {})["cold"] > 0);
    cold.usableAt = NOW + Milliseconds(1);
    BOOST_TEST(countChoices({ cold, full }, {})["full"] == 2000);
    BOOST_TEST(!chooseForOnline({ cold }, {}, NOW, 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
