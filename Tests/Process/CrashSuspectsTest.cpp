#include "Process/CrashSuspects.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);
/// Between two crashes of a series.
constexpr Milliseconds STEP { 1500 };

/// A request that no other one equals, with these shared parts.
auto subject(int number, std::vector<std::string> parts) -> CrashSubject
{
    return { crashFingerprint("blue", "/", absl::StrCat(number)), std::move(parts) };
}

auto isRefused(const CrashSuspects &suspects, const CrashSubject &each, BootTime now) -> bool
{
    return suspects.refusedUntil(each, now).has_value();
}

/// States as another daemon gets them.
auto sent(const std::vector<CrashSuspect> &states) -> std::vector<CrashSuspect>
{
    std::vector<CrashSuspect> received;
    for (const CrashSuspect &state : states) {
        const auto decoded = decodeCrashSuspect(encodeCrashSuspect(state));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == state));
        received.push_back(*decoded);
    }
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashSuspectsSuite)

// Guards against a request that crashes one upstream after the other, and against one that is refused for ever.
BOOST_AUTO_TEST_CASE(TwoCrashesRefuseARequestAndExpire)
{
    const CrashSubject request { crashFingerprint("blue", "/v1/chat/completions", "{}"), {} };
    CrashSuspects suspects;
    suspects.recordCrash(request, "u1", NOW);
    BOOST_TEST(!isRefused(suspects, request, NOW));
    suspects.recordCrash(request, "u1", NOW + std::chrono::minutes(5));
    BOOST_TEST(isRefused(suspects, request, NOW + std::chrono::minutes(9)));
    BOOST_TEST(!isRefused(suspects, request, NOW + std::chrono::minutes(10)));
    BOOST_TEST(suspects.crashCount(request.request, NOW + std::chrono::minutes(15)) == 0);
}

// Guards against refusing requests of another team or path whose concatenated text is the same.
BOOST_AUTO_TEST_CASE(FingerprintsOfOtherRequestsDiffer)
{
    BOOST_TEST(crashFingerprint("a", "b", "c") != crashFingerprint("ab", "", "c"));
    BOOST_TEST(crashFingerprint("a", "b", "c") != crashFingerprint("a", "bc", ""));
    BOOST_TEST(crashFingerprint("a", "b", "c") == crashFingerprint("a", "b", "c"));
}

// Guards against counting a crash twice because two daemons saw it or it arrives from two peers, and against peers that
// keep a crash from expiring by sending it to each other.
BOOST_AUTO_TEST_CASE(ACrashIsCountedOnceInTheFleet)
{
    const CrashSubject request { crashFingerprint("blue", "/", "{}"), {} };
    CrashSuspects first;
    CrashSuspects second;
    CrashSuspects third;
    first.recordCrash(request, "u1", NOW);
    second.recordCrash(request, "u1", NOW + Milliseconds(30));
    for (int round = 0; round < 3; ++round) {
        second.merge(sent(first.allStates(NOW)), NOW);
        third.merge(sent(second.allStates(NOW)), NOW);
        third.merge(sent(first.states(NOW)), NOW);
        first.merge(sent(third.states(NOW)), NOW);
    }
    BOOST_TEST(third.crashCount(request.request, NOW) == 1);
    second.recordCrash(request, "u2", NOW);
    third.merge(sent(second.allStates(NOW)), NOW);
    BOOST_TEST(isRefused(third, request, NOW));
    const BootTime later = NOW + std::chrono::minutes(10);
    third.removeExpired(later + Milliseconds(100));
    BOOST_TEST(third.allStates(later).empty());
    first.merge(sent(second.allStates(NOW)), later);
    BOOST_TEST(first.crashCount(request.request, later + std::chrono::minutes(10)) == 0);
}

