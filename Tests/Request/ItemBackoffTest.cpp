#include "Request/ItemBackoff.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

/// Attempts at an item within a minute, each of which fails at once.
auto attemptsInAMinute(Milliseconds (*backoffAfter)(int)) -> int
{
    Milliseconds time { 0 };
    int attempts = 0;
    while (time < std::chrono::minutes(1)) {
        time += backoffAfter(++attempts);
    }
    return attempts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ItemBackoffSuite)

// Guards against an item whose answers can never be used and which takes a slot from others every second until it is given up.
BOOST_AUTO_TEST_CASE(UnusableAnswersCostLessAndLess)
{
    BOOST_TEST(attemptsInAMinute(ItemBackoff::afterUnusableAnswer) <= 10);
    BOOST_TEST((ItemBackoff::afterUnusableAnswer(1000) <= std::chrono::minutes(1)));
}

// Guards against an item that waits long although another upstream would complete it.
BOOST_AUTO_TEST_CASE(ALostAttemptIsRepeatedSoon)
{
    BOOST_TEST((ItemBackoff::afterLoss(1) < std::chrono::milliseconds(500)));
    BOOST_TEST((ItemBackoff::afterLoss(1000) < std::chrono::seconds(3)));
    BOOST_TEST((ItemBackoff::afterUnusableAnswer(1) == ItemBackoff::afterLoss(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
