#include "Process/PeerExchange.h"

#include "Support/ControlDaemon.h"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

constexpr Milliseconds LONGEST_CALL { 500 };

/// Two members whose threads do not run.
struct ExchangeFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };

    ExchangeFixture()
    {
        for (ControlDaemon *daemon : { &a, &b }) {
            BOOST_REQUIRE(daemon->membership->join(Clock::now() + std::chrono::seconds(30)).ok());
        }
        BOOST_REQUIRE(a.watcher.watchOnce());
        BOOST_REQUIRE(a.revision() == b.revision());
    }

    static auto recordOf(const ControlDaemon &daemon) -> Member
    {
        return *daemon.state.current()->members.find(daemon.state.memberName());
    }

    /// Raises the revision at one daemon only.
    static auto raise(ControlDaemon &daemon) -> void
    {
        const auto version = daemon.committer.commit([](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
            return FleetChange { std::nullopt, base.members };
        });
        BOOST_REQUIRE(version.ok());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerExchangeSuite, ExchangeFixture)

// Guards against confirmations that grow younger on their way between daemons.
BOOST_AUTO_TEST_CASE(AnswerRelaysTheConfirmationAndCountsAsHeard)
{
    // A confirmation ages by the time of the call that relays it.
    std::this_thread::sleep_for(LONGEST_CALL);
    BOOST_REQUIRE(a.watcher.watchOnce());
    const TimePoint before = b.state.confirmedAt().value();
    const ExchangeCounts earlier = b.exchange.counts();
    const TimePoint sentAt = Clock::now();
    BOOST_REQUIRE(b.exchange.exchangeWith(recordOf(a)).ok());
    const TimePoint relayed = b.state.confirmedAt().value();
    BOOST_TEST((relayed > before));
    BOOST_TEST((relayed <= a.state.confirmedAt().value()));
    BOOST_TEST((b.state.heardAt().at("a") >= sentAt));
    BOOST_TEST((b.state.heardAt().at("a") <= Clock::now()));
    const ExchangeCounts counts = b.exchange.counts();
    BOOST_TEST(counts.messagesSent == earlier.messagesSent + 1);
    BOOST_TEST(counts.messagesReceived == earlier.messagesReceived + 1);
    BOOST_TEST(counts.bytesSent > 0U);
    BOOST_TEST(a.exchange.counts().bytesSent == counts.bytesReceived);
    BOOST_TEST(a.exchange.counts().bytesReceived == counts.bytesSent);
}

// Guards against requests that were buffered during a pause and look like fresh confirmations.
BOOST_AUTO_TEST_CASE(RequestConfirmsNothing)
{
    const auto confirmed = a.state.confirmedAt();
    BOOST_REQUIRE(b.exchange.exchangeWith(recordOf(a)).ok());
    BOOST_TEST((a.state.confirmedAt() == confirmed));
    BOOST_TEST(a.state.heardAt().empty());
}

// Guards against a daemon that acts on a revision although a peer has said that a higher one exists, and
// against a peer that knows of it without having it and does not say so.
BOOST_AUTO_TEST_CASE(RequestRaisesTheKnownRevisionAndIsRelayed)
{
    ControlDaemon c { *platform, "c", 3 };
    BOOST_REQUIRE(c.membership->join(Clock::now() + std::chrono::seconds(30)).ok());
    BOOST_TEST(a.state.mayAct(Clock::now()));
    BOOST_REQUIRE(c.exchange.exchangeWith(recordOf(a)).ok());
    BOOST_TEST(!a.state.mayAct(Clock::now()));
    BOOST_REQUIRE(b.exchange.exchangeWith(recordOf(a)).ok());
    BOOST_TEST(!b.state.mayAct(Clock::now()));
    BOOST_TEST(b.state.highestKnownRevision() == c.revision());
}

// Guards against a restarted or replaced daemon that counts for the member it replaced.
BOOST_AUTO_TEST_CASE(AnswerOfAnotherIncarnationIsNotTaken)
{
    Member old = recordOf(a);
    old.incarnation = "other";
    // Joining has counted the present incarnation as heard already.
    const auto heardBefore = b.state.heardAt();
    BOOST_TEST(absl::IsFailedPrecondition(b.exchange.exchangeWith(old)));
    BOOST_TEST((b.state.heardAt() == heardBefore));
}

