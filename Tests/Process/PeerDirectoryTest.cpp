#include "Process/Peers/PeerDirectory.h"

#include "Process/BoundedTime.h"
#include "Support/DirectoryFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);
const std::vector<std::string> THREE = { "a", "b", "c" };
/// The platform's stableWindowMs: time within which all daemons that hear each other have to know what one has seen.
constexpr Milliseconds STABLE_WINDOW { 3000 };
/// Time after which a fleet has exchanged everything, the announcements of its start included.
constexpr Milliseconds SETTLED { 4000 };

auto makeReport(const std::string &name, std::uint64_t sequence) -> DaemonReport
{
    DaemonReport report;
    report.name = name;
    report.incarnation = "i1";
    report.sequence = sequence;
    report.work = { { "u1", { 2, 1 } } };
    report.demand = { { "team", 4.5 } };
    report.jobs = { "job1" };
    report.crashSuspects = { { "p0123456789abcdef", 2, Milliseconds(70), { { "u1", "0123456789abcdef", Milliseconds(90) } } },
                             { "r0123456789abcdef", 0, {}, {} } };
    report.upstreamLimits = { { "u1", 2.5, Milliseconds(70) }, { "u2", {}, Milliseconds(90) } };
    report.coldStatements = { { "u1", 1700000000000, Milliseconds(4000), Milliseconds(30), 1 } };
    return report;
}

/// Daemons that all have two online requests and one batch item at u1.
auto loadedFleet(int perDataCentre) -> DirectoryFleet
{
    DirectoryFleet fleet(THREE, perDataCentre, NOW);
    for (auto &[name, report] : fleet.reports) {
        report.work = { { "u1", { 2, 1 } } };
        report.demand = { { "team", 4.5 } };
    }
    fleet.run(SETTLED);
    return fleet;
}

template<typename Message>
auto survives(const Message &message) -> bool
{
    const auto read = decodePeerMessage(encodePeerMessage(message));
    return read.ok() && std::holds_alternative<Message>(*read) && std::get<Message>(*read) == message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerDirectorySuite)

// Guards against fields that are encoded but not decoded, or decoded into another field.
BOOST_AUTO_TEST_CASE(MessagesSurviveEncodingAndDecoding)
{
    DaemonReport report = makeReport("daemon-a", 7);
    report.dataCentre = "east-a";
    report.capacity = 30;
    report.isDraining = true;
    report.hasStoreContact = false;
    report.isToBackup = true;
    report.cancelledJobs = { "job2", "job3" };
    BOOST_TEST(survives(report));
    DataCentreDigest digest;
    static_cast<LoadSums &>(digest) = report;
    digest.dataCentre = "east-a";
    digest.sender = "daemon-a";
    digest.incarnation = "i1";
    digest.sequence = 9;
    digest.rosterVersion = 77;
    digest.jobs = { { "job1", "daemon-b" } };
    digest.cancelledJobs = { "job2" };
    BOOST_TEST(survives(digest));
    FleetSummary summary;
    static_cast<LoadSums &>(summary) = report;
    summary.sender = "daemon-a";
    summary.incarnation = "i1";
    summary.sequence = 8;
    summary.echoedReport = 6;
    summary.freshness = { 5, Milliseconds(4), 3 };
    summary.rosters = { { "east-a", 77, Milliseconds(2) } };
    summary.jobs = { { "job1", "daemon-b" } };
    summary.cancelledJobs = { "job2" };
    BOOST_TEST(survives(summary));
    BOOST_TEST(
        survives(Roster { "east-a", 77, { { "daemon-a", "1:1", "i1", 9, true, false }, { "daemon-b", "1:2", "i2", 50, false, true } } }));
    BOOST_TEST(survives(RosterRequest { "east-a" }));
    BOOST_TEST(survives(PreemptionRequest { "u1", 2 }));
    BOOST_TEST(survives(LimitTokenRequest { "u1" }));
    BOOST_TEST(survives(LimitTokenGrant { "u1" }));
    BOOST_TEST(survives(FreshnessResponse { 4, { 3, Milliseconds(2), 1 } }));
    BOOST_TEST(survives(FreshnessResponse { 4, { 3, Milliseconds(2), 1, 7 } }));
    summary.freshness.evacuationRevision = 9;
    BOOST_TEST(survives(summary));
    // A daemon without evacuations sends what it sent before there were any.
    BOOST_TEST(encodePeerMessage(FreshnessResponse { 4, { 3, Milliseconds(2), 1 } }) == "freshanswer1 4 3 2 1");
}

// Guards against a crash or a message with invented values when another program sends to the port.
BOOST_AUTO_TEST_CASE(ForeignDatagramsAreErrors)
{
    for (const std::string text : { "",
                                    "x",
                                    "report3 a b",
                                    "report3 a b c 1 0 1 0 z",
                                    "report3 a%2 b 1 1 0 1 0 z",
                                    "yield2",
                                    "yield2 u1 x",
                                    "digest2 a i x 0 z",
                                    "summary1 a i 1 2 3 -4 5",
                                    "roster1 x z",
                                    "roster1 1 z\nm b 1:1 i x 0 1",
                                    "roster1 1 z\nm b 1:1 i 1 0 1\nm c% 1:1 i 1 0 1",
                                    "rosterquestion1",
                                    "limittoken1",
                                    "limittokengrant1 u1 2" }) {
        BOOST_TEST(!decodePeerMessage(text).ok(), text);
    }
}

