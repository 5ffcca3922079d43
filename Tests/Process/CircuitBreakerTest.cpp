#include "Process/CircuitBreaker.h"

#include "Process/CallBudget.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

// Guards against a store that is called at full rate by the whole fleet when it comes back.
BOOST_AUTO_TEST_CASE(OneTrialCallPassesAfterAJitteredWait)
{
    CircuitBreaker breaker(1);
    const TimePoint start = Clock::now();
    for (int failure = 0; failure < 5; ++failure) {
        BOOST_TEST(breaker.allow(start));
        breaker.recordFailure(start);
    }
    BOOST_TEST(!breaker.allow(start + Milliseconds(200)));
    BOOST_TEST(breaker.allow(start + Milliseconds(2100)));
    BOOST_TEST(!breaker.allow(start + Milliseconds(2100)));
    breaker.recordSuccess();
    BOOST_TEST(breaker.allow(start + Milliseconds(2101)));
}

BOOST_AUTO_TEST_CASE(BudgetLimitsRateAndBurst)
{
    const TimePoint start = Clock::now();
    CallBudget budget(10, 5, start);
    int taken = 0;
    for (int call = 0; call < 100; ++call) {
        taken += budget.tryAcquire(start) ? 1 : 0;
    }
    BOOST_TEST(taken == 5);
    BOOST_TEST(budget.tryAcquire(start + Milliseconds(101)));
    BOOST_TEST(!budget.tryAcquire(start + Milliseconds(102)));
}

} // namespace poplardock
