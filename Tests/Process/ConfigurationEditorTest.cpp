#include "Process/ConfigurationEditor.h"

#include "Support/ControlDaemon.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

struct EditorFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };

    EditorFixture()
    {
        BOOST_REQUIRE(a.run().ok());
        BOOST_REQUIRE(b.run().ok());
    }

    static auto document() -> JsonObject::Ptr
    {
        return Configuration::create(sampleConfiguration())->toJson(false);
    }
};

auto answerOf(const ChangeResult &result) -> ChangeAnswer
{
    if (const auto *error = std::get_if<RequestError>(&result)) {
        BOOST_FAIL(error->toJson());
    }
    return std::get<ChangeAnswer>(result);
}

auto errorOf(const ChangeResult &result) -> ResultCode
{
    const auto *error = std::get_if<RequestError>(&result);
    return error == nullptr ? ResultCode::Ok : error->code;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationEditorSuite, EditorFixture)

// Guards against an acknowledgement that counts members without the change, and one that misses members.
BOOST_AUTO_TEST_CASE(ChangeIsInForceAtAllMembersWhenConfirmed)
{
    const ChangeAnswer answer = answerOf(a.editor.apply(*document(), 0));
    BOOST_TEST(answer.members == 2U);
    BOOST_TEST(answer.confirmedBy == 2U);
    BOOST_TEST(answer.isInForce());
    BOOST_TEST(answer.configurationRevision == answer.revision);
    BOOST_TEST(b.revision() >= answer.revision);
    BOOST_TEST(b.state.current()->configuration.findTeam("bench") != nullptr);
    b.kill();
    const ChangeAnswer second = answerOf(a.editor.setTeam("bench", 1, 1, std::nullopt));
    BOOST_TEST(second.members == 2U);
    BOOST_TEST(second.confirmedBy == 1U);
    BOOST_TEST(!second.isInForce());
}

// Guards against an operator's change that silently overwrites another one.
BOOST_AUTO_TEST_CASE(RaceHasOneWinnerAndOneConflict)
{
    ChangeResult first;
    ChangeResult second;
    {
        const std::jthread other([&] { second = b.editor.apply(*document(), 0); });
        first = a.editor.apply(*document(), 0);
    }
    const bool hasFirstWon = std::holds_alternative<ChangeAnswer>(first);
    BOOST_TEST(hasFirstWon != std::holds_alternative<ChangeAnswer>(second));
    BOOST_TEST((errorOf(hasFirstWon ? second : first) == ResultCode::ConfigurationConflict));
}

// Guards against conflicts with changes of the member table, which operators do not make.
BOOST_AUTO_TEST_CASE(MemberChangeIsNoConflict)
{
    const ChangeAnswer first = answerOf(a.editor.apply(*document(), 0));
    ControlDaemon c { *platform, "c", 3 };
    BOOST_REQUIRE(c.run().ok());
    const ChangeAnswer second = answerOf(a.editor.setTeam("bench", 1, 1, first.configurationRevision));
    BOOST_TEST(second.members == 3U);
    BOOST_TEST((errorOf(a.editor.setTeam("bench", 2, 2, first.configurationRevision)) == ResultCode::ConfigurationConflict));
}

// Guards against a withdrawal that waits for the store, and one that is forgotten when the store is back.
BOOST_AUTO_TEST_CASE(WithdrawalInAnOutageReachesPeersAndLaterTheStore)
{
    answerOf(a.editor.apply(*document(), 0));
    const ApiKey key = sampleConfiguration().teams.front().keys.front();
    BOOST_TEST(!b.state.isWithdrawn(key));
    BOOST_REQUIRE(platform->setFaults(R"({"outage":true})").ok());
    const ChangeAnswer answer = answerOf(a.editor.withdrawKey(key.id));
    BOOST_TEST(answer.isTombstone);
    BOOST_TEST(answer.confirmedBy == 2U);
    BOOST_TEST(b.state.isWithdrawn(key));
    BOOST_TEST((errorOf(a.editor.withdrawKey("unknown")) == ResultCode::StoreUnavailable));
    // The daemon that took the withdrawal is lost; a peer writes it.
    a.kill();
    BOOST_REQUIRE(platform->setFaults(R"({"outage":false})").ok());
    BOOST_TEST(eventually([&] { return b.state.current()->configuration.findKey(key.sha256).key->withdrawn; }));
}

