#include "Request/AllowanceShare.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

namespace poplardock {

namespace {

const BootTime START = BootTime() + std::chrono::hours(1);
constexpr double EXTRA_BURST = 20;

struct Outcome
{
    /// Most admitted requests in any window of five seconds.
    int worstWindow = 0;
    int admitted = 0;
    int refused = 0;
    /// Requests that a single token bucket for all daemons would have refused.
    int refusedByOneBucket = 0;
};

/// Simulates 30 s of requests of one team that arrive at random times and unevenly at the daemons. Daemons report their
/// demand to each other every 100 ms; the first "isolated" ones receive no reports.
auto simulate(RateLimit limit, double requestsPerSecond, const std::vector<double> &weights, std::size_t isolated) -> Outcome
{
    constexpr int TICKS_PER_SECOND = 1000;
    constexpr int SECONDS = 30;
    constexpr int EXCHANGE_TICKS = 100;
    constexpr int WINDOW_TICKS = 5 * TICKS_PER_SECOND;
    std::mt19937 random(5);
    std::uniform_real_distribution<double> uniform;
    std::vector<AllowanceShare> shares(weights.size(), AllowanceShare(limit, EXTRA_BURST, START));
    AllowanceShare oneBucket(limit, 0, START);
    std::vector<int> admittedAt(SECONDS * TICKS_PER_SECOND, 0);
    Outcome outcome;
    for (int tick = 0; tick < SECONDS * TICKS_PER_SECOND; ++tick) {
        const BootTime now = START + Milliseconds(tick);
        if (tick % EXCHANGE_TICKS == 0) {
            for (std::size_t self = isolated; self < shares.size(); ++self) {
                double others = 0;
                for (std::size_t other = 0; other < shares.size(); ++other) {
                    others += other == self ? 0 : shares[other].demand(now);
                }
                shares[self].setPeerDemand(others, static_cast<int>(shares.size()), now);
            }
        }
        for (std::size_t daemon = 0; daemon < shares.size(); ++daemon) {
            if (uniform(random) < requestsPerSecond * weights[daemon] / TICKS_PER_SECOND) {
                const bool isAdmitted = !shares[daemon].tryAcquire(now).has_value();
                admittedAt[static_cast<std::size_t>(tick)] += isAdmitted ? 1 : 0;
                (isAdmitted ? outcome.admitted : outcome.refused) += 1;
                outcome.refusedByOneBucket += oneBucket.tryAcquire(now) ? 1 : 0;
            }
        }
    }
    int window = 0;
    for (std::size_t tick = 0; tick < admittedAt.size(); ++tick) {
        window += admittedAt[tick] - (tick >= WINDOW_TICKS ? admittedAt[tick - WINDOW_TICKS] : 0);
        outcome.worstWindow = std::max(outcome.worstWindow, window);
    }
    return outcome;
}

const std::vector<double> UNEVEN_WEIGHTS = { 0.3, 0.2, 0.15, 0.1, 0.1, 0.08, 0.05, 0.02 };

/// Most requests that the platform permits in a window: 10% above rate and burst, plus 20 requests.
auto maximumInWindow(RateLimit limit) -> double
{
    return (limit.ratePerSecond * 5 + limit.burst) * 1.1 + 20;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceShareSuite)

// Load pattern: one team sends several times its rate. Guards against daemons that together admit more than rate and
// burst, although each of them stays within its own share.
BOOST_AUTO_TEST_CASE(AHotTeamStaysWithinItsAllowance)
{
    for (const double rate : { 5.0, 20.0, 60.0 }) {
        const RateLimit limit { rate, rate };
        const Outcome outcome = simulate(limit, 7.5 * rate, UNEVEN_WEIGHTS, 0);
        BOOST_TEST(outcome.worstWindow <= maximumInWindow(limit), "rate " << rate << ": " << outcome.worstWindow);
        // The team must also get most of its allowance.
        BOOST_TEST(outcome.admitted >= 0.8 * rate * 30, "rate " << rate << ": " << outcome.admitted);
    }
}

// Load pattern: a team at its usual rate, 1 / 1.6 of its limit, unevenly spread over the daemons. Guards against
// refusals that are caused only by splitting the allowance: a single bucket for all daemons must refuse nearly as many.
BOOST_AUTO_TEST_CASE(ATeamWithinItsRateIsRarelyRefused)
{
    for (const double rate : { 2.0, 10.0, 60.0 }) {
        const Outcome outcome = simulate({ rate, rate }, rate / 1.6, UNEVEN_WEIGHTS, 0);
        const double bound = outcome.refusedByOneBucket + 0.01 * (outcome.admitted + outcome.refused);
        BOOST_TEST(outcome.refused <= bound, "rate " << rate << ": " << outcome.refused << ", bound " << bound);
    }
}

// Guards against a daemon that is isolated from its peers and admits requests as if it were the only one.
BOOST_AUTO_TEST_CASE(AnIsolatedDaemonKeepsTheLastKnownPeerDemand)
{
    AllowanceShare share({ 80, 80 }, EXTRA_BURST, START);
    for (int tick = 0; tick < 2000; tick += 50) {
        static_cast<void>(share.tryAcquire(START + Milliseconds(tick)));
    }
    share.setPeerDemand(60, 8, START + Milliseconds(2000));
    const double fraction = share.fraction();
    BOOST_TEST(fraction < 0.5);
    int admitted = 0;
    for (int tick = 2000; tick < 12000; tick += 10) {
        admitted += share.tryAcquire(START + Milliseconds(tick)) ? 0 : 1;
    }
    // Its own demand has grown fivefold, so its fraction has grown as far as its own demand alone can raise it.
    BOOST_TEST(admitted < 0.8 * 80 * 10);
}

// Guards against a lowered limit that is not enforced at once, and against refusing a team without a limit.
BOOST_AUTO_TEST_CASE(AChangedLimitAppliesAtOnce)
{
    AllowanceShare share({ 100, 100 }, EXTRA_BURST, START);
    share.setLimit({ 1, 1 }, START);
    int admitted = 0;
    for (int index = 0; index < 100; ++index) {
        admitted += share.tryAcquire(START) ? 0 : 1;
    }
    BOOST_TEST(admitted <= 1 + EXTRA_BURST);
    BOOST_TEST(share.tryAcquire(START).has_value());
    share.setLimit({ 0, 0 }, START);
    BOOST_TEST(!share.tryAcquire(START).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
