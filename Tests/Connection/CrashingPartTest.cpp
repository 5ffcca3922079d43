#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace poplardock {

namespace {

/// The platform's stableWindowMs: time within which what one daemon has observed counts at all.
constexpr Milliseconds STABLE_WINDOW { 3000 };
constexpr Milliseconds REQUEST_INTERVAL { 40 };
constexpr int ENGINES = 8;
constexpr std::size_t DAEMONS = 3;
/// Crashes after which the fleet has to know the part, and requests with it that may reach an engine from then on.
constexpr std::size_t CRASHES_TO_LEARN = 5;
constexpr int STRAY_REQUESTS = 3;
constexpr int REQUESTS_PER_ENGINE = 3;

/// Daemons before engines that crash on one prompt part, and callers that send it in ever new requests, among sound
/// requests with the same key, route and first part. Crashed engines are replaced under another name and address.
class CrashingFleet
{
public:
    explicit CrashingFleet(FakeEngine::Behaviour behaviour = {})
        : fleet(DAEMONS, 0)
        , behaviour_(std::move(behaviour))
    {
        behaviour_.crashesOnPart = "bad";
        for (int index = 0; index < ENGINES; ++index) {
            addEngine();
        }
        fleet.runUntil([this] { return answers(send(0, "warm:10", "warm")); }, STABLE_WINDOW);
    }

    auto addEngine() -> void
    {
        fleet.engines.push_back(std::make_unique<FakeEngine>(fleet.loop, absl::StrCat("server", fleet.engines.size())));
        fleet.engines.back()->behaviour() = behaviour_;
        fleet.registerEngine(*fleet.engines.back(), "ready");
    }

    /// Replaces engines that have crashed since the last call, and notes when they did.
    auto replaceCrashed() -> void
    {
        std::vector<std::string> found;
        for (const auto &engine : fleet.engines) {
            if (engine->hasCrashed() && crashed.insert(engine->name()).second) {
                found.push_back(engine->name());
            }
        }
        for (const std::string &name : found) {
            crashedAt.push_back(BootClock::now());
            fleet.store.remove("servers", name);
            addEngine();
        }
    }

    static auto request(const std::string &parts, const std::string &id) -> HttpCall
    {
        HttpCall call = PlatformFleet::streamRequest("/resumed/x", id, "key1");
        call.headers.add("Prompt-Prefix", absl::StrCat(parts, ",own-", id, ":250"));
        return call;
    }

    auto send(std::size_t daemon, const std::string &parts, const std::string &id) -> std::optional<HttpResult>
    {
        return fleet.call(daemon, request(parts, id));
    }

    /// Crashes all engines at the same moment, while each is about to answer some sound requests with one part in common.
    auto crashAll() -> void
    {
        for (const auto &engine : fleet.engines) {
            engine->behaviour().eventPause = STABLE_WINDOW;
        }
        for (int index = 0; index < REQUESTS_PER_ENGINE * ENGINES; ++index) {
            const std::string id = absl::StrCat("lost", count_++);
            fleet.post(static_cast<std::size_t>(index) % DAEMONS, request(absl::StrCat("shared:200,part", index % 5, ":50"), id));
        }
        fleet.runFor(REQUEST_INTERVAL);
        for (const auto &engine : fleet.engines) {
            if (!engine->hasCrashed()) {
                engine->crash();
            }
        }
    }

    /// Sends sound requests at each daemon in turn for that time.
    auto sendSoundFor(Milliseconds time) -> void
    {
        for (const BootTime end = BootClock::now() + time; BootClock::now() < end;) {
            const std::string id = absl::StrCat("n", count_++);
            ++soundSent;
            const std::size_t daemon = static_cast<std::size_t>(count_) % DAEMONS;
            soundAnswered += answers(send(daemon, absl::StrCat("shared:200,part", count_ % 5, ":50"), id)) ? 1 : 0;
            fleet.runFor(REQUEST_INTERVAL);
        }
    }

    static auto answers(const std::optional<HttpResult> &result) -> bool
    {
        return result && result->status == 200;
    }

    /// Sends one crashing request among sound ones at each daemon in turn, for that time.
    auto sendBothFor(Milliseconds time) -> void
    {
        for (const BootTime end = BootClock::now() + time; BootClock::now() < end;) {
            const std::size_t daemon = static_cast<std::size_t>(count_) % fleet.daemons.size();
            const std::string id = absl::StrCat("n", count_++);
            if (fleet.daemons[daemon] != nullptr) {
                send(daemon, "shared:200,bad:50", absl::StrCat("bad-", id));
                ++soundSent;
                soundAnswered += answers(send(daemon, absl::StrCat("shared:200,part", count_ % 5, ":50"), id)) ? 1 : 0;
            }
            replaceCrashed();
            fleet.runFor(REQUEST_INTERVAL);
        }
    }

