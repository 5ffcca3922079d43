#include "Process/BatchLimiter.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr double TARGET_MS = 500;

/// Steps a share through time with as many running items as it allows.
struct BatchShareFixture
{
    BatchLimiter share { BatchLimiter::Tuning {} };
    TimePoint now = TimePoint() + std::chrono::hours(1);

    auto runFor(Milliseconds duration, const ObservedLoad &load) -> void
    {
        for (const TimePoint end = now + duration; now < end; now += Milliseconds(20)) {
            share.update(now, load, share.limit(), TARGET_MS);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BatchShareSuite, BatchShareFixture)

// Guards against idle capacity that batch does not use within seconds.
BOOST_AUTO_TEST_CASE(ShareGrowsOnAnIdleUpstream)
{
    BOOST_TEST(share.limit() == 1);
    runFor(Milliseconds(1000), {});
    BOOST_TEST(share.limit() >= 10);
}

// Guards against a limit that grows without use and then lets a flood of items start.
BOOST_AUTO_TEST_CASE(UnusedShareDoesNotGrow)
{
    for (int step = 0; step < 100; ++step, now += Milliseconds(100)) {
        share.update(now, {}, 0, TARGET_MS);
    }
    BOOST_TEST(share.limit() == 1);
}

// Guards against batch items that fill the queue of an upstream whose slots are known.
BOOST_AUTO_TEST_CASE(ShareStaysBelowTheSlotsOfTheUpstream)
{
    runFor(Milliseconds(3000), { 16, 5, 0, 0, 0 });
    runFor(Milliseconds(1000), { 12, 0, 0, 0, 0 });
    BOOST_TEST(share.limit() <= 16);
    BOOST_TEST(share.limit() >= 8);
    runFor(Milliseconds(20), { 12, 0, 2, 8, 0 });
    BOOST_TEST(share.limit() <= 8);
}

// Guards against a burst of online requests that waits until batch items end by themselves.
BOOST_AUTO_TEST_CASE(BurstDropsTheItemsInItsSlots)
{
    runFor(Milliseconds(3000), { 16, 5, 0, 0, 0 });
    BOOST_TEST(share.update(now, { 16, 0, 3, 12, 0 }, 13, TARGET_MS) == 13 + 12 - 16);
}

// Guards against a yield without effect, and against growth right after it.
BOOST_AUTO_TEST_CASE(YieldDropsItemsAtOnceAndHoldsOff)
{
    runFor(Milliseconds(2000), {});
    const int before = share.limit();
    const int dropped = share.preempt(now, before);
    BOOST_TEST(dropped == before - static_cast<int>(before * BatchLimiter::Tuning {}.keptFraction));
    BOOST_TEST(dropped > 0);
    BOOST_TEST(share.limit() == before - dropped);
    runFor(Milliseconds(100), {});
    BOOST_TEST(share.limit() == before - dropped);
    BOOST_TEST(share.preempt(now, 1) == 1);
    BOOST_TEST(share.limit() == 0);
    runFor(Milliseconds(3000), {});
    BOOST_TEST(share.limit() >= before);
}

// Guards against batch work that goes on while online requests miss the class target.
BOOST_AUTO_TEST_CASE(LateOnlineRequestsCutTheShare)
{
    runFor(Milliseconds(2000), {});
    const int before = share.limit();
    BOOST_TEST(share.update(now, { 10, 0, 2, 2, TARGET_MS }, before, TARGET_MS) > 0);
    BOOST_TEST(share.limit() < before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
