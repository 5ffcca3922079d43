#include "Process/Load/ColdUpstreams.h"

#include "Support/DirectoryFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);
constexpr Milliseconds SECOND { 1000 };
constexpr Milliseconds START_TIME { 8000 };
/// The bound of the example in the platform's settings: 1.5 times 9.8, and 5.
constexpr double LIMIT = 9.8;
constexpr double BOUND = 1.5 * LIMIT + 5;

auto policies() -> std::map<std::string, ColdPolicy>
{
    return { { "models", { START_TIME, LIMIT, BOUND } } };
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

/// A daemon that has run for long and knows one warm upstream, "u1".
auto makeDaemon(const std::string &name, const std::vector<std::string> &daemons) -> ColdUpstreams
{
    ColdUpstreams cold(name);
    cold.setPolicies(policies());
    cold.setDaemons(daemons, daemons.size(), NOW - std::chrono::minutes(1));
    cold.recordEntry("u1", "models", 1, Milliseconds(0), true, NOW - std::chrono::minutes(1));
    return cold;
}

/// Daemons that all have more requests for one upstream than they may send. A request is sent some time after it was given to
/// the upstream, as if its connection had to be opened first.
class ColdFleet
{
public:
    ColdFleet(int count, unsigned seed)
        : names_(daemonNames(count))
        , random_(seed)
    {
        for (const std::string &name : names_) {
            daemons_.emplace(name, makeDaemon(name, names_));
        }
    }

    /// "hears": all others, or only this one, as when it is cut off.
    auto setHearing(const std::string &name, bool hears) -> void
    {
        isCutOff_[name] = !hears;
    }

    auto restart(const std::string &name) -> void
    {
        ColdUpstreams cold(name);
        cold.setPolicies(policies());
        cold.setDaemons(names_, names_.size(), now_);
        cold.recordEntry("u1", "models", 2, START_TIME, true, now_);
        daemons_.erase(name);
        daemons_.emplace(name, std::move(cold));
        std::erase_if(waiting_, [&name](const Waiting &each) { return each.daemon == name; });
    }

    auto freeze(const std::string &name, Milliseconds time) -> void
    {
        frozenUntil_[name] = now_ + time;
    }

    /// Has the upstream start anew; each daemon learns of it some time later and knows the former one no longer.
    auto startUpstream(Milliseconds latest) -> void
    {
        for (const std::string &name : names_) {
            learnsAt_[name] = now_ + Milliseconds(random_() % static_cast<unsigned>(latest.count()));
        }
    }

    auto run(Milliseconds time) -> void
    {
        for (const BootTime end = now_ + time; now_ < end; now_ += Milliseconds(5)) {
            for (auto &[name, cold] : daemons_) {
                if (frozenUntil_[name] <= now_) {
                    step(name, cold);
                }
            }
        }
    }

    /// The most requests that were sent within any second of the cold time.
    [[nodiscard]] auto mostInSecond() const -> std::ptrdiff_t
    {
        const auto end = std::lower_bound(sends_.begin(), sends_.end(), NOW + START_TIME);
        std::ptrdiff_t most = 0;
        for (auto first = sends_.begin(); first != end; ++first) {
            most = std::max(most, std::upper_bound(first, end, *first + SECOND) - first);
        }
        return most;
    }

    [[nodiscard]] auto sentCount() const -> std::size_t
    {
        return sends_.size();
    }

    [[nodiscard]] auto names() const -> const std::vector<std::string> &
    {
        return names_;
    }

private:
    struct Waiting
    {
        std::string daemon;
        BootTime reservedAt;
        BootTime sendAt;
    };

    auto step(const std::string &name, ColdUpstreams &cold) -> void
    {
        if ((now_ - NOW) % Milliseconds(100) == BootTime::duration(0)) {
            const bool isAlone = isCutOff_[name];
            cold.setDaemons(isAlone ? std::vector<std::string> { name } : names_, isAlone ? 1 : names_.size(), now_);
        }
        const auto learnsAt = learnsAt_.find(name);
        if (learnsAt != learnsAt_.end()) {
            if (now_ < learnsAt->second) {
                return;
            }
            learnsAt_.erase(learnsAt);
            cold.recordEntry("u1", "models", 2, START_TIME, false, now_);
        }
        for (auto each = waiting_.begin(); each != waiting_.end();) {
            if (each->daemon != name || each->sendAt > now_) {
                ++each;
                continue;
            }
            if (cold.confirm("u1", each->reservedAt, now_)) {
                sends_.push_back(now_);
            }
            each = waiting_.erase(each);
        }
        while (cold.useOf("u1", now_).usableAt <= now_) {
            cold.reserve("u1", now_);
            waiting_.push_back({ name, now_, now_ + Milliseconds(random_() % 400) });
        }
    }

    const std::vector<std::string> names_;
    std::mt19937 random_;
    BootTime now_ = NOW;
    std::map<std::string, ColdUpstreams> daemons_;
    std::map<std::string, bool> isCutOff_;
    std::map<std::string, BootTime> frozenUntil_;
    std::map<std::string, BootTime> learnsAt_;
    std::vector<Waiting> waiting_;
    std::vector<BootTime> sends_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdUpstreamsSuite)

// Guards against quotas that exceed the bound together, and against a limit that is hardly used.
BOOST_AUTO_TEST_CASE(QuotasAddUpToLessThanTheBound)
{
    for (const int count : { 1, 2, 6, 67, 400 }) {
        const std::vector<std::string> daemons = daemonNames(count);
        for (const ColdPolicy &policy : { ColdPolicy { START_TIME, LIMIT, BOUND },
                                          ColdPolicy { START_TIME, 2, 8 },
                                          ColdPolicy { START_TIME, 50, 50 },
                                          ColdPolicy { START_TIME, 0.5, 0.75 } }) {
            int quota = 0;
            double rate = 0;
            for (const std::string &name : daemons) {
                const ColdShare share = coldShareOf("u1", policy, name, daemons);
                quota += share.quota;
                rate += share.perSecond;
            }
            BOOST_TEST(quota <= policy.mostPerSecond, count << " daemons, limit " << policy.perSecond);
            BOOST_TEST(rate <= policy.perSecond + 1e-9);
            if (policy.mostPerSecond >= 2) {
                BOOST_TEST(quota >= std::floor(0.8 * policy.perSecond));
                BOOST_TEST(rate >= 0.79 * policy.perSecond);
            }
        }
    }
}

// Guards against a fleet that sends a cold upstream more than the bound within a second while daemons are cut off, frozen and
// restarted, learn late, and wait for connections. Load pattern: every daemon has more requests than it may send.
BOOST_AUTO_TEST_CASE(TheFleetKeepsToTheBoundInEachSecond)
{
    for (unsigned seed = 0; seed < 50; ++seed) {
        for (const int count : { 3, 67 }) {
            std::mt19937 random(seed);
            ColdFleet fleet(count, seed);
            fleet.startUpstream(Milliseconds(1500));
            for (int change = 0; change < 14; ++change) {
                const std::string &name = fleet.names()[random() % fleet.names().size()];
                switch (random() % 4) {
                case 0:
                    fleet.restart(name);
                    break;
                case 1:
                    fleet.freeze(name, Milliseconds(random() % 3000));
                    break;
                default:
                    fleet.setHearing(name, random() % 2 == 0);
                    break;
                }
                fleet.run(Milliseconds(100 + random() % 800));
            }
            BOOST_TEST(fleet.mostInSecond() <= BOUND, "seed " << seed << ", " << count << " daemons: " << fleet.mostInSecond());
        }
    }
}

// Guards against daemons that are all cut off from each other and each take a part that is not theirs, and against a limit that
// is not used although nothing is wrong.
BOOST_AUTO_TEST_CASE(CutOffDaemonsKeepTheirShares)
{
    for (const bool areCutOff : { false, true }) {
        ColdFleet fleet(67, 7);
        fleet.startUpstream(Milliseconds(300));
        for (const std::string &name : fleet.names()) {
            fleet.setHearing(name, !areCutOff);
        }
        fleet.run(START_TIME);
        BOOST_TEST(fleet.mostInSecond() <= BOUND);
        BOOST_TEST(static_cast<double>(fleet.sentCount()) >= 0.6 * LIMIT * 8, fleet.sentCount());
    }
}

// Guards against daemons that restart together and use their quotas a second time.
BOOST_AUTO_TEST_CASE(ARestartedFleetStartsWithEmptyBuckets)
{
    for (unsigned seed = 0; seed < 10; ++seed) {
        for (const int count : { 1, 3, 67 }) {
            ColdFleet fleet(count, seed);
            fleet.startUpstream(Milliseconds(1));
            fleet.run(Milliseconds(450));
            const std::size_t before = fleet.sentCount();
            BOOST_TEST(before > LIMIT);
            for (const std::string &name : fleet.names()) {
                fleet.restart(name);
            }
            fleet.run(Milliseconds(6000));
            BOOST_TEST(fleet.mostInSecond() <= BOUND, "seed " << seed << ", " << count << " daemons: " << fleet.mostInSecond());
            BOOST_TEST(fleet.sentCount() > before + LIMIT);
        }
    }
}

// Guards against requests that were sent shortly before the upstream became cold and are not counted, and against a connection
// that comes so late that its request exceeds the quota.
BOOST_AUTO_TEST_CASE(RequestsBeforeTheColdTimeCount)
{
    ColdUpstreams cold = makeDaemon("d0", { "d0" });
    for (int sent = 0; sent < 30; ++sent) {
        cold.reserve("u1", NOW);
        BOOST_TEST(cold.confirm("u1", NOW, NOW));
    }
    const BootTime later = NOW + Milliseconds(300);
    cold.reserve("u1", later);
    cold.recordAnswer("u1", START_TIME, later);
    BOOST_TEST(!cold.confirm("u1", later, later + Milliseconds(50)));
    BOOST_TEST((cold.useOf("u1", later).usableAt > NOW + SECOND));
}

// Guards against an upstream that is taken for warm although nothing says so, and against a doubt that never ends.
BOOST_AUTO_TEST_CASE(WhatIsNotKnownToBeWarmIsCold)
{
    ColdUpstreams cold = makeDaemon("d0", { "d0" });
    const auto isCold = [&cold](const std::string &upstream, Milliseconds after) {
        return cold.useOf(upstream, NOW + after).isCold;
    };
    BOOST_TEST(!isCold("u1", Milliseconds(0)));
    BOOST_TEST((cold.useOf("u1", NOW) == ColdUpstreams::Use()));
    cold.recordEntry("u2", "models", 5, Milliseconds(0), false, NOW);
    BOOST_TEST(isCold("u2", START_TIME - Milliseconds(1)));
    BOOST_TEST(!isCold("u2", START_TIME));
    BOOST_TEST((cold.useOf("u2", NOW + START_TIME).usableAt != BootTime()));
    BOOST_TEST((cold.useOf("u2", NOW + 2 * START_TIME) == ColdUpstreams::Use()));
    cold.recordEntry("u1", "models", 2, std::nullopt, false, NOW);
    BOOST_TEST(isCold("u1", Milliseconds(0)));
    cold.recordAnswer("u1", Milliseconds(0), NOW);
    BOOST_TEST(!isCold("u1", Milliseconds(0)));
    BOOST_TEST((cold.useOf("u1", NOW).usableAt != BootTime()));
    cold.recordUnreachable("u1", NOW + SECOND);
    cold.recordEntry("u1", "models", 2, Milliseconds(0), false, NOW + 2 * SECOND);
    BOOST_TEST(isCold("u1", SECOND + START_TIME - Milliseconds(1)));
    BOOST_TEST(!isCold("u1", SECOND + START_TIME));
    cold.recordAnswer("u1", {}, NOW + 2 * START_TIME);
    BOOST_TEST(isCold("u1", 3 * START_TIME - Milliseconds(1)));
    BOOST_TEST(!isCold("u1", 3 * START_TIME));
    cold.recordDoubt("u1", "test", NOW + 4 * START_TIME);
    BOOST_TEST(isCold("u1", 4 * START_TIME));
    cold.recordEntry("u1", "models", 2, Milliseconds(0), false, NOW + 4 * START_TIME + Milliseconds(2500));
    BOOST_TEST(!isCold("u1", 4 * START_TIME + Milliseconds(2500)));
}

// Guards against upstreams that are all taken for cold after an outage of the store in which their entries expired, and against
// a daemon without a quota that never learns that an upstream is reachable again.
BOOST_AUTO_TEST_CASE(AKnownRunStaysWarmWhenItsEntryComesBack)
{
    ColdUpstreams cold = makeDaemon("d0", { "d0" });
    cold.recordRemovals([](const std::string &) { return false; }, NOW);
    cold.recordEntry("u1", "models", 1, Milliseconds(0), false, NOW + 5 * SECOND);
    BOOST_TEST((cold.useOf("u1", NOW + 5 * SECOND) == ColdUpstreams::Use()));
    cold.recordUnreachable("u1", NOW + 6 * SECOND);
    cold.recordEntry("u1", "models", 1, Milliseconds(0), false, NOW + 9 * SECOND);
    cold.recordAnswer("u1", {}, NOW + 10 * SECOND);
    BOOST_TEST(!cold.useOf("u1", NOW + 10 * SECOND).isCold);
    cold.removeExpired(NOW + std::chrono::minutes(5));
    BOOST_TEST(!cold.useOf("u1", NOW + std::chrono::minutes(5)).isCold);
}

// Guards against a burst of warm-up requests of all daemons at the moment at which they learn of a cold upstream.
BOOST_AUTO_TEST_CASE(WarmUpRequestsAreSpread)
{
    const std::vector<std::string> daemons = daemonNames(67);
    int sent = 0;
    for (const std::string &name : daemons) {
        ColdUpstreams cold = makeDaemon(name, daemons);
        cold.recordAnswer("u1", START_TIME, NOW);
        for (BootTime now = NOW; now < NOW + 2 * SECOND; now += Milliseconds(20)) {
            if (cold.useOf("u1", now).warmUpAt <= now) {
                cold.reserve("u1", now);
                BOOST_TEST(cold.confirm("u1", now, now));
                ++sent;
            }
        }
    }
    BOOST_TEST(sent <= LIMIT, sent);
    BOOST_TEST(sent >= 1);
}

// Guards against the whole traffic returning to an upstream at the moment at which it is warm.
BOOST_AUTO_TEST_CASE(TheLimitRisesInSteps)
{
    ColdFleet fleet(1, 3);
    fleet.startUpstream(Milliseconds(1));
    fleet.run(START_TIME - Milliseconds(10));
    const std::size_t cold = fleet.sentCount();
    fleet.run(Milliseconds(2000));
    const std::size_t first = fleet.sentCount() - cold;
    BOOST_TEST(static_cast<double>(first) <= 2 * 2 * BOUND, first);
    BOOST_TEST(static_cast<double>(first) >= 2 * LIMIT, first);
}

// Guards against a daemon that ends its cold time by a message that was delayed, and against statements that circulate and move
// the deadline for ever.
BOOST_AUTO_TEST_CASE(StatementsOfOthersOnlyExtendTheColdTime)
{
    ColdUpstreams sender = makeDaemon("d0", { "d0", "d1" });
    ColdUpstreams relay = makeDaemon("d1", { "d0", "d1" });
    sender.recordAnswer("u1", START_TIME, NOW);
    BOOST_REQUIRE(sender.states(NOW).size() == 1);
    relay.merge(sender.states(NOW + Milliseconds(10)), NOW + Milliseconds(30));
    BOOST_TEST(relay.useOf("u1", NOW + Milliseconds(30)).isCold);
    BOOST_TEST(!relay.useOf("u1", NOW + START_TIME + Milliseconds(30)).isCold);
    relay.merge({ { "u1", 1, Milliseconds(100), Milliseconds(0), 1 } }, NOW + SECOND);
    BOOST_TEST(relay.useOf("u1", NOW + 2 * SECOND).isCold);
    relay.merge({ { "u1", 0, std::chrono::hours(1), Milliseconds(0), 1 } }, NOW + SECOND);
    BOOST_TEST(!relay.useOf("u1", NOW + 2 * START_TIME).isCold);
    // Each exchange takes longer than the resolution of statements.
    BootTime now = NOW + Milliseconds(100);
    for (int exchange = 0; exchange < 100; ++exchange) {
        const auto fromRelay = relay.states(now);
        const auto fromSender = sender.states(now);
        now += Milliseconds(200);
        sender.merge(fromRelay, now);
        relay.merge(fromSender, now);
    }
    BOOST_TEST(!sender.useOf("u1", NOW + START_TIME + SECOND).isCold);
    BOOST_TEST(!relay.useOf("u1", NOW + START_TIME + SECOND).isCold);
}

// Guards against a cold state that daemons of another data centre do not hear of, and against quotas that add up to more than the
// bound while a data centre is cut off and after restarts.
BOOST_AUTO_TEST_CASE(AllDataCentresHearOfAColdUpstream)
{
    DirectoryFleet fleet({ "a", "b", "c" }, 7, NOW - std::chrono::minutes(1));
    const auto prepare = [&fleet](ColdUpstreams &cold) {
        cold.setPolicies(policies());
        cold.recordEntry("u1", "models", 1, Milliseconds(0), true, fleet.now());
    };
    for (auto &[name, view] : fleet.views) {
        prepare(view.upstreamLimits().cold());
    }
    fleet.run(Milliseconds(4000));
    const auto quotaOf = [&fleet](const std::string &name) {
        const PeerDirectory &view = fleet.views.at(name);
        return coldShareOf("u1", policies().at("models"), name, view.knownDaemons(fleet.now())).quota;
    };
    const auto totalQuota = [&fleet, &quotaOf] {
        int total = 0;
        for (const auto &[name, view] : fleet.views) {
            total += quotaOf(name);
        }
        return total;
    };
    const auto before = totalQuota();
    fleet.views.at("a3").upstreamLimits().cold().recordAnswer("u1", START_TIME, fleet.now());
    fleet.run(Milliseconds(1000));
    for (const auto &[name, view] : fleet.views) {
        BOOST_TEST(view.upstreamLimits().cold().useOf("u1", fleet.now()).isCold, name);
    }
    fleet.isLost = [](const std::string &from, const std::string &to) {
        return from.front() != to.front() && (from.front() == 'b' || to.front() == 'b');
    };
    fleet.run(Milliseconds(20000));
    BOOST_TEST(totalQuota() == before);
    BOOST_TEST(before <= BOUND);
    fleet.restart("c1");
    prepare(fleet.views.at("c1").upstreamLimits().cold());
    fleet.run(Milliseconds(1000));
    BOOST_TEST(totalQuota() == before);
    BOOST_TEST(fleet.views.at("c1").upstreamLimits().cold().states(fleet.now()).empty());
}

// Guards against messages and decisions that change although no group has a limit for cold upstreams, and against messages that
// grow with the number of cold upstreams.
BOOST_AUTO_TEST_CASE(StatementsAreBoundedAndOffWithoutALimit)
{
    ColdUpstreams cold = makeDaemon("d0", { "d0" });
    for (int number = 0; number < 500; ++number) {
        cold.recordEntry(absl::StrCat("u", number), "models", 9, START_TIME, false, NOW);
    }
    BOOST_TEST(cold.states(NOW).size() == ColdUpstreams::MAXIMUM_SENT_STATEMENTS);
    cold.setPolicies({ { "models", { START_TIME, 0, 5 } } });
    BOOST_TEST(!cold.isEnabled());
    BOOST_TEST(cold.states(NOW).empty());
    BOOST_TEST(cold.coldCount(NOW) == 0);
    BOOST_TEST((cold.useOf("u7", NOW) == ColdUpstreams::Use()));
    for (int sent = 0; sent < 100; ++sent) {
        cold.reserve("u7", NOW);
        BOOST_TEST(cold.confirm("u7", NOW, NOW));
    }
}

// Guards against cold states that are taken from malformed messages of other daemons, and fields lost on their way.
BOOST_AUTO_TEST_CASE(MalformedStatementsAreRejected)
{
    for (const std::string text :
         { "", "u1", "u1 1 2 3", "u1 x 2 3 1", "u1 1 -2 3 1", "u1 1 2 -3 1", "u1 1 2 3 4", " 1 2 3 1", "u1 1 2 3 1 5" }) {
        BOOST_TEST(!decodeColdStatement(text).ok(), text);
    }
    const ColdStatement statement { "u1", 1700000000000, Milliseconds(5), Milliseconds(7), 2 };
    const auto decoded = decodeColdStatement(encodeColdStatement(statement));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == statement));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