// Guards against a daemon that counts as gone because of one line of its messages, and against values that are taken from that line.
BOOST_AUTO_TEST_CASE(ALineThatCannotBeReadCostsItself)
{
    const std::string report = "report3 a b 1 1 0 1 0 z";
    const std::string digest = "digest2 a i 1 0 z";
    const std::string summary = "summary1 a i 1 2 3 4 5";
    const std::vector<std::pair<std::string, std::vector<std::string>>> messages {
        { report,
          { "w u1 x 2",
            "w u1 1",
            "w u1% 1 2",
            "",
            "d t nan",
            "d t inf",
            "d t 1e999",
            "d t -1",
            "d North Shops 1.00",
            "d %zz 1",
            "x a b",
            "v a" } },
        { digest, { "d t nan", "j job1", "r z 1 2", "j job1 a%", "l u1 x 3" } },
        { summary, { "r z 1 -2", "r z% 1 2", "j a b c", "k u1 1" } },
    };
    for (const auto &[head, lines] : messages) {
        const auto alone = decodePeerMessage(head);
        const auto with = decodePeerMessage(head + "\nd sound 2.00\nw u2 3 4");
        BOOST_REQUIRE(alone.ok());
        BOOST_REQUIRE(with.ok());
        for (const std::string &line : lines) {
            std::vector<std::string> unreadable;
            const auto read = decodePeerMessage(head + "\n" + line, &unreadable);
            BOOST_TEST((read.ok() && *read == *alone), line);
            BOOST_TEST((unreadable == std::vector<std::string> { line }), line);
            const auto between = decodePeerMessage(head + "\nd sound 2.00\n" + line + "\nw u2 3 4", &unreadable);
            BOOST_TEST((between.ok() && *between == *with), line);
        }
    }
}

// Guards against names from outside that end a word or a line of a message.
BOOST_AUTO_TEST_CASE(NamesMayHoldAnyBytes)
{
    std::string name;
    for (int each = 255; each >= 0; --each) {
        name.push_back(static_cast<char>(each));
    }
    for (const std::string &odd : { name, std::string("North Shops"), std::string("a\nd b 1"), std::string(" "), std::string("%") }) {
        DaemonReport report;
        report.name = odd;
        report.dataCentre = odd;
        report.incarnation = "i";
        report.work[odd] = { 1, 2 };
        report.demand[odd] = 12.25;
        report.jobs = { odd };
        report.cancelledJobs = { odd };
        report.upstreamLimits = { { odd, 2.5, Milliseconds(3) } };
        report.coldStatements = { { odd, 1, Milliseconds(5), Milliseconds(7), 2 } };
        report.leavingUpstreams = { { odd, "127.0.0.1:1", 10, Milliseconds(100) } };
        report.crashSuspects = { { "p0123456789abcdef", 1, {}, { { odd, "r1", Milliseconds(5) } } } };
        BOOST_TEST(survives(report));
        DataCentreDigest digest;
        digest.sender = odd;
        digest.dataCentre = odd;
        digest.demand[odd] = 1;
        digest.jobs = { { odd, odd } };
        BOOST_TEST(survives(digest));
        FleetSummary summary;
        summary.sender = odd;
        summary.demand[odd] = 1;
        summary.rosters = { { odd, 3, Milliseconds(4) } };
        BOOST_TEST(survives(summary));
        BOOST_TEST(survives(Roster { odd, 77, { { odd, "1:1", odd, 9, true, false } } }));
        BOOST_TEST(survives(RosterRequest { odd }));
        BOOST_TEST(survives(PreemptionRequest { odd, 2 }));
        BOOST_TEST(survives(TokenRequest { odd, 7 }));
        BOOST_TEST(survives(LimitTokenRequest { odd }));
        BOOST_TEST(survives(LimitTokenGrant { odd }));
    }
}

// Guards against an age of many digits that overflows when it is taken from a clock.
BOOST_AUTO_TEST_CASE(AgesOfForeignDatagramsAreBounded)
{
    const std::string longest = "9223372036854775807";
    const auto summary = decodePeerMessage("summary1 a i 1 2 3 " + longest + " 5\nr z 1 " + longest + "\nl u 3 " + longest);
    BOOST_REQUIRE(summary.ok());
    const auto &read = std::get<FleetSummary>(*summary);
    for (const Milliseconds age : { read.freshness.age, read.rosters.at(0).age, read.upstreamLimits.at(0).age }) {
        BOOST_TEST((age == LONGEST_STATED_TIME));
    }
    const auto response = decodePeerMessage("freshanswer1 1 2 " + longest + " 3");
    BOOST_REQUIRE(response.ok());
    BOOST_TEST((std::get<FreshnessResponse>(*response).state.age == LONGEST_STATED_TIME));
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
    DirectoryFleet fleet = loadedFleet(3);
    fleet.isLost = [](const std::string &from, const std::string &to) {
        return from == "a0" || to == "a0";
    };
    fleet.run(Milliseconds(2500));
    for (const auto &[name, view] : fleet.views) {
        if (name != "a0") {
            BOOST_TEST(view.work(fleet.now()).at("u1").online == 2 * 7, name);
            BOOST_TEST(view.demand(fleet.now()).at("team") == 4.5 * 8, name);
            BOOST_TEST(view.daemonCount(fleet.now()) == 9, name);
        }
    }
    fleet.run(std::chrono::seconds(20));
    BOOST_TEST(fleet.views.at("b0").daemonCount(fleet.now()) == 8);
    BOOST_TEST(fleet.views.at("b0").demand(fleet.now()).at("team") == 4.5 * 7);
}

