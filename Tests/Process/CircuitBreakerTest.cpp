#include "Process/CircuitBreaker.h"

#include "Process/CallBudget.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

// Guards against a whole fleet that calls the store at full rate as soon as it recovers.
BOOST_AUTO_TEST_CASE(OneProbePassesAfterAJitteredBackoff)
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
    int allowed = 0;
    for (int call = 0; call < 100; ++call) {
        allowed += budget.tryAcquire(start) ? 1 : 0;
    }
    BOOST_TEST(allowed == 5);
    BOOST_TEST(budget.tryAcquire(start + Milliseconds(101)));
    BOOST_TEST(!budget.tryAcquire(start + Milliseconds(102)));
}

} // namespace poplardock
