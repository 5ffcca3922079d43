#include "Process/JobStore.h"

#include "Support/BatchFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

const ChunkHolder FIRST { "first", "1" };
const ChunkHolder SECOND { "second", "1" };

auto codeOf(const std::variant<BatchJob, RequestError> &result) -> ResultCode
{
    const auto *error = std::get_if<RequestError>(&result);
    return error == nullptr ? ResultCode::Ok : error->code;
}

auto wallTimeNow() -> WallTime
{
    return std::chrono::time_point_cast<Milliseconds>(WallClock::now());
}

struct JobStoreFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    StoreClient client { platform->address(), "test", { 1000, 1000 } };
    JobStore store { client, { 1000, 1000 } };

    /// Submits through a daemon whose rate limit allows only this number of store calls.
    auto acceptWithCalls(const JobSubmission &submission, int calls) -> std::variant<BatchJob, RequestError>
    {
        StoreClient limited(platform->address(), absl::StrCat("limited-", calls), { 0.0001, static_cast<double>(calls) });
        return JobStore(limited, { 1000, 1000 }).accept(submission);
    }

    auto lease(const StoredChunk &chunk, const ChunkHolder &holder) -> StoredChunk
    {
        const auto leased
            = store.applyTransition(chunk, [&holder](const BatchChunk &value) { return ChunkTransition::lease(value, holder); });
        BOOST_REQUIRE(leased.ok());
        return *leased;
    }

    auto commitFirstItem(const StoredChunk &chunk, const ChunkHolder &holder, const std::string &result) -> absl::StatusOr<StoredChunk>
    {
        return store.applyTransition(chunk, [&](const BatchChunk &value) {
            return ChunkTransition::commit(value, { holder, chunk.chunk.epoch }, { { 0, ItemCompleted { result } } });
        });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobStoreSuite, JobStoreFixture)

// Guards against a submission that is aborted at some store call, with or without lost responses, and returns a code
// that contradicts the store, or is incomplete after the client has repeated it.
BOOST_AUTO_TEST_CASE(SubmissionAbortedAtAnyCallCanBeRepeated)
{
    for (const int lostResponses : { 0, 1, 3 }) {
        bool wasAccepted = false;
        for (int calls = 1; !wasAccepted; ++calls) {
            BOOST_REQUIRE(calls < 40);
            BOOST_TEST_CONTEXT(calls << " calls, " << lostResponses << " lost answers")
            {
                const auto submission = BatchFleet::modelJob(absl::StrCat("job-", lostResponses, "-", calls), 150);
                BOOST_REQUIRE(platform->setFaults(absl::StrCat(R"({"lose_write_answers":)", lostResponses, "}")).ok());
                const ResultCode code = codeOf(acceptWithCalls(submission, calls));
                BOOST_REQUIRE(platform->setFaults(R"({"lose_write_answers":0})").ok());
                const ResultCode stored = codeOf(store.status("t", submission.jobKey));
                wasAccepted = code == ResultCode::Ok;
                BOOST_TEST((code == ResultCode::Ok || code == ResultCode::JobNotAccepted || code == ResultCode::JobUncertain));
                BOOST_TEST((code != ResultCode::Ok || stored == ResultCode::Ok));
                BOOST_TEST((code != ResultCode::JobNotAccepted || stored == ResultCode::JobUnknown));
                BOOST_TEST((codeOf(store.accept(submission)) == ResultCode::Ok));
                const std::string id = jobIdOf("t", submission.jobKey);
                std::size_t items = 0;
                for (std::int64_t number = 0; number < 3; ++number) {
                    const auto chunk = store.readChunk(id, number);
                    BOOST_REQUIRE(chunk.ok());
                    for (const BatchItem &item : chunk->chunk.items) {
                        BOOST_TEST(item.body == submission.items.at(items++).body);
                    }
                }
                BOOST_TEST(items == submission.items.size());
            }
        }
    }
}

