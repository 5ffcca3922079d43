#include "platform/JobFormat.h"

#include "Request/Utf8Text.h"

#include <boost/test/unit_test.hpp>

namespace poplardock::platform {

namespace {

auto headOf(const std::string &method, const std::string &target) -> MessageHead
{
    MessageHead head;
    head.method = method;
    head.target = target;
    return head;
}

auto metadataWithId(const std::string &requestId) -> RequestTerms
{
    RequestTerms metadata;
    metadata.requestId = requestId;
    return metadata;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobFormatSuite)

// Guards against taking a jobs call for another one, and against taking any other request for a jobs call.
BOOST_AUTO_TEST_CASE(JobCallsAreDecoded)
{
    const auto submit = decodeJobCall(headOf("POST", "/p/j1"), metadataWithId("j1"), true);
    BOOST_REQUIRE(submit.has_value());
    BOOST_TEST((submit->kind == JobCall::Kind::Submit));
    BOOST_TEST(submit->jobId == "j1");
    const auto read = decodeJobCall(headOf("GET", "/-/lots/j1?after=12"), {}, false);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->kind == JobCall::Kind::ReadResults));
    BOOST_TEST(read->from == 12);
    BOOST_TEST(decodeJobCall(headOf("GET", "/-/lots/j1"), {}, false)->from == 0);
    BOOST_TEST((decodeJobCall(headOf("DELETE", "/-/lots/j1"), {}, false)->kind == JobCall::Kind::Cancel));
    const auto item = decodeJobCall(headOf("GET", "/-/items/j1?id=i7"), {}, false);
    BOOST_REQUIRE(item.has_value());
    BOOST_TEST(item->itemId == "i7");
    for (const std::string target : { "/-/lots/", "/-/lots/a/b", "/-/lots/j1?after=x", "/-/items/..%2f", "/other" }) {
        BOOST_TEST(!decodeJobCall(headOf("GET", target), {}, false).has_value(), target);
    }
    // The request id becomes the name of an object in the store, so it must be a valid name.
    BOOST_TEST(!decodeJobCall(headOf("POST", "/p/x"), metadataWithId("a/b"), true).has_value());
    BOOST_TEST(!decodeJobCall(headOf("POST", "/p/x"), metadataWithId(""), true).has_value());
}

// Guards against encoding items for the store in a way that alters their bodies or headers.
BOOST_AUTO_TEST_CASE(ItemsSurviveARoundTrip)
{
    JobItem item;
    item.id = "i1";
    item.path = "/p/1";
    item.body = std::string("\x00\xff\"bytes\n", 9);
    item.tokens = 940;
    item.headers.add("Model", "m");
    const auto items = decodeItems(encodeItems({ item }));
    BOOST_REQUIRE(items.ok());
    BOOST_TEST((items->front() == item));
    BOOST_TEST(itemHeaders(item, "h").valueOf("Request-Id") == "i1");
    BOOST_TEST(itemHeaders(item, "h").valueOf("Host") == "h");
}

// Guards against accepting a submission of which some items are invalid.
BOOST_AUTO_TEST_CASE(InvalidSubmissionsAreRejected)
{
    for (const std::string body :
         { "", "{}", R"({"items":[]})", R"({"items":[{"id":"a"}]})", R"({"items":[{"id":"a","path":"/","body":"***"}]})" }) {
        BOOST_TEST(!decodeItems(body).ok(), body);
    }
    std::vector<JobItem> tooMany(201);
    for (JobItem &item : tooMany) {
        item.id = "x";
        item.path = "/";
    }
    BOOST_TEST(!decodeItems(encodeItems(tooMany)).ok());
}

// Guards against results that are skipped or repeated between two pages, and against responses above 1 MB.
BOOST_AUTO_TEST_CASE(ResultsArePaged)
{
    std::vector<JobResult> all;
    all.reserve(6);
    for (int index = 0; index < 6; ++index) {
        all.push_back({ "i" + std::to_string(index), index % 2 == 0, std::string(300000, 'a') });
    }
    std::vector<JobResult> read;
    int pages = 0;
    while (read.size() < all.size() && pages < 10) {
        const std::string page = encodeResults(all.size(), read.size(), all);
        BOOST_TEST(page.size() < 1000000);
        const auto results = decodeResults(page);
        BOOST_REQUIRE(results.ok());
        BOOST_REQUIRE(!results->empty());
        read.insert(read.end(), results->begin(), results->end());
        ++pages;
    }
    BOOST_TEST((read == all));
    BOOST_TEST(encodeResults(6, 9, all) == R"({"nextToken":9,"results":[],"total":6})");
}

// Guards against responses above 1 MB, since JSON takes up to six bytes for one of a text, and against results that are left out of a
// log entry, which is written with the same function.
BOOST_AUTO_TEST_CASE(PagesOfEscapedTextStayBelowTheirBound)
{
    const std::vector<JobResult> all(4, { "item", true, std::string(100000, '\x01') });
    const std::string page = encodeResults(all.size(), 0, all);
    BOOST_TEST(page.size() < 1000000U);
    const auto results = decodeResults(page);
    BOOST_REQUIRE(results.ok());
    BOOST_TEST(results->size() == 1U);
    BOOST_TEST((results->front() == all.front()));
}

// Guards against a submission whose escaped text is no UTF-8 once it is decoded, so that the store refuses its payload.
BOOST_AUTO_TEST_CASE(AHeaderOfHalfASurrogateIsRefused)
{
    const std::string body = R"({"items":[{"id":"a","path":"/a","headers":{"Note":"x\ud800y"},"body":"","tokens":1}]})";
    const auto items = decodeSubmission(body);
    BOOST_TEST((!items.ok() || isUtf8(encodeItems(*items))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock::platform
