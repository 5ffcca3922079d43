#include "Support/PlatformFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

/// bounds.evacuationMs of the example settings.
constexpr Milliseconds BOUND { 5000 };
constexpr Milliseconds RUN_TIME { 8000 };
constexpr Milliseconds REQUEST_PERIOD { 40 };
const std::vector<std::string> DATA_CENTRES { "east-a", "east-b", "west-a" };
constexpr std::size_t DAEMONS_EACH = 2;
constexpr std::size_t DAEMONS = 6;

auto silent(const std::string &kind) -> FakeObjectStore::Faults
{
    FakeObjectStore::Faults faults;
    faults.isSilent = true;
    faults.onlyTargets = kind;
    return faults;
}

/// Two daemons and an engine in each of three data centres. Each daemon has a view of the store of its own.
class EvacuatedFleet
{
public:
    explicit EvacuatedFleet(bool isEnabled = true)
        : fleet(0, 0)
        , isEnabled_(isEnabled)
    {
        for (const std::string &dataCentre : DATA_CENTRES) {
            fleet.engines.push_back(std::make_unique<FakeEngine>(fleet.loop, "engine-" + dataCentre));
            fleet.engines.back()->behaviour().events = 3;
            const std::string entry = FakeEngine::entryAt(fleet.engines.back()->address(), "ready");
            fleet.store.put("servers", fleet.engines.back()->name(), absl::StrReplaceAll(entry, { { "east-a", dataCentre } }));
        }
        for (std::size_t index = 0; index < DAEMONS; ++index) {
            start(absl::StrCat("daemon", index), DATA_CENTRES[index / DAEMONS_EACH]);
        }
        fleet.awaitReady();
    }

    auto start(const std::string &name, const std::string &dataCentre) -> std::size_t
    {
        views.push_back(fleet.store.openView([](const std::string &body) { return body; }));
        fleet.adjustSettings = [this, dataCentre](FrontSettings &settings) {
            settings.dataCentre = dataCentre;
            settings.storeAddress = fleet.store.viewAddress(views.back());
            settings.bounds.evacuation = isEnabled_ ? std::optional(BOUND) : std::nullopt;
        };
        return fleet.startDaemon(name);
    }

    /// Sends requests to all daemons during that time.
    auto sendFor(Milliseconds time) -> void
    {
        for (const BootTime end = BootClock::now() + time; BootClock::now() < end; fleet.runFor(REQUEST_PERIOD)) {
            for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon) {
                fleet.post(daemon, PlatformFleet::request("/plain/x", absl::StrCat("p", ++count_), "key1"));
                fleet.post(daemon, PlatformFleet::streamRequest("/resumed/x", absl::StrCat("s", ++count_), "key1"));
            }
        }
    }

    /// Requests that have reached the engine of the data centre later than that.
    auto arrivalsAfter(std::size_t dataCentre, BootTime time) -> std::size_t
    {
        const auto &arrivals = fleet.engines[dataCentre]->arrivals();
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [time](BootTime each) { return each > time; }));
    }

    auto operatorText(std::size_t daemon, const std::string &target) -> std::string
    {
        const auto result = fleet.callAddress(fleet.daemons[daemon]->operatorsAddress(), { "GET", target, {}, {} });
        return result ? result->body : std::string();
    }

    /// Whether each daemon's metric has that number of evacuated data centres.
    auto doAllCount(int evacuated) -> bool
    {
        const std::string line = absl::StrCat("poplardock_evacuated_data_centres ", evacuated, "\n");
        for (std::size_t daemon = 0; daemon < fleet.daemons.size(); ++daemon) {
            if (!absl::StrContains(operatorText(daemon, "/metrics"), line)) {
                return false;
            }
        }
        return true;
    }

    PlatformFleet fleet;
    /// The view of each daemon.
    std::vector<std::size_t> views;

private:
    const bool isEnabled_;
    int count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationSuite)

