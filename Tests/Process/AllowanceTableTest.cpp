#include "Process/Load/AllowanceTable.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace poplardock {

namespace {

/// Long enough for a team with a rate of 5 to accrue its first tokens.
constexpr Milliseconds UPTIME { 2000 };

/// The allowance tables of several daemons that receive each other's reports. Messages are delivered immediately.
class DaemonTables
{
public:
    /// "uptime": time for which the daemons run before the first request.
    DaemonTables(int count, Milliseconds uptime)
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

    /// Delivers each daemon's demand to all daemons.
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
    /// Drops all messages between the daemons.
    bool isPartitioned = false;
    int messages = 0;

    /// Sends requests of the team to all daemons in turn. Returns the number of admitted requests.
    auto sendRequests(int count) -> int
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
        if (isPartitioned) {
            return;
        }
        AllowanceTable &table = *tables[static_cast<std::size_t>(std::stoi(to.substr(1)))];
        if (const auto *request = std::get_if<TokenRequest>(&message)) {
            table.handleRequest(&team, *request, from);
        } else if (const auto *response = std::get_if<TokenResponse>(&message)) {
            table.handleResponse(*response);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceTableSuite)

// Load pattern: 67 daemons, and a small team each of whose requests arrives at a different daemon. Guards against shares
// of less than one token, which refuse nearly all such requests: 4,767 of 17,290 requests on one day in a deployment that
// had grown.
BOOST_AUTO_TEST_CASE(ASmallTeamGetsItsWholeBurstOverManyDaemons)
{
    DaemonTables tables(67, UPTIME);
    tables.sendRequests(1);
    tables.loop.runUntil(BootClock::now() + Milliseconds(1000));
    // The burst of 5 is not available immediately, since a new home does not know what a previous one has granted.
    const int admitted = tables.sendRequests(12);
    BOOST_TEST(admitted >= 12);
    BOOST_TEST(tables.messages <= 2 * 13);
}

// Guards against daemons that together admit more than the rate and burst of the team.
BOOST_AUTO_TEST_CASE(OneBucketCountsForAllDaemons)
{
    DaemonTables tables(8, UPTIME);
    const int admitted = tables.sendRequests(200);
    BOOST_TEST(admitted <= 5 + 10 + 2);
    BOOST_TEST(admitted >= 10);
}

// Guards against requests that hang, are all refused or are all admitted while the home does not respond.
BOOST_AUTO_TEST_CASE(AnUnreachableHomeIsReplacedByShares)
{
    DaemonTables tables(8, UPTIME);
    tables.sendRequests(8);
    tables.isPartitioned = true;
    const int admitted = tables.sendRequests(400);
    BOOST_TEST(admitted >= 1);
    BOOST_TEST(admitted <= 5 + 20 + 10 + 5);
}

// Guards against a whole burst for each daemon that starts while the home is unreachable, because it knows of no other
// daemon to share the allowance with. The home itself may have restarted. Found by the soak test (seeds 22 and 29), which
// saw 57 requests admitted in a window that allows 53.
BOOST_AUTO_TEST_CASE(AStartedDaemonHasNoBurstOfItsOwn)
{
    DaemonTables tables(4, Milliseconds(0));
    tables.isPartitioned = true;
    int admitted = 0;
    for (const auto &table : tables.tables) {
        for (int request = 0; request < 20; ++request) {
            table->tryAcquire(tables.team, [&admitted](std::optional<Milliseconds> wait) { admitted += wait ? 0 : 1; });
        }
    }
    tables.loop.runUntil(BootClock::now() + Milliseconds(80));
    // At a rate of 5, the home and each of the other daemons accrue less than one token in this time.
    BOOST_TEST(admitted <= 4);
}

// Guards against refused requests and token requests for a team without a limit.
BOOST_AUTO_TEST_CASE(ATeamWithoutALimitIsAdmitted)
{
    DaemonTables tables(2, UPTIME);
    tables.team.ratePerSecond = 0;
    BOOST_TEST(tables.sendRequests(50) == 50);
    BOOST_TEST(tables.messages == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