// Guards against two jobs with different content under one job key, before and after the acceptance.
BOOST_AUTO_TEST_CASE(OtherContentUnderTheKeyIsAConflict)
{
    const auto submission = BatchFleet::modelJob("job", 3);
    const auto other = BatchFleet::modelJob("job", 4);
    BOOST_TEST((codeOf(acceptWithCalls(submission, 3)) == ResultCode::JobNotAccepted));
    BOOST_TEST((codeOf(store.accept(other)) == ResultCode::JobConflict));
    BOOST_TEST((codeOf(store.accept(submission)) == ResultCode::Ok));
    BOOST_TEST((codeOf(store.accept(submission)) == ResultCode::Ok));
    BOOST_TEST((codeOf(store.accept(other)) == ResultCode::JobConflict));
    BOOST_TEST(platform->callCount("POST jobs") == 1U);
}

// Guards against a job that is created twice or refused because several daemons accept it at the same time.
BOOST_AUTO_TEST_CASE(SameJobAtSeveralDaemonsIsOneJob)
{
    const auto submission = BatchFleet::modelJob("job", 300);
    std::vector<ResultCode> codes(4, ResultCode::Internal);
    std::vector<std::thread> clients;
    clients.reserve(codes.size());
    for (std::size_t index = 0; index < codes.size(); ++index) {
        clients.emplace_back([&, index] {
            StoreClient own(platform->address(), absl::StrCat("daemon-", index), { 1000, 1000 });
            codes[index] = codeOf(JobStore(own, { 1000, 1000 }).accept(submission));
        });
    }
    for (std::thread &thread : clients) {
        thread.join();
    }
    for (const ResultCode code : codes) {
        BOOST_TEST((code == ResultCode::Ok));
    }
    BOOST_TEST(store.openJobs()->size() == 1U);
}

// Guards against one team reading or cancelling another team's job.
BOOST_AUTO_TEST_CASE(TeamsSeeOnlyTheirOwnJobs)
{
    BOOST_REQUIRE((codeOf(store.accept(BatchFleet::modelJob("job", 1))) == ResultCode::Ok));
    BOOST_TEST((codeOf(store.status("s", "job")) == ResultCode::JobUnknown));
    BOOST_TEST((codeOf(store.cancel("s", "job")) == ResultCode::JobUnknown));
    BOOST_TEST(std::holds_alternative<RequestError>(store.results("s", "job", 0, 10)));
}

// Guards against two results for one item when a holder that was suspended commits after it was replaced.
BOOST_AUTO_TEST_CASE(LateCommitOfAReplacedHolderFails)
{
    BOOST_REQUIRE((codeOf(store.accept(BatchFleet::modelJob("job", 1))) == ResultCode::Ok));
    const std::string id = jobIdOf("t", "job");
    const StoredChunk first = lease(*store.readChunk(id, 0), FIRST);
    const StoredChunk second = lease(*store.readChunk(id, 0), SECOND);
    const std::string lateName = JobStore::resultNameOf(first.chunk, first.chunk.epoch, 0);
    const std::string name = JobStore::resultNameOf(second.chunk, second.chunk.epoch, 0);
    BOOST_TEST(lateName != name);
    BOOST_REQUIRE(store.writeResults(lateName, { { 0, 200, "late" } }).ok());
    BOOST_REQUIRE(store.writeResults(name, { { 0, 200, "right" } }).ok());
    BOOST_TEST(absl::IsAborted(commitFirstItem(first, FIRST, lateName).status()));
    BOOST_TEST(commitFirstItem(second, SECOND, name).ok());
    BOOST_TEST(absl::IsAborted(commitFirstItem(first, FIRST, lateName).status()));
    const auto page = store.results("t", "job", 0, 10);
    BOOST_REQUIRE(std::holds_alternative<ResultPage>(page));
    BOOST_REQUIRE(std::get<ResultPage>(page).items.size() == 1U);
    BOOST_TEST(std::get<ResultPage>(page).items[0].body == "right");
}

// Guards against a commit that takes effect after the job was cancelled.
BOOST_AUTO_TEST_CASE(CommitAfterCancelFails)
{
    BOOST_REQUIRE((codeOf(store.accept(BatchFleet::modelJob("job", 1))) == ResultCode::Ok));
    const std::string id = jobIdOf("t", "job");
    const StoredChunk held = lease(*store.readChunk(id, 0), FIRST);
    const auto cancelled = store.cancel("t", "job");
    BOOST_REQUIRE(std::holds_alternative<BatchJob>(cancelled));
    BOOST_TEST((std::get<BatchJob>(cancelled).state == JobState::Cancelled));
    BOOST_TEST(absl::IsAborted(commitFirstItem(held, FIRST, "r").status()));
    BOOST_TEST(store.openJobs()->empty());
    BOOST_TEST((store.recordEndedChunks(id, { { 0, { 1, 0 } } })->state == JobState::Cancelled));
}

