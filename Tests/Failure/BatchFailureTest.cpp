#include "Request/ResultCode.h"
#include "Support/FleetChecks.h"
#include "Support/ProcessFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

namespace poplardock {

namespace {

/// Lease bound of 30 s, or removal after 10 s, and the rest of the job.
constexpr Milliseconds JOB_LIMIT { 55000 };

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

    auto checkJob(std::size_t daemon, const JobShape &job) const -> void
    {
        for (const std::string &fault : findJobFaults(fleet, daemon, job)) {
            BOOST_ERROR(fault);
        }
        const JsonObject::Ptr status = fleet.job(daemon, KEY_ANNA, job.jobKey).json();
        BOOST_TEST_MESSAGE(job.jobKey << ": " << status->optValue("done", 0) << " done, " << status->optValue("failed", 0)
                                      << " with the outcome that they may have run");
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
    const JobShape modelJob { "model", "", true, 300, 10 };
    const JobShape holdJob { "hold", "/holds/spool", false, 40, 0 };
    fleet.setPlatformFaults(R"({"lose_write_answers":3})");
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.submitJob(frozen, KEY_ANNA, holdJob.document()).isOk(); }));
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.submitJob(dying, KEY_ANNA, modelJob.document()).isOk(); }));
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.receivedCount("model-") > 10 && fleet.receivedCount("hold-") > 2; }));
    fleet.daemonProcess(dying).kill();
    fleet.daemonProcess(frozen).signal(SIGSTOP);
    fleet.setPlatformFaults(R"({"lose_write_answers":5})");

    // The client has lost the answer and sends the jobs again.
    const FleetAnswer again = fleet.submitJob(reader, KEY_ANNA, modelJob.document());
    BOOST_TEST(again.isOk(), again.body);
    BOOST_TEST(fleet.submitJob(others[1], KEY_ANNA, holdJob.document()).isOk());
    const FleetAnswer conflict = fleet.submitJob(reader, KEY_ANNA, JobShape { "model", "", true, 301, 10 }.document());
    BOOST_TEST(conflict.code == static_cast<int>(ResultCode::JobConflict), conflict.body);

    BOOST_TEST(awaitEnd(reader, "model", JOB_LIMIT));
    BOOST_TEST(awaitEnd(reader, "hold", JOB_LIMIT));
    fleet.daemonProcess(frozen).signal(SIGCONT);
    // Late commits of the frozen holder would come now.
    std::this_thread::sleep_for(Milliseconds(2000));
    checkJob(reader, modelJob);
    checkJob(reader, holdJob);
    BOOST_TEST(stateOf(reader, "model") == "done");
}

// Guards against items that go on running, or are committed, after the cancel was acknowledged.
BOOST_FIXTURE_TEST_CASE(CancelStopsTheJob, SmallBatchFixture)
{
    constexpr int ITEMS = 400;
    BOOST_REQUIRE(fleet.submitJob(0, KEY_ANNA, JobShape { "cancelled", "", true, ITEMS, 20 }.document()).isOk());
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
