#include "Support/JobChecks.h"
#include "platform/Adapter.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr int FINISHED_JOBS = 12;

/// Runs more jobs, one after the other, than the daemon has memory for at once.
auto checkThatFinishedJobsMakeRoom(const FakeObjectStore::Faults &faults) -> void
{
    PlatformFleet fleet(0, 1);
    fleet.adjustSettings = [](FrontSettings &settings) {
        settings.memoryBytes = 4U << 20U;
    };
    fleet.startDaemon("daemon0");
    fleet.awaitReady();
    fleet.store.setFaults(faults);
    FakeEngine &engine = *fleet.engines[0];
    engine.behaviour().eventPadding = std::string(4000, 'x');
    for (int job = 0; job < FINISHED_JOBS; ++job) {
        const std::string id = absl::StrCat("job", job);
        BOOST_TEST(fleet.call(0, PlatformFleet::submission(id, 10, "key1"))->status == 202, id);
        BOOST_TEST(awaitResults(fleet, 0, id, 10).size() == 10U, id);
    }
    // All of them can be read, from the store as well.
    for (int job = 0; job < FINISHED_JOBS; ++job) {
        BOOST_TEST(fleet.results(0, absl::StrCat("job", job), "key1").size() == 10U, job);
    }
    // A submission that is repeated is accepted once.
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job0", 10, "key1"))->status == 202);
    BOOST_TEST(totalRuns(fleet, "job0-0") == 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobResultsSuite)

// Guards against one event that is no text and keeps all results of its job from the store for good.
BOOST_AUTO_TEST_CASE(AnEventThatIsNoTextHoldsNothingBack)
{
    PlatformFleet fleet(1, 1);
    FakeEngine &engine = *fleet.engines[0];
    engine.behaviour().noise = "id: 2\ndata: \xff\xfe\xff\xfe\n\n";
    engine.behaviour().eventsBeforeNoise = 2;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 4, "key1"))->status == 202);
    const auto areSpoilt = [&engine] {
        const auto runs = engine.runs();
        return std::count_if(runs.begin(), runs.end(), [](const FakeEngine::Run &run) { return run.isCut; }) >= 4;
    };
    BOOST_REQUIRE(fleet.runUntil(areSpoilt, Milliseconds(3000)));
    engine.behaviour().noise.clear();
    const auto results = awaitResults(fleet, 0, "job", 4);
    BOOST_REQUIRE(results.size() == 4U);
    for (const JobResult &result : results) {
        BOOST_TEST(result.isCompleted);
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, engine.behaviour().events));
    }
}

// Guards against a read of a finished job, whose owner is gone, that takes the whole log from the store for each page.
BOOST_AUTO_TEST_CASE(ALargeLogIsReadPageByPage)
{
    constexpr std::size_t ENTRIES = 20;
    constexpr std::size_t TEXT_BYTES = 400000;
    PlatformFleet fleet(0, 1);
    fleet.adjustSettings = [](FrontSettings &settings) {
        settings.memoryBytes = 64U << 20U;
    };
    JobRecord record;
    record.id = "large";
    record.team = "weavers";
    record.owner = "gone";
    record.itemCount = ENTRIES;
    record.isDone = true;
    record.submittedAt = WallClock::now();
    record.giveUpAt = record.submittedAt + std::chrono::minutes(1);
    fleet.store.put("jobs", record.id, toStored(record).spec);
    for (std::size_t entry = 0; entry < ENTRIES; ++entry) {
        const JobResult result { absl::StrCat("large-", entry), true, std::string(TEXT_BYTES, 'x') };
        fleet.store.put("results-large", absl::StrFormat("%06d", entry), platform::makeAdapter().encodeResults(1, 0, { result }));
    }
    const std::size_t daemon = fleet.startDaemon("daemon0");
    fleet.awaitReady();
    const auto results = awaitResults(fleet, daemon, "large", ENTRIES);
    BOOST_REQUIRE(results.size() == ENTRIES);
    BOOST_TEST(results.back().itemId == absl::StrCat("large-", ENTRIES - 1));
    BOOST_TEST(fleet.store.listedBytes("results-large") < 3 * ENTRIES * TEXT_BYTES);
}

// Guards against an item that waits longer and longer although each attempt at it brings it further.
BOOST_AUTO_TEST_CASE(AnItemThatGetsFurtherIsNotHeldBack)
{
    // Enough engines that one of them is not passed over for its former answers.
    PlatformFleet fleet(1, 6);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().events = 12;
        engine->behaviour().noise = "id: DUE_ID\ndata: \xff\xfe\n\n";
        engine->behaviour().eventsBeforeNoise = 2;
    }
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    BOOST_TEST(fleet.runUntil([&fleet] { return totalRuns(fleet, "job-0") >= 6; }, Milliseconds(5000)));
    for (const auto &engine : fleet.engines) {
        engine->behaviour().noise.clear();
    }
    const auto results = awaitResults(fleet, 0, "job", 1);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].text == FakeEngine::dataOf("job-0", 12));
}

