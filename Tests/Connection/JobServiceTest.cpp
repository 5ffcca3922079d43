#include "Connection/Io/Channel.h"
#include "Connection/Io/DatagramSocket.h"
#include "Connection/Io/Listener.h"
#include "Process/Json.h"
#include "Process/Peers/DaemonReport.h"
#include "Support/FreePort.h"
#include "Support/JobChecks.h"
#include "platform/Adapter.h"

#include <Poco/Net/ServerSocket.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <set>

namespace poplardock {

namespace {

auto callOn(const std::string &method, const std::string &target, const std::string &key) -> HttpCall
{
    return { method, target, PlatformFleet::request("", "r", key).headers, {} };
}

/// Time after which nothing of a cancelled job may reach an upstream.
constexpr Milliseconds CANCEL_BOUND { 3000 };

auto storedRecord(PlatformFleet &fleet, const std::string &job) -> JobRecord
{
    const auto record = jobRecordFrom({ "jobs", job, 1, {}, fleet.store.specOf("jobs", job) });
    BOOST_REQUIRE(record.ok());
    return *record;
}

/// Many daemons that report to the first daemon of a fleet as their relay, and answer nothing: a large fleet around it.
class SimulatedDaemons
{
public:
    static constexpr const char *INCARNATION = "i1";

    explicit SimulatedDaemons(PlatformFleet &fleet)
        : fleet_(fleet)
        , address_(absl::StrCat("127.0.0.1:", freePort()))
    {
        auto socket
            = DatagramSocket::open(fleet.loop, address_, [this](const std::string & /*sender*/, std::string_view text) { handle(text); });
        BOOST_REQUIRE(socket.ok());
        socket_ = *std::move(socket);
        const auto spec = Json::parseObject(fleet.store.specOf("members", "daemon0"));
        relay_ = *Json::requireString(**spec, "peers");
        timer_ = fleet.loop.every(Milliseconds(100), [this] { report(); });
        fleet_.runFor(Milliseconds(500));
    }

    static auto nameOf(int index) -> std::string
    {
        return absl::StrCat("simulated", index);
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return address_;
    }

    [[nodiscard]] auto cancelledJobs() const -> const std::set<std::string> &
    {
        return cancelledJobs_;
    }

    auto forgetCancelledJobs() -> void
    {
        cancelledJobs_.clear();
    }

private:
    auto report() -> void
    {
        constexpr int COUNT = 100;
        ++sequence_;
        for (int index = 0; index < COUNT; ++index) {
            DaemonReport report;
            report.name = nameOf(index);
            report.dataCentre = "east-a";
            report.incarnation = INCARNATION;
            report.sequence = sequence_;
            report.capacity = 0;
            socket_->sendTo(relay_, encodePeerMessage(report));
        }
    }

    auto handle(std::string_view text) -> void
    {
        const auto message = decodePeerMessage(text);
        const auto *summary = message.ok() ? std::get_if<FleetSummary>(&*message) : nullptr;
        if (summary != nullptr) {
            cancelledJobs_.insert(summary->cancelledJobs.begin(), summary->cancelledJobs.end());
        }
    }

