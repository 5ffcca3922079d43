#include "Process/Batch/OwnedJob.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

auto makeJob() -> OwnedJob
{
    JobRecord record;
    record.id = "job";
    record.team = "team";
    std::vector<JobItem> items(3);
    items[0].id = "a";
    items[1].id = "b";
    items[2].id = "c";
    return OwnedJob(record, items, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnedJobSuite)

// Callers must not see a result before it is in the store: another owner might commit a different one.
BOOST_AUTO_TEST_CASE(ResultsAreVisibleOnceCommitted)
{
    OwnedJob job = makeJob();
    job.findItem("b")->text = "text";
    job.finishItem(*job.findItem("b"), true);
    BOOST_TEST(job.committed().empty());
    BOOST_REQUIRE(job.uncommitted().size() == 1);
    job.markCommitted(1);
    BOOST_REQUIRE(job.committed().size() == 1);
    BOOST_TEST((job.committed()[0] == JobResult { "b", true, "text" }));
    BOOST_TEST(job.nextEntryNumber() == 1);
    BOOST_TEST(!job.isComplete());
}

// Guards against an item with two log entries: another owner commits it while this one still holds its own result.
BOOST_AUTO_TEST_CASE(ResultsCommittedByAnotherOwnerAreDropped)
{
    OwnedJob job = makeJob();
    job.finishItem(*job.findItem("a"), true);
    job.finishItem(*job.findItem("b"), true);
    job.replaceResultLog({ { { "a", true, "other" } }, 1 });
    BOOST_REQUIRE(job.uncommitted().size() == 1);
    BOOST_TEST(job.uncommitted()[0].itemId == "b");
    BOOST_TEST(job.committed()[0].text == "other");
    job.finishItem(*job.findItem("a"), true);
    BOOST_TEST(job.uncommitted().size() == 1);
}

// Guards against attempts that restart from the first event, and against lost results, when a daemon that shuts down
// hands over a job.
BOOST_AUTO_TEST_CASE(ProgressIsHandedOver)
{
    OwnedJob former = makeJob();
    ItemProgress *begun = former.findItem("a");
    begun->text = "one\ntwo";
    begun->eventCount = 2;
    begun->lastEventId = 1;
    begun->failures = 1;
    former.findItem("b")->text = "done";
    former.finishItem(*former.findItem("b"), true);
    OwnedJob next = makeJob();
    BOOST_REQUIRE(next.applyProgress(former.progressText()).ok());
    BOOST_TEST(next.findItem("a")->text == "one\ntwo");
    BOOST_TEST(next.findItem("a")->lastEventId.value_or(-1) == 1);
    BOOST_TEST(next.findItem("a")->failures == 1);
    BOOST_REQUIRE(next.uncommitted().size() == 1);
    BOOST_TEST((next.uncommitted()[0] == JobResult { "b", true, "done" }));
    BOOST_TEST(next.findItem("c")->lastEventId.has_value() == false);
    BOOST_TEST(!next.applyProgress("nonsense").ok());
}

// Guards against a field that is lost or changed between encoding and decoding.
BOOST_AUTO_TEST_CASE(RecordsSurviveRoundTrip)
{
    JobRecord record;
    record.id = "job";
    record.team = "team";
    record.host = "host";
    record.prefix = "/p/";
    record.owner = "a";
    record.ownerIncarnation = "i";
    record.ownerAddress = "1.2.3.4:5";
    record.itemCount = 10;
    record.payloadCount = 2;
    record.submittedAt = WallClock::time_point(Milliseconds(1000));
    record.dueAt = WallClock::time_point(Milliseconds(19000));
    record.giveUpAt = WallClock::time_point(Milliseconds(61000));
    record.isCancelled = true;
    record.version = 9;
    const auto read = jobRecordFrom(toStored(record));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == record));
    BOOST_TEST(!jobRecordFrom({ "jobs", "x", 1, {}, "{}" }).ok());
}

// Guards against a handover that takes several times the memory of all texts of a large job at both daemons.
BOOST_AUTO_TEST_CASE(AHandoverLeavesOutWhatIsTooLarge)
{
    constexpr std::size_t TEXT_BYTES = 5U << 20U;
    OwnedJob former = makeJob();
    for (const char *id : { "a", "b" }) {
        ItemProgress &item = *former.findItem(id);
        item.text = std::string(TEXT_BYTES, 'x');
        item.lastEventId = 7;
        item.eventCount = 8;
        item.failures = 1;
    }
    OwnedJob next = makeJob();
    BOOST_TEST(next.applyProgress(former.progressText()).ok());
    BOOST_TEST(next.findItem("a")->text.size() == TEXT_BYTES);
    BOOST_TEST(next.findItem("a")->lastEventId.value_or(0) == 7);
    BOOST_TEST(next.findItem("b")->text.empty());
    BOOST_TEST(!next.findItem("b")->lastEventId.has_value());
    BOOST_TEST(next.findItem("b")->eventCount == 0);
    BOOST_TEST(next.findItem("b")->failures == 1);
}

// Guards against a handover that the next owner refuses as a whole, since the JSON of its texts is several times their size.
BOOST_AUTO_TEST_CASE(AHandoverOfControlCharactersIsTaken)
{
    constexpr std::size_t TEXT_BYTES = 7U << 20U;
    OwnedJob former = makeJob();
    for (const char *id : { "a", "b" }) {
        ItemProgress &item = *former.findItem(id);
        item.text = id == std::string("a") ? "sound" : std::string(TEXT_BYTES, '\x01');
        item.lastEventId = 7;
        item.eventCount = 8;
    }
    OwnedJob next = makeJob();
    BOOST_TEST(next.applyProgress(former.progressText()).ok());
    BOOST_TEST(next.findItem("a")->text == "sound");
    BOOST_TEST(next.findItem("b")->text.empty());
}

// Guards against a result that the store refuses and that is lost, or kept as the item's only one.
BOOST_AUTO_TEST_CASE(AWithdrawnResultRunsAgain)
{
    const BootTime notBefore = BootTime() + std::chrono::hours(1);
    OwnedJob job = makeJob();
    for (const char *id : { "a", "b" }) {
        job.findItem(id)->text = id;
        job.findItem(id)->lastEventId = 3;
        job.findItem(id)->eventCount = 4;
        job.finishItem(*job.findItem(id), true);
    }
    job.withdrawResult(notBefore);
    BOOST_REQUIRE(job.uncommitted().size() == 1U);
    BOOST_TEST(job.uncommitted()[0].itemId == "b");
    const ItemProgress &item = *job.findItem("a");
    BOOST_TEST((item.phase == ItemPhase::Waiting));
    BOOST_TEST(!item.lastEventId.has_value());
    BOOST_TEST(item.eventCount == 0);
    BOOST_TEST((item.notBefore == notBefore));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
