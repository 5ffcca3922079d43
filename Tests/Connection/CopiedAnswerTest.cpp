#include "Support/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds RUN_TIME { 8000 };

/// A daemon before one server that repeats its former answer on a kept connection.
class CopyingFleet
{
public:
    CopyingFleet()
        : fleet(1, 1)
    {
        engine().behaviour().repeatsFormerAnswer = true;
    }

    auto engine() -> FakeEngine &
    {
        return *fleet.engines.front();
    }

    auto awaitResult() -> JobResult
    {
        std::vector<JobResult> results;
        fleet.runUntil([&] { return !(results = fleet.results(0, "job", "key1")).empty(); }, RUN_TIME);
        BOOST_REQUIRE(results.size() == 1U);
        return results.front();
    }

    PlatformFleet fleet;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CopiedAnswerSuite)

// Guards against an item that is given up too early: a copy of its first answer counts as the answer to its second attempt.
BOOST_AUTO_TEST_CASE(ACopiedFailureIsNotCountedAgain)
{
    CopyingFleet copying;
    copying.engine().behaviour().status = 500;
    BOOST_TEST(copying.fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    BOOST_REQUIRE(copying.fleet.runUntil([&copying] { return !copying.engine().runs().empty(); }, RUN_TIME));
    copying.engine().behaviour().status = 200;
    const JobResult result = copying.awaitResult();
    BOOST_TEST(result.isCompleted);
    BOOST_TEST(result.text == FakeEngine::dataOf("job-0", 5));
}

// Guards against an item that runs twice at once: a copy of an earlier refusal says that its attempt is not run.
BOOST_AUTO_TEST_CASE(ACopiedRefusalOfAnItemEndsNoRun)
{
    CopyingFleet copying;
    copying.engine().behaviour().declines = true;
    BOOST_TEST(copying.fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    BOOST_REQUIRE(copying.fleet.runUntil([&copying] { return !copying.engine().arrivals().empty(); }, RUN_TIME));
    copying.engine().behaviour().declines = false;
    const JobResult result = copying.awaitResult();
    BOOST_TEST(result.isCompleted);
    BOOST_TEST(copying.engine().runsOf("job-0") == 1);
}

// Guards against "not run" for a request that runs: its caller has used the id before, and a copy of the refusal comes first.
BOOST_AUTO_TEST_CASE(ACopiedRefusalOfARepeatedIdIsNoAnswer)
{
    CopyingFleet copying;
    for (const std::string path : { "/once/x", "/plain/x" }) {
        copying.engine().behaviour().declines = true;
        const auto refused = copying.fleet.call(0, PlatformFleet::request(path, "r", "key1"));
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST(refused->status == 503);
        copying.engine().behaviour().declines = false;
        const int before = copying.engine().runsOf("r");
        const auto answered = copying.fleet.call(0, PlatformFleet::request(path, "r", "key1"));
        BOOST_REQUIRE(answered.has_value());
        BOOST_TEST(answered->status == 200);
        BOOST_TEST(copying.engine().runsOf("r") == before + 1);
    }
}

// Guards against an answer of a former request that is given to another one.
BOOST_AUTO_TEST_CASE(ACopyForAnotherRequestIsSkipped)
{
    CopyingFleet copying;
    for (int index = 0; index < 10; ++index) {
        const std::string id = "r" + std::to_string(index);
        copying.engine().behaviour().declines = index % 2 == 0;
        const auto result = copying.fleet.call(0, PlatformFleet::request("/once/x", id, "key1"));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->status == (index % 2 == 0 ? 503 : 200));
        BOOST_TEST(copying.engine().runsOf(id) == index % 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