// Guards against two daemons that take over the same job, and against a home that cannot write to the store.
BOOST_AUTO_TEST_CASE(AllDaemonsSelectTheSameHome)
{
    DirectoryFleet fleet(THREE, 4, NOW);
    fleet.run(SETTLED);
    std::set<std::string> homes;
    const auto check = [&fleet](const std::string &key) {
        std::string home = fleet.views.at("a0").homeOf(key, fleet.now());
        for (const auto &[name, view] : fleet.views) {
            // A daemon without contact to the store takes over nothing, whatever it takes for the home.
            if (fleet.reports[name].hasStoreContact) {
                BOOST_TEST(view.homeOf(key, fleet.now()) == home, name << " has another home of " << key);
            }
        }
        return home;
    };
    for (int job = 0; job < 100; ++job) {
        homes.insert(check("job" + std::to_string(job)));
    }
    BOOST_TEST(homes.size() == 12);
    fleet.reports["c2"].hasStoreContact = false;
    fleet.run(Milliseconds(500));
    for (int job = 0; job < 100; ++job) {
        BOOST_TEST(check("job" + std::to_string(job)) != "c2");
    }
}

// Guards against forwarding requests for a job to a daemon that does not serve it any more.
BOOST_AUTO_TEST_CASE(OwnersAreLiveAndNotDraining)
{
    DirectoryFleet fleet(THREE, 3, NOW);
    fleet.run(SETTLED);
    fleet.reports["a1"].jobs = { "job1" };
    fleet.run(Milliseconds(500));
    fleet.reports["a1"].jobs.clear();
    fleet.run(Milliseconds(2000));
    for (const auto &[name, view] : fleet.views) {
        if (name != "a1") {
            BOOST_REQUIRE(view.ownerOf("job1", fleet.now()) != nullptr);
            BOOST_TEST(view.ownerOf("job1", fleet.now())->name == "a1");
            BOOST_TEST(view.ownerOf("job2", fleet.now()) == nullptr);
        }
    }
    fleet.reports["b2"].jobs = { "job1" };
    fleet.run(Milliseconds(500));
    BOOST_TEST(fleet.views.at("c0").ownerOf("job1", fleet.now())->name == "b2");
    fleet.reports["b2"].isDraining = true;
    fleet.run(Milliseconds(500));
    BOOST_TEST(fleet.views.at("c0").ownerOf("job1", fleet.now()) == nullptr);
}

// Guards against an owner that does not learn that another daemon has cancelled its job, and against announcements that
// circulate among the relays.
BOOST_AUTO_TEST_CASE(ACancellationReachesAllDaemons)
{
    DirectoryFleet fleet(THREE, 4, NOW);
    fleet.run(SETTLED);
    const std::string relay = fleet.views.at("a0").relaysOf("a", fleet.now()).front();
    const std::string leaf = relay == "a0" ? "a1" : "a0";
    for (const std::string &sender : { relay, leaf }) {
        BOOST_TEST(fleet.views.at(sender).announceCancellation("job of " + sender, fleet.now()));
        fleet.run(Milliseconds(1000));
        for (const auto &[name, view] : fleet.views) {
            const std::vector<std::string> known = view.cancelledJobs();
            const bool isKnown = std::find(known.begin(), known.end(), "job of " + sender) != known.end();
            BOOST_TEST(isKnown == (name != sender), name << " about the job of " << sender);
        }
    }
    fleet.run(SETTLED);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.makeSummary(fleet.reports[name], name, fleet.now()).cancelledJobs.empty(), name);
    }
}

// Guards against a cancellation that is taken for announced although the reports do not name it.
BOOST_AUTO_TEST_CASE(OnlyWhatReportsNameIsAnnounced)
{
    PeerDirectory peers("a0", "a");
    std::set<std::string> announced;
    for (int job = 0; job < 5000; ++job) {
        const std::string name = "job" + std::to_string(job);
        if (peers.announceCancellation(name, NOW)) {
            announced.insert(name);
        }
    }
    const std::vector<std::string> sent = peers.ownCancellations(NOW);
    BOOST_TEST(!announced.empty());
    BOOST_TEST((std::set<std::string>(sent.begin(), sent.end()) == announced));
    BOOST_TEST(peers.announceCancellation(sent.front(), NOW));
}