// Guards against a result that the store refuses for another reason and that keeps its neighbours out with it.
BOOST_AUTO_TEST_CASE(AResultThatTheStoreRefusesStandsAlone)
{
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults faults;
    faults.refusedText = "job-2:1";
    fleet.store.setFaults(faults);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 6, "key1"))->status == 202);
    const auto results = awaitResults(fleet, 0, "job", 5);
    BOOST_TEST(results.size() == 5U);
    fleet.store.setFaults({});
    BOOST_TEST(awaitResults(fleet, 0, "job", 6).size() == 6U);
}

// Guards against finished results that are taken back, and items that run a second time, because the store or something before it
// refuses the calls for a while with a status that says nothing of their content.
BOOST_AUTO_TEST_CASE(AStoreInTroubleTakesNoResultBack)
{
    for (const int status : { 301, 401, 408, 425 }) {
        PlatformFleet fleet(1, 1);
        FakeObjectStore::Faults faults;
        faults.refuseStatus = status;
        faults.onlyTargets = "results-";
        fleet.store.setFaults(faults);
        BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 4, "key1"))->status == 202);
        BOOST_REQUIRE(fleet.runUntil([&fleet] { return fleet.store.callCount("POST /-/objects/results-job") >= 4; }, Milliseconds(6000)));
        fleet.store.setFaults({});
        BOOST_TEST(awaitResults(fleet, 0, "job", 4).size() == 4U);
        for (int item = 0; item < 4; ++item) {
            BOOST_TEST(totalRuns(fleet, absl::StrCat("job-", item)) == 1, "status " << status << ", item " << item);
        }
    }
}

// Guards against a result that the store has, and that is taken back because the store's answer to the write cannot be read.
BOOST_AUTO_TEST_CASE(AnUnreadableAnswerToAWriteIsNoRefusal)
{
    PlatformFleet fleet(0, 1);
    const std::size_t view = fleet.store.openView(
        [](const std::string &body) { return absl::StartsWith(body, "{\"metadata") && absl::StrContains(body, "completed") ? "{" : body; });
    fleet.adjustSettings = [&fleet, view](FrontSettings &settings) {
        settings.storeAddress = fleet.store.viewAddress(view);
    };
    fleet.startDaemon("daemon0");
    fleet.awaitReady();
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 1).size() == 1U);
    BOOST_TEST(totalRuns(fleet, "job-0") == 1);
}

// Guards against results whose JSON is several times their text, so that the store refuses groups of them.
BOOST_AUTO_TEST_CASE(ResultsFullOfControlCharactersFitTheStore)
{
    PlatformFleet fleet(1, 2);
    FakeObjectStore::Faults faults;
    faults.valueBytes = 1U << 20U;
    fleet.store.setFaults(faults);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().eventPadding = std::string(15000, '\x01');
    }
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 6, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 6).size() == 6U);
    const auto metrics = fleet.callAddress(fleet.daemons[0]->operatorsAddress(), { "GET", "/metrics", {}, {} });
    BOOST_REQUIRE(metrics.has_value());
    BOOST_TEST(!absl::StrContains(metrics->body, "result_writes_refused"));
}

// Guards against an item whose answer no object of the store can hold, and which takes a slot again every second until it is given up:
// its neighbours are listed, and it comes less and less often.
BOOST_AUTO_TEST_CASE(AnItemThatCannotBeStoredDoesNotRunForEver)
{
    constexpr const char *LARGE_ITEM = "job-2";
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults faults;
    faults.valueBytes = 1U << 20U;
    fleet.store.setFaults(faults);
    FakeEngine &engine = *fleet.engines[0];
    engine.behaviour().events = 4;
    engine.behaviour().onlyRequests = LARGE_ITEM;
    engine.behaviour().eventPadding = std::string(100000, '\x01');
    HttpCall submission = PlatformFleet::submission("job", 4, "key1");
    submission.body = absl::StrReplaceAll(submission.body, { { "100,35", "100,800" } });
    BOOST_TEST(fleet.call(0, submission)->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 3).size() == 3U);
    fleet.runFor(Milliseconds(10000));
    std::vector<BootTime> starts;
    for (const FakeEngine::Run &run : engine.runsOfRequest(LARGE_ITEM)) {
        starts.push_back(run.startedAt);
    }
    BOOST_REQUIRE(starts.size() >= 4U);
    const auto gapBefore = [&starts](std::size_t index) {
        return starts[index] - starts[index - 1];
    };
    BOOST_TEST((gapBefore(starts.size() - 1) > std::chrono::milliseconds(1500) + gapBefore(1)));
    BOOST_TEST(fleet.results(0, "job", "key1").size() == 3U);
    const auto metrics = fleet.callAddress(fleet.daemons[0]->operatorsAddress(), { "GET", "/metrics", {}, {} });
    BOOST_REQUIRE(metrics.has_value());
    BOOST_TEST(!absl::StrContains(metrics->body, "result_writes_refused"));
}

