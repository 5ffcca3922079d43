#include "Request/BatchOrder.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr WallTime NOW { std::chrono::hours(1) };

auto candidate(const std::string &job, const std::string &team, std::chrono::seconds slack) -> JobCandidate
{
    return { job, team, NOW + slack + std::chrono::seconds(10), std::chrono::seconds(10) };
}

auto namesOf(const std::vector<JobCandidate> &sorted) -> std::string
{
    std::string names;
    for (const JobCandidate &entry : sorted) {
        names += entry.job;
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BatchOrderSuite)

// Guards against a job that misses its due time while items of less urgent jobs are started.
BOOST_AUTO_TEST_CASE(LessSlackGoesFirst)
{
    using std::chrono::hours;
    using std::chrono::minutes;
    const auto sorted = BatchOrder::sorted(
        { candidate("c", "t", hours(9)), candidate("a", "t", minutes(-1)), candidate("b", "t", minutes(3)) }, { { "t", 5 } }, NOW);
    BOOST_TEST(namesOf(sorted) == "abc");
    BOOST_TEST(BatchOrder::slackOf(sorted[0], NOW).count() == -60000);
}

// Guards against a team that occupies all slots because its jobs are slightly more urgent or more overdue.
BOOST_AUTO_TEST_CASE(AmongEquallyUrgentJobsTheTeamWithTheLeastRunningGoesFirst)
{
    using std::chrono::seconds;
    BOOST_TEST(namesOf(BatchOrder::sorted(
                   { candidate("a", "big", seconds(-500)), candidate("b", "small", seconds(-1)) }, { { "big", 3 }, { "small", 2 } }, NOW))
               == "ba");
    BOOST_TEST(
        namesOf(BatchOrder::sorted({ candidate("a", "big", seconds(130)), candidate("b", "small", seconds(200)) }, { { "big", 3 } }, NOW))
        == "ba");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
