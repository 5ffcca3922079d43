#include "Connection/ControlRoutes.h"

#include "Support/ControlDaemon.h"

#include <absl/strings/match.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

struct RoutesFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    ControlDaemon a { *platform, "a", 1 };
    JsonClient client { a.service->address() };

    RoutesFixture()
    {
        BOOST_REQUIRE(a.run().ok());
    }

    auto call(const std::string &method, const std::string &path, const std::string &body) -> HttpResponse
    {
        const CallResult result = client.call({ method, path, body, {}, Milliseconds(20000) });
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(result));
        return std::get<HttpResponse>(result);
    }

    /// Status and name of the error, or "200 revision" for the answer to a change.
    auto outcome(const std::string &method, const std::string &path, const std::string &body) -> std::string
    {
        const HttpResponse answer = call(method, path, body);
        const auto object = Json::parseObject(answer.body);
        BOOST_REQUIRE(object.ok());
        const JsonObject::Ptr error = (*object)->getObject("error");
        const std::string name = error.isNull() ? "revision" : error->getValue<std::string>("name");
        BOOST_TEST((!error.isNull() || ((*object)->has("revision") && (*object)->has("confirmed_by"))));
        return std::to_string(answer.status) + " " + name;
    }

    static auto document() -> std::string
    {
        return Json::toText(*Configuration::create(sampleConfiguration())->toJson(false));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ControlRoutesSuite, RoutesFixture)

// Guards against operators' paths that do something else than they say, and errors in another shape.
BOOST_AUTO_TEST_CASE(OperatorChanges)
{
    const std::string key = R"({"team":"bench","id":"k2","sha256":")" + std::string(64, 'b') + "\"}";
    BOOST_TEST(outcome("PUT", "/config", document()) == "400 invalid_field");
    BOOST_TEST(outcome("PUT", "/config?expected=x", document()) == "400 invalid_field");
    BOOST_TEST(outcome("PUT", "/config?expected=0", "{") == "400 malformed_json");
    BOOST_TEST(outcome("PUT", "/config?expected=0", R"({"unknown":1})") == "400 configuration_invalid");
    BOOST_TEST(outcome("PUT", "/config?expected=0", document()) == "200 revision");
    BOOST_TEST(outcome("PUT", "/config?expected=0", document()) == "409 configuration_conflict");
    BOOST_TEST(outcome("POST", "/config/keys", key) == "200 revision");
    BOOST_TEST(outcome("POST", "/config/keys", "{}") == "400 invalid_field");
    BOOST_TEST(outcome("POST", "/config/keys/k2/withdraw", "") == "200 revision");
    BOOST_TEST(outcome("POST", "/config/keys/none/withdraw", "") == "404 team_unknown");
    BOOST_TEST(outcome("POST", "/config/keys/k2", "") == "404 route_unknown");
    BOOST_TEST(outcome("PUT", "/config/teams/bench", R"({"rate_per_second":2.5,"burst":7})") == "200 revision");
    BOOST_TEST(outcome("PUT", "/config/teams/bench", R"({"rate_per_second":"2"})") == "400 invalid_field");
    BOOST_TEST(outcome("PUT", "/config/teams/a/b", R"({"rate_per_second":2,"burst":7})") == "404 route_unknown");
    BOOST_TEST(outcome("PUT", "/config/classes/chat", R"({"first_token_ms":500,"token_gap_ms":40})") == "200 revision");
    BOOST_TEST(outcome("POST", "/config/upstreams/m1/leave", "") == "200 revision");
    BOOST_TEST(outcome("POST", "/config/upstreams/none/leave", "") == "404 upstream_unknown");
    const FleetVersionPointer version = a.state.current();
    BOOST_TEST(version->configuration.findTeam("bench")->ratePerSecond == 2.5);
    BOOST_TEST(version->configuration.findKey(std::string(64, 'b')).key->withdrawn);
    BOOST_TEST(version->configuration.findUpstream("m1")->isDraining);
}

// Guards against credentials in answers to operators.
BOOST_AUTO_TEST_CASE(ConfigurationIsShownRedactedWithItsRevision)
{
    BOOST_REQUIRE(outcome("PUT", "/config?expected=0", document()) == "200 revision");
    const HttpResponse answer = call("GET", "/config", "");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(!absl::StrContains(answer.body, "secret"));
    const auto object = Json::parseObject(answer.body);
    BOOST_REQUIRE(object.ok());
    BOOST_TEST((*object)->getValue<std::uint64_t>("configuration_revision") == a.state.current()->configurationRevision);
    BOOST_TEST(Configuration::fromJson(*(*object)->getObject("configuration")).ok());
}

// Guards against shards that peers cannot check, and against a root without its shards.
BOOST_AUTO_TEST_CASE(PeersReadRootAndShards)
{
    const auto answer = Json::parseObject(call("GET", "/peers/shards/root", "").body);
    BOOST_REQUIRE(answer.ok());
    BOOST_TEST((*answer)->has("confirmed_age_ms"));
    const auto root = FleetRoot::fromText(Json::toText(*(*answer)->getObject("root")));
    BOOST_REQUIRE(root.ok());
    for (const std::string &name : root->shardNames()) {
        BOOST_TEST(FleetCodec::isContentOf(name, call("GET", "/peers/shards/" + name, "").body));
    }
    BOOST_TEST(call("GET", "/peers/shards/" + std::string(64, '0'), "").status == 404);
    BOOST_TEST(call("POST", "/peers/exchange", R"({"from":"x","revision":1})").status == 200);
    BOOST_TEST(call("POST", "/peers/exchange", "{}").status == 400);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
