#include "Process/Load/UpstreamLimits.h"

#include "Support/DirectoryFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>

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

/// Daemons that know the limit of one upstream and lend each other tokens. All tokens are used by the busy ones.
class LendingFleet
{
public:
    LendingFleet(int daemonCount, double perSecond)
        : perSecond_(perSecond)
        , names_(daemonNames(daemonCount))
    {
        for (const std::string &name : names_) {
            restart(name);
        }
    }

    /// Replaces a daemon by one that knows nothing but what the others tell it.
    auto restart(const std::string &name) -> void
    {
        limits_.erase(name);
        UpstreamLimits &limits = limits_.try_emplace(name, name).first->second;
        limits.setDaemons(names_, 1, now_);
        limits.merge({ { "u1", perSecond_, Milliseconds(0) } }, now_);
    }

    auto run(Milliseconds time) -> void
    {
        for (const BootTime end = now_ + time; now_ < end; now_ += UpstreamLimits::LOAN_REQUEST_PERIOD) {
            for (const std::string &name : busy) {
                sendAll(limits_.at(name));
            }
            for (const std::string &name : names_) {
                exchangeLoan(name);
            }
        }
    }

    /// Requests that the upstream has got since that time.
    [[nodiscard]] auto countSince(BootTime from) const -> std::ptrdiff_t
    {
        return std::count_if(sends_.begin(), sends_.end(), [from](BootTime at) { return at >= from; });
    }

    [[nodiscard]] auto mostInWindow() const -> std::ptrdiff_t
    {
        std::ptrdiff_t most = 0;
        for (const BootTime from : sends_) {
            const auto isInside = [from](BootTime at) {
                return at >= from && at - from < LIMIT_WINDOW;
            };
            most = std::max(most, std::count_if(sends_.begin(), sends_.end(), isInside));
        }
        return most;
    }

    [[nodiscard]] auto now() const -> BootTime
    {
        return now_;
    }

    std::vector<std::string> busy;
    /// Called for each message.
    std::function<bool()> isLost = [] {
        return false;
    };
    bool areGrantsDoubled = false;

private:
    auto sendAll(UpstreamLimits &limits) -> void
    {
        while (limits.usableAt("u1") <= now_) {
            limits.takeToken("u1", now_);
            sends_.push_back(now_);
        }
        limits.recordShortage("u1", now_);
    }

    auto exchangeLoan(const std::string &borrower) -> void
    {
        const auto request = limits_.at(borrower).loanRequest(now_);
        if (!request || isLost() || !limits_.at(request->lender).lend(request->upstream, now_) || isLost()) {
            return;
        }
        for (int copy = 0; copy < (areGrantsDoubled ? 2 : 1); ++copy) {
            limits_.at(borrower).addLoan(request->upstream, now_);
        }
    }

    const double perSecond_;
    const std::vector<std::string> names_;
    BootTime now_ = NOW;
    std::map<std::string, UpstreamLimits> limits_;
    std::vector<BootTime> sends_;
};

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

// Guards against a limit that is hardly used because its shares lie with daemons that have no work, and against borrowed
// tokens that add to the limit. Load pattern: a few of many daemons have all the work.
BOOST_AUTO_TEST_CASE(BorrowedTokensStayWithinTheLimit)
{
    for (const int count : { 1, 2, 3, 15, 67 }) {
        for (const double perSecond : { 0.5, 2.0, 20.0 }) {
            for (const bool areManyBusy : { false, true }) {
                LendingFleet fleet(count, perSecond);
                fleet.busy = areManyBusy ? daemonNames(1 + count / 2) : std::vector<std::string> { "d0" };
                fleet.areGrantsDoubled = areManyBusy;
                fleet.run(Milliseconds(30000));
                BOOST_TEST(fleet.mostInWindow() <= allowed(perSecond), count << " daemons, limit " << perSecond);
                BOOST_TEST(static_cast<double>(fleet.countSince(fleet.now() - Milliseconds(20000))) >= perSecond * 20 / 2,
                           count << " daemons, limit " << perSecond << ": " << fleet.countSince(fleet.now() - Milliseconds(20000)));
            }
        }
    }
}

// Guards against tokens that are counted twice when messages are lost or daemons restart while one is on its way.
BOOST_AUTO_TEST_CASE(LossesAndRestartsAddNoTokens)
{
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::mt19937 random(seed);
        LendingFleet fleet(9, 2);
        fleet.busy = { "d0", "d4" };
        fleet.isLost = [&random] {
            return random() % 3 == 0;
        };
        for (int change = 0; change < 20; ++change) {
            fleet.run(Milliseconds(100 + random() % 2000));
            fleet.restart(absl::StrCat("d", random() % 9));
        }
        BOOST_TEST(fleet.mostInWindow() <= allowed(2), "seed " << seed);
    }
}

// Guards against a token that was granted too late, to a daemon that does not need it any more.
BOOST_AUTO_TEST_CASE(ALoanExpires)
{
    UpstreamLimits limits("d0");
    limits.setDaemons({ "d0", "d1" }, 1, NOW);
    limits.merge({ { "u1", 1.0, Milliseconds(0) } }, NOW);
    const auto usableAt = limits.usableAt("u1");
    limits.addLoan("u1", NOW);
    BOOST_TEST((limits.usableAt("u1") == usableAt));
    BOOST_TEST(!limits.loanRequest(NOW));
    limits.recordShortage("u1", NOW);
    BOOST_TEST((limits.loanRequest(NOW) == UpstreamLimits::LoanRequest { "u1", "d1" }));
    limits.addLoan("u1", NOW + Milliseconds(100));
    BOOST_TEST((limits.usableAt("u1") <= NOW + Milliseconds(100)));
    BOOST_TEST(!limits.lend("u1", NOW + Milliseconds(100)));
    static_cast<void>(limits.loanRequest(NOW + Milliseconds(500)));
    BOOST_TEST((limits.usableAt("u1") == usableAt));
    limits.recordShortage("u1", NOW + Milliseconds(500));
    BOOST_TEST(limits.loanRequest(NOW + Milliseconds(500)).has_value());
    limits.addLoan("u1", NOW + Milliseconds(1500));
    BOOST_TEST((limits.usableAt("u1") == usableAt));
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

// Guards against limits that are taken from malformed messages of other daemons, and fields lost on their way.
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

// Guards against daemons that restart at the same moment and each take themselves for the only one.
BOOST_AUTO_TEST_CASE(ARestartedFleetDividesTheLimit)
{
    DirectoryFleet fleet({ "a", "b", "c" }, 5, NOW);
    fleet.run(Milliseconds(4000));
    for (const std::string dataCentre : { "a", "b", "c" }) {
        for (int index = 0; index < 5; ++index) {
            fleet.restart(absl::StrCat(dataCentre, index));
        }
    }
    double most = 0;
    for (const auto &[name, view] : fleet.views) {
        const LimitShare share = limitShareOf("u1", 2, name, view.aliveDaemons(fleet.now()), view.aliveFraction(fleet.now()));
        most += share.burst + share.perSecond * LIMIT_WINDOW.count();
    }
    BOOST_TEST(most <= allowed(2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
