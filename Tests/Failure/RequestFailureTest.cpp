#include "Request/ResultCode.h"
#include "Support/FleetChecks.h"
#include "Support/ProcessFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <map>
#include <thread>

namespace poplardock {

namespace {

struct RequestFixture
{
    RequestFixture()
    {
        fleet.addUpstream({ true, {} });
        fleet.addUpstream({ true, {} });
        fleet.addUpstream({ false, {} });
        fleet.addUpstream({ false, {} });
        fleet.addUpstream({ false, {} });
        for (int daemon = 0; daemon < 3; ++daemon) {
            fleet.addDaemon({});
        }
        fleet.apply(0, fleet.configuration());
        BOOST_REQUIRE(fleet.awaitServing());
    }

    auto startLoad(std::size_t daemon, const std::string &path, const std::string &prefix, bool hasKeys) const
        -> std::unique_ptr<CallerLoad>
    {
        return std::make_unique<CallerLoad>(fleet.callersAddress(daemon),
                                            CallerLoad::Options { KEY_ANNA, path, prefix, 30, 4, 2, hasKeys, Milliseconds(5000) });
    }

    auto resend(std::size_t daemon, const std::string &id) const -> FleetAnswer
    {
        return fleet.call(daemon,
                          { "POST",
                            "/holds/keyed",
                            absl::StrCat(R"({"id":")", id, R"("})"),
                            { { "Authorization", absl::StrCat("Bearer ", KEY_ANNA) }, { "Idempotency-Key", id } },
                            Milliseconds(5000) });
    }