// Guards against an echo of a daemon that passes nothing on, because it is no relay.
BOOST_AUTO_TEST_CASE(OnlyARelaysEchoCounts)
{
    DirectoryFleet fleet(THREE, 4, NOW);
    fleet.run(SETTLED);
    PeerDirectory &view = fleet.views.at("a0");
    const std::vector<std::string> relays = view.relaysOf("a", fleet.now());
    const BootTime sentAt = fleet.now() + Milliseconds(1);
    DaemonReport report = fleet.reports.at("a0");
    report.sequence = 100000;
    view.recordOwnReport(report, sentAt);
    for (const std::string name : { "a1", "a2", "a3" }) {
        FleetSummary summary = fleet.views.at(name).makeSummary(fleet.reports.at(name), name, fleet.now());
        summary.sequence = report.sequence;
        summary.echoedReport = report.sequence;
        if (std::find(relays.begin(), relays.end(), name) == relays.end()) {
            view.handleSummary(summary, fleet.now());
            BOOST_TEST(!view.wasHeardSince(sentAt, fleet.now()), name);
        }
    }
    for (const std::string &name : relays) {
        if (name != "a0") {
            FleetSummary summary = fleet.views.at(name).makeSummary(fleet.reports.at(name), name, fleet.now());
            summary.sequence = report.sequence;
            summary.echoedReport = report.sequence;
            view.handleSummary(summary, fleet.now());
            BOOST_TEST(view.wasHeardSince(sentAt, fleet.now()), name);
        }
    }
}

// Guards against work that is counted twice because two relays report it, or not at all because it is in another data
// centre, and against a daemon that counts its own work as that of others. Load pattern: all daemons send work to shared
// upstreams.
BOOST_AUTO_TEST_CASE(EachDaemonKnowsTheWorkOfAll)
{
    const DirectoryFleet fleet = loadedFleet(6);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.work(fleet.now()).at("u1").online == 2 * 17, name);
        BOOST_TEST(view.work(fleet.now()).at("u1").batch == 17, name);
        BOOST_TEST(view.demand(fleet.now()).at("team") == 4.5 * 17, name);
        BOOST_TEST(view.daemonCount(fleet.now()) == 18, name);
        BOOST_TEST(view.hasFullView(fleet.now()), name);
        BOOST_TEST(view.isHeard(fleet.now()), name);
        for (const auto &[other, peer] : view.peers()) {
            BOOST_TEST(view.mayTakeWork(peer, fleet.now()), name << " does not see " << other);
        }
    }
}

// Guards against a crash that counts once for each daemon that has seen it or passed it on, and against one that a daemon of
// another data centre does not hear of.
BOOST_AUTO_TEST_CASE(EachDaemonKnowsEachCrashOnce)
{
    DirectoryFleet fleet(THREE, 6, NOW);
    fleet.run(SETTLED);
    const std::string request = crashFingerprint("blue", "/", "{}");
    for (const auto &[name, view] : fleet.views) {
        view.crashSuspects().recordCrash({ request, {} }, "u1", fleet.now());
    }
    fleet.run(STABLE_WINDOW);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.crashSuspects().crashCount(request, fleet.now()) == 1, name);
    }
    fleet.views.at("c4").crashSuspects().recordCrash({ request, {} }, "u2", fleet.now());
    fleet.run(STABLE_WINDOW);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.crashSuspects().crashCount(request, fleet.now()) == 2, name);
        BOOST_TEST(view.crashSuspects().refusedUntil({ request, {} }, fleet.now()).has_value(), name);
    }
}

// Guards against a crashing prompt part that daemons of several data centres find out only together, and that one of them
// which was cut off or started again does not know, in a data centre whose relays have started again too.
BOOST_AUTO_TEST_CASE(ACrashingPartIsKnownAfterCutsAndRestarts)
{
    DirectoryFleet fleet(THREE, 5, NOW);
    fleet.run(SETTLED);
    fleet.isLost = [](const std::string &from, const std::string &to) {
        return from == "b3" || to == "b3";
    };
    fleet.run(STABLE_WINDOW);
    int count = 0;
    for (const std::string name : { "a0", "b1", "c2", "c4" }) {
        ++count;
        const CrashSubject subject { crashFingerprint("blue", "/", std::to_string(count)), { "shared", "bad" } };
        fleet.views.at(name).crashSuspects().recordCrash(subject, "u" + std::to_string(count), fleet.now());
        fleet.run(PeerDirectory::DIGEST_PERIOD);
    }
    fleet.views.at("a1").crashSuspects().recordAnswer({ crashFingerprint("blue", "/", "sound"), { "shared", "good" } }, fleet.now());
    fleet.run(STABLE_WINDOW);
    const auto isRefused = [&fleet](const std::string &name, const std::string &part) {
        const CrashSubject subject { crashFingerprint("blue", "/", "new"), { "shared", part } };
        return fleet.views.at(name).crashSuspects().refusedUntil(subject, fleet.now()).has_value();
    };
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(isRefused(name, "bad") == (name != "b3"), name);
    }
    fleet.isLost = nullptr;
    for (int index = 0; index < 5; ++index) {
        fleet.restart("c" + std::to_string(index));
        fleet.run(STABLE_WINDOW);
    }
    fleet.run(STABLE_WINDOW);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(isRefused(name, "bad"), name);
        BOOST_TEST(!isRefused(name, "good"), name);
    }
}

