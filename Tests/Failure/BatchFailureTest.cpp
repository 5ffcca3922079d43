#include "Request/ResultCode.h"
#include "Support/ProcessFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <set>
#include <thread>

namespace poplardock {

namespace {

constexpr const char *SERVICE_CLASS = "sheets";
/// Lease bound of 30 s, or removal after 10 s, and the rest of the job.
constexpr Milliseconds JOB_LIMIT { 55000 };

/// A job with items "JOBKEY-0.", ... for the model, or for a path.
auto jobDocument(const std::string &jobKey, const std::string &path, bool isRepeatable, int items, int tokens) -> std::string
{
    JsonArray::Ptr entries = new JsonArray;
    for (int item = 0; item < items; ++item) {
        const std::string id = absl::StrCat(jobKey, "-", item, ".");
        JsonObject::Ptr body = new JsonObject;
        if (path.empty()) {
            JsonObject::Ptr message = new JsonObject;
            message->set("role", "user");
            message->set("content", id);
            JsonArray::Ptr messages = new JsonArray;
            messages->add(message);
            body->set("messages", messages);
            body->set("max_tokens", tokens);
        } else {
            body->set("name", id);
        }
        JsonObject::Ptr entry = new JsonObject;
        entry->set("id", id);
        entry->set("body", body);
        entries->add(entry);
    }
    JsonObject job;
    job.set("job_key", jobKey);
    job.set("class", SERVICE_CLASS);
    job.set(path.empty() ? "model" : "path", path.empty() ? "tiny" : path);
    job.set("due", "2036-01-01T00:00:00Z");
    job.set("repeatable", isRepeatable);
    job.set("items", entries);
    return Json::toText(job);
}

struct BatchFixture
{
    explicit BatchFixture(std::size_t daemons)
    {
        for (int upstream = 0; upstream < 3; ++upstream) {
            fleet.addUpstream({ false, { "--token-ms", "20", "--slots", "8" } });
        }
        fleet.addUpstream({ true, {} });
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            fleet.addDaemon({});
        }
        fleet.apply(0, fleet.configuration());
        BOOST_REQUIRE(fleet.awaitServing());
    }

    auto stateOf(std::size_t daemon, const std::string &jobKey) const -> std::string
    {
        return fleet.job(daemon, KEY_ANNA, jobKey).json()->optValue<std::string>("state", "");
    }

    auto awaitEnd(std::size_t daemon, const std::string &jobKey, Milliseconds limit) const -> bool
    {
        return ProcessFleet::await([&] { return stateOf(daemon, jobKey) == "done"; }, limit);
    }

    /// All items of a job that has ended, as its owner reads them.
    auto results(std::size_t daemon, const std::string &jobKey) const -> std::vector<JsonObject::Ptr>
    {
        const FleetAnswer page = fleet.call(daemon,
                                            { "GET",
                                              absl::StrCat("/v1/jobs/", jobKey, "/results?from=0&limit=1000"),
                                              {},
                                              { { "Authorization", absl::StrCat("Bearer ", KEY_ANNA) } },
                                              Milliseconds(10000) });
        auto items = Json::optionalObjects(*page.json(), "items");
        return items.ok() ? *std::move(items) : std::vector<JsonObject::Ptr> {};
    }

    /// Each item has one outcome; a done one has the answer to its own body.
    auto checkResults(std::size_t daemon, const std::string &jobKey, int count, bool mayHaveFailed) const -> void
    {
        std::set<std::string> ids;
        int failed = 0;
        for (const JsonObject::Ptr &item : results(daemon, jobKey)) {
            const auto id = item->optValue<std::string>("id", "");
            BOOST_TEST(ids.insert(id).second, absl::StrCat("two results of ", id));
            if (item->optValue<std::string>("state", "") == "done") {
                BOOST_TEST(absl::StrContains(item->optValue<std::string>("body", ""), id));
                continue;
            }
            ++failed;
            const JsonObject::Ptr error = item->getObject("error");
            BOOST_REQUIRE(!error.isNull());
            BOOST_TEST(error->optValue("code", 0) == static_cast<int>(ResultCode::ItemMayHaveRun));
        }
        BOOST_TEST(ids.size() == static_cast<std::size_t>(count));
        BOOST_TEST_MESSAGE(jobKey << ": " << ids.size() << " items, " << failed << " with the outcome that they may have run");
        BOOST_TEST((mayHaveFailed || failed == 0));
    }

    /// No item of a non-repeatable job reached an upstream twice.
    auto checkSentOnce(const std::string &jobKey, int count) const -> void
    {
        for (int item = 0; item < count; ++item) {
            BOOST_TEST(fleet.receivedCount(absl::StrCat(jobKey, "-", item, ".")) <= 1);
        }
    }

