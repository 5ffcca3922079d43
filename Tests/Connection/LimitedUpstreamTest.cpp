#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace poplardock {

namespace {

/// The platform's stableWindowMs: time after the first answer with a limit within which all daemons have to keep to it.
constexpr Milliseconds STABLE_WINDOW { 3000 };
/// What an upstream may get in any such time: one and a half times its limit, and some requests more.
constexpr Milliseconds LIMIT_WINDOW { 4000 };
constexpr double LIMIT_OVERAGE = 1.5;
constexpr double LIMIT_SLACK = 5;
constexpr int DAEMONS = 3;
constexpr double LIMIT = 2;

/// Daemons before one engine that names a limit, far below what it would get, and engines that name none.
class LimitedFleet
{
public:
    explicit LimitedFleet(int otherEngines)
        : fleet(DAEMONS, 1 + otherEngines)
    {
        for (const auto &engine : fleet.engines) {
            engine->behaviour().events = 1;
            engine->behaviour().eventPause = Milliseconds(1);
        }
        limited().behaviour().limit = absl::StrCat(LIMIT);
        fleet.runUntil([this] { return isAnswered(0) && !limited().runs().empty(); }, STABLE_WINDOW);
        namedAt = BootClock::now();
    }

    auto limited() -> FakeEngine &
    {
        return *fleet.engines.front();
    }

    auto isAnswered(std::size_t daemon) -> bool
    {
        const auto result = fleet.call(daemon, PlatformFleet::streamRequest("/resumed/x", absl::StrCat("n", count_++), "key1"));
        ++sent;
        const bool isSuccess = result && result->status == 200;
        answered += isSuccess ? 1 : 0;
        return isSuccess;
    }

    /// Sends requests at all daemons in turn for that time.
    auto sendFor(Milliseconds time) -> void
    {
        for (const BootTime end = BootClock::now() + time; BootClock::now() < end;) {
            isAnswered(static_cast<std::size_t>(count_) % fleet.daemons.size());
            fleet.runFor(Milliseconds(5));
        }
    }

    /// The most requests that the limited engine got in any window that began at that time or later.
    auto mostInWindow(BootTime from) -> std::ptrdiff_t
    {
        const std::vector<FakeEngine::Run> runs = limited().runs();
        std::ptrdiff_t most = 0;
        for (const FakeEngine::Run &first : runs) {
            if (first.startedAt >= from) {
                const auto isInside = [&first](const FakeEngine::Run &each) {
                    return each.startedAt >= first.startedAt && each.startedAt - first.startedAt < LIMIT_WINDOW;
                };
                most = std::max(most, std::count_if(runs.begin(), runs.end(), isInside));
            }
        }
        return most;
    }

    /// Requests that the limited engine has got since that time.
    auto countSince(BootTime from) -> std::ptrdiff_t
    {
        const std::vector<FakeEngine::Run> runs = limited().runs();
        return std::count_if(runs.begin(), runs.end(), [from](const FakeEngine::Run &each) { return each.startedAt >= from; });
    }

    static auto allowed() -> double
    {
        return LIMIT_OVERAGE * LIMIT * std::chrono::duration<double>(LIMIT_WINDOW).count() + LIMIT_SLACK;
    }

    PlatformFleet fleet;
    BootTime namedAt;
    int sent = 0;
    int answered = 0;

private:
    int count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LimitedUpstreamSuite)

// Guards against daemons that together send more to an upstream than the limit that it names, and against one that they
// leave alone meanwhile or after it has withdrawn the limit.
BOOST_AUTO_TEST_CASE(DaemonsTogetherKeepToTheLimitOfAnUpstream)
{
    LimitedFleet setting(1);
    setting.sendFor(STABLE_WINDOW + 2 * LIMIT_WINDOW);
    BOOST_TEST(setting.mostInWindow(setting.namedAt + STABLE_WINDOW) <= LimitedFleet::allowed());
    BOOST_TEST(setting.countSince(BootClock::now() - LIMIT_WINDOW) >= LIMIT * 4 / 2);
    BOOST_TEST(setting.answered >= setting.sent * 99 / 100, setting.answered << " of " << setting.sent);
    setting.limited().behaviour().limit.clear();
    setting.sendFor(STABLE_WINDOW);
    const BootTime withdrawn = BootClock::now();
    setting.sendFor(LIMIT_WINDOW);
    BOOST_TEST(setting.countSince(withdrawn) > LimitedFleet::allowed());
}

// Guards against a daemon that forgets a limit by its restart and against a share of it that is used twice.
BOOST_AUTO_TEST_CASE(RestartedDaemonsKeepToTheLimit)
{
    LimitedFleet setting(1);
    setting.sendFor(STABLE_WINDOW);
    for (const std::size_t daemon : { 0, 1 }) {
        setting.fleet.killDaemon(daemon);
        const std::size_t restarted = setting.fleet.startDaemon(absl::StrCat("daemon", daemon));
        std::swap(setting.fleet.daemons[daemon], setting.fleet.daemons[restarted]);
        setting.fleet.daemons.pop_back();
        setting.fleet.awaitReady();
        setting.sendFor(LIMIT_WINDOW);
    }
    BOOST_TEST(setting.mostInWindow(setting.namedAt + STABLE_WINDOW) <= LimitedFleet::allowed());
}

// Guards against requests that wait for an upstream that may not get them in time.
BOOST_AUTO_TEST_CASE(WithoutAnotherUpstreamTheExcessIsRefusedAtOnce)
{
    LimitedFleet setting(0);
    setting.sendFor(STABLE_WINDOW + LIMIT_WINDOW);
    BOOST_TEST(setting.mostInWindow(setting.namedAt + STABLE_WINDOW) <= LimitedFleet::allowed());
    BOOST_TEST(setting.countSince(BootClock::now() - LIMIT_WINDOW) >= LIMIT * 4 / 2);
    const BootTime before = BootClock::now();
    const auto refusal = setting.fleet.call(0, PlatformFleet::streamRequest("/resumed/x", "first", "key1"));
    const auto other = setting.fleet.call(0, PlatformFleet::streamRequest("/resumed/x", "second", "key1"));
    const auto third = setting.fleet.call(0, PlatformFleet::streamRequest("/resumed/x", "third", "key1"));
    BOOST_TEST((BootClock::now() - before < Milliseconds(200)));
    BOOST_REQUIRE((refusal && other && third));
    BOOST_TEST(third->status == HttpStatus::UNAVAILABLE);
    BOOST_TEST(!third->headers.valueOf("Retry-After").empty());
}

// Guards against batch items that go to a limited upstream beside the online requests that keep to its limit.
BOOST_AUTO_TEST_CASE(BatchItemsKeepToTheLimit)
{
    LimitedFleet setting(0);
    setting.fleet.runFor(STABLE_WINDOW);
    const BootTime from = BootClock::now();
    for (const std::string id : { "a", "b", "c" }) {
        BOOST_REQUIRE(setting.fleet.call(0, PlatformFleet::submission(absl::StrCat("10b", id), 30, "key1")));
    }
    setting.fleet.runFor(2 * LIMIT_WINDOW);
    BOOST_TEST(setting.mostInWindow(from) <= LimitedFleet::allowed());
    BOOST_TEST(setting.countSince(BootClock::now() - LIMIT_WINDOW) >= LIMIT * 4 / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
