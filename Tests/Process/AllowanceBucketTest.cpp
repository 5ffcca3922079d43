#include "Process/AllowanceBucket.h"

#include "Support/AdmissionWindows.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace poplardock {

namespace {

constexpr RegionAllowance TEN_PER_SECOND { 10'000'000, 20 * UNITS_PER_TOKEN };

auto at(double seconds) -> TimePoint
{
    return TimePoint(std::chrono::hours(1)) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto loanId(std::int64_t number) -> LoanId
{
    return { "borrower", "1", number };
}

struct Borrowed
{
    LoanId id;
    std::int64_t granted = 0;
    std::int64_t remaining = 0;
    TimePoint deadline;
};

/// The seed from "TEST -- SEED", or 1.
auto seedFromArguments() -> std::uint64_t
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    return suite.argc > 1 ? std::stoull(suite.argv[1]) : 1;
}

/// Spends tokens at random from the bucket and from loans, some late in their term. Loans are settled twice or never.
/// Returns the times of all spent tokens.
auto spendAtRandom(AllowanceBucket bucket, std::uint64_t seed) -> std::vector<TimePoint>
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](int limit) {
        return static_cast<int>(random() % static_cast<std::uint64_t>(limit));
    };
    std::vector<Borrowed> loans;
    std::vector<TimePoint> spends;
    TimePoint now = at(0);
    for (std::int64_t step = 1; step < 20'000; ++step) {
        now += std::chrono::microseconds(draw(draw(50) == 0 ? 3'000'000 : 20'000));
        const int action = draw(10);
        if (action < 2 && bucket.tryAcquire(now)) {
            spends.push_back(now);
        } else if (action < 4) {
            const TimePoint sentAt = now - std::chrono::microseconds(draw(100'000));
            const std::int64_t granted = bucket.grant(loanId(step), 1 + draw(8), now);
            loans.push_back({ loanId(step), granted, granted, sentAt + LOAN_TERM });
        } else if (!loans.empty()) {
            Borrowed &loan = loans[loans.size() - 1 - static_cast<std::size_t>(draw(std::min<int>(5, static_cast<int>(loans.size()))))];
            if (action < 8 && loan.remaining > 0 && now < loan.deadline) {
                --loan.remaining;
                spends.push_back(now);
            } else if (action == 8) {
                const std::int64_t returned = std::exchange(loan.remaining, 0);
                bucket.settle(loan.id, loan.granted - returned, returned, now);
                bucket.settle(loan.id, loan.granted - returned, returned, now);
            }
        }
    }
    return spends;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceBucketSuite)

// Guards against excess admissions: from refilling although the tokens are lent out, and from loans that expire at the
// home before the borrower's term is over.
BOOST_AUTO_TEST_CASE(EveryWindowHoldsTheLimit)
{
    const std::uint64_t first = seedFromArguments();
    for (std::uint64_t seed = first; seed < first + 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const auto spends = spendAtRandom({ TEN_PER_SECOND, TEN_PER_SECOND.burst, at(0) }, seed);
            BOOST_TEST(spends.size() > 500U);
            BOOST_TEST(findExcessWindow(spends, 10, 20).value_or("") == "");
        }
    }
}

// Guards against refilling the tokens of a loan that the borrower may still spend.
BOOST_AUTO_TEST_CASE(TokensSpentLateInTheTermCount)
{
    AllowanceBucket bucket(TEN_PER_SECOND, TEN_PER_SECOND.burst, at(0));
    std::vector<TimePoint> spends;
    for (int cycle = 0; cycle < 10; ++cycle) {
        const TimePoint sentAt = at(1.5 * cycle);
        const std::int64_t granted = bucket.grant(loanId(cycle), 20, sentAt);
        const TimePoint last = sentAt + LOAN_TERM - std::chrono::nanoseconds(1);
        spends.insert(spends.end(), static_cast<std::size_t>(granted), last);
        while (bucket.tryAcquire(last)) {
            spends.push_back(last);
        }
    }
    BOOST_TEST(spends.size() > 40U);
    BOOST_TEST(findExcessWindow(spends, 10, 20).value_or("") == "");
}

// Guards against returned tokens that are credited twice, or after the loan has expired.
BOOST_AUTO_TEST_CASE(LoanIsSettledOnce)
{
    AllowanceBucket bucket({ 0, 20 * UNITS_PER_TOKEN }, 20 * UNITS_PER_TOKEN, at(0));
    BOOST_TEST(bucket.grant(loanId(1), 5, at(0)) == 5);
    BOOST_TEST(bucket.grant(loanId(2), 5, at(0)) == 5);
    BOOST_TEST(!bucket.settle(loanId(1), 2, 4, at(0.5)));
    BOOST_TEST(bucket.settle(loanId(1), 2, 3, at(0.5)));
    BOOST_TEST(!bucket.settle(loanId(1), 2, 3, at(0.5)));
    BOOST_TEST(bucket.level() == 13 * UNITS_PER_TOKEN);
    BOOST_TEST(!bucket.settle(loanId(2), 0, 5, at(2)));
    BOOST_TEST(bucket.level() == 13 * UNITS_PER_TOKEN);
    BOOST_TEST(bucket.outstanding() == 0);
}

// Guards against a lowered limit that tokens or loans from before the change exceed even after those loans have ended.
BOOST_AUTO_TEST_CASE(LoweredLimitHoldsOnceTheLoansHaveEnded)
{
    AllowanceBucket bucket(TEN_PER_SECOND, TEN_PER_SECOND.burst, at(0));
    BOOST_TEST(bucket.grant(loanId(1), 15, at(0)) == 15);
    bucket.setLimit({ 1'000'000, 4 * UNITS_PER_TOKEN }, at(0));
    BOOST_TEST(bucket.level() == 0);
    BOOST_TEST(bucket.settle(loanId(1), 0, 15, at(0.1)));
    BOOST_TEST(bucket.level() == 4 * UNITS_PER_TOKEN);
    BOOST_TEST(bucket.nextTokenAt(at(0.2)).time_since_epoch().count() == at(0.2).time_since_epoch().count());
}

// Guards against retry hints that are earlier than the next token.
BOOST_AUTO_TEST_CASE(NextTokenWaitsForRefillAndExpiry)
{
    AllowanceBucket bucket(TEN_PER_SECOND, 0, at(0));
    BOOST_TEST((bucket.nextTokenAt(at(0)) == at(0.1)));
    BOOST_TEST(!bucket.tryAcquire(at(0.1) - std::chrono::nanoseconds(1)));
    BOOST_TEST(bucket.tryAcquire(at(0.1)));
    bucket.advance(at(10));
    BOOST_TEST(bucket.grant(loanId(1), 20, at(10)) == 20);
    const TimePoint expiry = at(10) + LOAN_TERM + LOAN_DRIFT_MARGIN;
    BOOST_TEST((bucket.nextTokenAt(at(10)) == expiry + Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
