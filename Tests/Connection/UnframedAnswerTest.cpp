#include "Support/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace poplardock {

namespace {

constexpr int EVENTS = 12;
constexpr Milliseconds EVENT_PAUSE { 30 };
/// Time in which some events of a stream have been sent.
constexpr Milliseconds HALF_TIME { 150 };

/// One daemon before two engines whose answers have neither a length nor chunks, one of which crashes in the middle of its
/// answers; its system closes the connections in order then.
struct UnframedFixture
{
    UnframedFixture()
        : fleet(1, 2)
    {
        for (const auto &engine : fleet.engines) {
            engine->behaviour().omitsLength = true;
            engine->behaviour().events = EVENTS;
            engine->behaviour().eventPause = EVENT_PAUSE;
        }
    }

    /// Sends a request, and crashes the engine that runs it while it is being answered.
    auto callWhileItsEngineCrashes(const std::string &path) -> std::optional<HttpResult>
    {
        const Timer crash = fleet.loop.at(BootClock::now() + HALF_TIME, [this] {
            const auto running
                = std::find_if(fleet.engines.begin(), fleet.engines.end(), [](const auto &each) { return !each->runs().empty(); });
            if (running != fleet.engines.end()) {
                (*running)->crashInOrder();
            }
        });
        return fleet.call(0, PlatformFleet::streamRequest(path, "q1", "key1"));
    }

    PlatformFleet fleet;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UnframedAnswerSuite)

// Guards against the start of an answer that reaches the caller as a whole one: an answer without a length ends with its
// connection, also when the upstream crashes.
BOOST_FIXTURE_TEST_CASE(AStreamWhoseUpstreamCrashesIsNotComplete, UnframedFixture)
{
    const auto result = callWhileItsEngineCrashes("/stream/x");
    BOOST_TEST(!result.has_value());
}

// Guards against a stream that is not continued elsewhere although it may be.
BOOST_FIXTURE_TEST_CASE(AResumableStreamGoesOnElsewhere, UnframedFixture)
{
    const auto result = callWhileItsEngineCrashes("/resumed/x");
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->body == FakeEngine::streamOf("q1", EVENTS));
}

// Guards against whole answers of a living upstream that are taken for broken ones.
BOOST_FIXTURE_TEST_CASE(AnAnswerOfALivingUpstreamIsComplete, UnframedFixture)
{
    for (const std::string path : { "/stream/x", "/resumed/x" }) {
        const auto result = fleet.call(0, PlatformFleet::streamRequest(path, "q" + path.substr(1, 2), "key1"));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->body == FakeEngine::streamOf("q" + path.substr(1, 2), EVENTS));
    }
    BOOST_TEST(fleet.engines[0]->runs().size() + fleet.engines[1]->runs().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
