#include "platform/HeaderFormat.h"

#include "Process/BoundedTime.h"

#include <boost/test/unit_test.hpp>

namespace poplardock::platform {

namespace {

auto callerHeaders() -> HeaderList
{
    HeaderList headers;
    headers.add("Host", "shop.example");
    headers.add("Request-Id", "r1");
    headers.add("Authorization", "Bearer secret");
    headers.add("Deadline-Ms", "5000");
    headers.add("Token-Count", "1460,80");
    headers.add("Tenant", "forged");
    headers.add("Expect-Instance", "forged");
    headers.add("Connection", "keep-alive, X-Hop");
    headers.add("X-Hop", "1");
    headers.add("Content-Length", "3");
    headers.add("X-Other", "kept");
    return headers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HeaderFormatSuite)

// Guards against request metadata that is read from the wrong header, and against using invalid values.
BOOST_AUTO_TEST_CASE(RequestMetadataIsDecoded)
{
    const RequestTerms metadata = decodeRequestMetadata(callerHeaders());
    BOOST_TEST(metadata.requestId == "r1");
    BOOST_TEST(metadata.key == "secret");
    BOOST_TEST(metadata.host == "shop.example");
    BOOST_TEST(metadata.patience->count() == 5000);
    BOOST_TEST(metadata.promptTokens == 1460);
    BOOST_TEST(metadata.outputTokens == 80);
    HeaderList invalid;
    invalid.add("Deadline-Ms", "-3");
    invalid.add("Authorization", "Basic x");
    invalid.add("Token-Count", "many,80");
    BOOST_TEST(!decodeRequestMetadata(invalid).patience.has_value());
    BOOST_TEST(decodeRequestMetadata(invalid).key.empty());
    BOOST_TEST(decodeRequestMetadata(invalid).promptTokens == 0);
}

// Guards against prompt parts that are read with their lengths, and against taking a request's own part for a shared one.
BOOST_AUTO_TEST_CASE(SharedPromptPartsAreDecoded)
{
    const auto partsOf = [](const std::string &value) {
        HeaderList headers;
        headers.add("Prompt-Prefix", value);
        return decodeRequestMetadata(headers).sharedParts;
    };
    BOOST_TEST((partsOf("5c1e07a2:800, 91bd3f06:410,e4402b7d:250") == std::vector<std::string> { "5c1e07a2", "91bd3f06" }));
    BOOST_TEST(partsOf("e4402b7d:250").empty());
    BOOST_TEST(partsOf("").empty());
    BOOST_TEST((partsOf(",:5,a:1,b") == std::vector<std::string> { "a" }));
    BOOST_TEST(decodeRequestMetadata(callerHeaders()).sharedParts.empty());
    std::string many;
    for (int index = 0; index < 1000; ++index) {
        many += "a:1,";
    }
    BOOST_TEST(partsOf(many).size() == RequestTerms::MAXIMUM_SHARED_PARTS);
}

// Guards against a team whose name ends its header and adds others, and against one whose name upstreams do not get as it is.
BOOST_AUTO_TEST_CASE(ATeamsNameIsOneHeader)
{
    UpstreamTerms terms;
    terms.upstream = "u1";
    for (const char *name : { "North Shops", "a/b", "\xc3\xa4rmel", "100%" }) {
        terms.team = name;
        BOOST_TEST(upstreamHeaders({}, terms).valueOf("Tenant") == name);
    }
    terms.team = "a\r\nPriority: 0\x7f";
    BOOST_TEST(upstreamHeaders({}, terms).valueOf("Tenant") == "a  Priority: 0 ");
}

// Guards against passing on to an upstream the caller's key, its hop-by-hop headers, or a forged team or upstream.
BOOST_AUTO_TEST_CASE(HeadersForAnUpstreamAreSafe)
{
    const HeaderList headers = upstreamHeaders(callerHeaders(), { "shop", Milliseconds(4200), "i-1", 7 });
    BOOST_TEST(headers.find("Authorization") == nullptr);
    BOOST_TEST(headers.find("Connection") == nullptr);
    BOOST_TEST(headers.find("X-Hop") == nullptr);
    BOOST_TEST(headers.find("Content-Length") == nullptr);
    BOOST_TEST(headers.valueOf("Tenant") == "shop");
    BOOST_TEST(headers.valueOf("Expect-Instance") == "i-1");
    BOOST_TEST(headers.valueOf("Deadline-Ms") == "4200");
    BOOST_TEST(headers.valueOf("Last-Event-Id") == "7");
    BOOST_TEST(headers.valueOf("X-Other") == "kept");
    BOOST_TEST(headers.valueOf("Request-Id") == "r1");
    // An open route has no team; the one that the caller forged must still be removed.
    BOOST_TEST(upstreamHeaders(callerHeaders(), { "", Milliseconds(1), "i-1", {} }).find("Tenant") == nullptr);
}

// Guards against taking a request that may have run for one that has not: only Not-Executed says so, not the status.
BOOST_AUTO_TEST_CASE(ResponseMetadataIsDecoded)
{
    MessageHead head;
    head.status = 503;
    head.headers.add("Request-Id", "r1");
    BOOST_TEST(!decodeResponseMetadata(head).isNotRun);
    head.headers.add("Not-Executed", "1");
    head.headers.add("Server-Load", "3,1,8");
    head.headers.add("Keep-Alive", "timeout=4, max=10");
    const AnswerTerms metadata = decodeResponseMetadata(head);
    BOOST_TEST(metadata.isNotRun);
    BOOST_TEST(metadata.hasLoad);
    BOOST_TEST(metadata.running == 3);
    BOOST_TEST(metadata.waiting == 1);
    BOOST_TEST(metadata.slots == 8);
    BOOST_TEST(!metadata.requestLimit);
    BOOST_TEST(metadata.idleTime->count() == 4000);
    head.status = 421;
    BOOST_TEST(decodeResponseMetadata(head).isMisdirected);
}

// Guards against losing the figures that can be read because others are missing, malformed or new.
BOOST_AUTO_TEST_CASE(EachLoadFigureCountsByItself)
{
    const auto decode = [](const char *text) {
        MessageHead head;
        head.headers.add("Server-Load", text);
        return decodeResponseMetadata(head);
    };
    struct Case
    {
        const char *text;
        int running;
        int waiting;
        int slots;
        double slowdown;
    };
    for (const Case &each : { Case { "3,1", 3, 1, 0, 0 },
                              { "3,1,8", 3, 1, 8, 0 },
                              { "3,1,8,250", 3, 1, 8, 2.5 },
                              { "3,1,8,100,77", 3, 1, 8, 1 },
                              { " 3, 1 ,8 , 80", 3, 1, 8, 0.8 },
                              { "x,,8,250", 0, 0, 8, 2.5 },
                              { "3,1,8,fast", 3, 1, 8, 0 },
                              { "3,-1,8,-250", 3, 0, 8, 0 },
                              { "3,99999999999,8,0", 3, 0, 8, 0 },
                              { "3,1,8,2000000000", 3, 1, 8, 20 } }) {
        const AnswerTerms terms = decode(each.text);
        BOOST_TEST_CONTEXT(each.text)
        {
            BOOST_TEST(terms.hasLoad);
            BOOST_TEST(terms.running == each.running);
            BOOST_TEST(terms.waiting == each.waiting);
            BOOST_TEST(terms.slots == each.slots);
            BOOST_TEST(terms.slowdown.value_or(0) == each.slowdown);
        }
    }
    for (const char *text : { "", ",,,", "none" }) {
        BOOST_TEST(!decode(text).hasLoad, text);
        BOOST_TEST(!decode(text).slowdown.has_value(), text);
    }
}

// Guards against a time of many digits that overflows when it is added to a clock.
BOOST_AUTO_TEST_CASE(StatedTimesAreBounded)
{
    for (const char *stated : { "9223372036854775807", "9223372036854775", "10000000000000" }) {
        HeaderList headers;
        headers.add("Deadline-Ms", stated);
        headers.add("Wait-Ms", stated);
        const RequestTerms terms = decodeRequestMetadata(headers);
        BOOST_REQUIRE(terms.patience.has_value());
        BOOST_TEST((*terms.patience == LONGEST_STATED_TIME), stated);
        BOOST_TEST((terms.resultWait == LONGEST_STATED_TIME), stated);
    }
    for (const char *stated : { "timeout=1e300", "timeout=9223372036854775807", "timeout=inf", "timeout=nan", "timeout=-1e300" }) {
        MessageHead head;
        head.headers.add("Keep-Alive", stated);
        const auto idleTime = decodeResponseMetadata(head).idleTime;
        BOOST_TEST((!idleTime || *idleTime == LONGEST_STATED_TIME), stated);
    }
}

// Guards against taking a malformed limit for one that forbids or allows everything.
BOOST_AUTO_TEST_CASE(TheLimitOfAnUpstreamIsDecoded)
{
    const auto limitOf = [](const std::string &text) {
        MessageHead head;
        head.headers.add("Server-Limit", text);
        return decodeResponseMetadata(head).requestLimit;
    };
    BOOST_TEST(*limitOf("2.5") == 2.5);
    BOOST_TEST(*limitOf("0") == 0);
    for (const std::string text : { "", "-1", "nan", "inf", "2,5", "many" }) {
        BOOST_TEST(!limitOf(text), text);
    }
}

// Guards against a cold time that is read from a malformed header or overflows, and against 0 that counts as unknown.
BOOST_AUTO_TEST_CASE(ColdTimesAreRead)
{
    const auto coldTimeOf = [](const std::string &text) {
        MessageHead head;
        head.headers.add("Cold-Ms", text);
        return decodeResponseMetadata(head).coldRemaining;
    };
    BOOST_TEST(coldTimeOf("4000")->count() == 4000);
    BOOST_TEST(coldTimeOf("0.2")->count() == 1);
    BOOST_TEST(coldTimeOf("0")->count() == 0);
    BOOST_TEST(coldTimeOf("1e300")->count() > 0);
    for (const std::string text : { "", "-1", "nan", "inf", "soon" }) {
        BOOST_TEST(!coldTimeOf(text), text);
    }
}

// Guards against a Retry-After that is rounded to whole seconds or given in milliseconds.
BOOST_AUTO_TEST_CASE(RetryAfterIsInFractionalSeconds)
{
    BOOST_TEST(refusalHeaders(Milliseconds(250)).valueOf("Retry-After") == "0.250");
    BOOST_TEST(refusalHeaders(std::nullopt).fields().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock::platform