    PlatformFleet &fleet_;
    const std::string address_;
    std::string relay_;
    std::unique_ptr<DatagramSocket> socket_;
    std::uint64_t sequence_ = 0;
    std::set<std::string> cancelledJobs_;
    Timer timer_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(JobServiceSuite)

// Guards against lost or changed items and results, positions that differ between daemons, and reads by other teams.
BOOST_AUTO_TEST_CASE(AJobIsRunAndReadEverywhere)
{
    PlatformFleet fleet(2, 2);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j1", 5, "key1"))->status == 202);
    const auto results = awaitResults(fleet, 0, "j1", 5);
    BOOST_REQUIRE(results.size() == 5);
    std::set<std::string> ids;
    for (const JobResult &result : results) {
        ids.insert(result.itemId);
        BOOST_TEST(result.isCompleted);
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, 5));
    }
    BOOST_TEST(ids.size() == 5);
    BOOST_TEST((fleet.results(1, "j1", "key1") == results));
    BOOST_TEST(fleet.call(1, callOn("GET", "/-/lots/j1?after=0", "key2"))->status == 404);
    BOOST_TEST(fleet.call(1, callOn("GET", "/-/lots/none?after=0", "key1"))->status == 404);
    const FakeEngine::Run run = fleet.engines[0]->runs().empty() ? fleet.engines[1]->runs()[0] : fleet.engines[0]->runs()[0];
    BOOST_TEST(run.head.headers.valueOf("Tenant") == "weavers");
    BOOST_TEST(run.head.headers.valueOf("Host") == "shop");
    BOOST_TEST(run.head.headers.find("Authorization") == nullptr);
}

// Guards against a job that is run twice because its submission came again at another daemon.
BOOST_AUTO_TEST_CASE(ARepeatedSubmissionIsTheSameJob)
{
    PlatformFleet fleet(2, 1);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j2", 3, "key1"))->status == 202);
    BOOST_TEST(fleet.call(1, PlatformFleet::submission("j2", 3, "key1"))->status == 202);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j2", 3, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 1, "j2", 3).size() == 3);
    fleet.runFor(Milliseconds(500));
    for (int item = 0; item < 3; ++item) {
        BOOST_TEST(totalRuns(fleet, absl::StrCat("j2-", item)) == 1);
    }
}

// Guards against a refusal of a job that the store has, and against a job that is kept although it was refused.
BOOST_AUTO_TEST_CASE(TheStoresAnswerDecidesOnAcceptance)
{
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults lost;
    lost.loseWriteAnswers = 1;
    lost.onlyTargets = "/jobs";
    fleet.store.setFaults(lost);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j3", 2, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "j3", 2).size() == 2);
    FakeObjectStore::Faults refused;
    refused.refuseStatus = 503;
    refused.onlyTargets = "/payloads";
    fleet.store.setFaults(refused);
    const auto result = fleet.call(0, PlatformFleet::submission("j4", 2, "key1"));
    BOOST_TEST(result->status == 503);
    fleet.store.setFaults({});
    fleet.runFor(Milliseconds(500));
    BOOST_TEST(totalRuns(fleet, "j4-0") == 0);
    BOOST_TEST(fleet.call(0, callOn("GET", "/-/lots/j4?after=0", "key1"))->status == 404);
}

// Guards against a 503, a promise that nothing runs, while the record may be in the store.
BOOST_AUTO_TEST_CASE(AnUncertainAcceptanceIsNoRefusal)
{
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults lost;
    lost.loseWriteAnswers = 1000;
    lost.onlyTargets = "/jobs";
    fleet.store.setFaults(lost);
    const auto result = fleet.call(0, PlatformFleet::submission("j5", 2, "key1"));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->status == 504);
}

// Guards against a 503, a promise that nothing runs, after a gateway in front of the store has answered for a write that was done.
BOOST_AUTO_TEST_CASE(AGatewaysErrorIsNoRefusal)
{
    PlatformFleet fleet(1, 1);
    FakeObjectStore::Faults lost;
    lost.loseWriteAnswers = 1;
    lost.lostAnswerStatus = 502;
    lost.onlyTargets = "/jobs";
    fleet.store.setFaults(lost);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j8", 2, "key1"))->status == 202);
    BOOST_TEST(awaitResults(fleet, 0, "j8", 2).size() == 2);
}

// Guards against items that are given up too early or too late.
BOOST_AUTO_TEST_CASE(ItemsThatCannotBeDoneAreGivenUp)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().status = 422;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j6", 1, "key1"))->status == 202);
    auto results = awaitResults(fleet, 0, "j6", 1);
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST(!results[0].isCompleted);
    BOOST_TEST(totalRuns(fleet, "j6-0") == 1);
    fleet.engines[0]->behaviour().status = 500;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j7", 1, "key1"))->status == 202);
    results = awaitResults(fleet, 0, "j7", 1);
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST(!results[0].isCompleted);
    // The route allows two attempts.
    BOOST_TEST(totalRuns(fleet, "j7-0") == 2);
}

