#include "Process/Batch/FinishedLogCache.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr std::uint64_t BOUND = 16U << 20U;
const BootTime NOW = BootTime() + std::chrono::hours(1);

auto logOf(std::size_t bytes) -> JobRepository::ResultLog
{
    return { { { "item", true, std::string(bytes, 'x') } }, 1, 0 };
}

struct Fixture
{
    std::shared_ptr<HeldBytes> account = std::make_shared<HeldBytes>(HeldBytes::Bounds { BOUND, BOUND / 4, BOUND / 256 });
    FinishedLogCache cache { account };
};

} // namespace

BOOST_AUTO_TEST_SUITE(FinishedLogCacheSuite)

// Guards against a number of logs, each of any size, that takes the memory of a process.
BOOST_FIXTURE_TEST_CASE(TheCacheHasABoundInBytes, Fixture)
{
    for (int job = 0; job < 100; ++job) {
        cache.put(std::to_string(job), logOf(300000), NOW);
        BOOST_TEST(account->bytes() == cache.bytes());
        BOOST_TEST(account->bytes() <= BOUND / 16);
    }
    BOOST_TEST(cache.find("0") == nullptr);
    BOOST_REQUIRE(cache.find("99") != nullptr);
    BOOST_TEST(cache.find("99")->results.size() == 1U);
    cache.put("large", logOf(BOUND / 8), NOW);
    BOOST_TEST(cache.find("large") == nullptr);
    BOOST_TEST(cache.find("99") != nullptr);
}

// Guards against a request that is refused for want of room while the cache has some.
BOOST_FIXTURE_TEST_CASE(TheCacheGoesBeforeARequestIsRefused, Fixture)
{
    cache.put("a", logOf(400000), NOW);
    cache.put("b", logOf(400000), NOW);
    HeldBytes::Charge request(account);
    BOOST_TEST(request.trySet(BOUND - BOUND / 4 - 300000, NOW));
    BOOST_TEST(cache.find("a") == nullptr);
    BOOST_TEST(cache.find("b") == nullptr);
    BOOST_TEST(cache.bytes() == 0U);
    // Without room nothing is kept, and nothing else is refused for it.
    cache.put("c", logOf(400000), NOW);
    BOOST_TEST(cache.find("c") == nullptr);
}

// Guards against bytes that stay charged for good because a log took the room of another one in the cache.
BOOST_FIXTURE_TEST_CASE(ALogThatTakesTheRoomOfAnotherIsChargedAlone, Fixture)
{
    cache.put("a", logOf(400000), NOW);
    const std::uint64_t bytesOfOne = cache.bytes();
    HeldBytes::Charge request(account);
    BOOST_TEST(request.trySet(BOUND - BOUND / 4 - 500000, NOW));
    cache.put("b", logOf(400000), NOW);
    BOOST_TEST(cache.find("a") == nullptr);
    BOOST_TEST(cache.find("b") != nullptr);
    BOOST_TEST(cache.bytes() == bytesOfOne);
    BOOST_TEST(account->bytes() == request.bytes() + bytesOfOne);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
