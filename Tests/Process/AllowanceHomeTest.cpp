#include "Process/AllowanceHome.h"

#include "Support/AllowanceFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr double RATE = 20;
constexpr double BURST = 30;
using Daemon = AllowanceFleet::Daemon;

/// A team whose home is "before" while d0, d1 and d2 are the members, and d3 once d3 has joined.
auto teamMovingToD3(const std::string &before) -> std::string
{
    const auto member = [](const std::string &name) {
        return Member { name, "a:1", {}, "r", 1, "1", {} };
    };
    const MemberTable three = MemberTable::create({ member("d0"), member("d1"), member("d2") }).value();
    for (int index = 0;; ++index) {
        std::string team = absl::StrCat("t", index);
        if (three.homeOf(team, "r")->name == before && three.with(member("d3")).homeOf(team, "r")->name == "d3") {
            return team;
        }
    }
}

/// Three daemons; d0 is the home of the team until d3 joins.
struct ThreeDaemons
{
    std::string team = teamMovingToD3("d0");
    AllowanceFleet fleet { { "r", "r", "r" }, { { team, RATE, BURST, {} } } };
    std::mt19937_64 random { 1 };

    ThreeDaemons()
    {
        fleet.runTakeoverWait();
        fleet.run(Milliseconds(2000));
    }

    /// Sends requests to the daemon until it admits none any more. Returns the number of admissions.
    auto exhaustAt(Daemon &daemon) -> int
    {
        int admitted = 0;
        while (daemon.admits(team)) {
            ++admitted;
        }
        return admitted;
    }

    auto checkWindows() -> void
    {
        BOOST_TEST(fleet.log.findExcessWindow(team, RATE, BURST).value_or("") == "");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AllowanceHomeSuite, ThreeDaemons)

// Guards against a new home that starts with a full bucket, or that still waits after the handover.
BOOST_AUTO_TEST_CASE(JoinHandsTheBucketOver)
{
    BOOST_TEST(exhaustAt(fleet.daemon(0)) == 30);
    Daemon &joined = fleet.addDaemon();
    fleet.commit();
    BOOST_TEST(!joined.admits(team));
    fleet.run(Milliseconds(300));
    BOOST_TEST(joined.home.toJson()->getObject(team)->getValue<std::string>("state") == "acting");
    BOOST_TEST(exhaustAt(joined) <= 6);
    BOOST_TEST(std::holds_alternative<NotHomeResponse>(fleet.daemon(0).home.acquire(team)));
    checkWindows();
}

// Guards against requests that are refused at another daemon because the new home has not got the bucket yet.
BOOST_AUTO_TEST_CASE(ABorrowerWaitsForTheHandover)
{
    const Daemon &joined = fleet.addDaemon();
    fleet.commit();
    BOOST_REQUIRE(fleet.homeOf(team).member.name == joined.member.name);
    int pauses = 0;
    fleet.onPause = [this, &pauses] {
        ++pauses;
        if (pauses == 2) {
            fleet.run(Milliseconds(0));
        }
    };
    BOOST_TEST(fleet.daemon(1).admits(team));
    BOOST_TEST(pauses == 2);
    checkWindows();
}

// Guards against a successor that refills tokens lent by the earlier home, because the handover lacks the loans.
BOOST_AUTO_TEST_CASE(HandoverIncludesTheLoans)
{
    const HomeResponse response = fleet.daemon(0).home.lend({ team, 1, 20, 20, 0, 0, 0, { "d1", "d1-1", 1 } });
    BOOST_TEST(std::get<LoanResponse>(response).granted == 20);
    Daemon &joined = fleet.addDaemon();
    fleet.commit();
    fleet.run(Milliseconds(900));
    for (int token = 0; token < 20; ++token) {
        fleet.log.record(team, fleet.now());
    }
    BOOST_TEST(exhaustAt(joined) == 10);
    checkWindows();
}

// Guards against handovers under load that lead to excess admissions or interrupt the admissions.
BOOST_AUTO_TEST_CASE(HandoverUnderLoadKeepsTheLimit)
{
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(3), random);
    fleet.addDaemon();
    fleet.commit();
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(3), random);
    fleet.commit({ "d3" });
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(3), random);
    checkWindows();
    BOOST_TEST(fleet.log.admissions(team).size() > 0.9 * (BURST + 9 * RATE));
}

