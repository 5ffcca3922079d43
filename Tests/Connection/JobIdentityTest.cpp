#include "Support/JobChecks.h"
#include "platform/Adapter.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr const char *BATCH_ROUTE
    = R"({"name":"batch","host":"shop","pathPrefix":"/batch/","kind":"batch","service":"models","maxAttempts":2,"targetCompletionMs":6000,"retentionS":20PUBLIC})";
constexpr const char *TEAMS = R"([{"name":"weavers","apiKeys":["key1"]},{"name":"dyers","apiKeys":["key2"]}])";

/// Writes a configuration with a batch route, further routes and teams.
auto configure(PlatformFleet &fleet, const std::string &routes, const std::string &teams) -> void
{
    fleet.store.put(
        "config", "main", absl::StrCat(R"({"version":2,"routes":[)", routes, R"(],"services":[{"name":"models"}],"tenants":)", teams, "}"));
    fleet.runFor(Milliseconds(800));
}

auto batchRoute(bool isPublic) -> std::string
{
    return absl::StrReplaceAll(BATCH_ROUTE, { { "PUBLIC", isPublic ? R"(,"public":true)" : "" } });
}

auto otherRoute(const std::string &fields) -> std::string
{
    return absl::StrCat(R"({"name":"other","host":"shop","pathPrefix":"/","service":"models")", fields, "}");
}

auto callOn(const std::string &method, const std::string &target, const std::string &key) -> HttpCall
{
    return { method, target, PlatformFleet::request("", "r", key).headers, {} };
}

auto statusOf(PlatformFleet &fleet, std::size_t daemon, const HttpCall &call) -> int
{
    const auto result = fleet.call(daemon, call);
    return result ? result->status : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobIdentitySuite)

// Guards against a job that its team cannot read, or that another team can, because of a route that has nothing to do with jobs.
BOOST_AUTO_TEST_CASE(NoRouteChangesWhoMayReadAJob)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 1000;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 2, "key1"))->status == 202);
    const std::string batch = batchRoute(false);
    for (const std::string &routes : { batch + "," + otherRoute(R"(,"kind":"idempotent","public":true)"),
                                       batch + "," + otherRoute(R"(,"kind":"streaming")"),
                                       batch + "," + otherRoute(R"(,"kind":"batch")"),
                                       batchRoute(true),
                                       otherRoute(R"(,"kind":"idempotent","public":true)") }) {
        configure(fleet, routes, TEAMS);
        for (std::size_t daemon = 0; daemon < 2; ++daemon) {
            BOOST_TEST(statusOf(fleet, daemon, callOn("GET", "/-/lots/job?after=0", "key1")) == 200, routes);
            BOOST_TEST(statusOf(fleet, daemon, callOn("GET", "/-/lots/job?after=0", "key2")) == 404, routes);
            BOOST_TEST(statusOf(fleet, daemon, callOn("GET", "/-/lots/job?after=0", "")) != 200, routes);
            BOOST_TEST(statusOf(fleet, daemon, callOn("GET", "/-/lots/other?after=0", "key1")) == 404, routes);
        }
    }
    configure(fleet, batch + "," + otherRoute(R"(,"kind":"idempotent","public":true)"), TEAMS);
    BOOST_TEST(fleet.call(1, callOn("GET", "/-/items/job?id=job-1", "key1"))->body == "body of job-1");
    BOOST_TEST(statusOf(fleet, 1, callOn("DELETE", "/-/lots/job", "key2")) == 404);
    BOOST_TEST(statusOf(fleet, 1, callOn("DELETE", "/-/lots/job", "key1")) == 200);
}

// Guards against a submission on a public batch route that its team cannot read because its key was not looked at.
BOOST_AUTO_TEST_CASE(ASubmissionOnAPublicRouteBelongsToItsKey)
{
    PlatformFleet fleet(2, 1);
    configure(fleet, batchRoute(true), TEAMS);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("keyed", 2, "key1"))->status == 202);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("open", 2, ""))->status == 202);
    BOOST_TEST(awaitResults(fleet, 1, "keyed", 2).size() == 2U);
    // The route stops being public: the key still reads the job, and the open one is anybody's who has a key.
    configure(fleet, batchRoute(false), TEAMS);
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        BOOST_TEST(fleet.results(daemon, "keyed", "key1").size() == 2U);
        BOOST_TEST(fleet.results(daemon, "keyed", "key2").empty());
    }
}

// Guards against a job that is lost because its team was gone from the configuration for a time, or came back with another key.
BOOST_AUTO_TEST_CASE(AJobOutlivesItsTeamsKeys)
{
    PlatformFleet fleet(2, 1);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 2, "key1"))->status == 202);
    configure(fleet, batchRoute(false), R"([{"name":"dyers","apiKeys":["key2"]}])");
    BOOST_TEST(statusOf(fleet, 1, callOn("GET", "/-/lots/job?after=0", "key1")) == 401);
    configure(fleet, batchRoute(false), R"([{"name":"weavers","apiKeys":["key3"]},{"name":"dyers","apiKeys":["key2"]}])");
    BOOST_TEST(fleet.runUntil([&fleet] { return fleet.results(1, "job", "key3").size() == 2U; }, RUN_TIME));
    BOOST_TEST(statusOf(fleet, 1, callOn("GET", "/-/lots/job?after=0", "key1")) == 401);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
