#include "Request/AllowancePolicy.h"

#include "Request/RegionAllowance.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(AllowancePolicySuite)

// Guards against forwarding requests in a small fleet, and against loans that leave no tokens for the other members.
BOOST_AUTO_TEST_CASE(SmallFleetRequestsLoansWithinTheShareOfTheBurst)
{
    BOOST_TEST((chooseAllowanceSource({ 10, 100, 200, 8 }) == AllowanceSource(RequestLoan { 10 })));
    BOOST_TEST((chooseAllowanceSource({ 0.5, 100, 200, 8 }) == AllowanceSource(RequestLoan { 1 })));
    BOOST_TEST((chooseAllowanceSource({ 1000, 100, 200, 8 }) == AllowanceSource(RequestLoan { 25 })));
    BOOST_TEST((chooseAllowanceSource({ 10, 100, 1, 8 }) == AllowanceSource(RequestLoan { 1 })));
}

// Guards against a loan message for every request when a team has little demand at a daemon of a large fleet.
BOOST_AUTO_TEST_CASE(LargeFleetForwardsWhenLoansAreRarelyReused)
{
    BOOST_TEST((chooseAllowanceSource({ 0.5, 100, 2000, 400 }) == AllowanceSource(ForwardRequest {})));
    BOOST_TEST((chooseAllowanceSource({ 4, 1600, 3200, 400 }) == AllowanceSource(RequestLoan { 4 })));
    BOOST_TEST(renewalTokens({ 0.5, 100, 200, 8 }) == 0);
    BOOST_TEST(renewalTokens({ 5, 100, 200, 8 }) == 5);
}

// Guards against regional allowances whose sum differs from the team's, and against fractional bursts that no home can
// spend.
BOOST_AUTO_TEST_CASE(RegionAllowancesAddUpExactly)
{
    const std::set<std::string> regions { "a", "b", "c" };
    for (const auto &[rate, burst] : { std::pair(0.3, 1.0), std::pair(7.0, 2.5), std::pair(100.000001, 10.0), std::pair(1e6, 1e6) }) {
        const Team team { "t", rate, burst, {} };
        const RegionAllowance whole = regionAllowance(team, { "a" }, "a");
        BOOST_TEST(whole.rate == std::llround(rate * 1e6));
        RegionAllowance sum;
        for (const std::string &region : regions) {
            const RegionAllowance share = regionAllowance(team, regions, region);
            BOOST_TEST((share.burst == 0 || share.burst >= UNITS_PER_TOKEN));
            sum = { sum.rate + share.rate, sum.burst + share.burst };
        }
        BOOST_TEST((sum == whole));
    }
    BOOST_TEST((regionAllowance({ "t", 1, 1, {} }, regions, "d") == RegionAllowance {}));
}

// Guards against an estimate that keeps growing or never decays.
BOOST_AUTO_TEST_CASE(DemandFollowsTheRecentRate)
{
    DemandEstimate demand;
    TimePoint now(std::chrono::hours(1));
    for (int index = 0; index < 200; ++index) {
        now += Milliseconds(50);
        demand.record(now);
    }
    BOOST_TEST(demand.perSecond(now) > 18);
    BOOST_TEST(demand.perSecond(now) < 22);
    BOOST_TEST(demand.perSecond(now + std::chrono::seconds(5)) < 0.2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
