#include "Process/Load/AllowanceTable.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace poplardock {

namespace {

/// Long enough for a team with a rate of 5 to accrue its first tokens.
constexpr Milliseconds UPTIME { 2000 };

/// The allowance tables of several daemons that receive each other's reports and summaries. Messages are delivered immediately.
class DaemonTables
{
public:
    /// "uptime": time for which the daemons run, and know each other from the store, before the first request.
    DaemonTables(int count, Milliseconds uptime)
        : DaemonTables(count)
    {
        listMembers();
        loop.runUntil(BootClock::now() + uptime);
        exchangeReports();
    }

    /// Daemons that have just started and have not heard of each other.
    explicit DaemonTables(int count)
    {
        for (int index = 0; index < count; ++index) {
            const std::string name = "d" + std::to_string(index);
            directories.push_back(std::make_unique<PeerDirectory>(name));
            tables.push_back(std::make_unique<AllowanceTable>(
                loop, *directories.back(), name, [this, name](const std::string &address, const PeerMessage &message) {
                    deliver(name, address, message);
                }));
        }
    }

    /// All daemons find all others in the store, as after a restart of the whole fleet.
    auto listMembers() -> void
    {
        for (const auto &directory : directories) {
            for (std::size_t index = 0; index < directories.size(); ++index) {
                const std::string name = "d" + std::to_string(index);
                directory->addMember(name, name, {}, 1, BootClock::now());
            }
            directory->recordMembersListed(BootClock::now());
        }
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
            directories[from]->recordOwnReport(report, now);
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (isConnected(from, to)) {
                    directories[to]->handleReport(report, report.name, now);
                }
            }
        }
        for (std::size_t from = 0; from < tables.size(); ++from) {
            DaemonReport own;
            own.name = "d" + std::to_string(from);
            own.incarnation = "i";
            own.demand = tables[from]->demand(now);
            FleetSummary summary = directories[from]->makeSummary(own, own.name, now);
            summary.sequence = sequence_;
            summary.echoedReport = sequence_;
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (isConnected(from, to)) {
                    directories[to]->handleSummary(summary, now);
                }
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
    /// Drops all requests for tokens and their answers.
    bool isPartitioned = false;
    /// Drops everything between the daemons with even and with odd numbers.
    bool isSplit = false;
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

    /// Sends three requests of the team to each daemon and appends the times of those admitted.
    auto sendToAll(std::vector<BootTime> &admitted) -> void
    {
        for (const auto &table : tables) {
            for (int request = 0; request < 3; ++request) {
                table->tryAcquire(team, [&admitted](std::optional<Milliseconds> wait) {
                    if (!wait) {
                        admitted.push_back(BootClock::now());
                    }
                });
            }
        }
    }

private:
    std::uint64_t sequence_ = 0;

    [[nodiscard]] auto isConnected(std::size_t from, std::size_t to) const -> bool
    {
        return !isSplit || from % 2 == to % 2;
    }

    auto deliver(const std::string &from, const std::string &to, const PeerMessage &message) -> void
    {
        ++messages;
        const auto sender = static_cast<std::size_t>(std::stoi(from.substr(1)));
        const auto receiver = static_cast<std::size_t>(std::stoi(to.substr(1)));
        if (isPartitioned || !isConnected(sender, receiver)) {
            return;
        }
        AllowanceTable &table = *tables[receiver];
        if (const auto *request = std::get_if<TokenRequest>(&message)) {
            table.handleRequest(&team, *request, from);
        } else if (const auto *response = std::get_if<TokenResponse>(&message)) {
            table.handleResponse(*response);
        }
    }
};

constexpr double WINDOW_SECONDS = 5;

/// The most requests that the platform allows a team in a window.
auto boundOf(const Team &team) -> double
{
    return (team.ratePerSecond * WINDOW_SECONDS + team.burst) * 1.1 + 20;
}

auto mostInWindow(const std::vector<BootTime> &admitted) -> double
{
    std::ptrdiff_t most = 0;
    for (auto first = admitted.begin(); first != admitted.end(); ++first) {
        const auto last = std::lower_bound(first, admitted.end(), *first + std::chrono::seconds(5));
        most = std::max(most, last - first);
    }
    return static_cast<double>(most);
}

/// Sends many times what the team may, to all daemons, and appends the times of those admitted.
auto sendMany(DaemonTables &tables, Milliseconds time, std::vector<BootTime> &admitted) -> void
{
    for (const BootTime end = BootClock::now() + time; BootClock::now() < end;) {
        tables.exchangeReports();
        tables.sendToAll(admitted);
        tables.loop.runUntil(BootClock::now() + Milliseconds(100));
    }
}

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

// Guards against daemons that restart at the same moment and each admit the whole rate, as home or from a share, until they
// hear of each other. Load pattern: all daemons are killed while a team asks for many times its rate. The bound is the one
// that the platform states for any window.
BOOST_AUTO_TEST_CASE(ARestartedFleetStaysWithinTheAllowance)
{
    DaemonTables tables(40);
    tables.team = { "team", 20, 20, {} };
    tables.listMembers();
    std::vector<BootTime> admitted;
    constexpr int STEPS_BEFORE_REPORTS = 8;
    for (int step = 0; step < STEPS_BEFORE_REPORTS; ++step) {
        tables.sendToAll(admitted);
        for (const auto &table : tables.tables) {
            table->updatePeerDemand(BootClock::now());
        }
        tables.loop.runUntil(BootClock::now() + Milliseconds(100));
    }
    sendMany(tables, Milliseconds(3500), admitted);
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against a fleet whose halves do not reach each other and admit the whole rate at the home and half of it from
// the shares beyond the home. Load pattern: a team that asks for many times its rate at all daemons. The bound is the one
// that the platform states for any window, a tenth and 20 requests above rate and burst.
BOOST_AUTO_TEST_CASE(ASplitFleetStaysWithinTheAllowance)
{
    DaemonTables tables(4, UPTIME);
    tables.team = { "team", 10, 5, {} };
    tables.sendRequests(40);
    tables.isSplit = true;
    std::vector<BootTime> admitted;
    sendMany(tables, Milliseconds(8000), admitted);
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against a home that admits the whole rate while the others, which get no answers from it but still hear that it
// lives, admit the whole rate again from their shares. Found by the soak test (seed 36): 54 requests in a window that
// allows 53.
BOOST_AUTO_TEST_CASE(ASilentHomeStaysWithinTheAllowance)
{
    DaemonTables tables(4, UPTIME);
    tables.sendRequests(4);
    tables.loop.runUntil(BootClock::now() + Milliseconds(3500));
    std::vector<BootTime> admitted;
    tables.isPartitioned = true;
    sendMany(tables, Milliseconds(3000), admitted);
    tables.isPartitioned = false;
    sendMany(tables, Milliseconds(2500), admitted);
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS);
}

// Guards against refused requests and token requests for a team without a limit.
BOOST_AUTO_TEST_CASE(ATeamWithoutALimitIsAdmitted)
{
    DaemonTables tables(2, UPTIME);
    tables.team.ratePerSecond = 0;
    BOOST_TEST(tables.sendRequests(50) == 50);
    BOOST_TEST(tables.messages == 0);
}

// Guards against daemons that restart while the store is away, know of no others, and each admit the whole allowance: 433 requests
// ran in a window that allows 152.
BOOST_AUTO_TEST_CASE(DaemonsThatHaveLearnedOfNobodyAdmitNothing)
{
    DaemonTables tables(12);
    tables.team = { "team", 20, 20, {} };
    std::vector<BootTime> admitted;
    const auto sendUnheard = [&tables, &admitted](int steps) {
        for (int step = 0; step < steps; ++step) {
            tables.sendToAll(admitted);
            for (const auto &table : tables.tables) {
                table->updatePeerDemand(BootClock::now());
            }
            tables.loop.runUntil(BootClock::now() + Milliseconds(100));
        }
    };
    sendUnheard(10);
    BOOST_TEST(admitted.empty());
    // A team without a limit needs no share.
    bool isAdmitted = false;
    tables.tables[0]->tryAcquire({ "open", 0, 0, {} }, [&isAdmitted](std::optional<Milliseconds> wait) { isAdmitted = !wait; });
    BOOST_TEST(isAdmitted);
    tables.listMembers();
    sendUnheard(8);
    sendMany(tables, Milliseconds(3500), admitted);
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against daemons that restart while they are cut off from each other but not from the store, and take the others, which
// they have never heard, for gone after a few seconds.
BOOST_AUTO_TEST_CASE(DaemonsThatNeverHeardEachOtherShareTheAllowance)
{
    DaemonTables tables(4);
    tables.team = { "team", 20, 20, {} };
    tables.listMembers();
    std::vector<BootTime> admitted;
    for (int step = 0; step < 80; ++step) {
        tables.sendToAll(admitted);
        for (const auto &table : tables.tables) {
            table->updatePeerDemand(BootClock::now());
        }
        tables.loop.runUntil(BootClock::now() + Milliseconds(100));
    }
    BOOST_TEST(mostInWindow(admitted) <= boundOf(tables.team));
    BOOST_TEST(mostInWindow(admitted) >= tables.team.ratePerSecond * WINDOW_SECONDS * 0.5);
}

// Guards against a daemon that is alone for good and does not admit its teams' requests.
BOOST_AUTO_TEST_CASE(ADaemonThatIsAloneAdmitsTheWholeAllowance)
{
    DaemonTables tables(1);
    tables.listMembers();
    tables.loop.runUntil(BootClock::now() + UPTIME);
    BOOST_TEST(tables.sendRequests(50) >= 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