// Guards against recording crashes from malformed peer messages.
BOOST_AUTO_TEST_CASE(MalformedStatesAreRejected)
{
    for (const std::string text : { "",
                                    "p0123456789abcdef",
                                    "p0123456789abcdef 1 -2",
                                    "p0123456789abcdef x -1",
                                    "q0123456789abcdef 1 -1",
                                    "p0123 1 -1",
                                    "p0123456789abcdef 1 -1 u1",
                                    "p0123456789abcdef 1 -1 u1 r1 -5",
                                    "p0123456789abcdef 1 -1 u1 r1 y",
                                    "p0123456789abcdef 1 -1 u1 0123456789abcdef0 5",
                                    "p0123456789abcdef 1 -1  r1 5" }) {
        BOOST_TEST(!decodeCrashSuspect(text).ok(), text);
    }
    CrashSuspects suspects;
    suspects.merge({ { "short", 1, {}, { { "u1", "r1", Milliseconds(5) } } } }, NOW);
    BOOST_TEST(suspects.allStates(NOW).empty());
}

// Guards against requests that share a prompt part and crash one upstream after the other, each of them new. Load pattern:
// every request is new; two of them lose two upstreams each.
BOOST_AUTO_TEST_CASE(APartIsRefusedAfterThreeCrashesUnderTwoRequests)
{
    CrashSuspects suspects;
    suspects.recordCrash(subject(1, { "shared", "bad" }), "u1", NOW);
    suspects.recordCrash(subject(1, { "shared", "bad" }), "u2", NOW);
    BOOST_TEST(!isRefused(suspects, subject(2, { "shared", "bad" }), NOW));
    suspects.recordCrash(subject(2, { "shared", "bad" }), "u3", NOW);
    BOOST_TEST(isRefused(suspects, subject(3, { "shared", "bad" }), NOW));
    BOOST_TEST(isRefused(suspects, subject(3, { "bad" }), NOW));
    BOOST_TEST(!isRefused(suspects, subject(3, { "shared", "good" }), NOW));
}

// Guards against refusing a part because the same request, repeated by its caller, met several crashes.
BOOST_AUTO_TEST_CASE(RepeatsOfOneRequestDoNotConvictAPart)
{
    CrashSuspects suspects;
    for (const std::string upstream : { "u1", "u2", "u3", "u4" }) {
        suspects.recordCrash(subject(1, { "session" }), upstream, NOW);
    }
    BOOST_TEST(isRefused(suspects, subject(1, { "session" }), NOW));
    BOOST_TEST(!isRefused(suspects, subject(2, { "session" }), NOW));
}

// Guards against refusing sound requests that only ran beside the ones that crash upstreams. Load pattern: each crash takes
// several requests with it, whose callers repeat them; a sound part of few requests meets as many crashes as the limit.
BOOST_AUTO_TEST_CASE(RequestsBesideTheCulpritStayAdmitted)
{
    CrashSuspects suspects;
    for (int crash = 0; crash < 5; ++crash) {
        const BootTime now = NOW + crash * STEP;
        const std::string upstream = absl::StrCat("u", crash);
        suspects.recordCrash(subject(100 + crash, { "shared", "bad" }), upstream, now);
        suspects.recordCrash(subject(1, { "shared", "rare" }), upstream, now);
        if (crash % 2 == 0) {
            suspects.recordCrash(subject(10 + crash, { "shared", "rare" }), upstream, now + Milliseconds(20));
        }
        suspects.recordAnswer(subject(50 + crash, { "shared" }), now + Milliseconds(100));
    }
    const BootTime now = NOW + 5 * STEP;
    BOOST_TEST(isRefused(suspects, subject(200, { "shared", "bad" }), now));
    BOOST_TEST(!isRefused(suspects, subject(200, { "shared", "rare" }), now));
    BOOST_TEST(!isRefused(suspects, subject(1, { "shared", "rare" }), now));
    BOOST_TEST(!isRefused(suspects, subject(10, { "shared", "rare" }), now));
    BOOST_TEST(!isRefused(suspects, subject(200, { "shared" }), now));
}

