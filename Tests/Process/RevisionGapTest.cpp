#include "Process/Peers/RevisionGap.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr BootTime START { std::chrono::seconds(100) };
constexpr const char *LEADER = "127.0.0.1:7001";
constexpr const char *STALE_RELAY = "127.0.0.1:7002";

} // namespace

BOOST_AUTO_TEST_SUITE(RevisionGapSuite)

// Guards against a daemon that forgets a newer revision because its relay, cut off from the store, keeps naming an old one: it sent
// requests to upstreams that had announced their shutdown more than 3 s before.
BOOST_AUTO_TEST_CASE(AnOlderRevisionDoesNotEndTheGap)
{
    RevisionGap gap;
    gap.record(157, 157, STALE_RELAY, START);
    BOOST_TEST(!gap.since(157));
    gap.record(173, 157, LEADER, START + Milliseconds(500));
    for (int summary = 0; summary < 10; ++summary) {
        gap.record(157, 157, STALE_RELAY, START + Milliseconds(600 + 100 * summary));
    }
    BOOST_TEST((gap.since(157) == std::optional(START + Milliseconds(500))));
    BOOST_TEST(gap.address() == LEADER);
    BOOST_TEST(gap.highest() == 173U);
}

// Guards against a gap that starts anew with each change, so that a daemon that is behind never reads the store.
BOOST_AUTO_TEST_CASE(FurtherRevisionsDoNotRestartTheGap)
{
    RevisionGap gap;
    gap.record(173, 157, LEADER, START);
    gap.record(180, 157, LEADER, START + Milliseconds(500));
    BOOST_TEST((gap.since(157) == std::optional(START)));
    BOOST_TEST((gap.since(173) == std::optional(START)));
    BOOST_TEST(!gap.since(180));
    gap.record(190, 180, LEADER, START + Milliseconds(1000));
    BOOST_TEST((gap.since(180) == std::optional(START + Milliseconds(1000))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
