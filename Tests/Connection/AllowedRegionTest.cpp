#include "Support/PlatformFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds RUN_TIME { 8000 };
/// "south" has no region in the settings.
const std::vector<std::string> DATA_CENTRES { "east-a", "west-a", "south" };
constexpr std::size_t EAST = 0;
constexpr std::size_t WEST = 1;
constexpr std::size_t SOUTH = 2;

/// A daemon and an engine in each of three data centres. Requests to /plain/ and jobs may run in the east only, those of team
/// "dyers" in the west only.
class RestrictedFleet
{
public:
    explicit RestrictedFleet(std::size_t daemonsEach = 1)
        : fleet(0, 0)
    {
        fleet.store.put("config",
                        "main",
                        absl::StrReplaceAll(fleet.store.specOf("config", "main"),
                                            { { R"("name":"plain",)", R"("name":"plain","allowedRegions":["east"],)" },
                                              { R"("name":"batch",)", R"("name":"batch","allowedRegions":["east"],)" },
                                              { R"("name":"dyers",)", R"("name":"dyers","allowedRegions":["west"],)" },
                                              { R"("ratePerS":1,"burst":1)", R"("ratePerS":1000,"burst":1000)" } }));
        for (const std::string &dataCentre : DATA_CENTRES) {
            fleet.engines.push_back(std::make_unique<FakeEngine>(fleet.loop, "engine-" + dataCentre));
            const std::string entry = FakeEngine::entryAt(fleet.engines.back()->address(), "ready");
            fleet.store.put("servers", fleet.engines.back()->name(), absl::StrReplaceAll(entry, { { "east-a", dataCentre } }));
        }
        for (const std::string &dataCentre : DATA_CENTRES) {
            for (std::size_t index = 0; index < daemonsEach; ++index) {
                fleet.adjustSettings = [dataCentre](FrontSettings &settings) {
                    settings.dataCentre = dataCentre;
                    settings.regions = { { "east-a", "east" }, { "west-a", "west" } };
                };
                fleet.startDaemon(absl::StrCat(dataCentre, "-", index));
            }
        }
        fleet.awaitReady();
    }

    auto send(std::size_t daemon, const std::string &path, const std::string &key) -> HttpResult
    {
        const std::string id = absl::StrCat("r", ++count_);
        const bool isPlain = path == "/plain/x";
        const auto result
            = fleet.call(daemon, isPlain ? PlatformFleet::request(path, id, key) : PlatformFleet::streamRequest(path, id, key));
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    auto arrivals(std::size_t dataCentre) -> std::size_t
    {
        return fleet.engines[dataCentre]->arrivals().size();
    }

    PlatformFleet fleet;

private:
    int count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AllowedRegionSuite)

// Guards against a request in a region that its route or its team does not allow, from a daemon of any data centre.
BOOST_AUTO_TEST_CASE(RoutesAndTeamsStayInTheirRegions)
{
    RestrictedFleet restricted;
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        for (int index = 0; index < 10; ++index) {
            BOOST_TEST(restricted.send(daemon, "/plain/x", "key1").status == 200);
        }
    }
    BOOST_TEST(restricted.arrivals(EAST) == 30U);
    BOOST_TEST(restricted.arrivals(WEST) + restricted.arrivals(SOUTH) == 0U);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        for (int index = 0; index < 10; ++index) {
            BOOST_TEST(restricted.send(daemon, "/resumed/x", "key2").status == 200);
        }
    }
    BOOST_TEST(restricted.arrivals(EAST) == 30U);
    BOOST_TEST(restricted.arrivals(WEST) == 30U);
    BOOST_TEST(restricted.arrivals(SOUTH) == 0U);
}

// Guards against an intersection that allows what one of both forbids, and against a refusal that is late or without reason.
BOOST_AUTO_TEST_CASE(WithoutAnAllowedUpstreamItIsRefusedAtOnce)
{
    RestrictedFleet restricted;
    const BootTime sentAt = BootClock::now();
    const HttpResult result = restricted.send(EAST, "/plain/x", "key2");
    BOOST_TEST(result.status == 503);
    BOOST_TEST(!result.headers.valueOf("Retry-After").empty());
    BOOST_TEST(absl::StrContains(result.body, "allowed regions"), result.body);
    BOOST_TEST((BootClock::now() - sentAt < Milliseconds(100)));
    const auto job = restricted.fleet.call(EAST, PlatformFleet::submission("job", 2, "key2"));
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->status == 503);
    BOOST_TEST(restricted.fleet.store.specOf("jobs", "job").empty());
    BOOST_TEST(restricted.arrivals(EAST) + restricted.arrivals(WEST) + restricted.arrivals(SOUTH) == 0U);
}

// Guards against a retry and a resumption in another region after the only allowed upstream has failed.
BOOST_AUTO_TEST_CASE(RetriesAndResumptionsStayToo)
{
    RestrictedFleet restricted;
    restricted.fleet.engines[EAST]->behaviour().losesAnswers = true;
    BOOST_TEST(restricted.send(WEST, "/plain/x", "key1").status >= 500);
    restricted.fleet.engines[WEST]->behaviour().breakAfterEvents = 2;
    const auto broken = restricted.fleet.call(EAST, PlatformFleet::streamRequest("/resumed/x", "broken", "key2"));
    BOOST_TEST((!broken.has_value() || broken->body != FakeEngine::streamOf("broken", 5)));
    BOOST_TEST(restricted.fleet.engines[EAST]->runsOf("broken") == 0);
    BOOST_TEST(restricted.arrivals(SOUTH) == 0U);
}

// Guards against items in another region, also of a job that was submitted there, and against a daemon of another region that takes
// such a job over.
BOOST_AUTO_TEST_CASE(JobsStayWithDaemonsOfTheirRegion)
{
    constexpr std::size_t EACH = 2;
    RestrictedFleet restricted(EACH);
    // Daemons take others for alive for some seconds after their start.
    restricted.fleet.runFor(Milliseconds(2500));
    for (const auto &engine : restricted.fleet.engines) {
        engine->behaviour().events = 40;
        engine->behaviour().eventPause = Milliseconds(50);
    }
    std::vector<std::string> jobs;
    for (int index = 0; index < 6; ++index) {
        jobs.push_back(absl::StrCat("job", index));
        // The first daemon in the east, and the first one in the west.
        const std::size_t daemon = index % 2 == 0 ? 0 : EACH;
        BOOST_TEST(restricted.fleet.call(daemon, PlatformFleet::submission(jobs.back(), 2, "key1"))->status == 202);
    }
    restricted.fleet.runFor(Milliseconds(700));
    restricted.fleet.killDaemon(0);
    restricted.fleet.killDaemon(EACH);
    const auto isTakenOver = [&restricted](const std::string &job) {
        return absl::StrContains(restricted.fleet.store.specOf("jobs", job), R"("east-a-1")");
    };
    BOOST_TEST(restricted.fleet.runUntil([&] { return std::all_of(jobs.begin(), jobs.end(), isTakenOver); }, 2 * RUN_TIME));
    for (const std::string &job : jobs) {
        BOOST_TEST(isTakenOver(job), restricted.fleet.store.specOf("jobs", job));
        std::vector<JobResult> results;
        restricted.fleet.runUntil([&] { return (results = restricted.fleet.results(1, job, "key1")).size() == 2; }, RUN_TIME);
        BOOST_TEST(results.size() == 2U);
    }
    BOOST_TEST(restricted.arrivals(EAST) > 0U);
    BOOST_TEST(restricted.arrivals(WEST) + restricted.arrivals(SOUTH) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