// Guards against texts whose pieces are lost or doubled when runs break, and against runs that start over.
BOOST_AUTO_TEST_CASE(BrokenRunsGoOnAfterTheirLastEvent)
{
    PlatformFleet fleet(1, 2);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().breakAfterEvents = 2;
    }
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j8", 1, "key1"))->status == 202);
    const auto results = awaitResults(fleet, 0, "j8", 1);
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST(results[0].text == FakeEngine::dataOf("j8-0", 5));
    BOOST_TEST(totalRuns(fleet, "j8-0") == 3);
}

// Guards against bodies that cannot be read while an item waits, and that stay after it is listed.
BOOST_AUTO_TEST_CASE(BodiesOfItemsAreReadUntilTheyAreListed)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().declines = true;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j9", 1, "key1"))->status == 202);
    fleet.runFor(Milliseconds(200));
    for (const std::size_t daemon : { std::size_t(0), std::size_t(1) }) {
        const auto body = fleet.call(daemon, callOn("GET", "/-/items/j9?id=j9-0", "key1"));
        BOOST_TEST(body->status == 200);
        BOOST_TEST(body->body == "body of j9-0");
        BOOST_TEST(fleet.call(daemon, callOn("GET", "/-/items/j9?id=other", "key1"))->status == 404);
    }
    fleet.engines[0]->behaviour().declines = false;
    BOOST_TEST(awaitResults(fleet, 0, "j9", 1).size() == 1);
    BOOST_TEST(fleet.call(1, callOn("GET", "/-/items/j9?id=j9-0", "key1"))->status == 404);
}

// Guards against a cancelled job that goes on, at its own daemon and through another one.
BOOST_AUTO_TEST_CASE(ACancelledJobStops)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 1000;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(10);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j10", 30, "key1"))->status == 202);
    fleet.runFor(Milliseconds(400));
    BOOST_TEST(fleet.call(1, callOn("DELETE", "/-/lots/j10", "key1"))->status == 200);
    BOOST_TEST(fleet.call(1, callOn("DELETE", "/-/lots/j10", "key1"))->status == 200);
    fleet.runFor(Milliseconds(300));
    const std::size_t runs = fleet.engines[0]->runs().size();
    for (const FakeEngine::Run &run : fleet.engines[0]->runs()) {
        BOOST_TEST(run.isCut);
    }
    fleet.runFor(Milliseconds(1000));
    BOOST_TEST(fleet.engines[0]->runs().size() == runs);
}

// Guards against items that go on for long because their job was cancelled in the store, and the owner does not hear the
// daemon that did it. In a large fleet, daemons seldom list the records.
BOOST_AUTO_TEST_CASE(AJobThatWasCancelledUnnoticedStops)
{
    constexpr int ENGINES = 6;
    PlatformFleet fleet(1, ENGINES);
    SimulatedDaemons others(fleet);
    // The first list of the records has been made, and the next one is planned for the large fleet.
    fleet.runFor(Milliseconds(3000));
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j15", 200, "key1"))->status == 202);
    const auto runs = [&fleet] {
        std::size_t count = 0;
        for (const auto &engine : fleet.engines) {
            count += engine->runs().size();
        }
        return count;
    };
    BOOST_REQUIRE(fleet.runUntil([&runs] { return runs() > 3; }, RUN_TIME));
    JobRecord record = storedRecord(fleet, "j15");
    record.isCancelled = true;
    fleet.store.put("jobs", "j15", toStored(record).spec);
    fleet.runFor(CANCEL_BOUND);
    const std::size_t runsAtBound = runs();
    fleet.runFor(Milliseconds(2000));
    BOOST_TEST(runs() == runsAtBound);
}

// Guards against an owner that is told and does not look.
BOOST_AUTO_TEST_CASE(AnOwnerThatIsToldOfACancellationStops)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 1000;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(10);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j16", 30, "key1"))->status == 202);
    fleet.runFor(Milliseconds(400));
    JobRecord record = storedRecord(fleet, "j16");
    record.isCancelled = true;
    fleet.store.put("jobs", "j16", toStored(record).spec);
    const auto told = fleet.callAddress(record.ownerAddress, { "POST", "/cancelled/j16", {}, {} });
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST(told->status == 200);
    fleet.runFor(Milliseconds(200));
    for (const FakeEngine::Run &run : fleet.engines[0]->runs()) {
        BOOST_TEST(run.isCut);
    }
}

