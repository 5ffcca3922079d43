#include "Process/AllowanceClient.h"

#include "Support/AllowanceFleet.h"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

constexpr double RATE = 20;
constexpr double BURST = 30;

/// Six daemons and one team with a full bucket.
struct SixDaemons
{
    AllowanceFleet fleet { { "r", "r", "r", "r", "r", "r" }, { { "t", RATE, BURST, {} } } };
    std::uint64_t seed = seedFromArguments();
    std::mt19937_64 random { seed };

    SixDaemons()
    {
        BOOST_TEST_MESSAGE("seed " << seed);
        fleet.runTakeoverWait();
        fleet.run(Milliseconds(2000));
    }

    /// The seed from "TEST -- SEED", or 1.
    static auto seedFromArguments() -> std::uint64_t
    {
        const auto &suite = boost::unit_test::framework::master_test_suite();
        return suite.argc > 1 ? std::stoull(suite.argv[1]) : 1;
    }

    auto home() -> AllowanceFleet::Daemon &
    {
        return fleet.homeOf("t");
    }

    /// A daemon that is not the home of the team.
    auto borrower() -> AllowanceFleet::Daemon &
    {
        return fleet.daemon(fleet.daemon(0).member.name == home().member.name ? 1 : 0);
    }

    /// Sends requests to the daemons in turn until none of them admits any more. Returns the number of admissions.
    auto exhaust() -> int
    {
        int admitted = 0;
        for (int last = -1; last != admitted;) {
            last = admitted;
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                admitted += fleet.daemon(index).admits("t") ? 1 : 0;
            }
        }
        return admitted;
    }

    auto checkWindows() -> void
    {
        BOOST_TEST(fleet.log.findExcessWindow("t", RATE, BURST).value_or("") == "", "seed " << seed);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AllowanceClientSuite, SixDaemons)

// Guards against a fleet that cannot use the whole burst, and against one that admits more than the burst at once.
BOOST_AUTO_TEST_CASE(FleetAdmitsTheBurst)
{
    BOOST_TEST(exhaust() == 30);
}

// Guards, under a load of three times the rate, against excess admissions, unused allowance, and a loan request for
// each refused request.
BOOST_AUTO_TEST_CASE(ThreeTimesTheRateIsCutToTheLimit)
{
    const int before = fleet.loanRequests();
    const int sent = fleet.runUnderLoad("t", 3 * RATE, std::chrono::seconds(20), random);
    checkWindows();
    const auto admitted = static_cast<double>(fleet.log.admissions("t").size());
    BOOST_TEST(admitted > 0.95 * (BURST + 20 * RATE));
    BOOST_TEST(fleet.loanRequests() - before < sent - admitted);
}

