#include "Process/Batch/StoredJobReader.h"

#include "Fakes/FakeObjectStore.h"
#include "Support/TestEnvironment.h"
#include "platform/Adapter.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/test/unit_test.hpp>

#include <functional>

namespace poplardock {

namespace {

constexpr std::size_t TEXT_BYTES = 150000;
constexpr std::size_t ITEMS = 60;
constexpr std::size_t ITEMS_IN_ENTRY = 4;
constexpr std::size_t LOG_BYTES = ITEMS * TEXT_BYTES;
constexpr std::uint64_t VALUE_BYTES = 1U << 20U;
/// Of a reader. A sanitizer beside other tests slows the parsing of a log down.
constexpr Milliseconds READ_TIME { 30000 };
/// The smallest VM of the deployments.
constexpr std::uint64_t SMALL_VM = 112U << 20U;

auto itemId(std::size_t item) -> std::string
{
    return absl::StrCat("item", item);
}

struct Fixture
{
    EventLoop loop;
    FakeObjectStore platformStore { loop };
    WireDialect dialect = platform::makeAdapter();
    ObjectStore store { loop, dialect, platformStore.address() };
    JobRepository repository { loop, store, dialect, VALUE_BYTES };
    std::shared_ptr<HeldBytes> account = std::make_shared<HeldBytes>(HeldBytes::Bounds::ofMemory(SMALL_VM));
    StoredJobReader reader { loop, repository, account, dialect.resultPageBytes };

    /// Writes a finished job with large results, a fence between each two entries.
    auto putJob(const std::string &id) -> JobRecord
    {
        JobRecord record;
        record.id = id;
        record.itemCount = ITEMS;
        record.payloadCount = 2;
        std::size_t entry = 0;
        for (std::size_t item = 0; item < ITEMS;) {
            std::vector<JobResult> results;
            for (std::size_t each = 0; each < ITEMS_IN_ENTRY; ++each, ++item) {
                results.push_back({ itemId(item), true, std::string(TEXT_BYTES, static_cast<char>('a' + item % 26)) });
            }
            platformStore.put("results-" + id, absl::StrFormat("%06d", entry++), dialect.encodeResults(results.size(), 0, results));
            platformStore.put("results-" + id, absl::StrFormat("%06d", entry++), R"({"fence":3})");
        }
        return record;
    }

    auto read(const JobRecord &record, std::size_t from) -> absl::StatusOr<std::vector<JobResult>>
    {
        std::optional<absl::StatusOr<std::vector<JobResult>>> found;
        reader.readResults(record, from, BootClock::now() + READ_TIME, [&found](const auto &results) { found = results; });
        runLoopUntil(
            loop, [&found] { return found.has_value(); }, READ_TIME + Milliseconds(1000));
        return found.value_or(absl::DeadlineExceededError("the handler was not called"));
    }

