#include "Process/Load/UpstreamDirectory.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);

auto makeUpstream(const std::string &name) -> Upstream
{
    Upstream upstream;
    upstream.name = name;
    upstream.address = "127.0.0.1:9000";
    upstream.group = "models";
    upstream.dataCentre = "east-a";
    upstream.slots = 8;
    return upstream;
}

auto makeDirectory() -> UpstreamDirectory
{
    static UpstreamLimits limits("d1");
    static const LeavingUpstreams NONE_LEAVING;
    UpstreamDirectory directory("east-a", limits, NONE_LEAVING);
    directory.put(makeUpstream("a"));
    directory.put(makeUpstream("b"));
    return directory;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamDirectorySuite)

// Guards against new work for an upstream that has announced that it is draining.
BOOST_AUTO_TEST_CASE(ADrainingUpstreamIsNoCandidate)
{
    UpstreamDirectory directory = makeDirectory();
    Upstream draining = makeUpstream("a");
    draining.isDraining = true;
    directory.put(draining);
    BOOST_TEST(directory.candidates("models", NOW).size() == 1);
    directory.markSuspect("a", NOW + Milliseconds(1000));
    BOOST_TEST(directory.find("a") == nullptr);
}

// Guards against refusing all requests when all entries expire during an outage of the store, and against using upstreams
// without an entry for ever.
BOOST_AUTO_TEST_CASE(ASuspectUpstreamExpires)
{
    UpstreamDirectory directory = makeDirectory();
    directory.markSuspect("a", NOW + Milliseconds(1400));
    const auto views = directory.candidates("models", NOW);
    BOOST_REQUIRE(views.size() == 2);
    BOOST_TEST(views[0].isSuspect);
    BOOST_TEST(!views[1].isSuspect);
    directory.removeExpired(NOW + Milliseconds(1399));
    BOOST_TEST(directory.size() == 2);
    directory.removeExpired(NOW + Milliseconds(1400));
    BOOST_TEST(directory.size() == 1);
    directory.markSuspect("b", NOW + Milliseconds(1400));
    directory.put(makeUpstream("b"));
    directory.removeExpired(NOW + std::chrono::hours(1));
    BOOST_TEST(directory.size() == 1);
}

// Guards against views that leave out the work of other daemons, and against requests that are counted for ever.
BOOST_AUTO_TEST_CASE(WorkOfAllDaemonsIsCounted)
{
    UpstreamDirectory directory = makeDirectory();
    directory.recordStart("a", Work::Online);
    directory.recordStart("a", Work::Batch);
    directory.setPeerWork({ { "a", { 3, 2 } } });
    BOOST_TEST(directory.candidates("models", NOW)[0].online == 4);
    BOOST_TEST(directory.candidates("models", NOW)[0].batch == 3);
    BOOST_TEST(directory.candidates("models", NOW)[0].ownBatch == 1);
    directory.recordEnd("a", Work::Online);
    directory.recordEnd("a", Work::Batch);
    BOOST_TEST(directory.ownWork().empty());
}

// Guards against sending to a crashed upstream again and again, and against ejecting a healthy one for long.
BOOST_AUTO_TEST_CASE(FailuresEjectForAGrowingTime)
{
    UpstreamDirectory directory = makeDirectory();
    directory.recordFailure("a", NOW);
    const BootTime first = directory.candidates("models", NOW)[0].ejectedUntil;
    BOOST_TEST((first > NOW));
    directory.recordFailure("a", NOW);
    BOOST_TEST((directory.candidates("models", NOW)[0].ejectedUntil > first));
    for (int failure = 0; failure < 20; ++failure) {
        directory.recordFailure("a", NOW);
    }
    BOOST_TEST((directory.candidates("models", NOW)[0].ejectedUntil < NOW + std::chrono::seconds(5)));
    directory.recordSuccess("a");
    BOOST_TEST((directory.candidates("models", NOW)[0].ejectedUntil <= NOW));
}

// Guards against an upstream without samples that appears faster or slower than the others of its group.
BOOST_AUTO_TEST_CASE(AnUpstreamWithoutSamplesGetsTheMeanOfItsGroup)
{
    UpstreamDirectory directory = makeDirectory();
    directory.recordServiceTime("a", 900);
    directory.recordFirstEvent("a", 40);
    const auto views = directory.candidates("models", NOW);
    BOOST_TEST(views[1].serviceMs == 900);
    BOOST_TEST(views[1].firstEventMs == 40);
}