// Guards against a cancellation that only the store knows: the owner does not answer, but may still run items.
BOOST_AUTO_TEST_CASE(ACancellationWithoutTheOwnerIsAnnounced)
{
    PlatformFleet fleet(1, 1);
    SimulatedDaemons others(fleet);
    JobRecord record;
    record.id = "j17";
    record.team = "weavers";
    record.host = "shop";
    record.prefix = "/batch/";
    record.owner = SimulatedDaemons::nameOf(3);
    record.ownerIncarnation = SimulatedDaemons::INCARNATION;
    record.ownerAddress = others.address();
    record.submittedAt = WallClock::now();
    record.dueAt = record.submittedAt + std::chrono::minutes(1);
    record.giveUpAt = record.dueAt;
    record.itemCount = 1;
    fleet.store.put("jobs", "j17", toStored(record).spec);
    // Not confirmed, since neither the owner nor a relay has told that it heard; and no refusal, since the job is cancelled.
    BOOST_TEST(fleet.call(0, callOn("DELETE", "/-/lots/j17", "key1"))->status == 504);
    BOOST_TEST(storedRecord(fleet, "j17").isCancelled);
    BOOST_TEST(others.cancelledJobs().contains("j17"));
    // A report that a relay echoes at the last moment must still name the job.
    others.forgetCancelledJobs();
    BOOST_TEST(fleet.runUntil([&others] { return others.cancelledJobs().contains("j17"); }, Milliseconds(400)));
}

// Guards against a 503, a promise that nothing was done, while the store may have recorded the cancellation.
BOOST_AUTO_TEST_CASE(AnUncertainCancellationIsNoRefusal)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().declines = true;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j19", 2, "key1"))->status == 202);
    FakeObjectStore::Faults silent;
    silent.isSilent = true;
    silent.onlyTargets = "/jobs";
    fleet.store.setFaults(silent);
    const auto result = fleet.call(0, callOn("DELETE", "/-/lots/j19", "key1"));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->status == 504);
}

// Guards against an owner that reads the record of an unverified job again and again while the store is slow to answer.
BOOST_AUTO_TEST_CASE(ASlowStoreIsNotAskedTwiceAtOnce)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().declines = true;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j20", 2, "key1"))->status == 202);
    const std::string owner = storedRecord(fleet, "j20").ownerAddress;
    FakeObjectStore::Faults silent;
    silent.isSilent = true;
    silent.onlyTargets = "/jobs/j20";
    fleet.store.setFaults(silent);
    const auto reads = [&fleet] {
        return fleet.store.callCount("GET /-/objects/jobs/j20");
    };
    const int before = reads();
    BOOST_TEST(fleet.callAddress(owner, { "POST", "/cancelled/j20", {}, {} })->status == 200);
    fleet.runFor(Milliseconds(1200));
    BOOST_TEST(reads() - before == 1);
}

// Guards against a cancellation that is refused for good because the owner has crashed.
BOOST_AUTO_TEST_CASE(ACancellationAfterTheOwnersCrashIsConfirmed)
{
    PlatformFleet fleet(3, 1);
    fleet.engines[0]->behaviour().declines = true;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j18", 2, "key1"))->status == 202);
    fleet.runFor(Milliseconds(300));
    fleet.killDaemon(0);
    BOOST_TEST(fleet.call(1, callOn("DELETE", "/-/lots/j18", "key1"))->status == 200);
    BOOST_TEST(storedRecord(fleet, "j18").isCancelled);
}

// Guards against a job that stays undone, or whose listed results change, when its daemon is killed.
BOOST_AUTO_TEST_CASE(AJobOfAKilledDaemonIsTakenOver)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 60;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j11", 12, "key1"))->status == 202);
    fleet.runFor(Milliseconds(1500));
    fleet.killDaemon(0);
    const auto results = awaitResults(fleet, 1, "j11", 12);
    BOOST_REQUIRE(results.size() == 12);
    std::set<std::string> ids;
    for (const JobResult &result : results) {
        ids.insert(result.itemId);
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, 60));
    }
    BOOST_TEST(ids.size() == 12);
}

