#include "Version/Configuration.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const std::string VALID = R"({"default_class":"bench",
"teams":[{"name":"weavers","rate_per_second":5,"burst":10,"keys":[{"id":"k1",
  "sha256":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]}],
"classes":[{"name":"bench","kind":"online","first_token_ms":990,"token_gap_ms":43}],
"routes":[{"prefix":"/stock/","group":"inventory","class":"bench","repeatable":true},
          {"prefix":"/stock/hold","group":"inventory","class":"bench"}],
"upstreams":[{"name":"u1","address":"127.0.0.1:9000","group":"models","kind":"model","models":["m"],"credential":"secret"},
             {"name":"s1","address":"127.0.0.1:9001","group":"inventory","kind":"service"}]})";

auto read(const std::string &text) -> absl::StatusOr<Configuration>
{
    const auto object = Json::parseObject(text);
    return object.ok() ? Configuration::fromJson(**object) : object.status();
}

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(JsonRoundTripKeepsTheConfiguration)
{
    const auto first = read(VALID);
    BOOST_REQUIRE_MESSAGE(first.ok(), first.status());
    const auto second = Configuration::fromJson(*first->toJson(false));
    BOOST_REQUIRE(second.ok());
    BOOST_TEST((*first == *second));
}

// Guards against credentials that leak into operators' output and logs.
BOOST_AUTO_TEST_CASE(RedactedJsonHasNoCredential)
{
    const auto configuration = read(VALID);
    BOOST_REQUIRE(configuration.ok());
    BOOST_TEST(Json::toText(*configuration->toJson(true)).find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(LongestRoutePrefixWins)
{
    const auto configuration = read(VALID);
    BOOST_REQUIRE(configuration.ok());
    BOOST_TEST(configuration->findRoute("/stock/hold")->isRetryable == false);
    BOOST_TEST(configuration->findRoute("/stock/spools")->isRetryable == true);
    BOOST_TEST(configuration->findRoute("/other") == nullptr);
}

// Guards against a document that is applied in part: any single fault rejects all of it.
BOOST_AUTO_TEST_CASE(AnyFaultRejectsTheWholeDocument)
{
    const std::vector<std::pair<std::string, std::string>> faults = {
        { R"("rate_per_second":5)", R"("rate_per_second":0)" },
        { R"("burst":10)", R"("burst":"ten")" },
        { R"("kind":"online")", R"("kind":"fast")" },
        { R"("group":"inventory","class":"bench","repeatable")", R"("group":"none","class":"bench","repeatable")" },
        { R"(127.0.0.1:9001)", R"(nowhere)" },
        { R"("default_class":"bench")", R"("default_class":"other")" },
        { R"("name":"s1")", R"("name":"u1")" },
        { R"("credential")", R"("credentials")" },
    };
    for (const auto &[from, to] : faults) {
        BOOST_TEST(absl::IsInvalidArgument(read(replaced(VALID, from, to)).status()), from + " to " + to);
    }
}

} // namespace poplardock
