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

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationEditorSuite, EditorFixture)

// Guards against an acknowledgement that counts members without the change, and one that misses members.
BOOST_AUTO_TEST_CASE(ChangeIsInForceAtAllMembersWhenConfirmed)
{
    const ChangeAnswer answer = answerOf(a.editor.apply(*document(), 0));
    BOOST_TEST(answer.members == 2U);
    BOOST_TEST(answer.confirmedBy == 2U);
    BOOST_TEST(answer.configurationRevision == answer.revision);
    BOOST_TEST(b.revision() >= answer.revision);
    BOOST_TEST(b.state.current()->configuration.findTeam("bench") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
