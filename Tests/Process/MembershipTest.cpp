#include "Process/Membership.h"

#include "Support/ControlDaemon.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

struct MembershipFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");

    static auto soon() -> TimePoint
    {
        return Clock::now() + std::chrono::seconds(60);
    }

    auto setVms(const std::string &names) const -> void
    {
        JsonClient client(platform->address());
        const CallResult result = client.call({ "PUT", "/apis/platform/v1/vms", names, {} });
        BOOST_REQUIRE(std::get<HttpResponse>(result).status == 200);
    }

    static auto memberNames(const ControlDaemon &daemon) -> std::string
    {
        std::string names;
        const FleetVersionPointer version = daemon.state.current();
        for (const Member &member : version->members.members()) {
            names += member.name;
        }
        return names;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipSuite, MembershipFixture)

// Guards against a first start that needs an operator, and against two roots when daemons start together.
BOOST_AUTO_TEST_CASE(FirstStartCreatesTheRootOnce)
{
    std::vector<std::unique_ptr<ControlDaemon>> daemons;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        daemons.push_back(std::make_unique<ControlDaemon>(*platform, std::string(1, static_cast<char>('a' + seed - 1)), seed));
    }
    std::atomic<int> joined = 0;
    {
        std::vector<std::jthread> threads;
        threads.reserve(daemons.size());
        for (const auto &daemon : daemons) {
            threads.emplace_back([&joined, &daemon] { joined += daemon->membership->join(soon()).ok() ? 1 : 0; });
        }
    }
    BOOST_TEST(joined == 6);
    BOOST_REQUIRE(daemons.front()->watcher.watchOnce());
    BOOST_TEST(memberNames(*daemons.front()) == "abcdef");
    BOOST_TEST(daemons.front()->revision() == 6U);
    BOOST_TEST(daemons.front()->state.current()->configurationRevision == 0U);
}

// Guards against a restart whose answer was lost and that joins twice or not at all.
BOOST_AUTO_TEST_CASE(JoinSurvivesLostAnswersAndAnOutage)
{
    BOOST_REQUIRE(platform->setFaults(R"({"outage":true,"lose_write_answers":3})").ok());
    ControlDaemon a { *platform, "a", 1 };
    absl::Status joined;
    {
        const std::jthread joiner([&] { joined = a.membership->join(soon()); });
        BOOST_REQUIRE(eventually([&] { return platform->callCount("GET roots") > 1; }));
        BOOST_REQUIRE(platform->setFaults(R"({"outage":false})").ok());
    }
    BOOST_TEST(joined.ok());
    BOOST_TEST(a.membership->isMember());
    BOOST_TEST(a.revision() == 1U);
}

// Guards against two processes of one name that replace each other without end.
BOOST_AUTO_TEST_CASE(NewIncarnationReplacesTheRecord)
{
    ControlDaemon old { *platform, "a", 1 };
    ControlDaemon fresh { *platform, "a", 1 };
    BOOST_REQUIRE(old.membership->join(soon()).ok());
    BOOST_REQUIRE(fresh.membership->join(soon()).ok());
    BOOST_TEST(old.membership->incarnation() != fresh.membership->incarnation());
    BOOST_TEST(memberNames(fresh) == "a");
    BOOST_REQUIRE(old.watcher.watchOnce());
    old.membership->check();
    BOOST_TEST(old.membership->isReplaced());
    BOOST_TEST(!old.membership->isMember());
    BOOST_TEST(fresh.membership->isMember());
    // The leave of the old process must not remove the new one.
    BOOST_TEST(old.membership->leave(soon()).ok());
    BOOST_TEST(old.state.current()->members.find("a")->incarnation == fresh.membership->incarnation());
}

// Guards against a member that stays out for ever after it was paused.
BOOST_AUTO_TEST_CASE(RemovedMemberJoinsAgain)
{
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };
    BOOST_REQUIRE(a.membership->join(soon()).ok());
    BOOST_REQUIRE(b.membership->join(soon()).ok());
    const std::string before = a.membership->incarnation();
    const auto removed = b.committer.commit([](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        return FleetChange { std::nullopt, base.members.without("a") };
    });
    BOOST_REQUIRE(removed.ok());
    BOOST_REQUIRE(a.watcher.watchOnce());
    BOOST_TEST(!a.membership->isMember());
    a.membership->check();
    BOOST_TEST(a.membership->isMember());
    BOOST_TEST(a.membership->incarnation() != before);
    BOOST_TEST(memberNames(a) == "ab");
}

// Guards against a daemon that joins again after it has left.
BOOST_AUTO_TEST_CASE(LeaveIsFinal)
{
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };
    BOOST_REQUIRE(a.membership->join(soon()).ok());
    BOOST_REQUIRE(b.membership->join(soon()).ok());
    BOOST_TEST(b.membership->leave(soon()).ok());
    b.membership->check();
    BOOST_REQUIRE(a.watcher.watchOnce());
    BOOST_TEST(memberNames(a) == "a");
}

// Guards against lost members that stay in the table.
BOOST_AUTO_TEST_CASE(UnheardMemberIsRemoved)
{
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };
    ControlDaemon c { *platform, "c", 3 };
    for (ControlDaemon *daemon : { &a, &b, &c }) {
        BOOST_REQUIRE(daemon->run().ok());
    }
    BOOST_REQUIRE(eventually([&] { return memberNames(a) == "abc" && a.exchange.reports().size() == 2; }));
    const TimePoint killedAt = Clock::now();
    c.kill();
    BOOST_TEST(eventually([&] { return memberNames(a) == "ab" && memberNames(b) == "ab"; }));
    // The last exchange with c may have been sent just before it was killed, and its end is dated from then.
    BOOST_TEST((Clock::now() - killedAt >= REMOVAL_WAIT - std::chrono::seconds(3)));
}

// Guards against replaced VMs that stay in the table, and against an empty list that removes everybody.
BOOST_AUTO_TEST_CASE(MemberWithoutVmIsRemoved)
{
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };
    BOOST_REQUIRE(a.membership->join(soon()).ok());
    BOOST_REQUIRE(b.membership->join(soon()).ok());
    BOOST_REQUIRE(a.watcher.watchOnce());
    setVms(R"({"items":[{"name":"vm-a","state":"live"},{"name":"vm-b","state":"live"}]})");
    a.membership->check();
    setVms(R"({"items":[{"name":"vm-a","state":"live"}]})");
    BOOST_TEST(memberNames(a) == "ab");
    a.watcher.start();
    a.membership->start();
    BOOST_TEST(eventually([&] { return memberNames(a) == "a"; }));
}

// Guards against a false claim of a higher revision that keeps the fleet from serving for ever.
BOOST_AUTO_TEST_CASE(FalseRevisionIsOvertaken)
{
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };
    BOOST_REQUIRE(a.run().ok());
    BOOST_REQUIRE(b.run().ok());
    BOOST_REQUIRE(eventually([&] { return a.revision() == b.revision(); }));
    const std::uint64_t claimed = a.revision() + 1000;
    BOOST_REQUIRE(a.exchange.handleRequest(R"({"from":"x","revision":)" + std::to_string(claimed) + "}").ok());
    BOOST_TEST(!a.state.mayAct(Clock::now()));
    BOOST_TEST(eventually([&] { return a.revision() > claimed && b.revision() > claimed; }));
    BOOST_TEST(eventually([&] { return a.state.mayAct(Clock::now()) && b.state.mayAct(Clock::now()); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