// Guards against refusing the sound part that all crashing requests happen to share with the crashing one.
BOOST_AUTO_TEST_CASE(OfEqualPartsTheDeeperOneIsRefused)
{
    CrashSuspects suspects;
    for (int crash = 0; crash < 4; ++crash) {
        suspects.recordCrash(subject(crash, { "shared", "bad" }), absl::StrCat("u", crash), NOW);
    }
    BOOST_TEST(isRefused(suspects, subject(9, { "shared", "bad" }), NOW));
    BOOST_TEST(!isRefused(suspects, subject(9, { "shared", "good" }), NOW));
    // With another second part in each request, the first one is left as the cause.
    suspects.recordCrash(subject(5, { "shared", "good" }), "u5", NOW);
    BOOST_TEST(isRefused(suspects, subject(9, { "shared", "other" }), NOW));
}

// Guards against a sound part that is refused for long because a series of crashes met its only requests, and against trials
// that cost many upstreams: one at a time, at growing intervals, and two in all.
BOOST_AUTO_TEST_CASE(ARefusedPartIsTriedAFewTimes)
{
    CrashSuspects suspects;
    const CrashSubject request = subject(9, { "rare" });
    for (int crash = 0; crash < 3; ++crash) {
        suspects.recordCrash(subject(crash, { "rare" }), absl::StrCat("u", crash), NOW);
    }
    BootTime last = NOW;
    for (const Milliseconds wait : { Milliseconds(2000), Milliseconds(30000) }) {
        BOOST_TEST(!suspects.dueTrial(request, last + wait - Milliseconds(1)).has_value());
        const BootTime due = last + wait;
        CrashSuspects other;
        other.merge(sent(suspects.allStates(due)), due);
        const auto trial = suspects.dueTrial(request, due);
        BOOST_REQUIRE(trial.has_value());
        BOOST_TEST((other.dueTrial(subject(10, { "rare" }), due + Milliseconds(400)) == trial));
        // A crash just before the next turn would not be known at its daemon.
        BOOST_TEST(!other.dueTrial(request, due + Milliseconds(900)).has_value());
        BOOST_TEST(isRefused(suspects, request, due));
        BOOST_TEST(suspects.startTrial(*trial, due));
        BOOST_TEST(!suspects.startTrial(*trial, due));
        BOOST_TEST(!suspects.dueTrial(request, due + Milliseconds(900)).has_value());
        // Without an outcome it becomes the turn of another daemon.
        const auto next = suspects.dueTrial(request, due + Milliseconds(1000));
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(next->turn != trial->turn);
        last = due + Milliseconds(300);
        suspects.recordCrash(subject(static_cast<int>(wait.count()), { "rare" }), absl::StrCat("v", wait.count()), last);
    }
    BOOST_TEST(!suspects.dueTrial(request, last + std::chrono::minutes(9)).has_value());
    BOOST_TEST(isRefused(suspects, request, last + std::chrono::minutes(8)));
    BOOST_TEST(!isRefused(suspects, request, last + std::chrono::minutes(10)));
    suspects.recordAnswer(subject(4, { "rare" }), last);
    suspects.recordCrash(subject(5, { "rare" }), "w", last + STEP);
    BOOST_TEST(!isRefused(suspects, request, last + STEP));
}

// Guards against a sound part that is refused for long because many upstreams crashed at once for another reason, and
// against trials by requests that may crash an upstream for another part that is refused too.
BOOST_AUTO_TEST_CASE(APartWithManyCrashesAtOnceIsTriedAgain)
{
    CrashSuspects suspects;
    for (int crash = 0; crash < 20; ++crash) {
        suspects.recordCrash(subject(crash, { "common" }), absl::StrCat("u", crash), NOW + Milliseconds(crash));
    }
    for (int crash = 0; crash < 4; ++crash) {
        suspects.recordCrash(subject(100 + crash, { "bad" }), absl::StrCat("v", crash), NOW);
    }
    const BootTime due = NOW + Milliseconds(2100);
    BOOST_TEST(suspects.dueTrial(subject(50, { "common" }), due).has_value());
    BOOST_TEST(!suspects.dueTrial(subject(51, { "common", "bad" }), due).has_value());
    BOOST_TEST(!suspects.dueTrial(subject(52, { "sound" }), due).has_value());
    suspects.recordAnswer(subject(50, { "common" }), due);
    BOOST_TEST(!isRefused(suspects, subject(53, { "common" }), due));
    BOOST_TEST(isRefused(suspects, subject(54, { "common", "bad" }), due));
}

