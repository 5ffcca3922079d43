#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr int EVENTS = 5;
constexpr Milliseconds RUN_TIME { 10000 };
constexpr const char *COMMENT = ": still at work\n\n";

/// Bodies that hold no event, or none that can be joined with the events of another server.
auto noises() -> std::vector<std::string>
{
    return { "\x15\x03\x01 \x7f noise\n\n<html>\n\nnoise",
             "\n\n\r\n\r\n",
             ": a comment\n\n",
             "retry: 10\n\nevent: x\n\n",
             "id: 0\n\n",
             "data: no id\n\n",
             "id: zero\ndata: no number\n\n",
             "id: 99999999999999999999\ndata: too large a number\n\n",
             "noise\nid: 2\ndata: in an event\n\n",
             std::string("\0\0\n\nid: 2\ndata: after NULs\n\n", 28) };
}

/// A daemon before one server that sends the noise and a sound one.
class SpoiltFleet
{
public:
    SpoiltFleet(const std::string &noise, int eventsBefore)
        : fleet(1, 2)
    {
        for (const auto &engine : fleet.engines) {
            engine->behaviour().events = EVENTS;
            engine->behaviour().eventPause = Milliseconds(1);
        }
        faulty().behaviour().noise = noise;
        faulty().behaviour().eventsBeforeNoise = eventsBefore;
    }

    auto faulty() -> FakeEngine &
    {
        return *fleet.engines.front();
    }

    PlatformFleet fleet;
};

auto checkResumedStreams(const std::string &noise, int eventsBefore) -> void
{
    SpoiltFleet spoilt(noise, eventsBefore);
    for (int index = 0; spoilt.faulty().runs().empty() && index < 40; ++index) {
        const std::string id = absl::StrCat("s", index);
        const auto result = spoilt.fleet.call(0, PlatformFleet::streamRequest("/resumed/x", id, "key1"));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->status == 200);
        BOOST_TEST(result->body == FakeEngine::streamOf(id, EVENTS));
    }
    BOOST_TEST(!spoilt.faulty().runs().empty());
}

auto checkItems(const std::string &noise, int eventsBefore) -> void
{
    constexpr int ITEMS = 16;
    SpoiltFleet spoilt(noise, eventsBefore);
    BOOST_TEST(spoilt.fleet.call(0, PlatformFleet::submission("job", ITEMS, "key1"))->status == 202);
    std::vector<JobResult> results;
    spoilt.fleet.runUntil([&spoilt] { return !spoilt.faulty().runs().empty(); }, RUN_TIME);
    const BootTime deadline = BootClock::now() + RUN_TIME;
    while (results.size() < ITEMS && BootClock::now() < deadline) {
        results = spoilt.fleet.results(0, "job", "key1");
        spoilt.fleet.runFor(Milliseconds(50));
    }
    BOOST_TEST(results.size() == ITEMS);
    BOOST_TEST(!spoilt.faulty().runs().empty());
    for (const JobResult &result : results) {
        BOOST_TEST(result.isCompleted);
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, EVENTS));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpoiltStreamSuite)

// Guards against a stream that looks complete and holds bytes of an answer that broke off and that are no events.
BOOST_AUTO_TEST_CASE(BytesThatAreNoEventsStayOutOfResumedStreams)
{
    for (const std::string &noise : noises()) {
        checkResumedStreams(noise, 0);
        checkResumedStreams(noise, 2);
    }
}

// Guards against completed items whose text holds such bytes.
BOOST_AUTO_TEST_CASE(BytesThatAreNoEventsStayOutOfTexts)
{
    for (const std::string &noise : noises()) {
        checkItems(noise, 0);
        checkItems(noise, 2);
    }
}

// Guards against a stream that cannot be resumed and looks complete although its server sent bytes that are no events.
BOOST_AUTO_TEST_CASE(AStreamWithLinesThatAreNoFieldsIsBrokenOff)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().comment = "noise\n";
    const auto result = fleet.call(0, PlatformFleet::streamRequest("/stream/x", "r", "key1"));
    BOOST_TEST((!result || result->status >= 500));
}

// Guards against comments of a sound server that are lost from a caller's stream, end it, or get into an item's text.
BOOST_AUTO_TEST_CASE(CommentsOfASoundStreamDisturbNothing)
{
    PlatformFleet fleet(1, 1);
    fleet.engines[0]->behaviour().events = EVENTS;
    fleet.engines[0]->behaviour().comment = COMMENT;
    std::string expected;
    for (int event = 0; event < EVENTS; ++event) {
        absl::StrAppend(&expected, COMMENT, "id: ", event, "\ndata: r:", event, "\n\n");
    }
    expected += COMMENT;
    for (const std::string path : { "/resumed/x", "/stream/x" }) {
        const auto result = fleet.call(0, PlatformFleet::streamRequest(path, "r", "key1"));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->status == 200);
        BOOST_TEST(result->body == expected);
    }
    BOOST_TEST(fleet.call(0, PlatformFleet::submission("job", 1, "key1"))->status == 202);
    std::vector<JobResult> results;
    fleet.runUntil([&] { return !(results = fleet.results(0, "job", "key1")).empty(); }, RUN_TIME);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].text == FakeEngine::dataOf("job-0", EVENTS));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