// Guards against requests to an evacuated data centre from any daemon, against a withdrawal that is not acted on, and against an
// object of an unknown data centre or one that is written twice that has an effect.
BOOST_AUTO_TEST_CASE(AllDaemonsObeyAndReturn)
{
    EvacuatedFleet evacuated;
    evacuated.fleet.store.put("evacuations", "nowhere", "{}");
    evacuated.sendFor(Milliseconds(2000));
    BOOST_TEST(evacuated.arrivalsAfter(0, {}) > 0U);
    evacuated.fleet.store.put("evacuations", "east-a", "{}");
    evacuated.fleet.store.put("evacuations", "east-a", "{}");
    const BootTime writtenAt = BootClock::now();
    evacuated.sendFor(Milliseconds(6000));
    // The internal aim; the bound is 5 s.
    BOOST_TEST(evacuated.arrivalsAfter(0, writtenAt + Milliseconds(3000)) == 0U);
    BOOST_TEST(evacuated.arrivalsAfter(1, writtenAt + Milliseconds(3000)) > 0U);
    BOOST_TEST(evacuated.doAllCount(2));
    const std::string dump = evacuated.operatorText(5, "/dump");
    BOOST_TEST(absl::StrContains(dump, R"("name":"east-a")"), dump);
    BOOST_TEST(absl::StrContains(dump, R"("since_ms":)"), dump);
    evacuated.fleet.store.remove("evacuations", "east-a");
    const BootTime withdrawnAt = BootClock::now();
    evacuated.sendFor(Milliseconds(4000));
    BOOST_TEST(evacuated.arrivalsAfter(0, withdrawnAt) > 0U);
    BOOST_TEST(evacuated.doAllCount(1));
}

// Guards against a daemon that depends on its own calls to the store: all calls of kind evacuations of five daemons are silent, those
// of one daemon are not.
BOOST_AUTO_TEST_CASE(DaemonsCutOffFromTheStoreLearnFromOthers)
{
    for (const std::size_t connected : { std::size_t(0), std::size_t(5) }) {
        EvacuatedFleet evacuated;
        evacuated.fleet.runFor(Milliseconds(2000));
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            if (daemon != connected) {
                evacuated.fleet.store.setViewFaults(evacuated.views[daemon], silent(""));
            }
        }
        evacuated.fleet.store.put("evacuations", "east-b", "{}");
        const BootTime writtenAt = BootClock::now();
        evacuated.sendFor(Milliseconds(7000));
        BOOST_TEST(evacuated.arrivalsAfter(1, writtenAt + BOUND) == 0U, "connected " << connected);
        BOOST_TEST(evacuated.doAllCount(1));
        evacuated.fleet.store.remove("evacuations", "east-b");
        evacuated.fleet.runFor(BOUND);
        BOOST_TEST(evacuated.doAllCount(0));
    }
}

// Guards against an evacuation that only some hear of while the store answers nobody at first, and then only half of the daemons.
BOOST_AUTO_TEST_CASE(WrittenWhileTheStoreIsSilent)
{
    EvacuatedFleet evacuated;
    evacuated.fleet.runFor(Milliseconds(2000));
    for (const std::size_t view : evacuated.views) {
        evacuated.fleet.store.setViewFaults(view, silent("evacuations"));
    }
    evacuated.fleet.store.put("evacuations", "west-a", "{}");
    evacuated.sendFor(Milliseconds(2000));
    for (std::size_t daemon = 1; daemon < DAEMONS; daemon += 2) {
        evacuated.fleet.store.setViewFaults(evacuated.views[daemon], {});
    }
    const BootTime answeredAt = BootClock::now();
    evacuated.sendFor(Milliseconds(6000));
    BOOST_TEST(evacuated.arrivalsAfter(2, answeredAt + BOUND) == 0U);
    BOOST_TEST(evacuated.doAllCount(1));
}

