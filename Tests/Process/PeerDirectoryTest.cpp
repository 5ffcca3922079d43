#include "Process/Peers/PeerDirectory.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);

auto makeReport(const std::string &name, std::uint64_t sequence) -> DaemonReport
{
    DaemonReport report;
    report.name = name;
    report.incarnation = "i1";
    report.sequence = sequence;
    report.work = { { "u1", { 2, 1 } } };
    report.demand = { { "team", 4.5 } };
    report.jobs = { "job1" };
    report.crashes = { { "f00d", 1 } };
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerDirectorySuite)

// Guards against a field that is written and not read, or read as another one.
BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWere)
{
    DaemonReport report = makeReport("daemon-a", 7);
    report.isLeaving = true;
    report.hasStore = false;
    const auto read = decodePeerMessage(encodePeerMessage(report));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((std::get<DaemonReport>(*read) == report));
    const auto yield = decodePeerMessage(encodePeerMessage(YieldRequest { "u1" }));
    BOOST_REQUIRE(yield.ok());
    BOOST_TEST(std::get<YieldRequest>(*yield).upstream == "u1");
}

// Guards against a crash or a half-read report when something else sends to the port.
BOOST_AUTO_TEST_CASE(OtherDatagramsAreErrors)
{
    for (const std::string text :
         { "", "x", "report1 a b", "report1 a b c 0 1", "yield1", "report1 a b 1 0 1\nw u1 x 2", "report1 a b 1 0 1\n" }) {
        BOOST_TEST(!decodePeerMessage(text).ok(), text);
    }
}

// Guards against an old datagram that overtakes a newer one, and against the daemon's own echo.
BOOST_AUTO_TEST_CASE(OnlyNewerReportsAreTaken)
{
    PeerDirectory peers("self");
    BOOST_TEST(peers.take(makeReport("a", 5), "1:1", NOW));
    BOOST_TEST(!peers.take(makeReport("a", 5), "1:1", NOW));
    BOOST_TEST(!peers.take(makeReport("a", 4), "1:1", NOW));
    BOOST_TEST(!peers.take(makeReport("self", 9), "1:1", NOW));
    DaemonReport restarted = makeReport("a", 1);
    restarted.incarnation = "i2";
    BOOST_TEST(peers.take(restarted, "1:1", NOW));
}

// Guards against slots that stay taken by a dead daemon, and against a silent one whose allowance is handed out while
// it may still admit requests.
BOOST_AUTO_TEST_CASE(SilenceEndsWorkSoonAndDemandLate)
{
    PeerDirectory peers("self");
    peers.take(makeReport("a", 1), "1:1", NOW);
    BOOST_TEST(peers.work(NOW)["u1"].online == 2);
    BOOST_TEST(peers.demand("team", NOW) == 4.5);
    const BootTime later = NOW + std::chrono::seconds(5);
    BOOST_TEST(peers.work(later).empty());
    BOOST_TEST(peers.demand("team", later) == 4.5);
    BOOST_TEST(peers.daemonCount(later) == 2);
    BOOST_TEST(peers.daemonCount(NOW + std::chrono::seconds(60)) == 1);
}

// Guards against a large fleet in which every daemon counts as gone between two of its reports.
BOOST_AUTO_TEST_CASE(SilenceIsJudgedByTheTimeBetweenReports)
{
    PeerDirectory peers("self");
    for (int index = 0; index < 400; ++index) {
        peers.take(makeReport("d" + std::to_string(index), 1), "1:1", NOW);
    }
    const Milliseconds period = peers.reportPeriod();
    BOOST_TEST(period.count() > 1500);
    BOOST_TEST(peers.isAlive(*peers.find("d7"), NOW + 3 * period));
    BOOST_TEST(!peers.isAlive(*peers.find("d7"), NOW + 5 * period));
}

// Guards against two daemons that take over one job, and against a home that cannot write to the store.
BOOST_AUTO_TEST_CASE(AllDaemonsNameTheSameHome)
{
    PeerDirectory first("a");
    PeerDirectory second("b");
    first.take(makeReport("b", 1), "1:1", NOW);
    first.take(makeReport("c", 1), "1:1", NOW);
    second.take(makeReport("a", 1), "1:1", NOW);
    second.take(makeReport("c", 1), "1:1", NOW);
    std::set<std::string> homes;
    for (int job = 0; job < 100; ++job) {
        const std::string id = "job" + std::to_string(job);
        BOOST_TEST(first.homeOf(id, NOW) == second.homeOf(id, NOW));
        homes.insert(first.homeOf(id, NOW));
    }
    BOOST_TEST(homes.size() == 3);
    DaemonReport storeless = makeReport("c", 2);
    storeless.hasStore = false;
    first.take(storeless, "1:1", NOW);
    for (int job = 0; job < 100; ++job) {
        BOOST_TEST(first.homeOf("job" + std::to_string(job), NOW) != "c");
    }
}

// Guards against asking a daemon for a job that it will not answer for.
BOOST_AUTO_TEST_CASE(OwnersAreLivingDaemonsThatStay)
{
    PeerDirectory peers("self");
    peers.take(makeReport("a", 1), "1:1", NOW);
    BOOST_REQUIRE(peers.ownerOf("job1", NOW) != nullptr);
    BOOST_TEST(peers.ownerOf("job1", NOW)->name == "a");
    BOOST_TEST(peers.ownerOf("job2", NOW) == nullptr);
    BOOST_TEST(peers.ownerOf("job1", NOW + std::chrono::seconds(5)) == nullptr);
    DaemonReport leaving = makeReport("a", 2);
    leaving.isLeaving = true;
    peers.take(leaving, "1:1", NOW);
    BOOST_TEST(peers.ownerOf("job1", NOW) == nullptr);
    BOOST_TEST(peers.crashes("f00d") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