// Guards against an item that runs again every second because the store refuses its result each time.
BOOST_AUTO_TEST_CASE(AResultThatIsRefusedForGoodComesLessOften)
{
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults faults;
    faults.refusedText = "job-1:1";
    fleet.store.setFaults(faults);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 3, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 2).size() == 2U);
    fleet.runFor(Milliseconds(8000));
    BOOST_TEST(totalRuns(fleet, "job-1") <= 6);
}

// Guards against finished jobs that are kept until the process ends: at a quarter of the memory all submissions were refused for good.
BOOST_AUTO_TEST_CASE(FinishedJobsMakeRoomForSubmissions)
{
    checkThatFinishedJobsMakeRoom({});
}

// Guards against finished jobs that are kept for good because the store's answer to their mark was lost, or the mark refused.
BOOST_AUTO_TEST_CASE(FinishedJobsWithoutAConfirmedMarkMakeRoom)
{
    FakeObjectStore::Faults lostAnswers;
    lostAnswers.onlyTargets = "jobs/job";
    lostAnswers.loseWriteAnswers = FINISHED_JOBS;
    checkThatFinishedJobsMakeRoom(lostAnswers);
    FakeObjectStore::Faults failures = lostAnswers;
    failures.lostAnswerStatus = 500;
    checkThatFinishedJobsMakeRoom(failures);
}

// Guards against a mark that the store refused and that is never written again, so that the record of a finished job stays open.
BOOST_AUTO_TEST_CASE(ARefusedMarkIsWrittenAgain)
{
    constexpr const char *MARK = R"("done":true)";
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults faults;
    faults.refusedText = MARK;
    fleet.store.setFaults(faults);
    const auto isMarked = [&fleet] {
        return absl::StrContains(fleet.store.specOf("jobs", "job"), MARK);
    };
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 2, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "job", 2).size() == 2U);
    BOOST_REQUIRE(fleet.runUntil([&fleet] { return fleet.store.callCount("PUT /-/objects/jobs/job") > 0; }, Milliseconds(1000)));
    BOOST_TEST(!isMarked());
    fleet.store.setFaults({});
    BOOST_TEST(fleet.runUntil(isMarked, Milliseconds(10000)));
}

// Guards against the objects of finished jobs that stay in the store for as long as their owner lives, so that the list of jobs grows.
BOOST_AUTO_TEST_CASE(AnOwnedJobIsRemovedAtTheEndOfItsRetention)
{
    PlatformFleet fleet(0, 1);
    JobRecord record;
    record.id = "late";
    record.team = "weavers";
    record.owner = "gone";
    record.submittedAt = WallClock::now() - std::chrono::hours(2);
    record.giveUpAt = record.submittedAt;
    record.itemCount = 1;
    record.payloadCount = 1;
    fleet.store.put("jobs", record.id, toStored(record).spec);
    fleet.store.put("payloads", "late.0", R"({"items":[{"id":"late-0","path":"/batch/f","headers":{},"body":"","tokens":1}]})");
    fleet.startDaemon("daemon0");
    fleet.awaitReady();
    // The daemon takes the job over and gives its item up.
    BOOST_REQUIRE(fleet.runUntil([&fleet] { return fleet.store.countOf("results-late") > 0; }, Milliseconds(10000)));
    BOOST_TEST(fleet.runUntil([&fleet] { return fleet.store.specOf("jobs", "late").empty(); }, Milliseconds(40000)));
    BOOST_TEST(fleet.store.countOf("results-late") == 0U);
}

// Guards against items that wait until the end of their retention after their route was removed.
BOOST_AUTO_TEST_CASE(ItemsOfARemovedRouteAreGivenUp)
{
    PlatformFleet fleet(1, 1);
    FakeEngine &engine = *fleet.engines[0];
    engine.behaviour().events = 200;
    engine.behaviour().eventPause = Milliseconds(10);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 24, "key1"))->status == 202);
    BOOST_REQUIRE(fleet.runUntil([&engine] { return engine.runs().size() >= 4; }, Milliseconds(3000)));
    fleet.store.put(
        "config",
        "main",
        R"({"version":2,"routes":[{"name":"plain","host":"shop","pathPrefix":"/plain/","kind":"idempotent","service":"models"}],)"
        R"("services":[{"name":"models"}],"tenants":[{"name":"weavers","apiKeys":["key1"]}]})");
    const auto results = awaitResults(fleet, 0, "job", 24);
    BOOST_REQUIRE(results.size() == 24U);
    for (const JobResult &result : results) {
        BOOST_TEST((!result.isCompleted || result.text == FakeEngine::dataOf(result.itemId, 200)));
    }
    BOOST_TEST(std::any_of(results.begin(), results.end(), [](const JobResult &result) { return result.isCompleted; }));
    BOOST_TEST(std::any_of(results.begin(), results.end(), [](const JobResult &result) { return !result.isCompleted; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
