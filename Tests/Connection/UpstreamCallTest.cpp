#include "Connection/UpstreamCall.h"

#include "Fakes/FakeUpstream.h"
#include "Support/RawServer.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

auto makeRequest() -> UpstreamRequest
{
    return {
        "POST", "/v1/chat/completions", { { "Content-Type", "application/json" } }, R"({"end":1})", Clock::now() + Milliseconds(30000)
    };
}

auto callOnce(const std::string &answer) -> UpstreamResult
{
    const RawServer server(R"({"end":1})", answer);
    const Upstream upstream { "raw", server.address(), "raw", UpstreamKind::Service, {}, "secret", {}, false };
    return callUpstream(upstream, makeRequest(), {}, {});
}

struct AnswerCase
{
    const char *name;
    std::string answer;
    bool isWhole;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamCallSuite)

// Guards against passing on a truncated answer as whole, for each way in which an answer shows its end.
BOOST_AUTO_TEST_CASE(OnlyWholeAnswersAreAnswers)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string json = "Content-Type: application/json\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n";
    const std::string text = "Content-Type: text/plain\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string close = "Connection: close\r\n";
    const std::vector<AnswerCase> cases {
        { "length", head + json + "Content-Length: 2\r\n\r\n{}", true },
        { "length, truncated", head + json + "Content-Length: 3\r\n\r\n{}", false },
        { "length, bytes after it", head + json + "Content-Length: 1\r\n\r\n{}", false },
        { "length, not a number", head + "Content-Length: x\r\n\r\n{}", false },
        { "length, negative", head + "Content-Length: -1\r\n\r\n{}", false },
        { "chunked JSON", head + json + chunked + "\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", true },
        { "chunked JSON, no last chunk", head + json + chunked + "\r\n2\r\n{}\r\n", false },
        { "chunked JSON, cut in a chunk", head + json + chunked + "\r\n5\r\n{}", false },
        { "chunked JSON, cut in the content", head + json + chunked + close + "\r\n1\r\n{\r\n0\r\n\r\n", false },
        { "chunked, size is not a number", head + json + chunked + "\r\nzz\r\n{}\r\n0\r\n\r\n", false },
        { "chunked, size is too long", head + json + chunked + "\r\n111111111\r\n{}\r\n0\r\n\r\n", false },
        { "chunked events", head + events + chunked + close + "\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true },
        { "chunked events, no [DONE]", head + events + chunked + close + "\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n", false },
        { "kept-alive events, no [DONE]", head + events + chunked + "\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n", false },
        { "chunked text, closed at its end", head + text + chunked + close + "\r\n1\r\nx\r\n0\r\n\r\n", true },
        { "JSON until close", head + json + close + "\r\n{}", true },
        { "JSON until close, truncated", head + json + close + "\r\n{", false },
        { "text until close", head + text + close + "\r\nx", false },
        { "no body", "HTTP/1.1 204 No Content\r\n\r\n", true },
        { "after 100 Continue", "HTTP/1.1 100 Continue\r\n\r\n" + head + json + "Content-Length: 2\r\n\r\n{}", true },
        { "head, truncated", head + json, false },
        { "no HTTP", "hello\r\n\r\n", false },
        { "nothing", "", false },
        { "too large", head + json + "Content-Length: 1048577\r\n\r\n" + std::string(1048577, ' '), false },
    };
    for (const AnswerCase &entry : cases) {
        const UpstreamResult result = callOnce(entry.answer);
        BOOST_TEST(std::holds_alternative<UpstreamAnswer>(result) == entry.isWhole, entry.name);
        if (const auto *failure = std::get_if<UpstreamFailure>(&result)) {
            BOOST_TEST((failure->run == RunState::MayHaveRun), entry.name);
        }
    }
}

// Guards against reporting a request as sent when no connection could be made.
BOOST_AUTO_TEST_CASE(RefusedConnectIsNotRun)
{
    std::string address;
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"), 1);
        address = socket.address().toString();
    }
    const Upstream upstream { "none", address, "raw", UpstreamKind::Service, {}, {}, {}, false };
    const UpstreamResult result = callUpstream(upstream, makeRequest(), {}, {});
    const auto *failure = std::get_if<UpstreamFailure>(&result);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->run == RunState::NotRun));
    BOOST_TEST((failure->code == ResultCode::UpstreamConnectFailed));
}

