#include "platform/HeaderFormat.h"

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

// Guards against terms that are read from the wrong header.
BOOST_AUTO_TEST_CASE(TermsOfACallerAreDecoded)
{
    const RequestTerms terms = decodeRequestMetadata(callerHeaders());
    BOOST_TEST(terms.requestId == "r1");
    BOOST_TEST(terms.key == "secret");
    BOOST_TEST(terms.host == "shop.example");
    BOOST_TEST(terms.patience->count() == 5000);
    BOOST_TEST(terms.promptTokens == 1460);
    BOOST_TEST(terms.outputTokens == 80);
    HeaderList bad;
    bad.add("Deadline-Ms", "-3");
    bad.add("Authorization", "Basic x");
    bad.add("Token-Count", "many,80");
    BOOST_TEST(!decodeRequestMetadata(bad).patience.has_value());
    BOOST_TEST(decodeRequestMetadata(bad).key.empty());
    BOOST_TEST(decodeRequestMetadata(bad).promptTokens == 0);
}

// Guards against a caller's key at an upstream, a forged team, and headers of one connection that are passed on.
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
    // An open route has no team, and a forged one must not stand in for it.
    BOOST_TEST(upstreamHeaders(callerHeaders(), { "", Milliseconds(1), "i-1", {} }).find("Tenant") == nullptr);
}

// Guards against taking an answer that may have run for one that has not.
BOOST_AUTO_TEST_CASE(TermsOfAnAnswerAreDecoded)
{
    MessageHead head;
    head.status = 503;
    head.headers.add("Request-Id", "r1");
    BOOST_TEST(!decodeResponseMetadata(head).isNotRun);
    head.headers.add("Not-Executed", "1");
    head.headers.add("Server-Load", "3,1,8");
    head.headers.add("Keep-Alive", "timeout=4, max=10");
    const AnswerTerms terms = decodeResponseMetadata(head);
    BOOST_TEST(terms.isNotRun);
    BOOST_TEST(terms.hasLoad);
    BOOST_TEST(terms.running == 3);
    BOOST_TEST(terms.waiting == 1);
    BOOST_TEST(terms.slots == 8);
    BOOST_TEST(terms.idleTime->count() == 4000);
    head.status = 421;
    BOOST_TEST(decodeResponseMetadata(head).isMisdirected);
}

// Guards against a time that callers read as whole seconds or as milliseconds.
BOOST_AUTO_TEST_CASE(ARefusalGivesSeconds)
{
    BOOST_TEST(refusalHeaders(Milliseconds(250)).valueOf("Retry-After") == "0.250");
    BOOST_TEST(refusalHeaders(std::nullopt).fields().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock::platform
