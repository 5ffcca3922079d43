#include "Support/LimitedFleet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

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

// Guards against a limit that is forgotten because the upstream, full, declines requests without naming it again.
BOOST_AUTO_TEST_CASE(ADeclinedRequestDoesNotWithdrawTheLimit)
{
    LimitedFleet setting(1);
    setting.sendFor(STABLE_WINDOW);
    setting.limited().behaviour().declines = true;
    setting.sendFor(LIMIT_WINDOW);
    BOOST_TEST(setting.mostInWindow(setting.namedAt + STABLE_WINDOW) <= LimitedFleet::allowed());
}

// Guards against batch items that go to a limited upstream beside the online requests that keep to its limit.
BOOST_AUTO_TEST_CASE(BatchItemsKeepToTheLimit)
{
    LimitedFleet setting(0);
    setting.fleet.runFor(STABLE_WINDOW);
    const BootTime from = BootClock::now();
    for (const std::size_t daemon : { 0, 1, 2 }) {
        BOOST_REQUIRE(setting.fleet.call(daemon, PlatformFleet::submission(absl::StrCat("10b", daemon), 30, "key1")));
    }
    setting.fleet.runFor(2 * LIMIT_WINDOW);
    BOOST_TEST(setting.mostInWindow(from) <= LimitedFleet::allowed());
    BOOST_TEST(setting.countSince(BootClock::now() - LIMIT_WINDOW) >= LIMIT * 4 / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
