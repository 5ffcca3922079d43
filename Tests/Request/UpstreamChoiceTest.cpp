#include "Request/UpstreamChoice.h"

#include "Request/AdmissionControl.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

namespace poplardock {

namespace {

const TimePoint NOW = TimePoint() + std::chrono::hours(1);

auto makeLoad(const std::string &name, int own, double serviceMs) -> UpstreamLoad
{
    UpstreamLoad load;
    load.name = name;
    load.ownOnline = own;
    load.serviceMs = serviceMs;
    load.lastSampleAt = NOW;
    return load;
}

/// How often each candidate is chosen in 2000 draws.
auto countChoices(const std::vector<UpstreamLoad> &candidates, const std::set<std::string> &excluded) -> std::map<std::string, int>
{
    std::mt19937_64 random(7);
    std::map<std::string, int> counts;
    for (int draw = 0; draw < 2000; ++draw) {
        const auto index = chooseUpstream(candidates, excluded, random(), NOW);
        ++counts[index ? candidates[*index].name : ""];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamChoiceSuite)

// Guards against sending requests to draining, excluded or ejected upstreams.
BOOST_AUTO_TEST_CASE(UnusableCandidatesAreNotChosen)
{
    std::vector<UpstreamLoad> candidates { makeLoad("a", 0, 10), makeLoad("b", 0, 10), makeLoad("c", 0, 10), makeLoad("d", 0, 10) };
    candidates[0].isDraining = true;
    candidates[1].ejectedUntil = NOW + Milliseconds(1);
    auto counts = countChoices(candidates, { "c" });
    BOOST_TEST(counts["d"] == 2000);
    // An ejected upstream is used when no other is left; a draining one is not.
    counts = countChoices(candidates, { "c", "d" });
    BOOST_TEST(counts["b"] == 2000);
    counts = countChoices(candidates, { "b", "c", "d" });
    BOOST_TEST(counts[""] == 2000);
    BOOST_TEST(countChoices({}, {})[""] == 2000);
}

// Guards against a selection that ignores speed, load or load reports.
BOOST_AUTO_TEST_CASE(FasterAndLessLoadedIsPreferred)
{
    auto counts = countChoices({ makeLoad("slow", 0, 100), makeLoad("fast", 3, 10) }, {});
    BOOST_TEST(counts["fast"] == 2000);
    counts = countChoices({ makeLoad("busy", 8, 10), makeLoad("idle", 0, 10) }, {});
    BOOST_TEST(counts["idle"] == 2000);
    UpstreamLoad reported = makeLoad("reported", 0, 10);
    reported.report = { 20, 5 };
    reported.reportedAt = NOW;
    counts = countChoices({ reported, makeLoad("idle", 1, 10) }, {});
    BOOST_TEST(counts["idle"] == 2000);
    // A stale report no longer outweighs a request that is in flight now.
    reported.reportedAt = NOW - std::chrono::seconds(10);
    counts = countChoices({ reported, makeLoad("idle", 1, 10) }, {});
    BOOST_TEST(counts["reported"] == 2000);
}

// Guards against an upstream that was slow once and never receives requests again.
BOOST_AUTO_TEST_CASE(AStaleServiceTimeIsIgnored)
{
    UpstreamLoad recovered = makeLoad("recovered", 0, 1000);
    recovered.lastSampleAt = NOW - std::chrono::seconds(11);
    const auto counts = countChoices({ recovered, makeLoad("busy", 1, 10) }, {});
    BOOST_TEST(counts.at("recovered") == 2000);
}

// Guards against all daemons sending to the one upstream that looks best in stale reports.
BOOST_AUTO_TEST_CASE(EqualCandidatesShareTheWork)
{
    std::vector<UpstreamLoad> candidates;
    for (const char *name : { "a", "b", "c", "d" }) {
        candidates.push_back(makeLoad(name, 0, 10));
    }
    for (const auto &[name, count] : countChoices(candidates, {})) {
        BOOST_TEST(count > 400, name << " " << count);
    }
}

// Guards against admitting requests that would wait past their target, and against refusing requests for an idle
// upstream, whose average would then never be corrected.
BOOST_AUTO_TEST_CASE(AdmissionFollowsThePredictedWait)
{
    const ServiceClass serviceClass { "online", WorkKind::Online, 990, 43 };
    UpstreamLoad load = makeLoad("a", 32, 400);
    load.firstTokenMs = 50;
    load.slots = 16;
    // 16 requests wait for 16 slots of 400 ms each: 450 ms to the first token.
    BOOST_TEST(predictFirstTokenMs(load, NOW) == 450, boost::test_tools::tolerance(0.001));
    BOOST_TEST(!refuseIfOverloaded({ load }, serviceClass, NOW).has_value());
    load.ownOnline = 96;
    const auto refused = refuseIfOverloaded({ load }, serviceClass, NOW);
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->code == ResultCode::Overloaded));
    BOOST_TEST(refused->retryAfterSeconds == 2);
    // Online requests preempt batch work of this daemon, so it is no reason to refuse.
    load.ownBatch = 80;
    load.ownOnline = 16;
    BOOST_TEST(!refuseIfOverloaded({ load }, serviceClass, NOW).has_value());
    UpstreamLoad idle = makeLoad("b", 0, 400);
    idle.firstTokenMs = 5000;
    BOOST_TEST(!refuseIfOverloaded({ idle }, serviceClass, NOW).has_value());
    BOOST_TEST(!refuseIfOverloaded({}, serviceClass, NOW).has_value());
}

BOOST_AUTO_TEST_CASE(MalformedReportsAreIgnored)
{
    BOOST_TEST((parseLoadReport(R"({"running":3,"waiting":4})") == LoadReport { 3, 4 }));
    for (const char *text : { "", "[]", "{}", R"({"running":1})", R"({"running":-1,"waiting":0})", R"({"running":"1","waiting":0})" }) {
        BOOST_TEST(!parseLoadReport(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