// Guards against a job that ends for good, or whose results cannot be read, because another writer has put entries into its log.
BOOST_AUTO_TEST_CASE(OddEntriesOfAResultLogAreSkipped)
{
    constexpr std::size_t ITEMS = 30;
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 30;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j31", ITEMS, "key1"))->status == 202);
    const auto putOdd = [&fleet] {
        const std::string due = absl::StrCat(1000000 + fleet.store.countOf("results-j31")).substr(1);
        fleet.store.put("results-j31", due, R"({"results":[{"id":7,"state":"completed"}]})");
    };
    // The owner meets one under the number that is due.
    putOdd();
    const auto before = awaitResults(fleet, 0, "j31", 2);
    BOOST_REQUIRE(before.size() >= 2);
    BOOST_REQUIRE(before.size() < ITEMS);
    putOdd();
    fleet.store.put("results-j31", "notes", R"({"results":[{"id":"j31-0","state":"completed","text":"another one"}]})");
    fleet.killDaemon(0);
    const auto results = awaitResults(fleet, 1, "j31", ITEMS);
    BOOST_REQUIRE(results.size() == ITEMS);
    BOOST_TEST(std::equal(before.begin(), before.end(), results.begin()));
    std::set<std::string> ids;
    for (const JobResult &result : results) {
        ids.insert(result.itemId);
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, 30));
    }
    BOOST_TEST(ids.size() == ITEMS);
    // A daemon that does not own the job reads the log.
    const std::size_t other = fleet.startDaemon("daemon2");
    BOOST_REQUIRE(fleet.runUntil([&fleet, other] { return fleet.isReady(other); }, RUN_TIME));
    fleet.killDaemon(1);
    BOOST_TEST((awaitResults(fleet, other, "j31", ITEMS) == results));
}

// Guards against an owner that was only slow and goes on listing results after another daemon has taken its job over.
BOOST_AUTO_TEST_CASE(AnOwnerThatWasReplacedStops)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().events = 60;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j13", 2, "key1"))->status == 202);
    fleet.runFor(Milliseconds(300));
    const auto record = jobRecordFrom({ "jobs", "j13", 1, {}, fleet.store.specOf("jobs", "j13") });
    BOOST_REQUIRE(record.ok());
    JobRecord taken = *record;
    taken.owner = "another";
    fleet.store.put("jobs", "j13", toStored(taken).spec);
    fleet.store.put("results-j13", "000000", R"({"total":0,"nextToken":0,"results":[]})");
    // Both items are done by then, and the write of their results finds the entry of the new owner. Later this daemon
    // takes the job over again, since nobody hears the new owner.
    const bool areDone
        = fleet.runUntil([&fleet] { return fleet.engines[0]->runs().size() == 2 && fleet.engines[0]->runs()[1].isComplete; }, RUN_TIME);
    BOOST_TEST(areDone);
    fleet.runFor(Milliseconds(150));
    BOOST_TEST(fleet.store.countOf("results-j13") == 1);
    BOOST_TEST(fleet.results(0, "j13", "key1").empty());
}

// Guards against a position that has been read at the new owner and is empty at the former one, which was only slow and
// does not know yet that its job was taken over. A former owner that cannot tell must not say that there is nothing.
BOOST_AUTO_TEST_CASE(AFormerOwnerHidesNoResult)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().events = 1000;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j14", 2, "key1"))->status == 202);
    fleet.runFor(Milliseconds(300));
    const auto record = jobRecordFrom({ "jobs", "j14", 1, {}, fleet.store.specOf("jobs", "j14") });
    BOOST_REQUIRE(record.ok());
    JobRecord taken = *record;
    taken.owner = "another";
    fleet.store.put("jobs", "j14", toStored(taken).spec);
    const JobResult result { "j14-0", true, "text" };
    fleet.store.put("results-j14", "000000", platform::makeAdapter().encodeResults(1, 0, { result }));
    const auto target = [](int after) {
        return callOn("GET", absl::StrCat("/-/lots/j14?after=", after), "key1");
    };
    fleet.runFor(Milliseconds(1000));
    const auto first = fleet.call(0, target(0));
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->status == 200);
    BOOST_TEST(first->body.find("j14-0") != std::string::npos);

    // The store is silent: whether there is a further result cannot be known.
    FakeObjectStore::Faults refused;
    refused.refuseStatus = 503;
    fleet.store.put("jobs", "j14", toStored(*record).spec);
    fleet.store.setFaults(refused);
    fleet.runFor(Milliseconds(900));
    const auto unsure = fleet.call(0, target(1));
    BOOST_REQUIRE(unsure.has_value());
    BOOST_TEST(unsure->status == 503);
}