// Guards against messages that stop the process or stop the daemon from serving for good.
BOOST_AUTO_TEST_CASE(MalformedRequestsAreRefused)
{
    for (const char *body : { "",
                              "[]",
                              "{",
                              "{}",
                              R"({"from":"x"})",
                              R"({"from":"x","revision":"1"})",
                              R"({"from":"x","revision":1e300})",
                              R"({"from":"x","revision":1,"tombstones":[1]})" }) {
        BOOST_TEST(absl::IsInvalidArgument(a.exchange.handleRequest(body).status()), body);
    }
    BOOST_TEST(a.exchange.handleRequest(R"({"from":"x","revision":9223372036854775807})").ok());
    BOOST_TEST(a.exchange.handleRequest(R"({"from":"x","revision":-1})").ok());
    BOOST_TEST(a.state.mayAct(Clock::now()));
}

// Guards against a restart that never gets the tombstones, and against values that outlive a bad consumer.
BOOST_AUTO_TEST_CASE(FieldsAndTombstonesTravelBothWays)
{
    std::vector<std::string> taken;
    const auto consume = [&taken](const Poco::Dynamic::Var &value, const ExchangeSource &source) {
        taken.push_back(source.member + (source.isAnswer ? " answered " : " sent ") + value.convert<std::string>());
    };
    const auto ignore = [](const Poco::Dynamic::Var &, const ExchangeSource &) {
    };
    const auto fail = [](const Poco::Dynamic::Var &value, const ExchangeSource &) {
        static_cast<void>(value.extract<JsonObject::Ptr>());
    };
    a.exchange.addField(
        "load", [] { return Poco::Dynamic::Var(3); }, consume);
    b.exchange.addField(
        "load", [] { return Poco::Dynamic::Var(4); }, consume);
    a.exchange.addField(
        "bad", [] { return Poco::Dynamic::Var("text"); }, ignore);
    b.exchange.addField(
        "bad", [] { return Poco::Dynamic::Var(); }, fail);
    BOOST_REQUIRE(b.exchange.exchangeWith(recordOf(a)).ok());
    const std::vector<std::string> expected = { "b sent 4", "a answered 3" };
    BOOST_TEST(taken == expected);

    const auto version = a.committer.commit([](const FleetVersion &) -> absl::StatusOr<FleetChange> {
        return FleetChange { sampleConfiguration(), std::nullopt };
    });
    BOOST_REQUIRE(version.ok());
    a.state.addTombstone("bench-1");
    BOOST_REQUIRE(b.exchange.exchangeWith(recordOf(a)).ok());
    BOOST_TEST(b.state.tombstones().contains("bench-1"));
}

// Guards against a removal because a daemon that has just started has not heard anybody yet.
BOOST_AUTO_TEST_CASE(SilenceStartsWhenAMemberBecomesKnown)
{
    BOOST_TEST((a.exchange.silence(Clock::now() + std::chrono::hours(1)).at("b") == Milliseconds(0)));
    a.exchange.start();
    BOOST_TEST(eventually([&] { return a.exchange.reports().contains("b"); }));
    const auto silence = a.exchange.silence(Clock::now() + std::chrono::hours(1)).at("b");
    BOOST_TEST((silence >= std::chrono::minutes(59)));
    BOOST_TEST((silence <= std::chrono::minutes(61)));
}

// Guards against an operator's answer that does not wait for the members.
BOOST_AUTO_TEST_CASE(AwaitRevisionCountsTheMembersThatHaveIt)
{
    raise(a);
    a.exchange.start();
    const ConfirmationCount before = a.exchange.awaitRevision(a.revision(), Clock::now() + Milliseconds(200));
    BOOST_TEST(before.members == 2U);
    BOOST_TEST(before.confirmedBy == 1U);
    BOOST_REQUIRE(b.watcher.watchOnce());
    BOOST_TEST(a.exchange.awaitRevision(a.revision(), Clock::now() + std::chrono::seconds(60)).confirmedBy == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