    ProcessFleet fleet;
    std::mt19937_64 random { testSeed() };
};

} // namespace

// Guards against a request that may not be repeated and runs twice, and against refusals as "not run" of requests that
// did run: under connection resets, a killed upstream, a killed daemon and callers that send again.
BOOST_FIXTURE_TEST_CASE(NonRepeatableRequestsRunAtMostOnce, RequestFixture)
{
    std::vector<std::unique_ptr<CallerLoad>> loads;
    for (std::size_t daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
        loads.push_back(startLoad(daemon, "/holds/plain", absl::StrCat("plain-", daemon), false));
        loads.push_back(startLoad(daemon, "/holds/keyed", absl::StrCat("keyed-", daemon), true));
        loads.push_back(startLoad(daemon, "/v1/chat/completions", absl::StrCat("chat-", daemon), false));
    }
    for (int round = 0; round < 6; ++round) {
        const std::size_t upstream = random() % fleet.upstreamCount();
        fleet.setUpstreamFaults(upstream, absl::StrCat(R"({"reset_requests":)", 1 + random() % 5, "}"));
        std::this_thread::sleep_for(Milliseconds(500));
    }
    const std::size_t victim = random() % fleet.daemonCount();
    fleet.daemonProcess(victim).kill();
    std::this_thread::sleep_for(Milliseconds(1000));
    fleet.setPlatformFaults(R"({"lose_write_answers":4})");
    std::this_thread::sleep_for(Milliseconds(1000));
    std::vector<CallOutcome> outcomes;
    std::map<int, int> counts;
    for (const auto &load : loads) {
        load->stop();
        BOOST_TEST(load->crossedAnswers().empty());
        for (const CallOutcome &outcome : load->outcomes()) {
            outcomes.push_back(outcome);
            ++counts[outcome.answer.status == 0 ? -1 : outcome.answer.code];
        }
    }
    BOOST_TEST_MESSAGE("outcomes: " << describeCounts(counts));

    // Callers without a full answer send the request again, with the same idempotency key, to another daemon.
    const std::size_t other = (victim + 1) % fleet.daemonCount();
    int resent = 0;
    for (const CallOutcome &outcome : outcomes) {
        if (absl::StartsWith(outcome.id, "keyed-") && !outcome.answer.isOk() && resent < 40) {
            ++resent;
            const FleetAnswer answer = resend(other, outcome.id);
            BOOST_TEST((!answer.isOk() || absl::StrContains(answer.body, outcome.id)), answer.body);
        }
    }
    BOOST_TEST_MESSAGE(resent << " requests sent again");
    BOOST_TEST(resent > 0);

    const Deliveries deliveries(fleet);
    int holds = 0;
    for (const CallOutcome &outcome : outcomes) {
        const bool isHold = !absl::StartsWith(outcome.id, "chat-");
        holds += isHold ? deliveries.countOf(outcome.id) : 0;
        // A keyed request that was refused as not run may have run when it was sent again.
        const bool mayRunLater = absl::StartsWith(outcome.id, "keyed-") && outcome.answer.run == "not_run";
        for (const std::string &fault : findRequestFaults({ outcome }, deliveries, !isHold)) {
            BOOST_TEST((mayRunLater && deliveries.countOf(outcome.id) == 1), fault);
        }
        BOOST_TEST((!outcome.answer.isOk() || deliveries.countOf(outcome.id) >= 1), outcome.id << " was answered and never ran");
    }
    BOOST_TEST(holds > 100);
}

// Guards against a caller's key that reaches an upstream in any header, under any spelling.
BOOST_FIXTURE_TEST_CASE(NoUpstreamSeesACallersKey, RequestFixture)
{
    const std::vector<std::map<std::string, std::string>> variants = {
        { { "Authorization", absl::StrCat("Bearer ", KEY_ANNA) } },
        { { "authorization", absl::StrCat("bearer ", KEY_ANNA) } },
        { { "AUTHORIZATION", absl::StrCat("Bearer  ", KEY_ANNA) } },
        { { "Authorization", absl::StrCat("Bearer ", KEY_ANNA) }, { "Connection", "Authorization" } },
    };
    int answered = 0;
    for (const auto &headers : variants) {
        for (std::size_t daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
            const FleetAnswer answer = fleet.call(daemon, { "POST", "/lookups/key", R"({"id":"k."})", headers, Milliseconds(5000) });
            answered += answer.isOk() ? 1 : 0;
            const StreamRecord stream = fleet.streamChat(daemon, KEY_ANNA, "key", 2);
            answered += stream.isComplete ? 1 : 0;
        }
    }
    BOOST_TEST(answered > 0);
    const Deliveries deliveries(fleet);
    BOOST_TEST(deliveries.headers().size() >= static_cast<std::size_t>(answered));
    for (const std::string &headers : deliveries.headers()) {
        BOOST_TEST(!absl::StrContains(headers, KEY_ANNA), headers);
        BOOST_TEST(!absl::StrContains(headers, KEY_BERT), headers);
        BOOST_TEST(absl::StrContains(headers, "credential-of-"), headers);
    }
}

// Guards against a request that kills one upstream after the other, through any daemon.
BOOST_FIXTURE_TEST_CASE(CrashingRequestCostsAtMostTwoUpstreams, RequestFixture)
{
    for (std::size_t upstream = 2; upstream < fleet.upstreamCount(); ++upstream) {
        fleet.setUpstreamFaults(upstream, R"({"crash_on":"POISON"})");
    }
    int crashes = 0;
    int refused = 0;
    for (int attempt = 0; attempt < 12; ++attempt) {
        const FleetAnswer answer = fleet.chat(static_cast<std::size_t>(attempt) % fleet.daemonCount(), KEY_ANNA, "POISON");
        BOOST_TEST(!answer.isOk());
        refused += answer.code == static_cast<int>(ResultCode::RequestCrashesUpstreams) ? 1 : 0;
        for (std::size_t upstream = 2; upstream < fleet.upstreamCount(); ++upstream) {
            if (fleet.upstreamProcess(upstream).awaitExit(Milliseconds(0))) {
                ++crashes;
                fleet.restartUpstream(upstream);
                fleet.setUpstreamFaults(upstream, R"({"crash_on":"POISON"})");
            }
        }
        // The caller sends it again after the second that Retry-After names; peers exchange once a second.
        std::this_thread::sleep_for(Milliseconds(1500));
    }
    BOOST_TEST_MESSAGE(crashes << " upstreams crashed, " << refused << " requests refused");
    BOOST_TEST(crashes <= 2);
    BOOST_TEST(crashes > 0);
    BOOST_TEST(refused > 0);
    BOOST_TEST(fleet.chat(0, KEY_ANNA, "harmless").status == 200);
}

} // namespace poplardock