// Guards against two owners, both of which have closed the result log to the owner before them: the claim of one was
// replaced while it waited for the former owner, and what it lists is read and then missing at the later owner.
BOOST_AUTO_TEST_CASE(AReplacedClaimMakesNoOwner)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().events = 1000;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(20);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j20", 2, "key1"))->status == 202);
    fleet.runFor(Milliseconds(300));
    // The former owner accepts the connection and never answers.
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    fleet.store.put(
        "members", "former", absl::StrCat(R"({"peers":")", silent.address().toString(), R"(","data_centre":"east-a","capacity":1})"));
    JobRecord formers = storedRecord(fleet, "j20");
    const std::string taker = formers.owner;
    formers.owner = "former";
    fleet.store.put("jobs", "j20", toStored(formers).spec);
    BOOST_REQUIRE(fleet.runUntil([&] { return storedRecord(fleet, "j20").owner == taker; }, std::chrono::seconds(30)));
    const std::size_t runs = fleet.engines[0]->runs().size();
    JobRecord laters = storedRecord(fleet, "j20");
    laters.owner = "later";
    const std::uint64_t claim = fleet.store.put("jobs", "j20", toStored(laters).spec);
    fleet.store.put("results-j20", "000000", absl::StrCat(R"({"fence":)", claim, "}"));
    // Until the daemon finds that nobody hears the later owner.
    fleet.runFor(Milliseconds(1500));
    BOOST_TEST(fleet.store.countOf("results-j20") == 1);
    BOOST_TEST(fleet.engines[0]->runs().size() == runs);
}

// Guards against work that is lost when a daemon shuts down: the next owner goes on where it stopped.
BOOST_AUTO_TEST_CASE(AJobOfALeavingDaemonIsHandedOver)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().events = 100;
    fleet.engines[0]->behaviour().eventPause = Milliseconds(15);
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("j12", 2, "key1"))->status == 202);
    fleet.runFor(Milliseconds(700));
    fleet.daemons[0]->beginShutdown();
    const auto results = awaitResults(fleet, 1, "j12", 2);
    BOOST_REQUIRE(results.size() == 2);
    for (const JobResult &result : results) {
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, 100));
    }
    int resumed = 0;
    for (const FakeEngine::Run &run : fleet.engines[0]->runs()) {
        resumed += run.head.headers.find("Last-Event-Id") != nullptr ? 1 : 0;
    }
    BOOST_TEST(resumed == 2);
}

// Guards against a job that nobody runs: its record names a daemon that claimed it and could not read its items, and
// that daemon is not its home any more. Found by the soak (seed 28).
BOOST_AUTO_TEST_CASE(AClaimedJobIsLoadedInTheEnd)
{
    PlatformFleet fleet(2, 2);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().declines = true;
    }
    constexpr int JOBS = 8;
    for (int job = 0; job < JOBS; ++job) {
        BOOST_TEST(fleet.call(0, PlatformFleet::submission(absl::StrCat("l", job), 2, "key1"))->status == 202);
    }
    FakeObjectStore::Faults refused;
    refused.refuseStatus = 503;
    refused.onlyTargets = "/payloads";
    fleet.store.setFaults(refused);
    // The reports name the jobs, so that they are taken over as soon as the silence is noticed.
    fleet.runFor(Milliseconds(300));
    fleet.killDaemon(0);
    fleet.runFor(Milliseconds(2500));
    // The homes of most jobs move to the new daemons.
    fleet.startDaemon("daemon7");
    fleet.startDaemon("daemon8");
    fleet.startDaemon("daemon9");
    fleet.runFor(Milliseconds(2300));
    for (const auto &engine : fleet.engines) {
        engine->behaviour().declines = false;
    }
    fleet.store.setFaults({});
    for (int job = 0; job < JOBS; ++job) {
        BOOST_TEST(awaitResults(fleet, 1, absl::StrCat("l", job), 2).size() == 2);
    }
}

