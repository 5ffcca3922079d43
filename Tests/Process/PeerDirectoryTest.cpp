#include "Process/Peers/PeerDirectory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
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

// Guards against fields that are encoded but not decoded, or decoded into another field.
BOOST_AUTO_TEST_CASE(MessagesSurviveEncodingAndDecoding)
{
    DaemonReport report = makeReport("daemon-a", 7);
    report.isDraining = true;
    report.hasStoreContact = false;
    const auto read = decodePeerMessage(encodePeerMessage(report));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((std::get<DaemonReport>(*read) == report));
    DataCentreDigest digest;
    digest.dataCentre = "east-a";
    digest.sender = "daemon-a";
    digest.sequence = 9;
    digest.isForwarded = true;
    digest.daemons = { { "daemon-a", "1:1", "i1", 7, Milliseconds(3), true, false, { "job1", "job2" } },
                       { "daemon-b", "1:2", "i2", 8, Milliseconds(0), false, true, {} } };
    digest.work = { { "u1", { 2, 1 } } };
    digest.batchHolders = { { "u1", "daemon-b" } };
    digest.demand = { { "team", 4.5 } };
    digest.crashes = { { "f00d", 1 } };
    const auto readDigest = decodePeerMessage(encodePeerMessage(digest));
    BOOST_REQUIRE(readDigest.ok());
    BOOST_TEST((std::get<DataCentreDigest>(*readDigest) == digest));
    const auto preemption = decodePeerMessage(encodePeerMessage(PreemptionRequest { "u1" }));
    BOOST_REQUIRE(preemption.ok());
    BOOST_TEST(std::get<PreemptionRequest>(*preemption).upstream == "u1");
}

// Guards against a crash or a partly decoded report when another program sends to the port.
BOOST_AUTO_TEST_CASE(ForeignDatagramsAreErrors)
{
    for (const std::string text : { "",
                                    "x",
                                    "report2 a b",
                                    "report2 a b c 0 1 z",
                                    "yield1",
                                    "report2 a b 1 0 1 z\nw u1 x 2",
                                    "report2 a b 1 0 1 z\n",
                                    "digest1 a x 0 z",
                                    "digest1 a 1 0 z\nj job1",
                                    "digest1 a 1 0 z\nm b 1:1 i 1 -5 0 1" }) {
        BOOST_TEST(!decodePeerMessage(text).ok(), text);
    }
}

// Guards against applying datagrams that arrive out of order, and the daemon's own reports.
BOOST_AUTO_TEST_CASE(OnlyNewerReportsAreApplied)
{
    PeerDirectory peers("self");
    BOOST_TEST(peers.handleReport(makeReport("a", 5), "1:1", NOW));
    BOOST_TEST(!peers.handleReport(makeReport("a", 5), "1:1", NOW));
    BOOST_TEST(!peers.handleReport(makeReport("a", 4), "1:1", NOW));
    BOOST_TEST(!peers.handleReport(makeReport("self", 9), "1:1", NOW));
    DaemonReport restarted = makeReport("a", 1);
    restarted.incarnation = "i2";
    BOOST_TEST(peers.handleReport(restarted, "1:1", NOW));
}

// Guards against slots that stay occupied by a crashed daemon, and against giving away the share of an unreachable daemon
// that may still admit requests.
BOOST_AUTO_TEST_CASE(WorkExpiresSoonAndDemandLate)
{
    PeerDirectory peers("self");
    peers.handleReport(makeReport("a", 1), "1:1", NOW);
    BOOST_TEST(peers.work(NOW)["u1"].online == 2);
    BOOST_TEST(peers.demand(NOW)["team"] == 4.5);
    const BootTime later = NOW + std::chrono::seconds(5);
    BOOST_TEST(peers.work(later).empty());
    BOOST_TEST(peers.demand(later)["team"] == 4.5);
    BOOST_TEST(peers.daemonCount(later) == 2);
    BOOST_TEST(peers.daemonCount(NOW + std::chrono::seconds(60)) == 1);
}

// Guards against a large fleet in which every daemon is considered gone between two of its reports.
BOOST_AUTO_TEST_CASE(TheLivenessTimeoutGrowsWithTheReportPeriod)
{
    PeerDirectory peers("self");
    for (int index = 0; index < 400; ++index) {
        peers.handleReport(makeReport("d" + std::to_string(index), 1), "1:1", NOW);
    }
    const Milliseconds period = peers.reportPeriod();
    BOOST_TEST(period.count() > 1500);
    BOOST_TEST(peers.isAlive(*peers.find("d7"), NOW + 3 * period));
    BOOST_TEST(!peers.isAlive(*peers.find("d7"), NOW + 5 * period));
}