// Guards against mistaking a commit whose response was lost for a change of another daemon, and against applying it
// twice.
BOOST_AUTO_TEST_CASE(TransitionMayBeRepeatedAfterALostResponse)
{
    BOOST_REQUIRE((codeOf(store.accept(BatchFleet::modelJob("job", 1))) == ResultCode::Ok));
    const std::string id = jobIdOf("t", "job");
    const StoredChunk held = lease(*store.readChunk(id, 0), FIRST);
    StoreClient limited(platform->address(), "limited", { 0.0001, 1 });
    JobStore cutOff(limited, { 1000, 1000 });
    BOOST_REQUIRE(platform->setFaults(R"({"lose_write_answers":1})").ok());
    const auto commit = [&held](const BatchChunk &value) {
        return ChunkTransition::commit(value, { FIRST, held.chunk.epoch }, { { 0, AttemptFailed { "u", true, false, "lost" } } });
    };
    BOOST_TEST(absl::IsUnknown(cutOff.applyTransition(held, commit).status()));
    const auto again = store.applyTransition(held, commit);
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(again->chunk.items[0].attempts == 1);
    BOOST_TEST((store.readChunk(id, 0)->chunk == again->chunk));
}

// Guards against counting a chunk twice, and against a job that ends early or never.
BOOST_AUTO_TEST_CASE(EndedChunksAreCountedOnce)
{
    BOOST_REQUIRE((codeOf(store.accept(BatchFleet::modelJob("job", 100))) == ResultCode::Ok));
    const std::string id = jobIdOf("t", "job");
    const std::map<std::int64_t, ChunkTotals> first = { { 1, { 30, 6 } } };
    BOOST_TEST((store.recordEndedChunks(id, first)->state == JobState::Open));
    BOOST_TEST(store.recordEndedChunks(id, first)->doneItems == 30);
    const auto ended = store.recordEndedChunks(id, { { 0, { 64, 0 } }, { 1, { 30, 6 } } });
    BOOST_TEST((ended->state == JobState::Done));
    BOOST_TEST(ended->doneItems == 94);
    BOOST_TEST(ended->failedItems == 6);
    BOOST_TEST(store.openJobs()->empty());
}

// Guards against never removing abandoned chunks, and against removing chunks of an accepted or a recent submission.
BOOST_AUTO_TEST_CASE(OnlyAbandonedChunksAreRemoved)
{
    const auto abandoned = BatchFleet::modelJob("abandoned", 3);
    BOOST_REQUIRE((codeOf(store.accept(BatchFleet::modelJob("job", 3))) == ResultCode::Ok));
    BOOST_REQUIRE((codeOf(acceptWithCalls(abandoned, 3)) == ResultCode::JobNotAccepted));
    const std::string id = jobIdOf("t", "abandoned");
    BOOST_REQUIRE(store.removeAbandoned(wallTimeNow()).ok());
    BOOST_TEST(store.readChunk(id, 0).ok());
    BOOST_REQUIRE(store.removeAbandoned(wallTimeNow() + std::chrono::hours(2)).ok());
    BOOST_TEST(absl::IsNotFound(store.readChunk(id, 0).status()));
    BOOST_TEST(store.readChunk(jobIdOf("t", "job"), 0).ok());
    BOOST_TEST((codeOf(store.accept(abandoned)) == ResultCode::Ok));
    BOOST_TEST(store.readChunk(id, 0).ok());
}

// Guards against objects that the store refuses because of their size.
BOOST_AUTO_TEST_CASE(LargeItemsFitIntoTheStore)
{
    JobSubmission submission = BatchFleet::modelJob("job", 0);
    for (int index = 0; index < 3; ++index) {
        submission.items.push_back({ std::to_string(index), R"({"text":")" + std::string(250000, '/') + "\"}" });
    }
    BOOST_TEST((codeOf(store.accept(submission)) == ResultCode::Ok));
    BOOST_TEST(store.writeResults("r", { { 0, 200, std::string(JobStore::MAXIMUM_RESULT_BYTES, '"') } }).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