// Guards against a slow phase that is remembered after it has passed, and against averages that count it a second time.
BOOST_AUTO_TEST_CASE(AStatedSlowdownFadesAndIsNotInTheAverages)
{
    UpstreamDirectory directory = makeDirectory();
    BOOST_TEST(directory.candidates("models", NOW)[0].slowdown == 1);
    directory.recordSlowdown("a", 2.5, NOW);
    directory.recordFirstEvent("a", 40, 2.5);
    const auto slowdownAfter = [&directory](int ms) {
        return directory.candidates("models", NOW + Milliseconds(ms))[0].slowdown;
    };
    BOOST_TEST(slowdownAfter(0) == 2.5);
    BOOST_TEST(slowdownAfter(300) < 1.7);
    BOOST_TEST(slowdownAfter(300) > 1.5);
    BOOST_TEST(slowdownAfter(3000) < 1.1);
    BOOST_TEST(directory.candidates("models", NOW)[0].firstEventMs == 16);
    // 600 ms of work at 2.5, and the rest as usual.
    directory.recordServiceTime("a", 1000, 2.5);
    const double serviceMs = directory.candidates("models", NOW)[0].serviceMs;
    BOOST_TEST(serviceMs > 500);
    BOOST_TEST(serviceMs < 750);
    BOOST_TEST(directory.candidates("models", NOW)[1].slowdown == 1);
}

// Guards against an upstream that is always slow and counts as usual whenever it has not been heard for a while.
BOOST_AUTO_TEST_CASE(AnOldStatementGivesWayToTheMean)
{
    UpstreamDirectory directory = makeDirectory();
    for (int second = 0; second < 100; ++second) {
        directory.recordSlowdown("a", second % 2 == 0 ? 3 : 1, NOW + std::chrono::seconds(second));
    }
    const UpstreamView view = directory.candidates("models", NOW + std::chrono::seconds(110))[0];
    BOOST_TEST(view.slowdown > 1.7);
    BOOST_TEST(view.slowdown < 2.3);
}

// Guards against a request that is sent although its upstream has left, or its address is used by another one, since it was chosen.
BOOST_AUTO_TEST_CASE(AChoiceLapses)
{
    static UpstreamLimits limits("d1");
    LeavingUpstreams leaving;
    UpstreamDirectory directory("east-a", limits, leaving);
    const Upstream upstream = makeUpstream("a");
    directory.put(upstream);
    BOOST_TEST(directory.mayBeUsed("a", upstream.address, NOW));
    BOOST_TEST(!directory.mayBeUsed("a", "127.0.0.1:1", NOW));
    BOOST_TEST(!directory.mayBeUsed("b", upstream.address, NOW));
    leaving.recordAnswer(upstream, NOW);
    BOOST_TEST(!directory.mayBeUsed("a", upstream.address, NOW));
    BOOST_TEST(directory.candidates("models", NOW).empty());
    BOOST_TEST(directory.isWholeGroupLeaving("models", NOW));
    directory.put(makeUpstream("b"));
    BOOST_TEST(!directory.isWholeGroupLeaving("models", NOW));
    directory.markSuspect("b", NOW + Milliseconds(100));
    BOOST_TEST(directory.mayBeUsed("b", upstream.address, NOW));
    BOOST_TEST(!directory.mayBeUsed("b", upstream.address, NOW + Milliseconds(100)));
    BOOST_TEST(directory.candidates("models", NOW + Milliseconds(100)).empty());
}

// Guards against new work in an evacuated data centre, against a request that was chosen before and is sent after the evacuation has
// begun, and against an evacuation that other data centres feel or that outlasts its end.
BOOST_AUTO_TEST_CASE(AnEvacuatedDataCentreHasNoCandidates)
{
    UpstreamDirectory directory = makeDirectory();
    Upstream remote = makeUpstream("c");
    remote.dataCentre = "east-b";
    directory.put(remote);
    directory.setEvacuated({ "east-a", "nowhere" });
    BOOST_TEST(!directory.mayBeUsed("a", remote.address, NOW));
    const auto views = directory.candidates("models", NOW);
    BOOST_REQUIRE(views.size() == 1U);
    BOOST_TEST(views[0].name == "c");
    BOOST_TEST(!directory.isWholeGroupEvacuated("models", NOW));
    directory.setEvacuated({ "east-a", "east-b" });
    BOOST_TEST(directory.candidates("models", NOW).empty());
    BOOST_TEST(directory.isWholeGroupEvacuated("models", NOW));
    BOOST_TEST(!directory.isWholeGroupEvacuated("others", NOW));
    BOOST_TEST(directory.knowsDataCentre("east-b"));
    BOOST_TEST(!directory.knowsDataCentre("nowhere"));
    directory.setEvacuated({ "east-b" });
    BOOST_TEST(directory.candidates("models", NOW).size() == 2U);
    BOOST_TEST(directory.mayBeUsed("a", remote.address, NOW));
}

// Guards against a spoilt figure that makes a daemon believe in any number of slots.
BOOST_AUTO_TEST_CASE(AnAnswerNamesNoMoreSlotsThanAreRegistered)
{
    UpstreamDirectory directory = makeDirectory();
    directory.recordSlots("a", 900000);
    BOOST_TEST(directory.find("a")->slots == 8);
    directory.recordSlots("a", 5);
    BOOST_TEST(directory.find("a")->slots == 5);
    directory.recordSlots("a", 8);
    BOOST_TEST(directory.find("a")->slots == 8);
    Upstream unstated = makeUpstream("b");
    unstated.slots = 0;
    directory.put(unstated);
    directory.recordSlots("b", 12);
    BOOST_TEST(directory.find("b")->slots == 12);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