// Guards against a time-out per read, under which a slow stream would outlive its deadline.
BOOST_AUTO_TEST_CASE(DeadlineEndsAStreamThatStillSends)
{
    const auto fake = *FakeUpstream::start("127.0.0.1:0", { .prefillMs = 1, .tokenMs = 20 });
    const Upstream upstream { "slow", fake->address(), "raw", UpstreamKind::Model, { "m" }, {}, {}, false };
    UpstreamRequest request = makeRequest();
    request.body = R"({"stream":true,"max_tokens":4000,"messages":[{"content":"x"}]})";
    request.deadline = Clock::now() + Milliseconds(300);
    const UpstreamResult result = callUpstream(upstream, request, {}, {});
    const auto *failure = std::get_if<UpstreamFailure>(&result);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->code == ResultCode::UpstreamTimedOut));
    BOOST_TEST(!failure->isConnectionLost);
}

// Guards against a stop that waits for the next byte of the upstream.
BOOST_AUTO_TEST_CASE(StopBreaksOffAtOnce)
{
    const auto fake = *FakeUpstream::start("127.0.0.1:0", { .prefillMs = 1, .tokenMs = 600000 });
    const Upstream upstream { "stuck", fake->address(), "raw", UpstreamKind::Model, { "m" }, {}, {}, false };
    UpstreamRequest request = makeRequest();
    request.body = R"({"stream":true,"max_tokens":1,"messages":[{"content":"x"}]})";
    BOOST_REQUIRE(fake->setFaults(R"({"delay_ms":3000})").ok());
    std::stop_source stop;
    const std::jthread stopper([&] {
        while (fake->received().empty()) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
        stop.request_stop();
    });
    const UpstreamResult result = callUpstream(upstream, request, {}, stop.get_token());
    const auto *failure = std::get_if<UpstreamFailure>(&result);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST(failure->isStopped);
    BOOST_TEST(!failure->isConnectionLost);
    BOOST_TEST(!fake->received().front().answered);
}

// Guards against events that are held back until a buffer is full.
BOOST_AUTO_TEST_CASE(DataIsPassedOnAsItArrives)
{
    const auto fake = *FakeUpstream::start("127.0.0.1:0", { .prefillMs = 1, .tokenMs = 5 });
    const Upstream upstream { "stream", fake->address(), "raw", UpstreamKind::Model, { "m" }, "secret", {}, false };
    UpstreamRequest request = makeRequest();
    request.body = R"({"stream":true,"max_tokens":10,"messages":[{"content":"x"}]})";
    int parts = 0;
    int status = 0;
    const UpstreamHandlers handlers { [&](const UpstreamHead &head) {
                                         status = head.status;
                                         return true;
                                     },
                                      [&](std::string_view) {
                                          ++parts;
                                          return true;
                                      } };
    const UpstreamResult result = callUpstream(upstream, request, handlers, {});
    BOOST_TEST(std::holds_alternative<UpstreamAnswer>(result));
    BOOST_TEST(status == 200);
    BOOST_TEST(parts > 1);
    BOOST_TEST((fake->received().front().headers.find("Bearer secret") != std::string::npos));
}

// Guards against a request that is sent although its upstream was withdrawn while the connection was being opened.
BOOST_AUTO_TEST_CASE(AWithdrawnRequestIsNotSent)
{
    const auto fake = *FakeUpstream::start("127.0.0.1:0", {});
    Upstream upstream;
    upstream.address = fake->address();
    UpstreamHandlers handlers;
    handlers.mayStart = [] {
        return false;
    };
    const UpstreamResult result = callUpstream(upstream, makeRequest(), handlers, {});
    BOOST_REQUIRE(std::holds_alternative<UpstreamFailure>(result));
    BOOST_TEST((std::get<UpstreamFailure>(result).run == RunState::NotRun));
    BOOST_TEST(!std::get<UpstreamFailure>(result).isStopped);
    BOOST_TEST(fake->received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
