#include "Support/PlatformFleet.h"

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

} // namespace

BOOST_AUTO_TEST_SUITE(OddSubmissionSuite)

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