// Guards against two daemons that take over the same job, and against a home that cannot write to the store.
BOOST_AUTO_TEST_CASE(AllDaemonsSelectTheSameHome)
{
    PeerDirectory first("a");
    PeerDirectory second("b");
    first.handleReport(makeReport("b", 1), "1:1", NOW);
    first.handleReport(makeReport("c", 1), "1:1", NOW);
    second.handleReport(makeReport("a", 1), "1:1", NOW);
    second.handleReport(makeReport("c", 1), "1:1", NOW);
    std::set<std::string> homes;
    for (int job = 0; job < 100; ++job) {
        const std::string id = "job" + std::to_string(job);
        BOOST_TEST(first.homeOf(id, NOW) == second.homeOf(id, NOW));
        homes.insert(first.homeOf(id, NOW));
    }
    BOOST_TEST(homes.size() == 3);
    DaemonReport storeless = makeReport("c", 2);
    storeless.hasStoreContact = false;
    first.handleReport(storeless, "1:1", NOW);
    for (int job = 0; job < 100; ++job) {
        BOOST_TEST(first.homeOf("job" + std::to_string(job), NOW) != "c");
    }
}

// Guards against forwarding requests for a job to a daemon that does not serve it any more.
BOOST_AUTO_TEST_CASE(OwnersAreLiveAndNotDraining)
{
    PeerDirectory peers("self");
    peers.handleReport(makeReport("a", 1), "1:1", NOW);
    BOOST_REQUIRE(peers.ownerOf("job1", NOW) != nullptr);
    BOOST_TEST(peers.ownerOf("job1", NOW)->name == "a");
    BOOST_TEST(peers.ownerOf("job2", NOW) == nullptr);
    BOOST_TEST(peers.ownerOf("job1", NOW + std::chrono::seconds(5)) == nullptr);
    DaemonReport draining = makeReport("a", 2);
    draining.isDraining = true;
    peers.handleReport(draining, "1:1", NOW);
    BOOST_TEST(peers.ownerOf("job1", NOW) == nullptr);
    BOOST_TEST(peers.crashes("f00d", NOW) == 1);
}

namespace {

/// The daemons of three data centres, each with its own view of the others after every daemon has reported once.
class DigestFleet
{
public:
    explicit DigestFleet(int perDataCentre)
    {
        for (const std::string dataCentre : { "a", "b", "c" }) {
            for (int index = 0; index < perDataCentre; ++index) {
                const std::string name = dataCentre + std::to_string(index);
                views.emplace(name, PeerDirectory(name, dataCentre));
                reports[name] = makeReport(name, 1);
                reports[name].dataCentre = dataCentre;
            }
        }
        for (auto &[name, view] : views) {
            for (const auto &[other, report] : reports) {
                view.addMember(other, other, report.dataCentre);
            }
        }
        exchangeReports(NOW);
    }

    /// Delivers each daemon's report to all daemons of its data centre.
    auto exchangeReports(BootTime now) -> void
    {
        for (auto &[name, view] : views) {
            for (auto &[other, report] : reports) {
                if (other != unreachable && report.dataCentre == reports[name].dataCentre) {
                    ++report.sequence;
                    view.handleReport(report, other, now);
                }
            }
        }
    }

    /// Sends the digests of all relays once. Returns the number of datagrams sent between data centres.
    auto exchangeDigests(std::uint64_t tick, BootTime now) -> int
    {
        int datagrams = 0;
        for (const auto &[name, view] : views) {
            if (name == unreachable) {
                continue;
            }
            DataCentreDigest digest = view.makeDigest(reports[name], name, now);
            digest.sequence = tick;
            for (const std::string &target : view.digestTargets(tick, now)) {
                ++datagrams;
                deliver(digest, target, now);
            }
        }
        return datagrams;
    }

    std::map<std::string, PeerDirectory> views;
    std::map<std::string, DaemonReport> reports;
    /// A daemon whose messages reach nobody.
    std::string unreachable;

private:
    auto deliver(DataCentreDigest digest, const std::string &target, BootTime now) -> void
    {
        if (target == unreachable || !views.at(target).handleDigest(digest, now)) {
            return;
        }
        digest.isForwarded = true;
        for (const Peer *peer : views.at(target).localPeers()) {
            views.at(peer->name).handleDigest(digest, now);
        }
    }
};

} // namespace