// Guards against a request for a slot that reaches no daemon with batch work there.
BOOST_AUTO_TEST_CASE(APreemptionReachesAHolder)
{
    DirectoryFleet fleet(THREE, 5, NOW);
    fleet.reports["b3"].work = { { "u1", { 0, 2 } } };
    fleet.run(SETTLED);
    for (const auto &[name, view] : fleet.views) {
        std::string at = name;
        for (int hop = 0; hop < 4 && at != "b3"; ++hop) {
            const Peer *next = fleet.views.at(at).preemptionTarget("u1", fleet.now(), 0);
            BOOST_REQUIRE_MESSAGE(next != nullptr, "the request of " << name << " ends at " << at);
            at = next->name;
        }
        BOOST_TEST(at == "b3", name);
    }
}

// Guards against traffic between data centres that grows with the number of daemons, and against daemons whose number of
// messages grows with the fleet. Load pattern: a large fleet in calm.
BOOST_AUTO_TEST_CASE(MessagesOfADaemonDoNotGrowWithTheFleet)
{
    DirectoryFleet few(THREE, 4, NOW);
    DirectoryFleet many(THREE, 60, NOW);
    for (DirectoryFleet *fleet : { &few, &many }) {
        fleet->run(SETTLED);
        fleet->messages.clear();
        fleet->traffic.clear();
        fleet->run(Milliseconds(5000));
    }
    BOOST_TEST(few.messages["digest"] == many.messages["digest"]);
    BOOST_TEST(many.messages["roster"] == 0);
    const auto busiestLeaf = [](const DirectoryFleet &fleet) {
        int busiest = 0;
        for (const auto &[name, view] : fleet.views) {
            busiest = view.isRelay(fleet.now()) ? busiest : std::max(busiest, fleet.traffic.at(name));
        }
        return busiest;
    };
    BOOST_TEST(busiestLeaf(many) <= busiestLeaf(few));
}

// Guards against a data centre that is considered gone because its first relay has crashed, so that its jobs are taken
// over and its slots given away, and against daemons that hear nothing for long then.
BOOST_AUTO_TEST_CASE(AnotherRelayTakesOverWithinASecond)
{
    DirectoryFleet fleet = loadedFleet(20);
    const std::string lost = fleet.views.at("b0").relaysOf("a", fleet.now()).front();
    fleet.isLost = [&lost](const std::string &from, const std::string &to) {
        return from == lost || to == lost;
    };
    for (int step = 0; step < 60; ++step) {
        fleet.run(PeerDirectory::DIGEST_PERIOD);
        for (const auto &[name, view] : fleet.views) {
            if (name == lost) {
                continue;
            }
            for (const auto &[other, peer] : view.peers()) {
                BOOST_TEST((other == lost || view.isAlive(peer, fleet.now())), name << " lost " << other << " in step " << step);
            }
            BOOST_TEST((step < 10 || view.relaysOf("a", fleet.now()).front() != lost || name[0] != 'a'), name);
        }
    }
    for (const auto &[name, view] : fleet.views) {
        if (name != lost) {
            BOOST_TEST(view.isGone(*view.find(lost), fleet.now()), name);
            BOOST_TEST(view.work(fleet.now()).at("u1").online == 2 * 58, name);
        }
    }
}

// Guards against the duties of a whole data centre that are given away because it is cut off for some seconds.
BOOST_AUTO_TEST_CASE(ADataCentreThatIsCutOffIsNotGone)
{
    DirectoryFleet fleet = loadedFleet(5);
    fleet.isLost = [](const std::string &from, const std::string &to) {
        return (from[0] == 'a') != (to[0] == 'a');
    };
    fleet.run(Milliseconds(3000));
    const PeerDirectory &view = fleet.views.at("b1");
    for (const auto &[name, peer] : view.peers()) {
        BOOST_TEST(view.isAlive(peer, fleet.now()) == (name[0] != 'a'), name);
        BOOST_TEST(!view.isGone(peer, fleet.now()), name);
    }
    BOOST_TEST(!view.hasFullView(fleet.now()));
    fleet.isLost = nullptr;
    fleet.run(Milliseconds(500));
    BOOST_TEST(view.work(fleet.now()).at("u1").online == 2 * 14);
    BOOST_TEST(view.hasFullView(fleet.now()));
}