    auto readItem(const JobRecord &record, const std::string &item) -> absl::StatusOr<JobItem>
    {
        std::optional<absl::StatusOr<JobItem>> found;
        reader.readItem(record, item, BootClock::now() + READ_TIME, [&found](const auto &result) { found = result; });
        runLoopUntil(
            loop, [&found] { return found.has_value(); }, READ_TIME + Milliseconds(1000));
        return found.value_or(absl::DeadlineExceededError("the handler was not called"));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoredJobReaderSuite)

// Guards against a read whose cost grows with the log of the job instead of with the answer.
BOOST_FIXTURE_TEST_CASE(ReadingALogInPagesReadsItOnce, Fixture)
{
    const JobRecord record = putJob("job");
    std::size_t position = 0;
    while (position < ITEMS) {
        const auto page = read(record, position);
        BOOST_REQUIRE(page.ok());
        BOOST_REQUIRE(!page->empty());
        for (const JobResult &result : *page) {
            BOOST_REQUIRE(result.itemId == itemId(position));
            BOOST_REQUIRE(result.text == std::string(TEXT_BYTES, static_cast<char>('a' + position % 26)));
            ++position;
        }
    }
    BOOST_TEST(platformStore.listedBytes("results-job") < 3 * LOG_BYTES);
    // From the middle, with the log's index known: what one page of the store holds.
    const std::size_t before = platformStore.listedBytes("results-job");
    BOOST_TEST(read(record, 10)->front().itemId == itemId(10));
    BOOST_TEST(platformStore.listedBytes("results-job") - before < 2500000U);
    BOOST_TEST(read(record, ITEMS)->empty());
}

// Guards against readers of several large logs that together take the memory of a small VM.
BOOST_FIXTURE_TEST_CASE(ManyReadersTakeABoundedMemory, Fixture)
{
    constexpr std::size_t JOBS = 5;
    constexpr std::size_t READERS = 60;
    std::vector<JobRecord> records;
    for (std::size_t job = 0; job < JOBS; ++job) {
        records.push_back(putJob(absl::StrCat("job", job)));
    }
    std::size_t answered = 0;
    std::uint64_t most = 0;
    const std::function<void(std::size_t)> ask = [&](std::size_t each) {
        const std::size_t from = (each / JOBS * 7) % ITEMS;
        reader.readResults(records[each % JOBS], from, BootClock::now() + READ_TIME, [&, each, from](const auto &page) {
            if (absl::IsUnknown(page.status())) {
                // "The store did not answer": a sanitizer makes its calls time out. Callers ask again.
                loop.post([&ask, each] { ask(each); });
                return;
            }
            BOOST_REQUIRE_MESSAGE(page.ok(), page.status().ToString());
            BOOST_TEST(page->front().itemId == itemId(from));
            ++answered;
        });
    };
    for (std::size_t each = 0; each < READERS; ++each) {
        ask(each);
    }
    const auto isDone = [&] {
        most = std::max(most, account->bytes());
        return answered == READERS;
    };
    BOOST_TEST(runLoopUntil(loop, isDone, 4 * READ_TIME));
    BOOST_TEST(most <= StoredJobReader::MAXIMUM_READS * StoredJobReader::READ_BYTES + account->bounds().bytes / 12);
    BOOST_TEST(account->bytes() <= account->bounds().bytes / 12);
}

// Guards against a read that waits for ever, or for longer than its caller, while the store does not answer or the memory is in use.
BOOST_FIXTURE_TEST_CASE(AReadThatCannotBeServedEnds, Fixture)
{
    const JobRecord record = putJob("job");
    FakeObjectStore::Faults silent;
    silent.isSilent = true;
    platformStore.setFaults(silent);
    int refused = 0;
    const BootTime deadline = BootClock::now() + Milliseconds(300);
    for (int each = 0; each < 3; ++each) {
        reader.readResults(record, 0, deadline, [&refused](const auto &page) { refused += absl::IsUnavailable(page.status()) ? 1 : 0; });
    }
    BOOST_TEST(runLoopUntil(
        loop, [&refused] { return refused == 3; }, Milliseconds(600)));
    platformStore.setFaults({});
    BOOST_TEST(runLoopUntil(
        loop, [this] { return account->bytes() == 0; }, Milliseconds(3000)));
    HeldBytes::Charge others(account);
    others.set(account->bounds().bytes - 1000);
    BOOST_TEST(absl::IsUnavailable(read(record, 0).status()));
    others.set(0);
    BOOST_TEST(read(record, 0).ok());
}

// Guards against the body of an item whose result is listed, and one that is missing although it is in the last payload.
BOOST_FIXTURE_TEST_CASE(AnItemIsReadUntilItIsListed, Fixture)
{
    JobRecord record = putJob("job");
    record.itemCount = ITEMS + 2;
    platformStore.put("payloads", "job.0", dialect.encodeItems({ { itemId(0), "/p", {}, "body 0", 1 } }));
    platformStore.put("payloads", "job.1", dialect.encodeItems({ { "open", "/p", {}, "body of open", 1 } }));
    BOOST_TEST(readItem(record, "open").value().body == "body of open");
    BOOST_TEST(absl::IsNotFound(readItem(record, itemId(0)).status()));
    BOOST_TEST(absl::IsNotFound(readItem(record, "unknown").status()));
}

// Guards against the body of an item whose result is listed in an entry that the index had no room for.
BOOST_FIXTURE_TEST_CASE(AListedItemIsFoundWithoutAnIndex, Fixture)
{
    JobRecord record = putJob("job");
    record.itemCount = ITEMS + 1;
    platformStore.put("payloads", "job.0", dialect.encodeItems({ { itemId(0), "/p", {}, "body 0", 1 } }));
    platformStore.put("payloads", "job.1", dialect.encodeItems({ { "open", "/p", {}, "body of open", 1 } }));
    constexpr std::uint64_t NO_ROOM = 4096;
    const auto small = std::make_shared<HeldBytes>(HeldBytes::Bounds { NO_ROOM, 0, NO_ROOM });
    StoredJobReader smallReader(loop, repository, small, dialect.resultPageBytes);
    std::optional<absl::StatusOr<JobItem>> found;
    smallReader.readItem(record, itemId(0), BootClock::now() + READ_TIME, [&found](const auto &item) { found = item; });
    runLoopUntil(
        loop, [&found] { return found.has_value(); }, READ_TIME + Milliseconds(1000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(absl::IsNotFound(found->status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
