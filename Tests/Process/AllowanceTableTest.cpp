#include "Process/Load/AllowanceTable.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace poplardock {

namespace {

/// Long enough for the first tokens of a team with a rate of 5.
constexpr Milliseconds UPTIME { 2000 };

/// Tables of several daemons that hear each other's reports; messages arrive at once.
class Tables
{
public:
    /// "uptime": time for which the daemons have run before the first request.
    Tables(int count, Milliseconds uptime)
    {
        for (int index = 0; index < count; ++index) {
            const std::string name = "d" + std::to_string(index);
            directories.push_back(std::make_unique<PeerDirectory>(name));
            tables.push_back(std::make_unique<AllowanceTable>(
                loop, *directories.back(), name, [this, name](const std::string &address, const PeerMessage &message) {
                    deliver(name, address, message);
                }));
        }
        loop.runUntil(BootClock::now() + uptime);
        exchangeReports();
    }

    /// All daemons hear each other's demand.
    auto exchangeReports() -> void
    {
        const BootTime now = BootClock::now();
        ++sequence_;
        for (std::size_t from = 0; from < tables.size(); ++from) {
            DaemonReport report;
            report.name = "d" + std::to_string(from);
            report.incarnation = "i";
            report.sequence = sequence_;
            report.demand = tables[from]->demand(now);
            for (std::size_t to = 0; to < tables.size(); ++to) {
                directories[to]->handleReport(report, report.name, now);
            }
        }
        for (const auto &table : tables) {
            table->updatePeerDemand(now);
        }
    }

    EventLoop loop;
    std::vector<std::unique_ptr<PeerDirectory>> directories;
    std::vector<std::unique_ptr<AllowanceTable>> tables;
    Team team { "team", 5, 5, {} };
    bool isCut = false;
    int messages = 0;

    /// Requests of the team at all daemons in turn; returns how many were admitted.
    auto take(int count) -> int
    {
        int admitted = 0;
        for (int index = 0; index < count; ++index) {
            if (static_cast<std::size_t>(index) % tables.size() == 0) {
                exchangeReports();
            }
            tables[static_cast<std::size_t>(index) % tables.size()]->tryAcquire(
                team, [&admitted](std::optional<Milliseconds> wait) { admitted += wait ? 0 : 1; });
        }
        loop.runUntil(BootClock::now() + Milliseconds(80));
        return admitted;
    }

private:
    std::uint64_t sequence_ = 0;

    auto deliver(const std::string &from, const std::string &to, const PeerMessage &message) -> void
    {
        ++messages;
        if (isCut) {
            return;
        }
        AllowanceTable &table = *tables[static_cast<std::size_t>(std::stoi(to.substr(1)))];
        if (const auto *request = std::get_if<TokenRequest>(&message)) {
            table.handleRequest(&team, *request, from);
        } else if (const auto *answer = std::get_if<TokenResponse>(&message)) {
            table.handleResponse(*answer);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceTableSuite)

// Load pattern: 67 daemons and a small team whose requests come at a different daemon each time. Guards against shares
// of less than one token, which refuse nearly all of them: 4,767 of 17,290 requests on a day of a grown deployment.
BOOST_AUTO_TEST_CASE(ASmallTeamGetsItsWholeBurstOverManyDaemons)
{
    Tables tables(67, UPTIME);
    tables.take(1);
    tables.loop.runUntil(BootClock::now() + Milliseconds(1000));
    // Burst 5 is not full at once, since a new home does not know what an earlier one has given out.
    const int admitted = tables.take(12);
    BOOST_TEST(admitted >= 12);
    BOOST_TEST(tables.messages <= 2 * 13);
}

// Guards against daemons that together admit more than rate and burst: one bucket counts for all.
BOOST_AUTO_TEST_CASE(OneBucketCountsForAllDaemons)
{
    Tables tables(8, UPTIME);
    const int admitted = tables.take(200);
    BOOST_TEST(admitted <= 5 + 10 + 2);
    BOOST_TEST(admitted >= 10);
}

// Guards against requests that hang, or are all refused or all admitted, while the home does not answer.
BOOST_AUTO_TEST_CASE(ASilentHomeIsReplacedByShares)
{
    Tables tables(8, UPTIME);
    tables.take(8);
    tables.isCut = true;
    const int admitted = tables.take(400);
    BOOST_TEST(admitted >= 1);
    BOOST_TEST(admitted <= 5 + 20 + 10 + 5);
}

// Guards against a whole burst for each daemon that starts while the home of the bucket is silent: it knows of nobody
// with whom it shares. Found by the soak (seeds 22
// and 29): 57 requests in a window that allows 53. The home itself may be the one that has started again.
BOOST_AUTO_TEST_CASE(AStartedDaemonHasNoBurstOfItsOwn)
{
    Tables tables(4, Milliseconds(0));
    tables.isCut = true;
    int admitted = 0;
    for (const auto &table : tables.tables) {
        for (int request = 0; request < 20; ++request) {
            table->tryAcquire(tables.team, [&admitted](std::optional<Milliseconds> wait) { admitted += wait ? 0 : 1; });
        }
    }
    tables.loop.runUntil(BootClock::now() + Milliseconds(80));
    // The rate of 5 gives less than one token in this time, the home of the bucket as well as each of the others.
    BOOST_TEST(admitted <= 4);
}

// Guards against limits for a team that has none.
BOOST_AUTO_TEST_CASE(ATeamWithoutALimitIsAdmitted)
{
    Tables tables(2, UPTIME);
    tables.team.ratePerSecond = 0;
    BOOST_TEST(tables.take(50) == 50);
    BOOST_TEST(tables.messages == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
