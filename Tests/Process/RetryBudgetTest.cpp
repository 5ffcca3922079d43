#include "Process/RetryBudget.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace poplardock {

// Guards against more than one retry per ten requests, at any time and for any order of requests and retries.
BOOST_AUTO_TEST_CASE(RetriesNeverExceedATenthOfTheRequests)
{
    std::mt19937_64 random(11);
    RetryBudget budget;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (int step = 0; step < 20000; ++step) {
        now += Milliseconds(random() % 40);
        if (random() % 3 == 0) {
            budget.recordRequest(now);
            ++requests;
        } else {
            retries += budget.tryAcquire(now) ? 1 : 0;
        }
        BOOST_REQUIRE(retries * 10 <= requests);
    }
    BOOST_TEST(retries * 11 > requests);
}

// Guards against a retry storm on the budget of requests that are no longer in the window.
BOOST_AUTO_TEST_CASE(RequestsOutsideTheWindowEarnNoRetries)
{
    RetryBudget budget;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest(start);
    }
    BOOST_TEST(budget.tryAcquire(start + std::chrono::seconds(29)));
    BOOST_TEST(!budget.tryAcquire(start + std::chrono::seconds(30)));
}

// Guards against a daemon that can never retry because it has few requests.
BOOST_AUTO_TEST_CASE(TheMinimumIsAlwaysAllowed)
{
    RetryBudget budget(2);
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    budget.recordRequest(now);
    BOOST_TEST(budget.tryAcquire(now));
    BOOST_TEST(budget.tryAcquire(now));
    BOOST_TEST(!budget.tryAcquire(now));
}

} // namespace poplardock
