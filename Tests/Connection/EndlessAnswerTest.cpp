#include "Support/EndlessServer.h"
#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

/// What a daemon may accept of one such answer, the buffers of both sockets included.
constexpr std::size_t MAXIMUM_BYTES = 8U << 20U;
/// Well before the timeout of the routes, 3 s.
constexpr Milliseconds END_TIME { 2000 };

struct Case
{
    std::string name;
    std::string opening;
    std::string piece;
};

auto repeated(const std::string &text, std::size_t bytes) -> std::string
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

/// The head of an answer to the request "r", with one more line.
auto head(const std::string &line) -> std::string
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n", line, "\r\n\r\n");
}

auto cases() -> std::vector<Case>
{
    constexpr std::size_t PIECE = 16384;
    const std::string text(PIECE, 'x');
    return { { "a status line", "HTTP/1.1 200 ", text },
             { "a header line", "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nX: ", text },
             { "headers", "HTTP/1.1 200 OK\r\n", repeated("X-Header: value\r\n", PIECE) },
             { "informational answers", "", repeated("HTTP/1.1 102 Processing\r\n\r\n", PIECE) },
             { "answers for another request", "", repeated("HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 2\r\n\r\nab", PIECE) },
             { "the body of an answer for another request", "HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\n", text },
             { "a chunk extension", head("Transfer-Encoding: chunked") + "5;x=", text },
             { "a trailer", head("Transfer-Encoding: chunked") + "0\r\nX: ", text },
             { "chunks", head("Transfer-Encoding: chunked"), repeated("4\r\nabcd\r\n", PIECE) },
             { "a body without a length", head("Content-Type: text/plain"), text },
             { "a body with a huge length", head("Content-Length: 99999999999"), text },
             { "bytes that are no answer", "", text } };
}

auto streamCases() -> std::vector<Case>
{
    const std::string text(16384, 'x');
    return { { "an event", head("Content-Type: text/event-stream") + "id: 0\ndata: ", text },
             { "data lines of one event", head("Content-Type: text/event-stream") + "id: 0\n", repeated("data: x\n", text.size()) } };
}

/// Sends a request to a daemon whose only upstream sends without end, and checks that it is cut off early.
auto checkCutOff(const Case &each, const HttpCall &request) -> void
{
    PlatformFleet fleet(1, 0);
    EndlessServer server(each.opening, each.piece);
    fleet.store.put("servers", "endless", FakeEngine::entryAt(server.address(), "ready"));
    fleet.runFor(Milliseconds(1600));
    const BootTime begin = BootClock::now();
    const auto result = fleet.call(0, request);
    BOOST_TEST((BootClock::now() - begin < END_TIME), each.name << " is read for too long");
    BOOST_TEST((!result || result->status >= 500), each.name);
    BOOST_TEST(server.connectionCount() >= 1, each.name);
    fleet.runFor(Milliseconds(200));
    const std::size_t sent = server.sentBytes();
    BOOST_TEST(sent <= MAXIMUM_BYTES, each.name << ": " << sent << " bytes");
    fleet.runFor(Milliseconds(200));
    BOOST_TEST(server.sentBytes() == sent, each.name << " goes on");
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswerSuite)

// Guards against a daemon that stores or reads without end what a server in trouble sends until the connection is closed.
BOOST_AUTO_TEST_CASE(AnEndlessAnswerIsCutOff)
{
    for (const Case &each : cases()) {
        checkCutOff(each, PlatformFleet::request("/plain/x", "r", "key1"));
    }
}

// Guards against a stream whose event never ends.
BOOST_AUTO_TEST_CASE(AnEndlessEventIsCutOff)
{
    for (const Case &each : streamCases()) {
        checkCutOff(each, PlatformFleet::streamRequest("/stream/x", "r", "key1"));
    }
}

// Guards against a request that fails with the server in trouble although another one can run it.
BOOST_AUTO_TEST_CASE(ARepeatableRequestGoesElsewhere)
{
    PlatformFleet fleet(1, 1);
    EndlessServer server("", "no answer at all ");
    fleet.store.put("servers", "endless", FakeEngine::entryAt(server.address(), "ready"));
    fleet.runFor(Milliseconds(1600));
    for (int index = 0; index < 20; ++index) {
        const std::string id = absl::StrCat("r", index);
        const auto result = fleet.call(0, PlatformFleet::request("/plain/x", id, "key1"));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->status == 200);
    }
    BOOST_TEST(server.connectionCount() >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
