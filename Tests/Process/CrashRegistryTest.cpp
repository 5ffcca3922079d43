#include "Process/CrashRegistry.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

const TimePoint NOW = TimePoint() + std::chrono::hours(1);

} // namespace

BOOST_AUTO_TEST_SUITE(CrashRegistrySuite)

BOOST_AUTO_TEST_CASE(TwoCrashesRefuseAndExpire)
{
    const std::string fingerprint = crashFingerprint("blue", "/v1/chat/completions", "{}");
    CrashRegistry crashes("d1");
    crashes.recordCrash(fingerprint, NOW);
    BOOST_TEST(!crashes.isRefused(fingerprint, NOW));
    crashes.recordCrash(fingerprint, NOW + std::chrono::minutes(5));
    BOOST_TEST(crashes.isRefused(fingerprint, NOW + std::chrono::minutes(9)));
    BOOST_TEST(!crashes.isRefused(fingerprint, NOW + std::chrono::minutes(10)));
    BOOST_TEST(crashes.crashCount(fingerprint, NOW + std::chrono::minutes(15)) == 0);
}

// Guards against refusing requests of another team or path whose concatenated text is the same.
BOOST_AUTO_TEST_CASE(FingerprintsOfOtherRequestsDiffer)
{
    BOOST_TEST(crashFingerprint("a", "b", "c") != crashFingerprint("ab", "", "c"));
    BOOST_TEST(crashFingerprint("a", "b", "c") != crashFingerprint("a", "bc", ""));
    BOOST_TEST(crashFingerprint("a", "b", "c") == crashFingerprint("a", "b", "c"));
}

// Guards against counting a crash twice because it arrives from two peers, and against peers that keep a crash from
// expiring by sending it to each other.
BOOST_AUTO_TEST_CASE(ACrashIsCountedOnceInTheFleet)
{
    const std::string fingerprint = crashFingerprint("blue", "/", "{}");
    CrashRegistry first("d1");
    CrashRegistry second("d2");
    CrashRegistry third("d3");
    first.recordCrash(fingerprint, NOW);
    for (int round = 0; round < 3; ++round) {
        second.merge(*first.toJson(NOW), NOW);
        third.merge(*second.toJson(NOW), NOW);
        third.merge(*first.toJson(NOW), NOW);
        first.merge(*third.toJson(NOW), NOW);
    }
    BOOST_TEST(third.crashCount(fingerprint, NOW) == 1);
    second.recordCrash(fingerprint, NOW);
    third.merge(*second.toJson(NOW), NOW);
    BOOST_TEST(third.isRefused(fingerprint, NOW));
    const TimePoint later = NOW + std::chrono::minutes(10);
    BOOST_TEST(third.toJson(later)->size() == 0U);
    first.merge(*third.toJson(NOW), later);
    BOOST_TEST(first.crashCount(fingerprint, later + std::chrono::minutes(10)) == 0);
}

// Guards against recording crashes from malformed peer messages.
BOOST_AUTO_TEST_CASE(MalformedEntriesAreSkipped)
{
    const std::string fingerprint = crashFingerprint("blue", "/", "{}");
    CrashRegistry crashes("d1");
    for (const std::string &entry : { std::string("7"), std::string("[]"), std::string(R"({"x":"y"})"), std::string(R"({"x":-1})") }) {
        const auto message = Json::parseObject("{\"" + fingerprint + "\":" + entry + ",\"short\":{\"x\":1}}");
        BOOST_REQUIRE(message.ok());
        crashes.merge(**message, NOW);
    }
    BOOST_TEST(crashes.toJson(NOW)->size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
