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
        BOOST_TEST(fleet.results(daemon, "open", "key2").size() == 2U);
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

// Guards against an accepted job that never runs because another team has used its id, and against one that reads the other's results.
BOOST_AUTO_TEST_CASE(AnIdBelongsToEachTeamAlone)
{
    PlatformFleet fleet(2, 2);
    fleet.engines[0]->behaviour().eventPause = Milliseconds(10);
    fleet.engines[1]->behaviour().eventPause = Milliseconds(10);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 3, "key1"))->status == 202);
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        HttpCall other = PlatformFleet::submission("job", 2, "key2");
        other.body = absl::StrReplaceAll(other.body, { { R"("id":"job)", R"("id":"other)" } });
        BOOST_TEST(fleet.call(daemon, other)->status == 202);
        BOOST_TEST(fleet.call(daemon, PlatformFleet::submission("job", 3, "key1"))->status == 202);
    }
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        BOOST_TEST(fleet.runUntil([&] { return fleet.results(daemon, "job", "key2").size() == 2U; }, RUN_TIME));
        const auto own = fleet.results(daemon, "job", "key2");
        BOOST_TEST(std::all_of(own.begin(), own.end(), [](const JobResult &each) { return each.itemId.starts_with("other"); }));
        const auto first = awaitResults(fleet, daemon, "job", 3);
        BOOST_TEST(first.size() == 3U);
        BOOST_TEST(std::all_of(first.begin(), first.end(), [](const JobResult &each) { return each.itemId.starts_with("job"); }));
    }
    BOOST_TEST(totalRuns(fleet, "job-0") == 1);
    BOOST_TEST(totalRuns(fleet, "other-0") == 1);
    // The owner is gone: both are read from the store, and a repeat is still the same job.
    const std::size_t later = fleet.startDaemon("daemon2");
    fleet.awaitReady();
    fleet.killDaemon(0);
    fleet.killDaemon(1);
    fleet.runFor(Milliseconds(1500));
    BOOST_TEST(fleet.results(later, "job", "key1").size() == 3U);
    BOOST_TEST(fleet.results(later, "job", "key2").size() == 2U);
    HttpCall repeat = PlatformFleet::submission("job", 2, "key2");
    repeat.body = absl::StrReplaceAll(repeat.body, { { R"("id":"job)", R"("id":"other)" } });
    BOOST_TEST(fleet.call(later, repeat)->status == 202);
    // The name that the second job has in the store is an id that somebody may choose.
    const std::string name = jobNameOf("dyers", "job");
    BOOST_TEST(fleet.call(later, PlatformFleet::submission(name, 1, "key2"))->status == 202);
    BOOST_TEST(fleet.runUntil([&] { return totalRuns(fleet, name + "-0") == 1; }, RUN_TIME));
    // Ending one does not end the other.
    BOOST_TEST(statusOf(fleet, later, callOn("DELETE", "/-/lots/job", "key2")) == 200);
    fleet.runFor(Milliseconds(300));
    BOOST_TEST(totalRuns(fleet, "other-0") == 1);
    BOOST_TEST(totalRuns(fleet, "job-0") == 1);
}

// Guards against a job that runs a second time because the record that showed its id to be taken was removed before its own.
BOOST_AUTO_TEST_CASE(ARecordWhoseIdIsSharedStays)
{
    PlatformFleet fleet(1, 1);
    JobRecord record;
    record.id = "job";
    record.team = "weavers";
    record.owner = "gone";
    record.isDone = true;
    record.submittedAt = WallClock::now() - std::chrono::hours(2);
    record.giveUpAt = record.submittedAt;
    fleet.store.put("jobs", "job", toStored(record).spec);
    record.id = "alone";
    fleet.store.put("jobs", "alone", toStored(record).spec);
    // What a removal leaves that was cut short.
    fleet.store.put("results-alone", "000004", R"({"results":[{"id":"x","state":"completed","text":"y"}]})");
    fleet.store.put("results-alone", "odd", "{}");
    HttpCall other = PlatformFleet::submission("job", 1, "key2");
    other.body = absl::StrReplaceAll(other.body, { { R"("id":"job)", R"("id":"other)" } });
    BOOST_TEST(fleet.call(0, other)->status == 202);
    BOOST_TEST(fleet.runUntil([&fleet] { return fleet.store.specOf("jobs", "alone").empty(); }, Milliseconds(40000)));
    BOOST_TEST(fleet.store.countOf("results-alone") == 0U);
    BOOST_TEST(!fleet.store.specOf("jobs", "job").empty());
    BOOST_TEST(fleet.call(0, other)->status == 202);
    BOOST_TEST(totalRuns(fleet, "other-0") == 1);
}

