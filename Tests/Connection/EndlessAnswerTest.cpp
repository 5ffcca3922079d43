#include "Support/EndlessServer.h"
#include "Support/PlatformFleet.h"

#include <absl/strings/numbers.h>
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

/// A figure of a daemon's metrics.
auto metricOf(PlatformFleet &fleet, const std::string &name) -> std::int64_t
{
    const auto result = fleet.callAddress(fleet.daemons[0]->operatorsAddress(), { "GET", "/metrics", {}, {} });
    BOOST_REQUIRE(result.has_value());
    const std::size_t position = result->body.find("\n" + name + " ");
    BOOST_REQUIRE(position != std::string::npos);
    std::int64_t value = 0;
    const std::size_t begin = position + name.size() + 2;
    BOOST_REQUIRE(absl::SimpleAtoi(result->body.substr(begin, result->body.find('\n', begin) - begin), &value));
    return value;
}

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

// Guards against an item whose stream has no end and fills the memory of its daemon: only the connection's bound of 64 MB held.
BOOST_AUTO_TEST_CASE(AnItemWhoseAnswerNeverEndsIsRunAgain)
{
    PlatformFleet fleet(1, 1);
    fleet.runFor(Milliseconds(1600));
    FakeEngine &engine = *fleet.engines[0];
    const FakeEngine::Behaviour sound = engine.behaviour();
    engine.behaviour().events = 1 << 30;
    engine.behaviour().eventPause = Milliseconds(1);
    engine.behaviour().eventPadding = std::string(16384, 'x');
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    BOOST_REQUIRE(fleet.runUntil([&engine] { return !engine.runs().empty() && engine.runs().front().isCut; }, Milliseconds(2000)));
    // The item names 35 output tokens.
    BOOST_TEST(static_cast<std::size_t>(engine.runs().front().sent) * engine.behaviour().eventPadding.size() < 1U << 20U);
    engine.behaviour() = sound;
    std::vector<JobResult> results;
    BOOST_TEST(fleet.runUntil(
        [&fleet, &results] {
            results = fleet.results(0, "job", "key1");
            return !results.empty();
        },
        Milliseconds(5000)));
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].isCompleted);
    BOOST_TEST(results[0].text == FakeEngine::dataOf("job-0", sound.events));
}

// Guards against texts that grow beside the account of held bytes: many running items of sound length could fill the memory.
BOOST_AUTO_TEST_CASE(TheTextOfARunningItemIsCharged)
{
    constexpr std::int64_t EVENT_BYTES = 4096;
    constexpr std::int64_t ITEMS = 4;
    PlatformFleet fleet(1, 1);
    fleet.runFor(Milliseconds(1600));
    FakeEngine &engine = *fleet.engines[0];
    engine.behaviour().events = 20;
    engine.behaviour().eventPause = Milliseconds(100);
    engine.behaviour().eventPadding = std::string(EVENT_BYTES, 'x');
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", ITEMS, "key1"))->status == 202);
    const std::int64_t before = metricOf(fleet, "poplardock_held_bytes");
    BOOST_REQUIRE(fleet.runUntil(
        [&engine] {
            const auto runs = engine.runs();
            return runs.size() >= ITEMS && runs[ITEMS - 1].sent >= 10;
        },
        Milliseconds(5000)));
    BOOST_TEST(metricOf(fleet, "poplardock_held_bytes") >= before + 9 * ITEMS * EVENT_BYTES);
}

// Guards against answers of legal size that fill the memory together while they are collected.
BOOST_AUTO_TEST_CASE(CollectedAnswersStayWithinTheMemory)
{
    constexpr int REQUESTS = 8;
    PlatformFleet fleet(0, 1);
    fleet.adjustSettings = [](FrontSettings &settings) {
        settings.memoryBytes = 8U << 20U;
    };
    fleet.startDaemon("daemon0");
    fleet.awaitReady();
    FakeEngine &engine = *fleet.engines[0];
    engine.behaviour().unfinishedBodyBytes = 900000;
    for (int index = 0; index < REQUESTS; ++index) {
        fleet.post(0, PlatformFleet::request("/once/x", absl::StrCat("r", index), "key1"));
    }
    const std::int64_t bound = metricOf(fleet, "poplardock_held_bytes_bound");
    std::int64_t most = 0;
    for (int round = 0; round < 20; ++round) {
        fleet.runFor(Milliseconds(20));
        most = std::max(most, metricOf(fleet, "poplardock_held_bytes"));
    }
    BOOST_TEST(engine.runs().size() == REQUESTS);
    BOOST_TEST(most <= bound);
    BOOST_TEST(most > bound / 4);
    // The others are served again when the room is free.
    engine.behaviour().unfinishedBodyBytes = 0;
    fleet.runFor(Milliseconds(1200));
    BOOST_TEST(fleet.call(0, PlatformFleet::request("/once/x", "last", "key1"))->status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
