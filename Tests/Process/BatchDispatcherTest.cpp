#include "Process/BatchDispatcher.h"

#include "Support/BatchChecks.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

namespace poplardock {

namespace {

/// Waits for the end of the job and checks that every item is done.
auto checkAllDone(BatchFleet &fleet, const JobSubmission &submission) -> void
{
    const BatchJob job = fleet.awaitEnd(submission.team, submission.jobKey);
    BOOST_TEST((job.state == JobState::Done));
    BOOST_TEST(job.doneItems == static_cast<std::int64_t>(submission.items.size()));
    BOOST_TEST(job.failedItems == 0);
    readAll(fleet, submission);
}

/// Leases the first chunk for a holder that does not run in the test.
auto leaseAs(BatchFleet &fleet, const JobSubmission &submission, const ChunkHolder &holder) -> StoredChunk
{
    const auto stored = fleet.store().readChunk(jobIdOf(submission.team, submission.jobKey), 0);
    BOOST_REQUIRE(stored.ok());
    const auto leased
        = fleet.store().applyTransition(*stored, [&](const BatchChunk &value) { return ChunkTransition::lease(value, holder); });
    BOOST_REQUIRE(leased.ok());
    return *leased;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BatchDispatcherSuite)

// Guards against items that are lost, run twice although nothing failed, or returned with another item's response.
BOOST_AUTO_TEST_CASE(EveryItemCompletesOnceOverTwoDaemons)
{
    BatchFleet fleet(2, 4);
    const auto submission = BatchFleet::modelJob("job", 150);
    accept(fleet, submission);
    fleet.startAll();
    checkAllDone(fleet, submission);
    for (const JobSubmission::Item &item : submission.items) {
        BOOST_TEST(fleet.receivedCount(item.id) == 1);
    }
}

// Guards against items that still reach an upstream whose answer to an item said that it leaves.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesGetsNoFurtherItems)
{
    BatchFleet fleet(2, 2);
    for (const auto &submission : { BatchFleet::modelJob("job", 150), BatchFleet::pathJob("paths", "/lookups", true, 60) }) {
        accept(fleet, submission);
    }
    BOOST_REQUIRE(fleet.upstreams[0]->setFaults(R"({"leaving":true})").ok());
    fleet.startAll();
    BOOST_REQUIRE(BatchFleet::await([&fleet] { return fleet.table->isLeaving("u0", Clock::now()); }));
    // An item that was sent before the first answer may still arrive.
    std::this_thread::sleep_for(Milliseconds(50));
    const std::size_t received = fleet.upstreams[0]->received().size();
    checkAllDone(fleet, BatchFleet::modelJob("job", 150));
    BOOST_TEST(fleet.upstreams[0]->received().size() == received);
    BOOST_TEST(received < 60U);
}

// Guards against items that are lost or run again because the store's response to a lease, a commit or the recording of
// an ended chunk was lost.
BOOST_AUTO_TEST_CASE(LostResponsesToStoreWritesLoseNothing)
{
    BatchFleet fleet(2, 4);
    const auto submission = BatchFleet::modelJob("job", 150);
    accept(fleet, submission);
    BOOST_REQUIRE(fleet.platform->setFaults(R"({"lose_write_answers":12})").ok());
    fleet.startAll();
    checkAllDone(fleet, submission);
    for (const JobSubmission::Item &item : submission.items) {
        BOOST_TEST(fleet.receivedCount(item.id) == 1);
    }
}

// Guards against losing results during a store outage, and against leasing chunks during it.
BOOST_AUTO_TEST_CASE(StoreOutageDelaysCommitsOnly)
{
    BatchFleet fleet(1, 2);
    const auto submission = BatchFleet::modelJob("job", 100);
    accept(fleet, submission);
    fleet.startAll();
    BOOST_REQUIRE(BatchFleet::await([&] { return fleet.receivedCount("item-") >= 5; }));
    BOOST_REQUIRE(fleet.platform->setFaults(R"({"outage":true})").ok());
    const auto leases = fleet.daemons[0]->metrics.counter("batch_leases");
    std::this_thread::sleep_for(Milliseconds(1500));
    BOOST_TEST(fleet.daemons[0]->metrics.counter("batch_leases") == leases);
    BOOST_REQUIRE(fleet.platform->setFaults(R"({"outage":false})").ok());
    checkAllDone(fleet, submission);
    for (const JobSubmission::Item &item : submission.items) {
        BOOST_TEST(fleet.receivedCount(item.id) == 1);
    }
}

// Guards against chunks that are never finished because their holder was lost after the lease, or after it stored
// results and before it committed them.
BOOST_AUTO_TEST_CASE(ChunksOfALostHolderAreLeased)
{
    for (const bool hasWrittenResults : { false, true }) {
        BatchFleet fleet(1, 2);
        const auto submission = BatchFleet::modelJob("job", 10);
        accept(fleet, submission);
        const StoredChunk held = leaseAs(fleet, submission, { "vanished", "1" });
        const std::string lateName = JobStore::resultNameOf(held.chunk, held.chunk.epoch, 0);
        if (hasWrittenResults) {
            BOOST_REQUIRE(fleet.store().writeResults(lateName, { { 0, 200, "of the vanished holder" } }).ok());
        }
        fleet.startAll();
        checkAllDone(fleet, submission);
        const auto commit = [&](const BatchChunk &value) {
            return ChunkTransition::commit(value, { { "vanished", "1" }, held.chunk.epoch }, { { 0, ItemCompleted { lateName } } });
        };
        BOOST_TEST(absl::IsAborted(fleet.store().applyTransition(held, commit).status()));
    }
}

// Guards against a chunk that a member holds forever without progress, for example because its process is suspended.
BOOST_AUTO_TEST_CASE(HolderWithoutProgressIsReplaced)
{
    BatchFleet fleet(2, 4);
    const auto submission = BatchFleet::modelJob("job", 10);
    accept(fleet, submission);
    leaseAs(fleet, submission, { "d1", "i" });
    fleet.startDispatcher(0);
    checkAllDone(fleet, submission);
}

// Guards against replacing a holder whose items take longer than the lease time-out.
BOOST_AUTO_TEST_CASE(LongItemsKeepTheirLease)
{
    FakeUpstream::Options slow;
    slow.prefillMs = 5000;
    BatchFleet fleet(2, 4, slow);
    const auto submission = BatchFleet::modelJob("job", 2);
    accept(fleet, submission);
    fleet.startAll();
    checkAllDone(fleet, submission);
    BOOST_TEST(fleet.receivedCount("item-") == 2);
    BOOST_TEST(fleet.daemons[0]->metrics.counter("batch_leases") + fleet.daemons[1]->metrics.counter("batch_leases") == 1U);
}

// Guards against running a non-repeatable item twice after its holder was lost or stopped.
BOOST_AUTO_TEST_CASE(NonRepeatableItemsRunAtMostOnce)
{
    BatchFleet fleet(2, 4);
    const auto submission = BatchFleet::pathJob("job", "/holds/a", false, 40);
    accept(fleet, submission);
    const StoredChunk held = leaseAs(fleet, submission, { "vanished", "1" });
    const ChunkLease lease { { "vanished", "1" }, held.chunk.epoch };
    BOOST_REQUIRE(fleet.store()
                      .applyTransition(held,
                                       [&](const BatchChunk &value) {
                                           return ChunkTransition::start(value, lease, { 3, 5 });
                                       })
                      .ok());
    fleet.startAll();
    BOOST_REQUIRE(BatchFleet::await([&] { return fleet.receivedCount("item-") >= 5; }));
    fleet.daemons[1]->dispatcher->stop();
    const BatchJob job = fleet.awaitEnd("t", "job");
    BOOST_TEST((job.state == JobState::Done));
    const auto items = readAll(fleet, submission);
    for (std::size_t index = 0; index < items.size(); ++index) {
        const bool wasStarted = index == 3 || index == 5;
        BOOST_TEST((items[index].error == (wasStarted ? ResultCode::ItemMayHaveRun : ResultCode::Ok)));
        BOOST_TEST(fleet.receivedCount(items[index].id) == (wasStarted ? 0 : 1));
    }
}

// Guards against marking ever more items as started while their upstream cannot be reached: items that are marked and
// not sent fail when their holder is lost.
BOOST_AUTO_TEST_CASE(FewItemsAreMarkedStartedAheadOfTheirAttempts)
{
    BatchFleet fleet(1, 1);
    const auto submission = BatchFleet::pathJob("job", "/holds/a", false, 60);
    accept(fleet, submission);
    fleet.upstreams[0].reset();
    fleet.startAll();
    // The limit is one and grows by two at most once for each failure; three items are marked ahead.
    BOOST_REQUIRE(BatchFleet::await([&] {
        const auto chunk = fleet.store().readChunk(jobIdOf("t", "job"), 0);
        BOOST_REQUIRE(chunk.ok());
        BOOST_REQUIRE(chunk->chunk.count(ItemState::Started) <= 12);
        return fleet.daemons[0]->metrics.counter("batch_items_returned") >= 3;
    }));
}

// Guards against sending non-repeatable items again after their response was lost.
BOOST_AUTO_TEST_CASE(LostResponseEndsANonRepeatableItem)
{
    BatchFleet fleet(1, 1);
    BOOST_REQUIRE(fleet.upstreams[0]->setFaults(R"({"reset_requests":2})").ok());
    const auto submission = BatchFleet::pathJob("job", "/holds/a", false, 6);
    accept(fleet, submission);
    fleet.startAll();
    const BatchJob job = fleet.awaitEnd("t", "job");
    BOOST_TEST(job.doneItems == 4);
    BOOST_TEST(job.failedItems == 2);
    for (const ItemResult &item : readAll(fleet, submission)) {
        BOOST_TEST(fleet.receivedCount(item.id) == 1);
        BOOST_TEST((item.error == ResultCode::Ok || item.error == ResultCode::ItemMayHaveRun));
    }
}

// Guards against a cancelled job that continues, and against items sent after the holders have noticed the cancel.
BOOST_AUTO_TEST_CASE(CancelStopsTheJob)
{
    FakeUpstream::Options slow;
    slow.prefillMs = 300;
    BatchFleet fleet(2, 4, slow);
    const auto submission = BatchFleet::modelJob("job", 500);
    accept(fleet, submission);
    fleet.startAll();
    BOOST_REQUIRE(BatchFleet::await([&] { return fleet.receivedCount("item-") >= 5; }));
    BOOST_REQUIRE(std::holds_alternative<BatchJob>(fleet.store().cancel("t", "job")));
    BOOST_TEST(BatchFleet::await([&] {
        return std::all_of(fleet.daemons.begin(), fleet.daemons.end(), [](const auto &daemon) {
            return Json::toText(*daemon->dispatcher->toJson()).find(R"("held_chunks":{})") != std::string::npos;
        });
    }));
    const int received = fleet.receivedCount("item-");
    std::this_thread::sleep_for(Milliseconds(1500));
    BOOST_TEST(fleet.receivedCount("item-") == received);
    BOOST_TEST((fleet.awaitEnd("t", "job").state == JobState::Cancelled));
}

// Guards against jobs that never end because the upstreams refuse or fail some items at every attempt.
BOOST_AUTO_TEST_CASE(ItemsThatAlwaysFailEnd)
{
    BatchFleet refusing(1, 2);
    checkAllFail(refusing, R"({"refuse_status":422})", ResultCode::ItemRefused, 1);
    BatchFleet failing(1, 2);
    checkAllFail(failing, R"({"refuse_status":500})", ResultCode::ItemAttemptsExhausted, 3);
}

// Guards against an item that is never run again because upstreams crashed under it, and against runs of it in quick
// succession while they do. Load pattern: each upstream crashes whenever it runs one item, until all are repaired.
BOOST_AUTO_TEST_CASE(AnItemUnderWhichUpstreamsCrashedIsCompleted)
{
    // More than the failed attempts after which an item ends.
    constexpr int CRASHES = 4;
    BatchFleet fleet(1, 3);
    fleet.areUpstreamsDown = true;
    for (const auto &upstream : fleet.upstreams) {
        upstream->setCrashHandler([] {});
        BOOST_REQUIRE(upstream->setFaults(R"({"crash_on":"item-7."})").ok());
    }
    const auto submission = BatchFleet::modelJob("job", 20);
    accept(fleet, submission);
    const TimePoint started = Clock::now();
    fleet.startAll();
    BOOST_REQUIRE(BatchFleet::await([&] { return fleet.receivedCount("item-7.") >= CRASHES; }));
    // 1 s after the first crash, and twice as long after each further one.
    BOOST_TEST((Clock::now() - started >= std::chrono::seconds(1 + 2 + 4)));
    for (const auto &upstream : fleet.upstreams) {
        BOOST_REQUIRE(upstream->setFaults(R"({"crash_on":""})").ok());
    }
    const BatchJob job = fleet.awaitEnd("t", "job");
    BOOST_TEST(job.doneItems == 20);
    BOOST_TEST(job.failedItems == 0);
    BOOST_TEST((readAll(fleet, submission)[7].error == ResultCode::Ok));
    BOOST_TEST(fleet.receivedCount("item-7.") == CRASHES + 1);
}

// Guards against batch streams that continue while online requests wait, and against losing the aborted items.
BOOST_AUTO_TEST_CASE(PreemptedItemsStillComplete)
{
    FakeUpstream::Options slow;
    slow.tokenMs = 150;
    BatchFleet fleet(1, 1, slow);
    const auto submission = BatchFleet::modelJob("job", 12);
    accept(fleet, submission);
    fleet.startAll();
    const auto &metrics = fleet.daemons[0]->metrics;
    for (int preemption = 1; preemption <= 4; ++preemption) {
        BOOST_REQUIRE(BatchFleet::await([&] { return fleet.receivedCount("item-") >= 3 * preemption; }));
        fleet.daemons[0]->dispatcher->preempt("u0");
    }
    fleet.daemons[0]->dispatcher->preempt("unknown");
    checkAllDone(fleet, submission);
    BOOST_TEST(metrics.counter("batch_items_returned") > 0U);
}

// Guards against a shutdown after which other daemons have to wait for the lease time-out.
BOOST_AUTO_TEST_CASE(StopReleasesChunks)
{
    FakeUpstream::Options slow;
    slow.prefillMs = 200;
    BatchFleet fleet(2, 4, slow);
    const auto submission = BatchFleet::modelJob("job", 30);
    accept(fleet, submission);
    fleet.startDispatcher(0);
    BOOST_REQUIRE(BatchFleet::await([&] { return fleet.receivedCount("item-") >= 3; }));
    fleet.daemons[0]->dispatcher->stop();
    const auto chunk = fleet.store().readChunk(jobIdOf("t", "job"), 0);
    BOOST_REQUIRE(chunk.ok());
    BOOST_TEST(chunk->chunk.holder.name.empty());
    fleet.startDispatcher(1);
    checkAllDone(fleet, submission);
}

// Guards against a daemon that keeps its chunks although none of its upstreams can be reached.
BOOST_AUTO_TEST_CASE(ChunksAreReleasedWhenAllUpstreamsOfADaemonAreDown)
{
    BatchFleet fleet(2, 4);
    const auto submission = BatchFleet::modelJob("job", 200);
    accept(fleet, submission);
    for (std::size_t index = 0; index < fleet.upstreams.size(); ++index) {
        const auto &members = fleet.daemons[0]->fleet.current()->members;
        if (members.homeOf(absl::StrCat("upstream/u", index), "r")->name == "d0") {
            fleet.upstreams[index].reset();
        }
    }
    fleet.startDispatcher(0);
    BOOST_REQUIRE(BatchFleet::await([&] { return fleet.daemons[0]->metrics.counter("batch_items_returned") > 0; }));
    fleet.startDispatcher(1);
    checkAllDone(fleet, submission);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