// Guards against a daemon that serves requests before it knows of an evacuation, be it that the store answers it or not.
BOOST_AUTO_TEST_CASE(ADaemonThatStartsLaterKnows)
{
    EvacuatedFleet evacuated;
    evacuated.fleet.store.put("evacuations", "east-a", "{}");
    evacuated.fleet.runFor(BOUND);
    const BootTime startedAt = BootClock::now();
    const std::size_t late = evacuated.start("late", "east-a");
    const std::size_t cutOff = evacuated.start("cutoff", "east-b");
    evacuated.fleet.store.setViewFaults(evacuated.views[cutOff], silent("evacuations"));
    BOOST_TEST(evacuated.fleet.runUntil([&] { return evacuated.fleet.isReady(late) && evacuated.fleet.isReady(cutOff); }, RUN_TIME));
    evacuated.sendFor(Milliseconds(1500));
    BOOST_TEST(evacuated.arrivalsAfter(0, startedAt) == 0U);
    BOOST_TEST(evacuated.doAllCount(1));
}

// Guards against requests that wait for upstreams that may not be used, and against a refusal without reason or time.
BOOST_AUTO_TEST_CASE(AWhollyEvacuatedGroupIsRefusedAtOnce)
{
    EvacuatedFleet evacuated;
    for (const std::string &dataCentre : DATA_CENTRES) {
        evacuated.fleet.store.put("evacuations", dataCentre, "{}");
    }
    evacuated.fleet.runFor(BOUND);
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        const BootTime sentAt = BootClock::now();
        const auto result = evacuated.fleet.call(daemon, PlatformFleet::request("/plain/x", "r", "key1"));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->status == 503);
        BOOST_TEST(!result->headers.valueOf("Retry-After").empty());
        BOOST_TEST(absl::StrContains(result->body, "evacuated"), result->body);
        BOOST_TEST((BootClock::now() - sentAt < Milliseconds(100)));
    }
    for (const auto &engine : evacuated.fleet.engines) {
        BOOST_TEST(engine->arrivals().empty());
    }
}

// Guards against batch runs that go on in an evacuated data centre, and against items that are lost or run from the start again.
BOOST_AUTO_TEST_CASE(BatchRunsGoOnElsewhere)
{
    EvacuatedFleet evacuated;
    for (const auto &engine : evacuated.fleet.engines) {
        engine->behaviour().events = 60;
        engine->behaviour().eventPause = Milliseconds(60);
    }
    BOOST_TEST(evacuated.fleet.call(0, PlatformFleet::submission("job", 8, "key1"))->status == 202);
    BOOST_REQUIRE(evacuated.fleet.runUntil([&] { return !evacuated.fleet.engines[0]->runs().empty(); }, RUN_TIME));
    evacuated.fleet.runFor(Milliseconds(300));
    evacuated.fleet.store.put("evacuations", "east-a", "{}");
    const BootTime writtenAt = BootClock::now();
    BOOST_TEST(evacuated.fleet.runUntil(
        [&] {
            const auto runs = evacuated.fleet.engines[0]->runs();
            return std::all_of(runs.begin(), runs.end(), [](const auto &run) { return run.isComplete || run.isCut; });
        },
        Milliseconds(3000)));
    std::vector<JobResult> results;
    evacuated.fleet.runUntil([&] { return (results = evacuated.fleet.results(0, "job", "key1")).size() == 8; }, 3 * RUN_TIME);
    BOOST_TEST(results.size() == 8U);
    for (const JobResult &result : results) {
        BOOST_TEST(result.text == FakeEngine::dataOf(result.itemId, 60));
    }
    BOOST_TEST(evacuated.arrivalsAfter(0, writtenAt + BOUND) == 0U);
}

// Guards against store calls, messages and effects where the settings do not enable evacuations.
BOOST_AUTO_TEST_CASE(WithoutTheSettingNothingHappens)
{
    EvacuatedFleet evacuated(false);
    evacuated.fleet.store.put("evacuations", "east-a", "{}");
    evacuated.fleet.runFor(Milliseconds(3000));
    const BootTime writtenAt = BootClock::now();
    evacuated.sendFor(Milliseconds(1500));
    BOOST_TEST(evacuated.arrivalsAfter(0, writtenAt) > 0U);
    BOOST_TEST(evacuated.fleet.store.callCount("GET /-/objects/evacuations") == 0);
    BOOST_TEST(!absl::StrContains(evacuated.operatorText(0, "/metrics"), "evacuated"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
