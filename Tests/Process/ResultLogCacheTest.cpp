#include "Process/Batch/ResultLogCache.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr std::uint64_t BOUND = 16U << 20U;
const BootTime NOW = BootTime() + std::chrono::hours(1);

auto entryOf(std::size_t number, std::size_t bytes) -> JobRepository::LogEntry
{
    return { number, { { absl::StrCat("item", number), true, std::string(bytes, 'x') } }, 0 };
}

struct Fixture
{
    std::shared_ptr<HeldBytes> account = std::make_shared<HeldBytes>(HeldBytes::Bounds { BOUND, BOUND / 4, BOUND / 256 });
    ResultLogCache cache { account };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ResultLogCacheSuite)

// Guards against a number of logs, each of any size, that takes the memory of a process.
BOOST_FIXTURE_TEST_CASE(TheCacheHasABoundInBytes, Fixture)
{
    for (int job = 0; job < 100; ++job) {
        cache.put(std::to_string(job), entryOf(0, 300000), NOW);
        BOOST_TEST(account->bytes() == cache.bytes());
        BOOST_TEST(account->bytes() <= BOUND / 16 + BOUND / 64);
    }
    BOOST_TEST(cache.results("0", 0) == nullptr);
    BOOST_REQUIRE(cache.results("99", 0) != nullptr);
    BOOST_TEST(cache.results("99", 0)->size() == 1U);
    cache.put("large", entryOf(0, BOUND / 8), NOW);
    BOOST_TEST(cache.results("large", 0) == nullptr);
    BOOST_TEST(cache.results("99", 0) != nullptr);
    // The index holds no texts, so that of the large entry is kept.
    BOOST_TEST(cache.endOf("large").position == 1U);
    BOOST_TEST(cache.lists("large", "item0"));
}

// Guards against indexes of many logs that take the memory of a process.
BOOST_FIXTURE_TEST_CASE(TheIndexesHaveABoundInBytes, Fixture)
{
    for (int job = 0; job < 10000; ++job) {
        cache.put(std::to_string(job), entryOf(0, 10), NOW);
        BOOST_TEST(account->bytes() <= BOUND / 16 + BOUND / 64);
    }
    BOOST_TEST((cache.endOf("0") == ResultLogCache::Start()));
    BOOST_TEST((cache.endOf("9999") == ResultLogCache::Start { 1, 1 }));
    // One log alone may have more entries than there is room for: it stays as far as it is known.
    for (std::size_t entry = 0; entry < 10000; ++entry) {
        cache.put("long", entryOf(entry, 10), NOW);
    }
    BOOST_TEST(cache.endOf("long").entry > 100U);
    BOOST_TEST(cache.endOf("long").entry == cache.endOf("long").position);
    BOOST_TEST(account->bytes() <= BOUND / 16 + BOUND / 64);
}

// Guards against a page that begins at the wrong result: fences have none, and entries have any number of them.
BOOST_FIXTURE_TEST_CASE(APositionIsFoundInItsEntry, Fixture)
{
    using Start = ResultLogCache::Start;
    cache.put("a", { 0, { { "p", true, "1" }, { "q", true, "2" } }, 0 }, NOW);
    cache.put("a", { 1, {}, 7 }, NOW);
    cache.put("a", { 2, { { "r", true, "3" } }, 0 }, NOW);
    // A gap, as after an entry that another reader has dropped.
    cache.put("a", { 4, { { "t", true, "5" } }, 0 }, NOW);
    BOOST_TEST((cache.startOf("a", 0) == Start { 0, 0 }));
    BOOST_TEST((cache.startOf("a", 1) == Start { 0, 0 }));
    BOOST_TEST((cache.startOf("a", 2) == Start { 2, 2 }));
    BOOST_TEST((cache.startOf("a", 3) == Start { 3, 3 }));
    BOOST_TEST((cache.startOf("a", 99) == Start { 3, 3 }));
    BOOST_TEST((cache.startOf("b", 5) == Start { 0, 0 }));
    BOOST_TEST(cache.lists("a", "r"));
    BOOST_TEST(!cache.lists("a", "t"));
}

// Guards against a request that is refused for want of room while the cache has some.
BOOST_FIXTURE_TEST_CASE(TheCacheGoesBeforeARequestIsRefused, Fixture)
{
    cache.put("a", entryOf(0, 400000), NOW);
    cache.put("b", entryOf(0, 400000), NOW);
    HeldBytes::Charge request(account);
    BOOST_TEST(request.trySet(BOUND - BOUND / 4 - 300000, NOW));
    BOOST_TEST(cache.results("a", 0) == nullptr);
    BOOST_TEST(cache.results("b", 0) == nullptr);
    BOOST_TEST(cache.bytes() < 1000U);
    // Without room nothing is kept, and nothing else is refused for it.
    cache.put("c", entryOf(0, 400000), NOW);
    BOOST_TEST(cache.results("c", 0) == nullptr);
}

// Guards against bytes that stay charged for good because a log took the room of another one in the cache.
BOOST_FIXTURE_TEST_CASE(AnEntryThatTakesTheRoomOfAnotherIsChargedAlone, Fixture)
{
    cache.put("a", entryOf(0, 400000), NOW);
    const std::uint64_t bytesOfOne = cache.bytes();
    HeldBytes::Charge request(account);
    BOOST_TEST(request.trySet(BOUND - BOUND / 4 - 500000, NOW));
    cache.put("a", entryOf(1, 400000), NOW);
    BOOST_TEST(cache.results("a", 0) == nullptr);
    BOOST_TEST(cache.results("a", 1) != nullptr);
    BOOST_TEST(cache.bytes() < bytesOfOne + 1000U);
    BOOST_TEST(account->bytes() == request.bytes() + cache.bytes());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
