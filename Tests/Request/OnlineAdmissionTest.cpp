#include "Request/OnlineAdmission.h"

#include "Support/UpstreamViews.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const BootTime NOW = VIEW_TIME;
constexpr Milliseconds TARGET { 300 };

auto viewWith(int online) -> UpstreamView
{
    return makeView("a" + std::to_string(online), online, 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OnlineAdmissionSuite)

// Load pattern: a wave above the capacity of the upstreams. Guards against queues in which every request misses its
// target, and against refusing requests that can meet it.
BOOST_AUTO_TEST_CASE(OnlyRequestsThatWouldMissTheirTargetAreRefused)
{
    BOOST_TEST(admitOnline({ viewWith(7) }, TARGET, std::nullopt, NOW).isAdmitted);
    BOOST_TEST(admitOnline({ viewWith(9) }, TARGET, std::nullopt, NOW).isAdmitted);
    const Admission refused = admitOnline({ viewWith(14), viewWith(16) }, TARGET, std::nullopt, NOW);
    BOOST_TEST(!refused.isAdmitted);
    BOOST_REQUIRE(refused.retryAfter.has_value());
    BOOST_TEST(admitOnline({ viewWith(14), viewWith(3) }, TARGET, std::nullopt, NOW).isAdmitted);
}

// Guards against a retry hint that does not grow with the queue, so that callers return before it has drained.
BOOST_AUTO_TEST_CASE(ALongerQueueGivesALaterRetry)
{
    const auto shorter = admitOnline({ viewWith(14) }, TARGET, std::nullopt, NOW).retryAfter;
    const auto longer = admitOnline({ viewWith(20) }, TARGET, std::nullopt, NOW).retryAfter;
    BOOST_REQUIRE(shorter.has_value());
    BOOST_REQUIRE(longer.has_value());
    BOOST_TEST(shorter->count() < longer->count());
}

// Guards against refusing a request because of a slow upstream with free slots: a later retry would not be faster.
BOOST_AUTO_TEST_CASE(ASlowUpstreamWithFreeSlotsIsNoReasonToRefuse)
{
    UpstreamView slow = viewWith(0);
    slow.firstEventMs = 500;
    BOOST_TEST(admitOnline({ slow }, TARGET, std::nullopt, NOW).isAdmitted);
}

// Guards against queueing a request that cannot be answered before its caller gives up.
BOOST_AUTO_TEST_CASE(TheTimeoutOfTheCallerCounts)
{
    BOOST_TEST(!admitOnline({ viewWith(9) }, TARGET, Milliseconds(50), NOW).isAdmitted);
    BOOST_TEST(!admitOnline({}, TARGET, std::nullopt, NOW).isAdmitted);
}

// Guards against requests that wait for upstreams whose limits are used up, and against callers who come back long after the
// first of them may get a request again. Load pattern: a wave beyond the limits of all upstreams.
BOOST_AUTO_TEST_CASE(RequestsBeyondAllLimitsAreRefusedAtOnce)
{
    std::vector<UpstreamView> views = { makeView("a", 0, 0), makeView("b", 0, 0) };
    views[0].usableAt = VIEW_TIME + Milliseconds(900);
    views[1].usableAt = VIEW_TIME + Milliseconds(400);
    const Admission refused = admitOnline(views, Milliseconds(300), {}, VIEW_TIME);
    BOOST_TEST(!refused.isAdmitted);
    BOOST_TEST(refused.retryAfter->count() == 400);
    BOOST_TEST(admitOnline(views, Milliseconds(300), {}, VIEW_TIME + Milliseconds(400)).isAdmitted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