    ProcessFleet fleet;
};

struct LargeBatchFixture : BatchFixture
{
    LargeBatchFixture()
        : BatchFixture(5)
    {
    }
};

struct SmallBatchFixture : BatchFixture
{
    SmallBatchFixture()
        : BatchFixture(2)
    {
    }
};

} // namespace

// Guards against a job that is lost with the daemon that acknowledged it, items that run to two results, and
// chunks that stay with a lost or frozen holder; answers of the store are lost meanwhile.
BOOST_FIXTURE_TEST_CASE(LostHoldersLoseAndRepeatNothing, LargeBatchFixture)
{
    constexpr int MODEL_ITEMS = 300;
    constexpr int HOLD_ITEMS = 40;
    // The daemon that acknowledges dies at once, the home of an upstream in mid-chunk, another home is frozen.
    const std::size_t dying = fleet.homeOf("upstream/u0", 0);
    const std::size_t serviceHome = fleet.homeOf("upstream/u3", 0);
    std::size_t frozen = serviceHome;
    for (std::size_t daemon = 0; frozen == dying; ++daemon) {
        frozen = daemon;
    }
    std::vector<std::size_t> others;
    for (std::size_t daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
        if (daemon != dying && daemon != frozen) {
            others.push_back(daemon);
        }
    }
    const std::size_t reader = others[0];

    fleet.setUpstreamFaults(3, R"({"delay_ms":200})");
    const std::string modelJob = jobDocument("model", "", true, MODEL_ITEMS, 10);
    const std::string holdJob = jobDocument("hold", "/holds/spool", false, HOLD_ITEMS, 0);
    fleet.setPlatformFaults(R"({"lose_write_answers":3})");
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.submitJob(frozen, KEY_ANNA, holdJob).isOk(); }));
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.submitJob(dying, KEY_ANNA, modelJob).isOk(); }));
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.receivedCount("model-") > 10 && fleet.receivedCount("hold-") > 2; }));
    fleet.daemonProcess(dying).kill();
    fleet.daemonProcess(frozen).signal(SIGSTOP);
    fleet.setPlatformFaults(R"({"lose_write_answers":5})");

    // The client has lost the answer and sends the jobs again.
    const FleetAnswer again = fleet.submitJob(reader, KEY_ANNA, modelJob);
    BOOST_TEST(again.isOk(), again.body);
    BOOST_TEST(fleet.submitJob(others[1], KEY_ANNA, holdJob).isOk());
    const FleetAnswer conflict = fleet.submitJob(reader, KEY_ANNA, jobDocument("model", "", true, MODEL_ITEMS + 1, 10));
    BOOST_TEST(conflict.code == static_cast<int>(ResultCode::JobConflict), conflict.body);

    BOOST_TEST(awaitEnd(reader, "model", JOB_LIMIT));
    BOOST_TEST(awaitEnd(reader, "hold", JOB_LIMIT));
    fleet.daemonProcess(frozen).signal(SIGCONT);
    // Late commits of the frozen holder would come now.
    std::this_thread::sleep_for(Milliseconds(2000));
    checkResults(reader, "model", MODEL_ITEMS, false);
    checkResults(reader, "hold", HOLD_ITEMS, true);
    checkSentOnce("hold", HOLD_ITEMS);
    BOOST_TEST(stateOf(reader, "model") == "done");
}

// Guards against items that go on running, or are committed, after the cancel was acknowledged.
BOOST_FIXTURE_TEST_CASE(CancelStopsTheJob, SmallBatchFixture)
{
    constexpr int ITEMS = 400;
    BOOST_REQUIRE(fleet.submitJob(0, KEY_ANNA, jobDocument("cancelled", "", true, ITEMS, 20)).isOk());
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.receivedCount("cancelled-") > 5; }));
    const FleetAnswer answer = fleet.call(
        1, { "POST", "/v1/jobs/cancelled/cancel", "{}", { { "Authorization", absl::StrCat("Bearer ", KEY_ANNA) } }, Milliseconds(10000) });
    BOOST_TEST(answer.isOk(), answer.body);
    const auto done = fleet.job(0, KEY_ANNA, "cancelled").json()->optValue("done", -1);
    // Holders see the cancel at their next poll, within 1 s.
    std::this_thread::sleep_for(Milliseconds(3000));
    const int received = fleet.receivedCount("cancelled-");
    std::this_thread::sleep_for(Milliseconds(2000));
    BOOST_TEST(fleet.receivedCount("cancelled-") == received);
    BOOST_TEST(received < ITEMS);
    BOOST_TEST(stateOf(0, "cancelled") == "cancelled");
    BOOST_TEST(fleet.job(1, KEY_ANNA, "cancelled").json()->optValue("done", -1) == done);
    // Another team neither sees nor cancels it.
    BOOST_TEST(fleet.job(0, KEY_BERT, "cancelled").code == static_cast<int>(ResultCode::JobUnknown));
}

} // namespace poplardock
