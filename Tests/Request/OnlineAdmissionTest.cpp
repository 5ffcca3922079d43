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

// Load pattern: a wave above the capacity. Guards against queues in which every request is late, and against refusing
// requests that can be on time.
BOOST_AUTO_TEST_CASE(OnlyWhatWouldBeLateIsRefused)
{
    BOOST_TEST(admitOnline({ viewWith(7) }, TARGET, std::nullopt, NOW).isAdmitted);
    BOOST_TEST(admitOnline({ viewWith(9) }, TARGET, std::nullopt, NOW).isAdmitted);
    const Admission refused = admitOnline({ viewWith(14), viewWith(16) }, TARGET, std::nullopt, NOW);
    BOOST_TEST(!refused.isAdmitted);
    BOOST_REQUIRE(refused.retryAfter.has_value());
    BOOST_TEST(admitOnline({ viewWith(14), viewWith(3) }, TARGET, std::nullopt, NOW).isAdmitted);
}

// Guards against a Retry-After that does not grow with the queue, so that callers come back into it.
BOOST_AUTO_TEST_CASE(ALongerQueueGivesALaterReturn)
{
    const auto shorter = admitOnline({ viewWith(14) }, TARGET, std::nullopt, NOW).retryAfter;
    const auto longer = admitOnline({ viewWith(20) }, TARGET, std::nullopt, NOW).retryAfter;
    BOOST_REQUIRE(shorter.has_value());
    BOOST_REQUIRE(longer.has_value());
    BOOST_TEST(shorter->count() < longer->count());
}

// Guards against refusals for a slow upstream with free slots: coming back later would not make it faster.
BOOST_AUTO_TEST_CASE(ASlowUpstreamWithFreeSlotsIsNoReasonToRefuse)
{
    UpstreamView slow = viewWith(0);
    slow.firstEventMs = 500;
    BOOST_TEST(admitOnline({ slow }, TARGET, std::nullopt, NOW).isAdmitted);
}

// Guards against holding a request that cannot be answered while its caller waits.
BOOST_AUTO_TEST_CASE(TheCallersOwnTimeCounts)
{
    BOOST_TEST(!admitOnline({ viewWith(9) }, TARGET, Milliseconds(50), NOW).isAdmitted);
    BOOST_TEST(!admitOnline({}, TARGET, std::nullopt, NOW).isAdmitted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
