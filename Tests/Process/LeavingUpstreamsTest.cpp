#include "Process/Load/LeavingUpstreams.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);

auto upstream(const std::string &name, const std::string &address, std::int64_t startedAtMs) -> Upstream
{
    Upstream result;
    result.name = name;
    result.address = address;
    result.startedAtMs = startedAtMs;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingUpstreamsSuite)

// Guards against a mark that holds for another run, or not for the run that made it.
BOOST_AUTO_TEST_CASE(AMarkHoldsForItsRun)
{
    LeavingUpstreams leaving;
    BOOST_TEST(leaving.recordAnswer(upstream("a", "127.0.0.1:1", 10), NOW));
    BOOST_TEST(!leaving.recordAnswer(upstream("a", "127.0.0.1:1", 10), NOW));
    BOOST_TEST(leaving.isLeaving(upstream("a", "127.0.0.1:1", 10), NOW));
    BOOST_TEST(leaving.isLeaving(upstream("a", "127.0.0.1:1", 9), NOW));
    BOOST_TEST(leaving.isLeaving(upstream("a", "127.0.0.1:1", 0), NOW));
    BOOST_TEST(!leaving.isLeaving(upstream("a", "127.0.0.1:1", 11), NOW));
    BOOST_TEST(!leaving.isLeaving(upstream("a", "127.0.0.1:2", 0), NOW));
    BOOST_TEST(!leaving.isLeaving(upstream("b", "127.0.0.1:1", 10), NOW));
}

// Guards against marks without end, and against an expiry that an older statement of a peer brings forward.
BOOST_AUTO_TEST_CASE(MarksExpireAndAreBounded)
{
    LeavingUpstreams leaving;
    const Upstream first = upstream("a", "127.0.0.1:1", 10);
    leaving.recordAnswer(first, NOW);
    BOOST_TEST(leaving.merge({ { "a", "127.0.0.1:1", 10, Milliseconds(5000) } }, NOW).empty());
    BOOST_TEST(leaving.isLeaving(first, NOW + LeavingUpstreams::RETENTION - Milliseconds(1)));
    BOOST_TEST(!leaving.isLeaving(first, NOW + LeavingUpstreams::RETENTION));
    leaving.removeExpired(NOW + LeavingUpstreams::RETENTION);
    BOOST_TEST(leaving.size() == 0U);
    for (std::size_t index = 0; index < LeavingUpstreams::MAXIMUM_MARKS + 10; ++index) {
        leaving.recordAnswer(upstream(std::to_string(index), "127.0.0.1:1", 0), NOW + Milliseconds(index));
    }
    BOOST_TEST(leaving.size() == LeavingUpstreams::MAXIMUM_MARKS);
    BOOST_TEST(!leaving.isLeaving(upstream("0", "127.0.0.1:1", 0), NOW));
    BOOST_TEST(leaving.states(NOW + Milliseconds(1100)).size() == LeavingUpstreams::MAXIMUM_SENT_MARKS);
}

// Guards against news that a daemon passes on again and again, or that an earlier run replaces.
BOOST_AUTO_TEST_CASE(NewsArePassedOnOnce)
{
    LeavingUpstreams leaving;
    const LeavingUpstream state { "a", "127.0.0.1:1", 10, Milliseconds(100) };
    BOOST_TEST((leaving.merge({ state }, NOW) == std::vector { state }));
    BOOST_TEST(leaving.merge({ state }, NOW + Milliseconds(200)).empty());
    BOOST_TEST(leaving.merge({ { "a", "127.0.0.1:1", 9, Milliseconds(0) } }, NOW).empty());
    BOOST_TEST(leaving.isLeaving(upstream("a", "127.0.0.1:1", 10), NOW));
    BOOST_TEST(leaving.states(NOW + Milliseconds(500)).size() == 1U);
    BOOST_TEST(leaving.merge({ { "b", "127.0.0.1:1", 9, LeavingUpstreams::RETENTION } }, NOW).empty());
    BOOST_TEST(leaving.size() == 1U);
}

// Guards against a malformed line of a peer that is taken for a mark.
BOOST_AUTO_TEST_CASE(MarksAreEncodedAndChecked)
{
    const LeavingUpstream state { "a", "127.0.0.1:1", 10, Milliseconds(100) };
    const auto decoded = decodeLeavingUpstream(encodeLeavingUpstream(state));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == state));
    for (const std::string text :
         { "", "a", "a b 1", "a b -1 1", "a b 1 -1", "a b 1 x", "a b 1 1 1", " b 1 1", "a b 99999999999999999999 1" }) {
        BOOST_TEST(!decodeLeavingUpstream(text).ok(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