// Guards against races between requests, borrows and maintenance on different threads.
BOOST_AUTO_TEST_CASE(ThreadsStayWithinTheLimit)
{
    constexpr int STEPS = 50;
    std::atomic<int> step { 0 };
    std::atomic<int> calls { 0 };
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < 2 * fleet.size(); ++index) {
        threads.emplace_back([&, index] {
            while (step < STEPS) {
                std::ignore = fleet.daemon(index % fleet.size()).acquire("t");
                ++calls;
            }
        });
    }
    for (; step < STEPS; ++step) {
        fleet.run(Milliseconds(100));
        for (const int before = calls; calls < before + 100;) {
            std::this_thread::yield();
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    checkWindows();
    BOOST_TEST(fleet.log.admissions("t").size() > 50U);
}

// Guards against a separate borrow for each request that arrives while one is in flight.
BOOST_AUTO_TEST_CASE(RequestsShareTheBorrowInFlight)
{
    constexpr int THREADS = 8;
    const int before = fleet.loanRequests();
    home().isStalled = true;
    AllowanceFleet::Daemon &daemon = borrower();
    std::atomic<int> admitted { 0 };
    std::vector<std::thread> threads;
    threads.reserve(THREADS);
    for (int index = 0; index < THREADS; ++index) {
        threads.emplace_back([&] { admitted += daemon.admits("t") ? 1 : 0; });
    }
    const auto waiting = [&daemon] {
        const auto entry = daemon.client.toJson()->getObject("t");
        return entry.isNull() ? 0 : entry->getValue<int>("waiting");
    };
    while (waiting() < THREADS - 1) {
        std::this_thread::yield();
    }
    home().isStalled = false;
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(admitted == THREADS);
    BOOST_TEST(fleet.loanRequests() - before < THREADS);
}

// Guards against tokens that are spent twice, or go back to the bucket too early, when a borrow's response is lost.
BOOST_AUTO_TEST_CASE(LostResponsesNeverAddTokens)
{
    for (int repetition = 0; repetition < 20; ++repetition) {
        home().responsesToLose = 1 + repetition % 3;
        fleet.runUnderLoad("t", 2 * RATE, Milliseconds(500), random);
    }
    checkWindows();
    BOOST_TEST(fleet.log.admissions("t").size() > 100U);
}

// Guards against a borrow that is not retried when its response is lost, and against one that is retried endlessly.
BOOST_AUTO_TEST_CASE(LostResponseIsRetriedOnce)
{
    home().responsesToLose = 1;
    BOOST_TEST(borrower().admits("t"));
    fleet.run(std::chrono::seconds(2));
    home().responsesToLose = 100;
    const int before = fleet.loanRequests();
    BOOST_TEST(std::holds_alternative<AllowanceUnavailable>(borrower().acquire("t")));
    BOOST_TEST(std::holds_alternative<AllowanceUnavailable>(borrower().acquire("t")));
    BOOST_TEST(fleet.loanRequests() - before == 2);
    home().responsesToLose = 0;
}

// Guards against a borrower that, after it was suspended, spends a loan that has expired at the home.
BOOST_AUTO_TEST_CASE(SuspendedBorrowerDoesNotSpendItsExpiredLoan)
{
    AllowanceFleet::Daemon &suspended = borrower();
    for (int request = 0; request < 10; ++request) {
        BOOST_TEST(suspended.admits("t"));
    }
    suspended.isSuspended = true;
    fleet.run(std::chrono::seconds(5));
    fleet.confirm();
    BOOST_TEST(exhaust() == 30);
    checkWindows();
}

// Guards against unused tokens that are kept from the rest of the fleet until the loan expires, and against spending
// tokens that were already returned when the response to that message was lost.
BOOST_AUTO_TEST_CASE(UnusedTokensAreReturnedWhenDemandCeases)
{
    while (borrower().client.toJson()->getObject("t").isNull()
           || borrower().client.toJson()->getObject("t")->getValue<int>("tokens") == 0) {
        BOOST_TEST_REQUIRE(borrower().admits("t"));
    }
    const double before = home().home.toJson()->getObject("t")->getValue<double>("outstanding");
    BOOST_TEST(before > 1);
    home().responsesToLose = 100;
    fleet.run(Milliseconds(900));
    BOOST_TEST(home().responsesToLose == 99);
    home().responsesToLose = 0;
    BOOST_TEST(home().home.toJson()->getObject("t")->getValue<double>("outstanding") == 0);
    exhaust();
    checkWindows();
}

// Guards against a home that relies on borrowers to settle their loans. This borrower never does, and spends each token
// at the last instant of the term.
BOOST_AUTO_TEST_CASE(LoansThatAreNeverSettledExpire)
{
    std::int64_t number = 1;
    std::int64_t granted = 0;
    for (int step = 0; step < 200; ++step) {
        const HomeResponse response = home().home.lend({ "t", 1, 3, 0, 0, 0, 0, { "silent", "1", number++ } });
        const std::int64_t tokens = std::get<LoanResponse>(response).granted;
        granted += tokens;
        const TimePoint lastUse = fleet.now() + LOAN_TERM - std::chrono::nanoseconds(1);
        for (std::int64_t token = 0; token < tokens; ++token) {
            fleet.log.record("t", lastUse);
        }
        fleet.run(Milliseconds(50));
    }
    checkWindows();
    BOOST_TEST(granted > 100);
}

// Guards against a changed limit that is not applied to existing buckets, or that loans from before the change exceed
// for longer than their term.
BOOST_AUTO_TEST_CASE(ChangedRateAppliesAtOnce)
{
    fleet.runUnderLoad("t", 3 * RATE, std::chrono::seconds(5), random);
    checkWindows();
    fleet.setTeams({ { "t", RATE / 4, BURST / 3, {} } });
    fleet.commit();
    const TimePoint loansEnd = fleet.now() + LOAN_TERM + LOAN_DRIFT_MARGIN;
    fleet.runUnderLoad("t", 3 * RATE, std::chrono::seconds(10), random);
    std::vector<TimePoint> later = fleet.log.admissions("t");
    std::erase_if(later, [loansEnd](TimePoint at) { return at < loansEnd; });
    BOOST_TEST(findExcessWindow(later, RATE / 4, BURST / 3).value_or("") == "", "seed " << seed);
    checkWindows();
    fleet.setTeams({ { "t", RATE, BURST, {} } });
    fleet.commit();
    fleet.run(std::chrono::seconds(3));
    BOOST_TEST(exhaust() == 30);
}

// Guards against requests that each wait for a time-out when the home is gone.
BOOST_AUTO_TEST_CASE(UnreachableHomeIsNotCalledForEachRequest)
{
    home().kill();
    BOOST_TEST(std::holds_alternative<AllowanceUnavailable>(borrower().acquire("t")));
    const auto again = borrower().acquire("t");
    BOOST_TEST(std::holds_alternative<AllowanceUnavailable>(again));
    BOOST_TEST(std::holds_alternative<AllowanceUnavailable>(borrower().acquire("unknown")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