    /// Runs of requests with the part that began at that time or later.
    [[nodiscard]] auto badRunsSince(BootTime time) const -> int
    {
        int total = 0;
        for (const auto &engine : fleet.engines) {
            for (const FakeEngine::Run &run : engine->runs()) {
                const std::string_view parts = run.head.headers.valueOf("Prompt-Prefix");
                total += run.startedAt >= time && parts.find("bad:") != std::string_view::npos ? 1 : 0;
            }
        }
        return total;
    }

    PlatformFleet fleet;
    std::set<std::string> crashed;
    std::vector<BootTime> crashedAt;
    int soundSent = 0;
    int soundAnswered = 0;

private:
    FakeEngine::Behaviour behaviour_;
    int count_ = 0;
};

/// Checks that the fleet has learnt the part within the window after CRASHES_TO_LEARN crashes, and serves sound requests.
auto checkPartIsRefused(CrashingFleet &setting) -> void
{
    setting.sendBothFor(STABLE_WINDOW);
    const BootTime learned
        = setting.crashedAt.size() < CRASHES_TO_LEARN ? BootClock::now() : setting.crashedAt[CRASHES_TO_LEARN - 1] + STABLE_WINDOW;
    setting.sendBothFor(STABLE_WINDOW);
    setting.soundSent = 0;
    setting.soundAnswered = 0;
    setting.sendBothFor(STABLE_WINDOW);
    BOOST_TEST(!setting.crashed.empty());
    BOOST_TEST(setting.badRunsSince(learned) <= STRAY_REQUESTS, setting.crashed.size() << " engines crashed");
    BOOST_TEST(setting.soundAnswered >= setting.soundSent / 2, setting.soundAnswered << " of " << setting.soundSent);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingPartSuite)

// Guards against requests that share a prompt part and crash one upstream after the other, each of them new, and against
// refusing the sound requests of the same team, route and first part with them.
BOOST_AUTO_TEST_CASE(APromptPartThatCrashesUpstreamsIsRefusedEverywhere)
{
    CrashingFleet setting;
    checkPartIsRefused(setting);
}

// Guards against taking the answer of an upstream that crashes between two events for a whole one, which would clear the
// part: streams that end with their connection show no difference.
BOOST_AUTO_TEST_CASE(ACrashThatEndsAStreamInOrderIsACrash)
{
    FakeEngine::Behaviour behaviour;
    behaviour.omitsLength = true;
    behaviour.crashLooksWhole = true;
    CrashingFleet setting(behaviour);
    checkPartIsRefused(setting);
}

// Guards against a daemon that forgets by its restart which prompt parts crash upstreams.
BOOST_AUTO_TEST_CASE(ARestartedDaemonLearnsThePartFromTheOthers)
{
    CrashingFleet setting;
    setting.sendBothFor(2 * STABLE_WINDOW);
    for (const std::size_t daemon : { 0, 1, 2 }) {
        setting.fleet.killDaemon(daemon);
        const std::size_t restarted = setting.fleet.startDaemon(absl::StrCat("daemon", daemon));
        std::swap(setting.fleet.daemons[daemon], setting.fleet.daemons[restarted]);
        setting.fleet.daemons.pop_back();
        setting.fleet.awaitReady();
        setting.fleet.runFor(STABLE_WINDOW);
        const BootTime now = BootClock::now();
        const auto bad = setting.send(daemon, "shared:200,bad:50", absl::StrCat("restarted-", daemon));
        BOOST_TEST(setting.badRunsSince(now) == 0, "daemon " << daemon);
        BOOST_TEST((bad && bad->status == HttpStatus::UNAVAILABLE));
        BOOST_TEST(CrashingFleet::answers(setting.send(daemon, "shared:200,part1:50", absl::StrCat("sound-", daemon))));
        setting.replaceCrashed();
    }
}

// Guards against sound requests that stay refused because all upstreams crashed at once, for another reason, under requests
// with the same part: no answer was left that could clear it.
BOOST_AUTO_TEST_CASE(SoundRequestsReturnAfterAllUpstreamsCrashedAtOnce)
{
    CrashingFleet setting;
    setting.crashAll();
    setting.replaceCrashed();
    setting.sendSoundFor(2 * STABLE_WINDOW);
    setting.soundSent = 0;
    setting.soundAnswered = 0;
    setting.sendSoundFor(STABLE_WINDOW);
    BOOST_TEST(setting.soundAnswered == setting.soundSent, setting.soundAnswered << " of " << setting.soundSent);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
