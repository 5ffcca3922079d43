#include "Process/BatchLimiter.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr double TARGET_MS = 500;

/// Advances a limiter in time with as many running items as it allows.
struct BatchLimiterFixture
{
    BatchLimiter limiter { BatchLimiter::Tuning {} };
    TimePoint now = TimePoint() + std::chrono::hours(1);

    auto runFor(Milliseconds duration, const ObservedLoad &load) -> void
    {
        for (const TimePoint end = now + duration; now < end; now += Milliseconds(20)) {
            limiter.update(now, load, limiter.limit(), TARGET_MS);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BatchLimiterSuite, BatchLimiterFixture)

// Guards against leaving idle capacity unused by batch work for more than a few seconds.
BOOST_AUTO_TEST_CASE(LimitGrowsOnAnIdleUpstream)
{
    BOOST_TEST(limiter.limit() == 1);
    runFor(Milliseconds(1000), {});
    BOOST_TEST(limiter.limit() >= 10);
}

// Guards against a limit that grows while it is not reached and then lets a burst of items start.
BOOST_AUTO_TEST_CASE(UnusedLimitDoesNotGrow)
{
    for (int step = 0; step < 100; ++step, now += Milliseconds(100)) {
        limiter.update(now, {}, 0, TARGET_MS);
    }
    BOOST_TEST(limiter.limit() == 1);
}

// Guards against batch items that queue up at an upstream whose number of slots is known.
BOOST_AUTO_TEST_CASE(LimitStaysBelowTheSlotsOfTheUpstream)
{
    runFor(Milliseconds(3000), { 16, 5, 0, 0, 0 });
    runFor(Milliseconds(1000), { 12, 0, 0, 0, 0 });
    BOOST_TEST(limiter.limit() <= 16);
    BOOST_TEST(limiter.limit() >= 8);
    runFor(Milliseconds(20), { 12, 0, 2, 8, 0 });
    BOOST_TEST(limiter.limit() <= 8);
}

// Guards against a burst of online requests that has to wait until batch items finish.
BOOST_AUTO_TEST_CASE(BurstAbortsTheItemsInItsSlots)
{
    runFor(Milliseconds(3000), { 16, 5, 0, 0, 0 });
    BOOST_TEST(limiter.update(now, { 16, 0, 3, 12, 0 }, 13, TARGET_MS) == 13 + 12 - 16);
}

// Guards against a preemption without effect, and against a limit that grows right after it.
BOOST_AUTO_TEST_CASE(PreemptionAbortsItemsAtOnceAndHoldsOff)
{
    runFor(Milliseconds(2000), {});
    const int before = limiter.limit();
    const int aborted = limiter.preempt(now, before);
    BOOST_TEST(aborted == before - static_cast<int>(before * BatchLimiter::Tuning {}.keptFraction));
    BOOST_TEST(aborted > 0);
    BOOST_TEST(limiter.limit() == before - aborted);
    runFor(Milliseconds(100), {});
    BOOST_TEST(limiter.limit() == before - aborted);
    BOOST_TEST(limiter.preempt(now, 1) == 1);
    BOOST_TEST(limiter.limit() == 0);
    runFor(Milliseconds(3000), {});
    BOOST_TEST(limiter.limit() >= before);
}

// Guards against a limit that is not cut while online requests miss the class target.
BOOST_AUTO_TEST_CASE(LateOnlineRequestsCutTheLimit)
{
    runFor(Milliseconds(2000), {});
    const int before = limiter.limit();
    BOOST_TEST(limiter.update(now, { 10, 0, 2, 2, TARGET_MS }, before, TARGET_MS) > 0);
    BOOST_TEST(limiter.limit() < before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