// Guards against work that is counted twice because two relays report it, or not at all because it is in another data
// centre. Load pattern: all daemons send work to shared upstreams.
BOOST_AUTO_TEST_CASE(EachDaemonKnowsTheWorkOfAll)
{
    DigestFleet fleet(6);
    fleet.exchangeDigests(PeerDirectory::BACKUP_DIGEST_TICKS, NOW);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.work(NOW)["u1"].online == 2 * 17, name);
        BOOST_TEST(view.work(NOW)["u1"].batch == 17, name);
        BOOST_TEST(view.demand(NOW)["team"] == 4.5 * 17, name);
        BOOST_TEST(view.crashes("f00d", NOW) == 17, name);
        BOOST_TEST(view.daemonCount(NOW) == 18, name);
        BOOST_TEST(view.batchHolder("u1", NOW, 0) != nullptr, name);
        BOOST_TEST(view.homeOf("job", NOW) == fleet.views.at("a0").homeOf("job", NOW), name);
    }
}

// Guards against traffic between data centres that grows with the square of the number of daemons, and against daemons
// whose number of messages grows with the fleet.
BOOST_AUTO_TEST_CASE(DatagramsBetweenDataCentresDoNotGrowWithTheDaemons)
{
    DigestFleet few(3);
    DigestFleet many(30);
    few.exchangeDigests(PeerDirectory::BACKUP_DIGEST_TICKS, NOW);
    many.exchangeDigests(PeerDirectory::BACKUP_DIGEST_TICKS, NOW);
    BOOST_TEST(few.exchangeDigests(1, NOW) == many.exchangeDigests(1, NOW));
    BOOST_TEST(few.exchangeDigests(1, NOW) == 6);
    BOOST_TEST(many.views.at("a0").localPeers().size() == 29);
}

// Guards against a data centre that is considered gone because its first relay has crashed, so that its jobs are taken
// over and its slots given away.
BOOST_AUTO_TEST_CASE(TheSecondRelayBridgesTheLossOfTheFirst)
{
    DigestFleet fleet(4);
    fleet.exchangeDigests(PeerDirectory::BACKUP_DIGEST_TICKS, NOW);
    fleet.unreachable = fleet.views.at("b0").relaysOf("a", NOW).front();
    const PeerDirectory &reader = fleet.views.at("b0");
    for (int tick = PeerDirectory::BACKUP_DIGEST_TICKS + 1; tick < 60; ++tick) {
        const BootTime now = NOW + tick * PeerDirectory::DIGEST_PERIOD;
        fleet.exchangeReports(now);
        fleet.exchangeDigests(static_cast<std::uint64_t>(tick), now);
        for (const auto &[name, peer] : reader.peers()) {
            if (name != fleet.unreachable) {
                BOOST_TEST(reader.isAlive(peer, now), name << " is not alive in tick " << tick);
            }
        }
    }
    BOOST_TEST(!reader.isAlive(*reader.find(fleet.unreachable), NOW + 60 * PeerDirectory::DIGEST_PERIOD));
}

// Guards against a daemon that considers all others gone because it is partitioned from its own data centre, and against
// its work being left out or mistaken for the work of its whole data centre.
BOOST_AUTO_TEST_CASE(ADaemonPartitionedFromItsDataCentreStillCounts)
{
    DigestFleet fleet(4);
    fleet.exchangeDigests(PeerDirectory::BACKUP_DIGEST_TICKS, NOW);
    const std::string isolated = "a0";
    const std::string reader = fleet.views.at("b0").relaysOf("b", NOW).front();
    const BootTime later = NOW + std::chrono::seconds(3);
    PeerDirectory &view = fleet.views.at(isolated);
    const auto targets = view.digestTargets(1, later);
    BOOST_TEST(std::count(targets.begin(), targets.end(), reader) <= 1);
    BOOST_REQUIRE(!targets.empty());
    DataCentreDigest digest = view.makeDigest(fleet.reports[isolated], isolated, later);
    BOOST_TEST(digest.daemons.size() == 1U);
    digest.sequence = 100;
    PeerDirectory &receiver = fleet.views.at(reader);
    DataCentreDigest rest = fleet.views.at("a1").makeDigest(fleet.reports["a1"], "a1", NOW);
    std::erase_if(rest.daemons, [&isolated](const DigestEntry &entry) { return entry.name == isolated; });
    rest.work = { { "u1", { 6, 3 } } };
    rest.sequence = 100;
    receiver.handleDigest(rest, later);
    receiver.handleDigest(digest, later);
    BOOST_TEST(receiver.isAlive(*receiver.find(isolated), later));
    BOOST_TEST(receiver.work(later)["u1"].online == 6 + 2);
    const auto targetsBack = receiver.digestTargets(PeerDirectory::BACKUP_DIGEST_TICKS, later);
    BOOST_TEST(std::count(targetsBack.begin(), targetsBack.end(), isolated) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