// Guards against a sound request, asked by many callers in the same words, that is refused for long after two crashes, and
// against one that crashes upstreams and costs more than one of them in ten minutes.
BOOST_AUTO_TEST_CASE(ARefusedRequestIsTriedOnce)
{
    CrashSuspects suspects;
    const CrashSubject request { crashFingerprint("blue", "/", "{}"), {} };
    suspects.recordCrash(request, "u1", NOW);
    suspects.recordCrash(request, "u2", NOW);
    BOOST_TEST(!suspects.dueTrial(request, NOW + std::chrono::seconds(59)).has_value());
    const BootTime due = NOW + std::chrono::seconds(61);
    BOOST_TEST(suspects.dueTrial(request, due).has_value());
    suspects.recordCrash(request, "u3", due);
    BOOST_TEST(!suspects.dueTrial(request, due + std::chrono::minutes(9)).has_value());
}

// Guards against a part that stays refused at one daemon although another one has had an answer to it, and against old
// crashes that come back from a daemon that does not know of the answer yet.
BOOST_AUTO_TEST_CASE(AnAnswerClearsAPartInTheFleet)
{
    CrashSuspects first;
    CrashSuspects second;
    for (int crash = 0; crash < 4; ++crash) {
        first.recordCrash(subject(crash, { "part" }), absl::StrCat("u", crash), NOW);
    }
    const auto old = sent(first.states(NOW));
    second.merge(old, NOW);
    BOOST_TEST(isRefused(second, subject(9, { "part" }), NOW));
    const BootTime later = NOW + STEP;
    first.recordAnswer(subject(8, { "part" }), later);
    second.merge(sent(first.states(later)), later);
    BOOST_TEST(!isRefused(second, subject(9, { "part" }), later));
    second.merge(sent(old), later - STEP);
    first.merge(sent(old), later - STEP);
    BOOST_TEST(!isRefused(first, subject(9, { "part" }), later));
    BOOST_TEST(!isRefused(second, subject(9, { "part" }), later));
}

// Guards against state and messages that grow with the number of crashes. Load pattern: thousands of requests with parts of
// their own run beside requests with one crashing part.
BOOST_AUTO_TEST_CASE(StateAndMessagesAreBounded)
{
    CrashSuspects suspects;
    for (int crash = 0; crash < 400; ++crash) {
        const BootTime now = NOW + Milliseconds(crash);
        const std::string upstream = absl::StrCat("u", crash);
        suspects.recordCrash(subject(crash, { "bad" }), upstream, now);
        for (int other = 0; other < 8; ++other) {
            suspects.recordCrash(subject(1000 + 8 * crash + other, { absl::StrCat("part", crash, "-", other) }), upstream, now);
        }
        BOOST_TEST(suspects.allStates(now).size() <= CrashSuspects::MAXIMUM_SUSPECTS);
    }
    const BootTime now = NOW + std::chrono::seconds(1);
    BOOST_TEST(isRefused(suspects, subject(99999, { "bad" }), now));
    std::size_t sightings = 0;
    for (const CrashSuspect &state : suspects.states(now)) {
        sightings += state.sightings.size();
        BOOST_TEST(state.sightings.size() <= CrashSuspects::MAXIMUM_SIGHTINGS);
    }
    BOOST_TEST(sightings <= CrashSuspects::MAXIMUM_SENT_SIGHTINGS);
    suspects.removeExpired(now + std::chrono::minutes(10));
    BOOST_TEST(suspects.allStates(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