// Guards against an owner that takes itself for heard while the others find it gone: its reports are lost, while it
// receives everything.
BOOST_AUTO_TEST_CASE(WhoIsFoundGoneKnowsThatItIsNotHeard)
{
    DirectoryFleet fleet = loadedFleet(5);
    const std::string mute = "a2";
    fleet.isLost = [&mute](const std::string &from, const std::string & /*to*/) {
        return from == mute;
    };
    for (int step = 0; step < 50; ++step) {
        fleet.run(PeerDirectory::DIGEST_PERIOD);
        const bool isHeard = fleet.views.at(mute).isHeard(fleet.now());
        for (const auto &[name, view] : fleet.views) {
            const bool isGone = name != mute && view.isGone(*view.find(mute), fleet.now());
            BOOST_TEST(!(isHeard && isGone), name << " in step " << step);
        }
    }
    BOOST_TEST(fleet.views.at("c0").isGone(*fleet.views.at("c0").find(mute), fleet.now()));
    fleet.isLost = nullptr;
    fleet.run(Milliseconds(1500));
    BOOST_TEST(fleet.views.at(mute).isHeard(fleet.now()));
    BOOST_TEST(!fleet.views.at("c0").isGone(*fleet.views.at("c0").find(mute), fleet.now()));
}

// Guards against a daemon with the most capacity that has lost the store and still takes itself for the leader and the store watcher:
// it asked no other daemon, and all that listened to it were behind.
BOOST_AUTO_TEST_CASE(WhoHasLostTheStoreLeadsNobody)
{
    DirectoryFleet fleet = loadedFleet(5);
    const std::string leader = fleet.views.at("b0").leader(fleet.now());
    fleet.reports.at(leader).hasStoreContact = false;
    fleet.run(Milliseconds(1000));
    const std::string next = fleet.views.at("b0").leader(fleet.now());
    BOOST_TEST(next != leader);
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.leader(fleet.now()) == next, name);
        BOOST_TEST((name[0] != leader[0] || view.storeWatcher(fleet.now()) != leader), name);
    }
    // Without any daemon in contact each one has to try the store itself.
    for (auto &[name, report] : fleet.reports) {
        report.hasStoreContact = false;
    }
    fleet.run(Milliseconds(1000));
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.leader(fleet.now()) == name);
    }
}

// Guards against relays, leaders and homes on the smallest VMs of a fleet of unequal ones.
BOOST_AUTO_TEST_CASE(DutiesGoWhereTheCapacityIs)
{
    constexpr int SMALL = 9;
    constexpr int LARGE = 50;
    DirectoryFleet fleet(std::vector<std::string>(), 0, NOW);
    for (const std::string dataCentre : { "a", "b" }) {
        for (int index = 0; index < 20; ++index) {
            fleet.add(dataCentre + std::to_string(index), dataCentre, index % 10 == 3 ? LARGE : SMALL);
        }
    }
    fleet.run(SETTLED);
    const std::set<std::string> large = { "a3", "a13", "b3", "b13" };
    int largeHomes = 0;
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(large.contains(view.leader(fleet.now())));
        BOOST_TEST(large.contains(view.storeWatcher(fleet.now())));
        for (const std::string &relay : view.relaysOf("a", fleet.now())) {
            BOOST_TEST(large.contains(relay));
        }
        BOOST_TEST(view.leader(fleet.now()) == fleet.views.at("a0").leader(fleet.now()));
    }
    constexpr int TEAMS = 2000;
    for (int team = 0; team < TEAMS; ++team) {
        const std::string home = fleet.views.at("a0").allowanceHomeOf("team" + std::to_string(team), fleet.now());
        largeHomes += large.contains(home) ? 1 : 0;
        for (const auto &[name, view] : fleet.views) {
            BOOST_TEST(view.allowanceHomeOf("team" + std::to_string(team), fleet.now()) == home, name);
        }
    }
    // 200 of 524 hundredths of a core are on the large VMs.
    BOOST_TEST(largeHomes > TEAMS * 0.33);
    BOOST_TEST(largeHomes < TEAMS * 0.43);
}

// Guards against a data centre that shrinks to one daemon in the view of others: a relay asked another data centre's relay
// for the roster, took an old one, and passed it on for good. Teams whose home was missing there were refused.
BOOST_AUTO_TEST_CASE(AnOldRosterIsNotTaken)
{
    PeerDirectory peers("a0", "a");
    peers.addMember("b0", "b0", "b", 1, NOW);
    peers.addMember("b1", "b1", "b", 1, NOW);
    const std::string relay = peers.relaysOf("b", NOW).front();
    DataCentreDigest digest;
    digest.dataCentre = "b";
    digest.sender = relay;
    digest.incarnation = "i1";
    digest.sequence = 1;
    digest.rosterVersion = 2;
    BOOST_TEST(peers.handleDigest(digest, NOW));
    BOOST_TEST(peers.missingRosters("c0").empty());
    BOOST_TEST((peers.missingRosters(relay) == std::vector<std::string> { "b" }));
    BOOST_TEST(!peers.handleRoster({ "b", 1, { { relay, relay, "i1", 1, false, true } } }, NOW));
    BOOST_TEST(!peers.missingRosters(relay).empty());
    BOOST_TEST(peers.handleRoster({ "b", 2, { { "b0", "b0", "i1", 1, false, true }, { "b1", "b1", "i1", 1, false, true } } }, NOW));
    BOOST_TEST(peers.missingRosters(relay).empty());
    BOOST_TEST(peers.isAlive(*peers.find("b0"), NOW));
    BOOST_TEST(peers.isAlive(*peers.find("b1"), NOW));
}

