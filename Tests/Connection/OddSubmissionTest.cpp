#include "Support/PlatformFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

/// A submission of two items, of which the second has these members after its id and path.
auto submissionWith(const std::string &job, const std::string &members) -> HttpCall
{
    HttpCall call = PlatformFleet::submission(job, 1, "key1");
    const std::string item = absl::StrCat(R"(,{"id":")", job, R"(-odd","path":"/batch/x")", members, "}]}");
    call.body = absl::StrReplaceAll(call.body, { { "]}", item } });
    return call;
}

auto totalRuns(const PlatformFleet &fleet) -> std::size_t
{
    std::size_t total = 0;
    for (const auto &engine : fleet.engines) {
        total += engine->runs().size();
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddSubmissionSuite)

// Guards against items that end the head of their request to an upstream early, or that frame it or name its caller themselves:
// upstreams ran requests that nobody sent, some in the name of another team.
BOOST_AUTO_TEST_CASE(ItemsThatWouldSmuggleAreRefused)
{
    const std::vector<std::string> members {
        R"(,"headers":{"X":"a\r\nTenant: dyers"})",
        R"(,"headers":{"X":"a\nTenant: dyers"})",
        R"(,"headers":{"X":"a\rb"})",
        R"(,"headers":{"X":"a\u0000b"})",
        R"(,"headers":{"X\r\nTenant":"dyers"})",
        R"(,"headers":{"X Y":"a"})",
        R"(,"headers":{"X:":"a"})",
        R"(,"headers":{"":"a"})",
        R"(,"headers":{"Content-Length":"1"})",
        R"(,"headers":{"transfer-encoding":"chunked"})",
        R"(,"headers":{"Connection":"Request-Id"})",
        R"(,"headers":{"Host":"other"})",
        R"(,"headers":{"Tenant":"dyers"})",
        R"(,"headers":{"Authorization":"Bearer key2"})",
        R"(,"headers":{"Last-Event-Id":"3"})",
        R"(,"path":"/batch/x\r\nTenant: dyers")",
        R"(,"path":"/batch/x HTTP/1.1")",
        R"(,"path":"batch/x")",
        R"(,"path":"")",
        R"(,"id":"a\r\nTenant: dyers")",
        R"(,"id":"")",
    };
    PlatformFleet fleet(1, 1);
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto result = fleet.call(0, submissionWith(absl::StrCat("s", index), members[index]));
        BOOST_REQUIRE_MESSAGE(result.has_value(), members[index]);
        BOOST_TEST(result->status == 400, members[index]);
        BOOST_TEST(absl::StrContains(result->body, "position 1"), result->body);
    }
    const auto repeated = fleet.call(0, submissionWith("twice", R"(,"id":"twice-0")"));
    BOOST_REQUIRE(repeated.has_value());
    BOOST_TEST(repeated->status == 400);
    fleet.runFor(Milliseconds(500));
    BOOST_TEST(totalRuns(fleet) == 0);
    BOOST_TEST(fleet.store.countOf("jobs") == 0);
}

// Guards against a submission that ends the daemon, and against values that are dropped without a word.
BOOST_AUTO_TEST_CASE(ValuesOfTheWrongTypeAreRefused)
{
    const std::vector<std::string> members {
        R"(,"headers":{"Model":null})",
        R"(,"headers":{"Model":7})",
        R"(,"headers":{"Model":["m"]})",
        R"(,"headers":{"Model":{"a":"b"}})",
        R"(,"headers":null)",
        R"(,"headers":["Model"])",
        R"(,"headers":"Model")",
        R"(,"body":null)",
        R"(,"body":7)",
        R"(,"body":{})",
        R"(,"tokens":null)",
        R"(,"tokens":"7")",
        R"(,"tokens":1e400)",
        R"(,"tokens":99999999999999999999)",
        R"(,"id":null)",
        R"(,"id":7)",
        R"(,"path":null)",
        R"(,"path":["/"])",
    };
    PlatformFleet fleet(1, 1);
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto result = fleet.call(0, submissionWith(absl::StrCat("t", index), members[index]));
        BOOST_REQUIRE_MESSAGE(result.has_value(), members[index]);
        BOOST_TEST(result->status == 400, members[index]);
    }
    for (const std::string body : { "null",
                                    "[]",
                                    "7",
                                    R"({"items":null})",
                                    R"({"items":{}})",
                                    R"({"items":[null]})",
                                    R"({"items":[[]]})",
                                    R"({"items":["a"]})",
                                    "{\"items\":[{\"id\":\"\xff\"" }) {
        HttpCall call = PlatformFleet::submission("whole", 1, "key1");
        call.body = body;
        const auto result = fleet.call(0, call);
        BOOST_REQUIRE_MESSAGE(result.has_value(), body);
        BOOST_TEST(result->status == 400, body);
    }
    BOOST_TEST(fleet.call(0, PlatformFleet::request("/plain/x", "after", "key1"))->status == 200);
}

// Guards against stored items that smuggle after an update of the daemons, and against items that are never listed.
BOOST_AUTO_TEST_CASE(AStoredItemThatWouldSmuggleIsGivenUp)
{
    PlatformFleet fleet(2, 1);
    fleet.engines[0]->behaviour().declines = true;
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("k1", 2, "key1"))->status == 202);
    const std::string spec = fleet.store.specOf("payloads", "k1.0");
    const std::string odd
        = absl::StrReplaceAll(spec, { { R"("/batch/k1-1")", R"("/batch/k1-1 HTTP/1.1\r\nX: y\r\n\r\nGET /batch/own")" } });
    BOOST_REQUIRE(odd != spec);
    fleet.store.put("payloads", "k1.0", odd);
    fleet.killDaemon(0);
    fleet.runFor(Milliseconds(300));
    fleet.engines[0]->behaviour().declines = false;
    std::vector<JobResult> results;
    fleet.runUntil(
        [&fleet, &results] {
            results = fleet.results(1, "k1", "key1");
            return results.size() == 2;
        },
        Milliseconds(8000));
    BOOST_REQUIRE(results.size() == 2);
    for (const JobResult &result : results) {
        BOOST_TEST(result.isCompleted == (result.itemId == "k1-0"));
    }
    BOOST_TEST(fleet.engines[0]->runsOf("k1-0") == 1);
    BOOST_TEST(totalRuns(fleet) == 1);
}

// Guards against control characters of an online caller that reach an upstream.
BOOST_AUTO_TEST_CASE(OnlineRequestsThatWouldSmuggleAreRefused)
{
    PlatformFleet fleet(1, 1);
    const std::vector<std::pair<std::string, std::string>> headers {
        { "X", "a\rTenant: dyers" },
        { "X", std::string("a\0b", 3) },
        { "X\x01", "a" },
        { "X Y", "a" },
    };
    for (const auto &[name, value] : headers) {
        HttpCall call = PlatformFleet::request("/plain/x", "u", "key1");
        call.headers.add(name, value);
        const auto result = fleet.call(0, call);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->status == 400, name << ": " << value);
    }
    BOOST_TEST(totalRuns(fleet) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