// Guards against a withdrawn key that works again.
BOOST_AUTO_TEST_CASE(WithdrawnKeyCannotBePutBack)
{
    answerOf(a.editor.apply(*document(), 0));
    const ChangeAnswer withdrawn = answerOf(a.editor.withdrawKey("bench-1"));
    BOOST_TEST(!withdrawn.isTombstone);
    BOOST_TEST(withdrawn.confirmedBy == 2U);
    BOOST_TEST((errorOf(a.editor.apply(*document(), withdrawn.configurationRevision)) == ResultCode::ConfigurationInvalid));
    Configuration::Data renamed = sampleConfiguration();
    renamed.teams.front().keys.front().id = "bench-2";
    const auto other = Configuration::create(renamed)->toJson(false);
    BOOST_TEST((errorOf(b.editor.apply(*other, withdrawn.configurationRevision)) == ResultCode::ConfigurationInvalid));
    // Withdrawing again changes nothing and succeeds.
    BOOST_TEST(answerOf(b.editor.withdrawKey("bench-1")).revision >= withdrawn.revision);
}

// Guards against credentials that are lost when an operator edits the redacted configuration.
BOOST_AUTO_TEST_CASE(RedactedDocumentKeepsCredentials)
{
    const ChangeAnswer first = answerOf(a.editor.apply(*document(), 0));
    const auto redacted = a.state.current()->configuration.toJson(true);
    answerOf(a.editor.apply(*redacted, first.configurationRevision));
    BOOST_TEST(a.state.current()->configuration.findUpstream("m1")->credential == "secret");
}

BOOST_AUTO_TEST_CASE(SingleChanges)
{
    answerOf(a.editor.apply(*document(), 0));
    answerOf(a.editor.addKey("bench", { "bench-2", std::string(64, 'b'), false }, std::nullopt));
    answerOf(a.editor.setTeam("quotes", 3, 4, std::nullopt));
    answerOf(a.editor.setClass("chat", 500, 40, std::nullopt));
    answerOf(b.editor.leaveUpstream("m1", std::nullopt));
    const FleetVersionPointer version = b.state.current();
    BOOST_TEST(version->configuration.findKey(std::string(64, 'b')).team->name == "bench");
    BOOST_TEST(version->configuration.findTeam("quotes")->burst == 4);
    BOOST_TEST(version->configuration.findClass("chat")->firstTokenMs == 500);
    BOOST_TEST(version->configuration.findUpstream("m1")->isDraining);

    BOOST_TEST((errorOf(a.editor.addKey("none", { "k", std::string(64, 'c'), false }, std::nullopt)) == ResultCode::TeamUnknown));
    BOOST_TEST((errorOf(a.editor.addKey("bench", { "k", "short", false }, std::nullopt)) == ResultCode::ConfigurationInvalid));
    BOOST_TEST((errorOf(a.editor.setTeam("bench", 0, 1, std::nullopt)) == ResultCode::ConfigurationInvalid));
    BOOST_TEST((errorOf(a.editor.setClass("sheets", 1, 1, std::nullopt)) == ResultCode::InvalidField));
    BOOST_TEST((errorOf(a.editor.leaveUpstream("none", std::nullopt)) == ResultCode::UpstreamUnknown));
    BOOST_TEST((errorOf(a.editor.withdrawKey("none")) == ResultCode::TeamUnknown));
    BOOST_TEST((a.state.current() == version || *a.state.current() == *version));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