// Guards against the old incarnation's state after a restart, and against a restarted daemon that nobody hears.
BOOST_AUTO_TEST_CASE(ARestartedDaemonIsHeardAgain)
{
    DirectoryFleet fleet = loadedFleet(5);
    const std::string relay = fleet.views.at("a0").relaysOf("a", fleet.now()).front();
    fleet.reports[relay].jobs = { "job1" };
    fleet.run(Milliseconds(500));
    fleet.reports[relay].jobs.clear();
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.views.at("c1").ownerOf("job1", fleet.now())->name == relay);
    fleet.reports[relay].incarnation = "i2";
    fleet.views.erase(relay);
    fleet.add(relay, "a", 1);
    fleet.reports[relay].incarnation = "i2";
    fleet.run(Milliseconds(1500));
    for (const auto &[name, view] : fleet.views) {
        if (name != relay) {
            BOOST_TEST(view.find(relay)->incarnation == "i2", name);
            BOOST_TEST(view.isAlive(*view.find(relay), fleet.now()), name);
            // The new incarnation does not own what the former one has announced.
            BOOST_TEST(view.ownerOf("job1", fleet.now()) == nullptr, name);
            view.forEachJob([&viewer = name](const std::string & /*job*/, const Peer & /*owner*/, bool hasRestarted) {
                BOOST_TEST(hasRestarted, viewer);
            });
        }
        BOOST_TEST(view.hasFullView(fleet.now()), name);
    }
}

// Guards against daemons that are found gone because the first relay, killed and started again before anybody missed it, or
// frozen for that long, speaks for its data centre before it has heard it.
BOOST_AUTO_TEST_CASE(ARelayThatIsBackAtOnceLeavesNobodyOut)
{
    for (const bool isRestarted : { true, false }) {
        DirectoryFleet fleet = loadedFleet(20);
        const std::string relay = fleet.views.at("a0").relaysOf("a", fleet.now()).front();
        auto frozen = fleet.views.extract(relay);
        fleet.run(Milliseconds(1000));
        if (isRestarted) {
            fleet.add(relay, "a", 1);
            fleet.reports[relay].incarnation = "i2";
        } else {
            fleet.views.insert(std::move(frozen));
        }
        for (int step = 0; step < 40; ++step) {
            fleet.run(PeerDirectory::DIGEST_PERIOD);
            for (const auto &[name, view] : fleet.views) {
                const auto isLost = [&view = view, &fleet, &relay](const auto &each) {
                    return each.first != relay && view.isGone(each.second, fleet.now());
                };
                BOOST_TEST(std::none_of(view.peers().begin(), view.peers().end(), isLost),
                           name << " lost a daemon in step " << step << (isRestarted ? " of the restart" : " of the pause"));
            }
        }
    }
}

// Guards against a daemon that crashes an upstream after each restart, because it learns only at intervals what the others
// have known for long.
BOOST_AUTO_TEST_CASE(ARestartedDaemonLearnsAtOnceWhatIsRefused)
{
    for (const std::string name : { "a0", "a3", "b1", "b5", "c2" }) {
        DirectoryFleet fleet(THREE, 6, NOW);
        fleet.run(SETTLED);
        const CrashSubject request { crashFingerprint("t", "/", name), { absl::StrCat("part-of-", name) } };
        for (int crash = 0; crash < 5; ++crash) {
            const CrashSubject other { crashFingerprint("t", "/", absl::StrCat(name, crash)), request.parts };
            fleet.views.at("c0").crashSuspects().recordCrash(other, absl::StrCat("u", crash), fleet.now());
        }
        fleet.run(Milliseconds(3100));
        fleet.restart(name);
        fleet.run(Milliseconds(600));
        BOOST_TEST(fleet.views.at(name).crashSuspects().refusedUntil(request, fleet.now()).has_value(), name);
    }
}

// Guards against a daemon that uses up the limit of an upstream after each restart, because it learns only at intervals what
// the others have known for long.
BOOST_AUTO_TEST_CASE(ARestartedDaemonLearnsAtOnceWhatIsLimited)
{
    for (const std::string name : { "a0", "a3", "b1", "b5", "c2" }) {
        DirectoryFleet fleet(THREE, 6, NOW);
        fleet.run(SETTLED);
        const std::string upstream = absl::StrCat("limited-", name);
        fleet.views.at("c0").upstreamLimits().recordStatement(upstream, 2, fleet.now());
        fleet.run(Milliseconds(3100));
        fleet.restart(name);
        fleet.run(Milliseconds(600));
        BOOST_TEST((fleet.views.at(name).upstreamLimits().usableAt(upstream) != BootTime()), name);
    }
}

