#include "Process/Load/UpstreamLimits.h"

#include "Support/DirectoryFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <cmath>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);
/// The platform's stableWindowMs: time within which all daemons that hear each other have to know what one has heard.
constexpr Milliseconds STABLE_WINDOW { 3000 };
/// What an upstream may get in any such time: one and a half times its limit, and some requests more.
constexpr std::chrono::duration<double> LIMIT_WINDOW { 4 };
constexpr double LIMIT_OVERAGE = 1.5;
constexpr double LIMIT_SLACK = 5;

/// Of sums of shares.
constexpr double ROUNDING = 1e-9;

auto allowed(double perSecond) -> double
{
    return LIMIT_OVERAGE * perSecond * LIMIT_WINDOW.count() + LIMIT_SLACK;
}

auto daemonNames(int count) -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        names.push_back(absl::StrCat("d", index));
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamLimitsSuite)

// Guards against shares that allow more together than the limit does, and against shares too small for one request. Load
// pattern: all daemons use up their shares at once, in fleets far larger and far smaller than the limit.
BOOST_AUTO_TEST_CASE(SharesAddUpToTheLimit)
{
    for (const int count : { 1, 2, 6, 67, 400 }) {
        const std::vector<std::string> daemons = daemonNames(count);
        for (const double perSecond : { 0.3, 1.0, 2.5, 20.0, 300.0 }) {
            double most = 0;
            double rate = 0;
            for (const std::string &name : daemons) {
                const LimitShare share = limitShareOf("u1", perSecond, name, daemons, 1);
                BOOST_TEST((share == LimitShare() || share.burst >= 1));
                most += share.burst + share.perSecond * LIMIT_WINDOW.count();
                rate += share.perSecond;
            }
            BOOST_TEST(most <= allowed(perSecond), count << " daemons, limit " << perSecond);
            BOOST_TEST(rate <= perSecond + ROUNDING);
            BOOST_TEST(rate >= perSecond * 0.8);
        }
    }
}

// Guards against a limit that each side of a cut uses whole.
BOOST_AUTO_TEST_CASE(TheSidesOfACutDivideTheLimit)
{
    for (const int count : { 6, 67 }) {
        const std::vector<std::string> daemons = daemonNames(count);
        const auto middle = daemons.begin() + count / 3;
        const std::vector<std::vector<std::string>> sides = { { daemons.begin(), middle }, { middle, daemons.end() } };
        double most = 0;
        for (const auto &side : sides) {
            for (const std::string &name : side) {
                const LimitShare share = limitShareOf("u1", 2, name, side, static_cast<double>(side.size()) / count);
                most += share.burst + share.perSecond * LIMIT_WINDOW.count();
            }
        }
        BOOST_TEST(most <= allowed(2), count << " daemons");
    }
}

// Guards against a daemon that spends a whole share after its restart, which its predecessor may just have spent.
BOOST_AUTO_TEST_CASE(AShareIsEmptyAfterARestart)
{
    UpstreamLimits limits("d0");
    limits.setDaemons({ "d0" }, 1, NOW);
    limits.merge({ { "u1", 1.0, Milliseconds(500) } }, NOW);
    BOOST_TEST((limits.usableAt("u1") > NOW + Milliseconds(900)));
    UpstreamLimits running("d0");
    running.setDaemons({ "d0" }, 1, NOW - std::chrono::minutes(1));
    running.recordStatement("u1", 1.0, NOW);
    BOOST_TEST((running.usableAt("u1") <= NOW));
    int sent = 0;
    for (; running.usableAt("u1") <= NOW; ++sent) {
        running.takeToken("u1", NOW);
    }
    BOOST_TEST(sent <= allowed(1));
    running.recordStatement("u1", {}, NOW);
    BOOST_TEST((running.usableAt("u1") <= NOW));
}

