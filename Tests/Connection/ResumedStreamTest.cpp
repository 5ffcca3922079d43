#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr int EVENTS = 5;
constexpr int BREAK_AFTER = 2;

struct Answer
{
    std::string head;
    std::string body;
};

/// Answers that do not go on with the stream that the request names.
auto answers() -> std::vector<Answer>
{
    const std::string events = "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n";
    return { { "500 Internal Server Error\r\nContent-Type: text/plain", "an error\n\n" },
             { "500 Internal Server Error\r\nContent-Type: text/event-stream", events },
             { "422 Unprocessable\r\nContent-Type: text/plain", "an error" },
             { "404 Not Found\r\nContent-Type: text/html", "<html>\n\n</html>" },
             { "302 Found\r\nLocation: /elsewhere", "" },
             { "204 No Content", "" },
             { "206 Partial Content\r\nContent-Type: text/event-stream", events },
             { "200 OK\r\nContent-Type: text/html", "" },
             { "200 OK\r\nContent-Type: text/html", "data: an error\n\n" },
             { "200 OK\r\nContent-Type: application/json", R"({"error":"x"})" },
             { "200 OK\r\nContent-Type: text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" },
             { "200 OK\r\nContent-Type: text/event-stream", "id: 4\ndata: after a hole\n\n" } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResumedStreamSuite)

// Guards against an error's text, its head or another body in the middle of a caller's stream, and against a stream that ends
// as if it were complete, when it broke off and the next server does not go on with it.
BOOST_AUTO_TEST_CASE(OnlyTheSameStreamIsGoneOnWith)
{
    for (const Answer &answer : answers()) {
        PlatformFleet fleet(1, 2);
        for (const auto &engine : fleet.engines) {
            engine->behaviour().events = EVENTS;
            engine->behaviour().eventPause = Milliseconds(1);
            engine->behaviour().breakAfterEvents = BREAK_AFTER;
            engine->behaviour().resumedHead = answer.head;
            engine->behaviour().resumedBody = answer.body;
        }
        const auto result = fleet.call(0, PlatformFleet::streamRequest("/resumed/x", "r", "key1"));
        BOOST_TEST(!result.has_value(), answer.head << ": " << (result ? result->body : ""));
        BOOST_TEST(fleet.engines[0]->runsOf("r") + fleet.engines[1]->runsOf("r") == 2, answer.head);
    }
}

// Guards against a stream that is broken off although a further server goes on with it.
BOOST_AUTO_TEST_CASE(AFurtherServerGoesOn)
{
    for (const Answer &answer : answers()) {
        PlatformFleet fleet(1, 3);
        for (const auto &engine : fleet.engines) {
            engine->behaviour().events = EVENTS;
            engine->behaviour().eventPause = Milliseconds(1);
        }
        fleet.engines[0]->behaviour().breakAfterEvents = BREAK_AFTER;
        fleet.engines[1]->behaviour().resumedHead = answer.head;
        fleet.engines[1]->behaviour().resumedBody = answer.body;
        for (int index = 0; index < 12; ++index) {
            const std::string id = absl::StrCat("r", index);
            const auto result = fleet.call(0, PlatformFleet::streamRequest("/resumed/x", id, "key1"));
            BOOST_REQUIRE(result.has_value());
            BOOST_TEST(result->body == FakeEngine::streamOf(id, EVENTS), answer.head);
        }
    }
}

// Guards against an item's text that goes on with such an answer, or ends with it.
BOOST_AUTO_TEST_CASE(AnItemGoesOnWithItsOwnStreamOnly)
{
    for (const Answer &answer : answers()) {
        if (answer.head.starts_with("422")) {
            continue;
        }
        PlatformFleet fleet(1, 1);
        FakeEngine::Behaviour &behaviour = fleet.engines[0]->behaviour();
        behaviour.events = EVENTS;
        behaviour.eventPause = Milliseconds(1);
        behaviour.breakAfterEvents = BREAK_AFTER;
        behaviour.resumedHead = answer.head;
        behaviour.resumedBody = answer.body;
        BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
        BOOST_TEST(fleet.runUntil([&fleet] { return fleet.engines[0]->runs().size() == 2; }, Milliseconds(8000)));
        behaviour.breakAfterEvents = 0;
        behaviour.resumedHead.clear();
        std::vector<JobResult> results;
        fleet.runUntil([&] { return !(results = fleet.results(0, "job", "key1")).empty(); }, Milliseconds(8000));
        BOOST_REQUIRE(results.size() == 1U);
        BOOST_TEST(results[0].isCompleted, answer.head);
        BOOST_TEST(results[0].text == FakeEngine::dataOf("job-0", EVENTS), answer.head << ": " << results[0].text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
