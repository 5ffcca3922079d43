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
    UpstreamDirectory directory("east-a");
    directory.put(makeUpstream("a"));
    directory.put(makeUpstream("b"));
    return directory;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamDirectorySuite)

// Guards against new work for an upstream that announced its leave.
BOOST_AUTO_TEST_CASE(ALeavingUpstreamIsNoCandidate)
{
    UpstreamDirectory directory = makeDirectory();
    Upstream leaving = makeUpstream("a");
    leaving.leaving = true;
    directory.put(leaving);
    BOOST_TEST(directory.candidates("models").size() == 1);
    directory.miss("a", NOW + Milliseconds(1000));
    BOOST_TEST(directory.find("a") == nullptr);
}

// Guards against refusing everything when all entries lapse while the store is away, and against using them for good.
BOOST_AUTO_TEST_CASE(AMissedUpstreamIsDoubtfulForATime)
{
    UpstreamDirectory directory = makeDirectory();
    directory.miss("a", NOW + Milliseconds(1400));
    const auto views = directory.candidates("models");
    BOOST_REQUIRE(views.size() == 2);
    BOOST_TEST(views[0].isSuspect);
    BOOST_TEST(!views[1].isSuspect);
    directory.dropLapsed(NOW + Milliseconds(1399));
    BOOST_TEST(directory.size() == 2);
    directory.dropLapsed(NOW + Milliseconds(1400));
    BOOST_TEST(directory.size() == 1);
    directory.miss("b", NOW + Milliseconds(1400));
    directory.put(makeUpstream("b"));
    directory.dropLapsed(NOW + std::chrono::hours(1));
    BOOST_TEST(directory.size() == 1);
}

// Guards against a view that misses the work of other daemons, or counts a request for good.
BOOST_AUTO_TEST_CASE(WorkOfAllDaemonsIsCounted)
{
    UpstreamDirectory directory = makeDirectory();
    directory.begin("a", Work::Online);
    directory.begin("a", Work::Batch);
    directory.setPeerWork({ { "a", { 3, 2 } } });
    BOOST_TEST(directory.candidates("models")[0].online == 4);
    BOOST_TEST(directory.candidates("models")[0].batch == 3);
    BOOST_TEST(directory.candidates("models")[0].ownBatch == 1);
    directory.end("a", Work::Online);
    directory.end("a", Work::Batch);
    BOOST_TEST(directory.ownWork().empty());
}

// Guards against sending to a dead upstream again and again, and against shutting out a sound one for long.
BOOST_AUTO_TEST_CASE(FailuresEjectForAGrowingTime)
{
    UpstreamDirectory directory = makeDirectory();
    directory.recordFailure("a", NOW);
    const BootTime first = directory.candidates("models")[0].ejectedUntil;
    BOOST_TEST((first > NOW));
    directory.recordFailure("a", NOW);
    BOOST_TEST((directory.candidates("models")[0].ejectedUntil > first));
    for (int failure = 0; failure < 20; ++failure) {
        directory.recordFailure("a", NOW);
    }
    BOOST_TEST((directory.candidates("models")[0].ejectedUntil < NOW + std::chrono::seconds(5)));
    directory.recordSuccess("a");
    BOOST_TEST((directory.candidates("models")[0].ejectedUntil <= NOW));
}

// Guards against an upstream without samples that looks faster or slower than the others of its group.
BOOST_AUTO_TEST_CASE(AnUnknownSpeedIsThatOfTheGroup)
{
    UpstreamDirectory directory = makeDirectory();
    directory.recordService("a", 900);
    directory.recordFirst("a", 40);
    const auto views = directory.candidates("models");
    BOOST_TEST(views[1].serviceMs == 900);
    BOOST_TEST(views[1].firstEventMs == 40);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