// Guards against a limit that comes back from a daemon that does not know yet that it was withdrawn, and against one that
// stays for ever after its upstream has gone.
BOOST_AUTO_TEST_CASE(TheNewerStatementCounts)
{
    UpstreamLimits limits("d0");
    limits.setDaemons({ "d0", "d1" }, 1, NOW);
    limits.recordStatement("u1", 0.0, NOW);
    BOOST_TEST((limits.usableAt("u1") > NOW));
    const auto old = limits.states(NOW);
    BOOST_TEST(old.size() == 1);
    limits.recordStatement("u1", {}, NOW + Milliseconds(500));
    limits.merge(old, NOW + Milliseconds(50));
    BOOST_TEST((limits.usableAt("u1") <= NOW + Milliseconds(500)));
    limits.recordStatement("u2", 1.0, NOW);
    limits.removeExpired(NOW + std::chrono::minutes(2));
    BOOST_TEST(limits.states(NOW + std::chrono::minutes(2)).empty());
}

// Guards against state and messages that grow with the number of upstreams that have ever named a limit.
BOOST_AUTO_TEST_CASE(LimitsAreBounded)
{
    UpstreamLimits limits("d0");
    for (int number = 0; number < 5000; ++number) {
        limits.recordStatement(absl::StrCat("u", number), 1.0, NOW + Milliseconds(number));
    }
    BOOST_TEST(limits.states(NOW + Milliseconds(5000)).size() <= UpstreamLimits::MAXIMUM_SENT_LIMITS);
    BOOST_TEST((limits.usableAt("u0") == BootTime()));
    BOOST_TEST((limits.usableAt("u4999") != BootTime()));
}

BOOST_AUTO_TEST_CASE(MalformedLimitsAreRejected)
{
    for (const std::string text :
         { "", "u1", "u1 2", "u1 x 3", "u1 -1 3", "u1 inf 3", "u1 nan 3", "u1 2 -3", "u1 2 x", " 2 3", "u1 2 3 4" }) {
        BOOST_TEST(!decodeUpstreamLimit(text).ok(), text);
    }
    for (const UpstreamLimit &limit : { UpstreamLimit { "u1", 2.5, Milliseconds(3) }, UpstreamLimit { "u2", {}, Milliseconds(0) } }) {
        const auto decoded = decodeUpstreamLimit(encodeUpstreamLimit(limit));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == limit));
    }
}

// Guards against a limit that daemons of another data centre do not hear of, and against shares that add up to more than the
// limit after cuts and restarts.
BOOST_AUTO_TEST_CASE(AllDaemonsKeepToALimitAfterCutsAndRestarts)
{
    DirectoryFleet fleet({ "a", "b", "c" }, 5, NOW);
    fleet.run(Milliseconds(4000));
    const auto mostOf = [&fleet](const std::string &left) {
        double most = 0;
        for (const auto &[name, view] : fleet.views) {
            const UpstreamLimits &limits = view.upstreamLimits();
            if (name == left) {
                continue;
            }
            BOOST_TEST((limits.usableAt("u1") != BootTime()), name << " does not know the limit");
            const LimitShare share = limitShareOf("u1", 2, name, view.aliveDaemons(fleet.now()), view.aliveFraction(fleet.now()));
            most += share.burst + share.perSecond * LIMIT_WINDOW.count();
        }
        return most;
    };
    fleet.views.at("a3").upstreamLimits().recordStatement("u1", 2, fleet.now());
    fleet.run(STABLE_WINDOW);
    BOOST_TEST(mostOf("") <= allowed(2));
    fleet.isLost = [](const std::string &from, const std::string &to) {
        return from.front() != to.front() && (from.front() == 'b' || to.front() == 'b');
    };
    fleet.run(STABLE_WINDOW);
    BOOST_TEST(mostOf("") <= allowed(2));
    fleet.isLost = nullptr;
    for (const std::string name : { "c0", "c1" }) {
        fleet.restart(name);
        fleet.run(STABLE_WINDOW);
        BOOST_TEST(mostOf("") <= allowed(2), name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