// Guards against a successor of a killed home that acts while the earlier home may still act or its loans may still be
// spent, or that starts with a full bucket.
BOOST_AUTO_TEST_CASE(KilledHomeIsTakenOverEmptyAfterTheWait)
{
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(2), random);
    fleet.daemon(0).kill();
    fleet.commit({ "d0" });
    Daemon &successor = fleet.homeOf(team);
    fleet.run(TAKEOVER_WAIT - Milliseconds(200));
    BOOST_TEST(std::holds_alternative<AllowanceUnavailable>(successor.acquire(team)));
    fleet.run(Milliseconds(400));
    BOOST_TEST(exhaustAt(successor) <= 5);
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(3), random);
    checkWindows();
    BOOST_TEST(fleet.log.admissions(team).size() > BURST + 4 * RATE);
}

// Guards against a takeover wait that begins without a live majority: a daemon with store contact that sees no other
// member must never act.
BOOST_AUTO_TEST_CASE(WaitBeginsWithStoreContactAndMajority)
{
    fleet.daemon(0).kill();
    fleet.commit({ "d0" });
    Daemon &successor = fleet.homeOf(team);
    Daemon &other = fleet.daemon(successor.member.name == "d1" ? 2 : 1);
    fleet.run(Milliseconds(-100));
    other.isSuspended = true;
    fleet.clock.advance(FRESHNESS_BOUND + Milliseconds(100));
    Daemon isolated(successor.member, [this] { return fleet.now(); }, {});
    fleet.install(isolated);
    for (int step = 0; step < 100; ++step) {
        isolated.state.confirm(isolated.state.current()->revision, fleet.now(), true);
        isolated.home.maintain();
        fleet.clock.advance(Milliseconds(100));
    }
    BOOST_TEST(std::holds_alternative<HomeNotActing>(isolated.home.acquire(team)));
}

// Guards against a home that was suspended, resumes, and admits requests while its successor does so too.
BOOST_AUTO_TEST_CASE(SuspendedHomeDoesNotActAfterItsSuccessor)
{
    Daemon &suspended = fleet.daemon(0);
    BOOST_TEST(suspended.admits(team));
    suspended.isSuspended = true;
    fleet.commit({ "d0" });
    fleet.run(TAKEOVER_WAIT + std::chrono::seconds(3));
    BOOST_TEST(exhaustAt(fleet.homeOf(team)) > 25);
    BOOST_TEST(exhaustAt(suspended) == 0);
    BOOST_TEST(std::holds_alternative<HomeNotActing>(suspended.home.lend({ team, 1, 5, 0, 0, 0, 0, { "d1", "d1-1", 1 } })));
    fleet.install(suspended);
    BOOST_TEST(std::holds_alternative<NotHomeResponse>(suspended.home.acquire(team)));
    checkWindows();
}

// Guards against a stale bucket: the home moved to another daemon and back while this one was suspended.
BOOST_AUTO_TEST_CASE(BucketIsDroppedWhenVersionsWereSkipped)
{
    Daemon &suspended = fleet.daemon(0);
    suspended.isSuspended = true;
    fleet.commit({ "d0" });
    fleet.run(TAKEOVER_WAIT + std::chrono::seconds(3));
    BOOST_TEST(exhaustAt(fleet.homeOf(team)) > 25);
    fleet.commit();
    suspended.isSuspended = false;
    fleet.install(suspended);
    fleet.confirm();
    BOOST_TEST(exhaustAt(suspended) == 0);
    checkWindows();
}

// Guards against a handover to a second successor although the first may have acted.
BOOST_AUTO_TEST_CASE(OnlyTheFirstSuccessorGetsTheBucket)
{
    Daemon &old = fleet.daemon(0);
    Daemon &joined = fleet.addDaemon();
    joined.isSuspended = true;
    fleet.commit();
    old.home.maintain();
    fleet.commit({ "d3" });
    old.home.maintain();
    fleet.commit();
    old.home.maintain();
    const HandoverRequest request { team, old.state.current()->revision, "d3", "d3-1" };
    BOOST_TEST((old.home.handOver(request).outcome == HandoverOutcome::NoBucket));
}

// Guards against a handover to another incarnation of the successor, and against an earlier home that still acts when
// the handover request arrives before the revision.
BOOST_AUTO_TEST_CASE(HandoverStopsTheEarlierHomeFirst)
{
    Daemon &old = fleet.daemon(0);
    const std::uint64_t revision = old.state.current()->revision;
    const HandoverRequest request { team, revision + 1, "d3", "d3-1" };
    BOOST_TEST((old.home.handOver(request).outcome == HandoverOutcome::RevisionMissing));
    BOOST_TEST(!old.admits(team));
    fleet.addDaemon().isSuspended = true;
    fleet.commit();
    BOOST_TEST((old.home.handOver({ team, revision + 1, "d3", "d3-0" }).outcome == HandoverOutcome::NoBucket));
    const HandoverResponse first = old.home.handOver(request);
    BOOST_TEST((first.outcome == HandoverOutcome::HandedOver));
    BOOST_TEST(first.level == 30 * UNITS_PER_TOKEN);
    BOOST_TEST((old.home.handOver(request).outcome == HandoverOutcome::HandedOver));
}