// Guards against an owner that takes its own job over while it runs the items, because the retry of a failed load comes after
// the load has succeeded: the texts lack their first events.
BOOST_AUTO_TEST_CASE(AnOwnedJobIsNotTakenOverAgain)
{
    constexpr int JOBS = 8;
    constexpr int EVENTS = 60;
    /// Every how often a daemon lists the records, and how long it waits before it retries a load.
    constexpr Milliseconds LIST_PERIOD { 2000 };
    constexpr Milliseconds RETRY_DELAY { 500 };
    PlatformFleet fleet(2, 2);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().events = EVENTS;
        engine->behaviour().eventPause = Milliseconds(20);
        engine->behaviour().declines = true;
    }
    for (int job = 0; job < JOBS; ++job) {
        BOOST_TEST(fleet.call(0, PlatformFleet::submission(absl::StrCat("o", job), 2, "key1"))->status == 202);
    }
    FakeObjectStore::Faults refused;
    refused.refuseStatus = 503;
    refused.onlyTargets = "/payloads";
    fleet.store.setFaults(refused);
    fleet.runFor(Milliseconds(300));
    fleet.killDaemon(0);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().declines = false;
    }
    // Ends the refusals when a load has failed and the next list comes before its retry.
    int lists = fleet.store.callCount("GET /-/objects/jobs?");
    int loads = 0;
    BootTime listedAt;
    const bool isListDue = fleet.runUntil(
        [&] {
            const BootTime now = BootClock::now();
            if (const int count = fleet.store.callCount("GET /-/objects/jobs?"); count > lists) {
                lists = count;
                listedAt = now;
            }
            const int count = fleet.store.callCount("GET /-/objects/payloads");
            const bool hasFailed = std::exchange(loads, count) < count;
            return hasFailed && now - listedAt > LIST_PERIOD - RETRY_DELAY + Milliseconds(50) && now - listedAt < LIST_PERIOD;
        },
        Milliseconds(15000));
    BOOST_TEST(isListDue);
    fleet.store.setFaults({});
    for (int job = 0; job < JOBS; ++job) {
        for (const JobResult &result : awaitResults(fleet, 1, absl::StrCat("o", job), 2)) {
            BOOST_TEST(result.isCompleted);
            BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, EVENTS));
        }
    }
    for (const auto &engine : fleet.engines) {
        for (const FakeEngine::Run &run : engine->runs()) {
            BOOST_TEST(run.isComplete);
        }
    }
}

// Guards against items that run after their job was ended while a daemon took it over: the record that it had claimed was open.
BOOST_AUTO_TEST_CASE(AJobThatIsEndedDuringATakeoverStops)
{
    constexpr int JOBS = 6;
    PlatformFleet fleet(3, 2);
    for (const auto &engine : fleet.engines) {
        engine->behaviour().declines = true;
    }
    for (int job = 0; job < JOBS; ++job) {
        BOOST_TEST(fleet.call(0, PlatformFleet::submission(absl::StrCat("e", job), 2, "key1"))->status == 202);
    }
    fleet.runFor(Milliseconds(300));
    const auto member = Json::parseObject(fleet.store.specOf("members", "daemon0"));
    const std::string formerAddress = *Json::requireString(**member, "peers");
    fleet.killDaemon(0);
    // As a frozen owner: the call for the progress of its items is taken and not answered.
    std::vector<std::shared_ptr<Channel>> calls;
    const auto frozen = Listener::open(fleet.loop, formerAddress, [&calls](std::shared_ptr<Channel> channel) {
        channel->start([](std::string_view) {}, [](ChannelEnd) {});
        calls.push_back(std::move(channel));
    });
    BOOST_REQUIRE(frozen.ok());
    const auto isClaimed = [&fleet](int job) {
        return storedRecord(fleet, absl::StrCat("e", job)).owner != "daemon0";
    };
    BOOST_REQUIRE(fleet.runUntil(
        [&isClaimed] {
            int claimed = 0;
            for (int job = 0; job < JOBS; ++job) {
                claimed += isClaimed(job) ? 1 : 0;
            }
            return claimed == JOBS;
        },
        RUN_TIME));
    for (int job = 0; job < JOBS; ++job) {
        const std::size_t daemon = 1 + static_cast<std::size_t>(job % 2);
        BOOST_TEST(fleet.call(daemon, callOn("DELETE", absl::StrCat("/-/lots/e", job), "key1"))->status == 200);
    }
    for (const auto &engine : fleet.engines) {
        engine->behaviour().declines = false;
    }
    fleet.runFor(CANCEL_BOUND);
    BOOST_TEST(!calls.empty());
    for (int job = 0; job < JOBS; ++job) {
        for (int item = 0; item < 2; ++item) {
            BOOST_TEST(totalRuns(fleet, absl::StrCat("e", job, "-", item)) == 0);
        }
    }
}

