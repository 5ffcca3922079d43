#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <utility>

namespace poplardock {

namespace {

constexpr Milliseconds COLD_TIME { 4000 };
constexpr const char *COLD_FIELDS = R"(,"coldStartS":4,"coldPerS":9.8)";
/// 1.5 times 9.8, and 5: the default bounds of the settings.
constexpr double BOUND = 19.7;
constexpr int CRASHING_REQUESTS = 20;
/// A daemon sends nothing to a cold engine for two seconds after its start.
constexpr Milliseconds SETTLING_TIME { 2500 };

/// Three daemons before a slow engine, with more requests than it has slots for.
struct ColdSetting
{
    explicit ColdSetting(const std::string &fields)
        : fleet(3, 1)
    {
        fleet.configure({ "key1" }, fields);
        fleet.engines.front()->behaviour().events = 1;
        fleet.engines.front()->behaviour().eventPause = Milliseconds(300);
        sendFor(SETTLING_TIME);
    }

    /// Registers a new engine that is cold from now on and crashes above the bound.
    auto startColdEngine() -> FakeEngine &
    {
        fleet.engines.push_back(std::make_unique<FakeEngine>(fleet.loop, absl::StrCat("engine", fleet.engines.size())));
        FakeEngine &engine = *fleet.engines.back();
        engine.behaviour().events = 1;
        engine.behaviour().eventPause = Milliseconds(1);
        engine.behaviour().crashingRequests = CRASHING_REQUESTS;
        engine.behaviour().coldUntil = BootClock::now() + COLD_TIME;
        const std::string entry = FakeEngine::entryAt(engine.address(), "ready");
        fleet.store.put(
            "servers", engine.name(), absl::StrCat(entry.substr(0, entry.size() - 1), R"(,"born":1700000000000,"coldRemainingMs":4000})"));
        return engine;
    }

    /// Sends about 100 requests a second, at all daemons in turn.
    auto sendFor(Milliseconds time) -> void
    {
        for (const BootTime end = BootClock::now() + time; BootClock::now() < end; ++sent) {
            const std::size_t daemon = static_cast<std::size_t>(sent) % fleet.daemons.size();
            fleet.post(daemon, PlatformFleet::streamRequest("/resumed/x", absl::StrCat("c", sent), "key1"));
            fleet.runFor(Milliseconds(10));
        }
    }

    PlatformFleet fleet;
    int sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdUpstreamSuite)

// Guards against daemons that together send a new engine more than it can handle, also while one of them restarts, and against
// one that they leave alone although the others are full.
BOOST_AUTO_TEST_CASE(AColdEngineGetsNoMoreThanTheBound)
{
    ColdSetting setting(COLD_FIELDS);
    FakeEngine &engine = setting.startColdEngine();
    const BootTime from = BootClock::now();
    setting.sendFor(Milliseconds(1500));
    setting.fleet.killDaemon(0);
    const std::size_t restarted = setting.fleet.startDaemon("daemon0");
    std::swap(setting.fleet.daemons[0], setting.fleet.daemons[restarted]);
    setting.fleet.daemons.pop_back();
    setting.sendFor(Milliseconds(2400));
    BOOST_TEST(!engine.hasCrashed());
    BOOST_TEST(static_cast<double>(engine.mostArrivalsInSecond(from)) <= BOUND);
    BOOST_TEST(engine.arrivals().size() >= 12, engine.arrivals().size() << " requests");
}

// Shows that the load of the other case crashes an engine without the limit, so that the case proves something.
BOOST_AUTO_TEST_CASE(WithoutTheLimitTheLoadCrashesTheEngine)
{
    ColdSetting setting("");
    const FakeEngine &engine = setting.startColdEngine();
    setting.sendFor(Milliseconds(3000));
    BOOST_TEST(engine.hasCrashed());
}

// Guards against requests that wait for a cold engine when there is no other, and against batch items that exceed its limit.
BOOST_AUTO_TEST_CASE(BatchItemsKeepToTheBoundAndTheExcessIsRefused)
{
    ColdSetting setting(COLD_FIELDS);
    FakeEngine &engine = setting.startColdEngine();
    setting.fleet.registerEngine(*setting.fleet.engines.front(), "draining");
    for (const std::size_t daemon : { 0, 1, 2 }) {
        BOOST_REQUIRE(setting.fleet.call(daemon, PlatformFleet::submission(absl::StrCat("10b", daemon), 40, "key1")));
    }
    const BootTime from = BootClock::now();
    setting.sendFor(Milliseconds(2000));
    const BootTime before = BootClock::now();
    std::optional<HttpResult> last;
    for (int number = 0; number < 6; ++number) {
        last = setting.fleet.call(0, PlatformFleet::streamRequest("/resumed/x", absl::StrCat("r", number), "key1"));
    }
    BOOST_TEST((BootClock::now() - before < Milliseconds(400)));
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST(last->status == HttpStatus::UNAVAILABLE);
    BOOST_TEST(!last->headers.valueOf("Retry-After").empty());
    setting.fleet.runFor(Milliseconds(1000));
    BOOST_TEST(!engine.hasCrashed());
    BOOST_TEST(static_cast<double>(engine.mostArrivalsInSecond(from)) <= BOUND);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