// Guards against items of one team that run for another: a submission that was not finished has left them under the id of the job.
BOOST_AUTO_TEST_CASE(ItemsThatAnotherTeamLeftAreNotRun)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().declines = true;
    fleet.store.put("payloads", "job.0", R"({"items":[{"id":"foreign","path":"/batch/f","headers":{},"body":"","tokens":1}]})");
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 2, "key1"))->status == 202);
    // Those of this very submission are taken over.
    HttpCall again = PlatformFleet::submission("again", 2, "key1");
    fleet.store.put("payloads", "again.0", platform::makeAdapter().encodeItems(*platform::makeAdapter().decodeSubmission(again.body)));
    BOOST_TEST(fleet.call(0, again)->status == 202);
    BOOST_TEST(!fleet.store.specOf("jobs", "again").empty());
    // The next owner has only what is stored.
    fleet.killDaemon(0);
    fleet.engines[0]->behaviour().declines = false;
    BOOST_TEST(awaitResults(fleet, 1, "job", 2).size() == 2U);
    BOOST_TEST(awaitResults(fleet, 1, "again", 2).size() == 2U);
    BOOST_TEST(totalRuns(fleet, "foreign") == 0);
}

// Guards against a create whose answer was lost and that another team's submission of the same id then meets.
BOOST_AUTO_TEST_CASE(ALostCreateAndAnotherTeamsSubmission)
{
    PlatformFleet fleet(2, 1);
    FakeObjectStore::Faults lost;
    lost.onlyTargets = "/jobs";
    lost.loseWriteAnswers = 1;
    fleet.store.setFaults(lost);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    HttpCall other = PlatformFleet::submission("job", 1, "key2");
    other.body = absl::StrReplaceAll(other.body, { { R"("id":"job)", R"("id":"other)" } });
    BOOST_TEST(fleet.call(1, other)->status == 202);
    BOOST_TEST(awaitResults(fleet, 1, "job", 1).size() == 1U);
    BOOST_TEST(fleet.runUntil([&] { return fleet.results(0, "job", "key2").size() == 1U; }, RUN_TIME));
    BOOST_TEST(totalRuns(fleet, "job-0") == 1);
    BOOST_TEST(totalRuns(fleet, "other-0") == 1);
}

// Guards against a job that other daemons cannot read or cancel because of the name of its team.
BOOST_AUTO_TEST_CASE(AnyNameOfATeamCanBePassedOn)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 1000;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    int number = 0;
    for (const char *name : { "North Shops", "a/b", "a?b#c", "100%", "%2F", "a b/ c" }) {
        const std::string id = absl::StrCat("job", ++number);
        configure(fleet, batchRoute(false), absl::StrCat(R"([{"name":")", name, R"(","apiKeys":["key3"]}])"));
        BOOST_TEST(fleet.call(0, PlatformFleet::submission(id, 1, "key3"))->status == 202);
        // The owner has had no time to commit anything, and the store does not answer: only it can tell.
        FakeObjectStore::Faults silent;
        silent.refuseStatus = 503;
        silent.onlyTargets = "/payloads/";
        fleet.store.setFaults(silent);
        BOOST_TEST(fleet.call(1, callOn("GET", absl::StrCat("/-/items/", id, "?id=", id, "-0"), "key3"))->status == 200, name);
        fleet.store.setFaults({});
        BOOST_TEST(statusOf(fleet, 1, callOn("DELETE", "/-/lots/" + id, "key3")) == 200, name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