// Guards against a set of members that is empty because nothing was learned yet and is taken for a fleet of one, and against
// members that are out of reach and are taken for gone.
BOOST_AUTO_TEST_CASE(AnEmptySetOfMembersIsNoFleetOfOne)
{
    const auto at = [](int milliseconds) {
        return NOW + Milliseconds(milliseconds);
    };
    PeerDirectory peers("a0", "a");
    BOOST_TEST((peers.membership(at(60000)) == MembershipState::NotLearned));
    BOOST_TEST(!peers.hasFullView(at(60000)));
    BOOST_TEST(!peers.isUnheardGone(at(60000)));
    peers.addMember("b0", "b0", "b", 1, at(0));
    BOOST_TEST((peers.membership(at(0)) == MembershipState::NotLearned));
    peers.recordMembersListed(at(0));
    BOOST_TEST((peers.membership(at(1)) == MembershipState::OutOfTouch));
    // Never heard: it may run out of reach as long as one that was heard, and then counts as gone.
    BOOST_TEST((peers.membership(at(14000)) == MembershipState::OutOfTouch));
    BOOST_TEST((peers.membership(at(16000)) == MembershipState::InTouch));
    BOOST_TEST(peers.presumedCount(at(14000)) == 1);
    BOOST_TEST(peers.presumedCount(at(16000)) == 0);
    PeerDirectory alone("a0", "a");
    alone.recordMembersListed(at(0));
    BOOST_TEST((alone.membership(at(1)) == MembershipState::InTouch));
}

// Guards against a daemon that hears one other and takes it for all there are: that one does not know either who else has restarted.
BOOST_AUTO_TEST_CASE(TheFirstDaemonHeardIsNotTheWholeFleet)
{
    PeerDirectory peers("a0", "a");
    DaemonReport report;
    report.name = "a1";
    report.dataCentre = "a";
    report.incarnation = "i1";
    report.sequence = 1;
    report.capacity = 1;
    BOOST_TEST(peers.handleReport(report, "a1", NOW));
    BOOST_TEST((peers.membership(NOW + Milliseconds(50)) == MembershipState::Partial));
    BOOST_TEST((peers.membership(NOW + Milliseconds(1000)) == MembershipState::Partial));
    BOOST_TEST(!peers.hasFullView(NOW + Milliseconds(1000)));
    // It is not a home itself, however the names compare.
    for (int team = 0; team < 20; ++team) {
        BOOST_TEST(peers.allowanceHomeOf("team" + std::to_string(team), NOW + Milliseconds(1000)) == "a1");
    }
    peers.recordMembersListed(NOW + Milliseconds(1000));
    BOOST_TEST((peers.membership(NOW + Milliseconds(1000)) == MembershipState::InTouch));
}

// Guards against daemons of which some restart while the store is away, do not know each other, and are each the home of a team: it
// got its allowance twice, 203 requests in a window that allows 152.
BOOST_AUTO_TEST_CASE(DaemonsThatDoNotKnowEachOtherAreNoTwoHomes)
{
    const auto homesOf = [](const DirectoryFleet &fleet, const std::string &team) {
        return std::count_if(fleet.views.begin(), fleet.views.end(), [&fleet, &team](const auto &each) {
            return each.second.allowanceHomeOf(team, fleet.now()) == each.first
                   && each.second.membership(fleet.now()) == MembershipState::InTouch;
        });
    };
    for (const std::vector<std::string> &restarted :
         { std::vector<std::string> { "a0", "a1", "a2" }, { "a0", "b0", "c0" }, { "a1", "a2" } }) {
        DirectoryFleet fleet(THREE, 3, NOW);
        fleet.run(SETTLED);
        for (const std::string &name : restarted) {
            fleet.restartWithoutStore(name);
        }
        std::ptrdiff_t most = 0;
        const auto check = [&fleet, &most, &homesOf](int steps) {
            for (int step = 0; step < steps; ++step) {
                fleet.run(PeerDirectory::DIGEST_PERIOD);
                for (int team = 0; team < 20; ++team) {
                    most = std::max(most, homesOf(fleet, "team" + std::to_string(team)));
                }
            }
        };
        check(40);
        for (const std::string &name : restarted) {
            fleet.listMembers(name);
            check(5);
        }
        BOOST_TEST(most == 1);
        check(20);
        for (int team = 0; team < 20; ++team) {
            BOOST_TEST(homesOf(fleet, "team" + std::to_string(team)) == 1);
        }
    }
}

// Guards against a data centre whose only daemon is lost for good and that keeps those which have never heard it from ever finding
// it gone: its jobs were never taken over.
BOOST_AUTO_TEST_CASE(ASilentDataCentreIsGoneAfterItsTime)
{
    PeerDirectory peers("a0", "a");
    peers.addMember("b0", "b0", "b", 1, NOW);
    peers.recordMembersListed(NOW);
    BOOST_TEST(!peers.hasFullView(NOW + Milliseconds(7000)));
    BOOST_TEST(!peers.isUnheardGone(NOW + Milliseconds(5000)));
    BOOST_TEST(peers.isUnheardGone(NOW + Milliseconds(7000)));
    // With a full view, the time in which a living daemon is heard is enough.
    PeerDirectory local("a0", "a");
    local.addMember("a1", "a1", "a", 1, NOW);
    local.recordMembersListed(NOW);
    BOOST_TEST(!local.isUnheardGone(NOW + Milliseconds(2000)));
    BOOST_TEST(local.isUnheardGone(NOW + Milliseconds(3000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