// Guards against duplicate and delayed requests that get a second loan.
BOOST_AUTO_TEST_CASE(RepeatedBorrowGetsNoSecondLoan)
{
    AllowanceHome &home = fleet.daemon(0).home;
    const LoanRequest request { team, 1, 2, 0, 0, 0, 0, { "d1", "d1-1", 7 } };
    BOOST_TEST(std::get<LoanResponse>(home.lend(request)).granted == 2);
    BOOST_TEST(std::get<LoanResponse>(home.lend(request)).granted == 0);
    LoanRequest late = request;
    late.id.number = 6;
    BOOST_TEST(std::get<LoanResponse>(home.lend(late)).granted == 0);
}

// Guards against malformed bodies that crash the process or change a bucket.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreRefused)
{
    JsonClient client(fleet.daemon(0).member.address);
    for (const char *path : { "/peers/loans", "/peers/handover" }) {
        for (const char *body : { "", "[]", "{", R"({"team":1})", R"({"team":"t","revision":"x"})" }) {
            const CallResult result = client.call({ "POST", path, body, {}, Milliseconds(60'000) });
            BOOST_TEST(std::get<HttpResponse>(result).status == 400);
        }
    }
    BOOST_TEST(exhaustAt(fleet.daemon(0)) == 30);
}

// Guards against a team that is refused, or gets a second burst, when it is deleted and created again.
BOOST_AUTO_TEST_CASE(RecreatedTeamKeepsItsBucket)
{
    BOOST_TEST(exhaustAt(fleet.daemon(0)) == 30);
    fleet.setTeams({});
    fleet.commit();
    BOOST_TEST(exhaustAt(fleet.daemon(0)) == 0);
    fleet.run(Milliseconds(200));
    fleet.setTeams({ { team, RATE, BURST, {} }, { "new", RATE, BURST, {} } });
    fleet.commit();
    BOOST_TEST(exhaustAt(fleet.daemon(0)) == 4);
    BOOST_TEST(fleet.homeOf("new").admits("new"));
}

// Guards against a process that acts on the member record of a newer incarnation of the same name, and against a
// restarted home that acts while its earlier incarnation may still act.
BOOST_AUTO_TEST_CASE(NewIncarnationWaits)
{
    Daemon &restarted = fleet.daemon(0);
    restarted.member.incarnation = "d0-2";
    fleet.commit();
    BOOST_TEST(std::holds_alternative<NotHomeResponse>(restarted.home.acquire(team)));
    restarted.home.rejoinAs(restarted.member);
    fleet.commit();
    fleet.run(TAKEOVER_WAIT - Milliseconds(200));
    BOOST_TEST(exhaustAt(restarted) == 0);
    fleet.run(Milliseconds(400));
    BOOST_TEST(restarted.admits(team));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against regions that together admit more than the team's limit, also when a region is added or removed.
BOOST_AUTO_TEST_CASE(RegionsShareTheLimit)
{
    const std::string team = teamMovingToD3("d0");
    AllowanceFleet fleet({ "a", "a" }, { { team, RATE, BURST, {} } });
    std::mt19937_64 random(1);
    fleet.runTakeoverWait();
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(3), random);
    Daemon &other = fleet.addDaemon("b");
    fleet.commit();
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(9), random);
    BOOST_TEST(other.home.toJson()->has(team));
    other.isSuspended = true;
    // The other region is cut off and acts on its old table until its configuration is stale. At the same time the home
    // in this region changes by a handover.
    fleet.commit({ other.member.name });
    fleet.addDaemon("a");
    fleet.commit({ other.member.name });
    for (int step = 0; step < 300; ++step) {
        fleet.runUnderLoad(team, 3 * RATE, Milliseconds(20), random);
        std::ignore = other.acquire(team);
    }
    fleet.runUnderLoad(team, 3 * RATE, std::chrono::seconds(4), random);
    BOOST_TEST(fleet.log.findExcessWindow(team, RATE, BURST).value_or("") == "");
    BOOST_TEST(fleet.log.admissions(team).size() > 15 * RATE);
}

} // namespace poplardock