// Guards against a batch item that is never placed again because upstreams crashed while they ran it: the crashes were not
// its fault, and it is still owed.
BOOST_AUTO_TEST_CASE(AnItemUnderWhichUpstreamsCrashedIsCompleted)
{
    constexpr int CRASHES = 4;
    constexpr Milliseconds CRASH_TIME { 5000 };
    PlatformFleet fleet(2, 1);
    const auto runner = [&fleet] {
        const auto found = std::find_if(fleet.engines.begin(), fleet.engines.end(), [](const auto &engine) {
            const auto runs = engine->runsOfRequest("10b1-0");
            return !engine->hasCrashed() && !runs.empty() && !runs.back().isCut && !runs.back().isComplete;
        });
        return found == fleet.engines.end() ? nullptr : found->get();
    };
    fleet.engines.front()->behaviour().eventPause = Milliseconds(2000);
    BOOST_REQUIRE(fleet.call(0, PlatformFleet::submission("10b1", 1, "key1")));
    for (int crash = 0; crash < CRASHES; ++crash) {
        BOOST_REQUIRE_MESSAGE(fleet.runUntil([&runner] { return runner() != nullptr; }, CRASH_TIME), "after " << crash << " crashes");
        FakeEngine *crashed = runner();
        const bool isLast = crash + 1 == CRASHES;
        fleet.engines.push_back(std::make_unique<FakeEngine>(fleet.loop, absl::StrCat("server", crash + 1)));
        fleet.engines.back()->behaviour().eventPause = isLast ? Milliseconds(5) : Milliseconds(2000);
        fleet.registerEngine(*fleet.engines.back(), "ready");
        fleet.runFor(Milliseconds(200));
        crashed->crash();
        fleet.store.remove("servers", crashed->name());
    }
    BOOST_TEST(fleet.runUntil([&fleet] { return fleet.results(1, "10b1", "key1").size() == 1; }, CRASH_TIME));
    const auto results = fleet.results(1, "10b1", "key1");
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST(results.front().isCompleted);
}

// Guards against jobs that nobody takes over because the only daemon of a data centre owned them, is lost for good, and was never
// heard by those that are left, which were restarted at the same moment: 0 of 10 items were ever listed.
BOOST_AUTO_TEST_CASE(JobsOfALostDataCentreAreTakenOverAfterARestart)
{
    PlatformFleet fleet(0, 2);
    fleet.adjustSettings = [](FrontSettings &settings) {
        settings.dataCentre = settings.name.substr(0, settings.name.find('.'));
    };
    const std::vector<std::string> names { "east-a.0", "east-a.1", "east-b.0" };
    for (const std::string &name : names) {
        fleet.startDaemon(name);
    }
    fleet.awaitReady();
    fleet.runFor(Milliseconds(1000));
    BOOST_TEST(fleet.call(2, PlatformFleet::submission("job", 10, "key1"))->status == 202);
    for (std::size_t daemon : { std::size_t(2), std::size_t(0), std::size_t(1) }) {
        fleet.killDaemon(daemon);
    }
    fleet.startDaemon(names[0]);
    fleet.startDaemon(names[1]);
    fleet.awaitReady();
    std::vector<JobResult> results;
    fleet.runUntil(
        [&fleet, &results] {
            results = fleet.results(3, "job", "key1");
            return results.size() == 10U;
        },
        Milliseconds(15000));
    BOOST_TEST(results.size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
