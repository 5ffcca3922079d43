#include "Request/ResultCode.h"
#include "Support/ProcessFleet.h"
#include "Support/TcpForwarder.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <optional>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t CUT_DAEMON = 3;
constexpr int DAEMONS = 4;
/// Sentences 6 and 13 of the design.
constexpr Milliseconds IN_FORCE_LIMIT { 5000 };
/// A stream longer than any wait of the test.
constexpr int LONG_STREAM = 2000;

/// Four daemons with two upstreams; one daemon reaches the store through a forwarder.
struct ConfigurationFixture
{
    ConfigurationFixture()
    {
        fleet.addUpstream({ false, { "--token-ms", "20" } });
        fleet.addUpstream({ false, { "--token-ms", "20" } });
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            ProcessFleet::DaemonOptions options;
            options.platformAddress = daemon == CUT_DAEMON ? forwarder.address() : "";
            fleet.addDaemon(options);
        }
        fleet.apply(0, fleet.configuration());
        BOOST_REQUIRE(fleet.awaitServing());
    }

    auto revision(std::size_t daemon) const -> std::uint64_t
    {
        return fleet.dump(daemon, "fleet")->optValue<std::uint64_t>("revision", 0);
    }

    auto withdraw(std::size_t daemon, const std::string &keyId) const -> FleetAnswer
    {
        return fleet.operate(daemon, { "POST", absl::StrCat("/config/keys/", keyId, "/withdraw"), {}, {}, Milliseconds(10000) });
    }

    ProcessFleet fleet;
    TcpForwarder forwarder { fleet.platformAddress() };
};

/// Chats over one kept connection until told to stop; records the last time that the key was accepted.
class KeptCaller
{
public:
    KeptCaller(const ProcessFleet &fleet, std::size_t daemon, std::string key)
        : client_(fleet.callersAddress(daemon))
        , key_(std::move(key))
        , thread_([this](const std::stop_token &stop) { run(stop); })
    {
    }

    auto stop() -> void
    {
        thread_.request_stop();
        thread_.join();
    }

    [[nodiscard]] auto accepted() const -> int
    {
        return accepted_;
    }

    /// Precondition: stopped.
    [[nodiscard]] auto lastAcceptedAt() const -> TimePoint
    {
        return lastAcceptedAt_;
    }

private:
    auto run(const std::stop_token &stop) -> void
    {
        while (!stop.stop_requested()) {
            const TimePoint sentAt = Clock::now();
            const CallResult result = client_.call({ "POST",
                                                     "/v1/chat/completions",
                                                     R"({"model":"tiny","max_tokens":1,"messages":[{"role":"user","content":"kept"}]})",
                                                     { { "Authorization", absl::StrCat("Bearer ", key_) } },
                                                     Milliseconds(5000) });
            const auto *answer = std::get_if<HttpResponse>(&result);
            if (answer != nullptr && answer->status == 200) {
                lastAcceptedAt_ = sentAt;
                ++accepted_;
            }
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }

    JsonClient client_;
    const std::string key_;
    std::atomic<int> accepted_ = 0;
    TimePoint lastAcceptedAt_;
    std::jthread thread_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationFailureSuite, ConfigurationFixture)

// Guards against a withdrawn key that goes on working on a kept connection, in a running stream, or on a daemon
// that has lost the store.
BOOST_AUTO_TEST_CASE(WithdrawnKeyStopsEverywhereWithinTheLimit)
{
    std::vector<std::unique_ptr<KeptCaller>> callers;
    std::vector<StreamRecord> streams(DAEMONS);
    std::vector<std::jthread> threads;
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        callers.push_back(std::make_unique<KeptCaller>(fleet, daemon, KEY_ANNA));
        threads.emplace_back([&, daemon] { streams[daemon] = fleet.streamChat(daemon, KEY_ANNA, "stream", LONG_STREAM); });
    }
    BOOST_REQUIRE(ProcessFleet::await(
        [&] { return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->accepted() > 2; }); }));
    forwarder.setCut(true);
    const TimePoint withdrawnAt = Clock::now();
    const FleetAnswer answer = withdraw(0, "anna-1");
    const TimePoint answeredAt = Clock::now();
    BOOST_TEST(answer.isOk(), answer.body);
    BOOST_TEST_MESSAGE("withdrawal answered after " << std::chrono::duration_cast<Milliseconds>(answeredAt - withdrawnAt).count()
                                                    << " ms: " << answer.body);
    std::this_thread::sleep_for(IN_FORCE_LIMIT + Milliseconds(2000));
    threads.clear();
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        callers[daemon]->stop();
        const auto kept = std::chrono::duration_cast<Milliseconds>(callers[daemon]->lastAcceptedAt() - withdrawnAt);
        const auto streamed = std::chrono::duration_cast<Milliseconds>(streams[daemon].lastEventAt - withdrawnAt);
        BOOST_TEST_MESSAGE("d" << daemon << ": last accepted after " << kept.count() << " ms, last event after " << streamed.count()
                               << " ms");
        BOOST_TEST(kept.count() < IN_FORCE_LIMIT.count());
        BOOST_TEST(streams[daemon].events.size() > 1U);
        BOOST_TEST(!streams[daemon].isComplete);
        BOOST_TEST(streamed.count() < IN_FORCE_LIMIT.count());
        // The other team is not affected, except where the store and all peers are out of reach.
        BOOST_TEST(fleet.chat(daemon, KEY_BERT, "other").status == 200);
    }
}

// Guards against a daemon that was paused while a key was withdrawn and then serves requests that waited meanwhile.
BOOST_AUTO_TEST_CASE(ResumedDaemonRefusesAKeyThatWasWithdrawnMeanwhile)
{
    fleet.daemonProcess(CUT_DAEMON).signal(SIGSTOP);
    BOOST_REQUIRE(withdraw(0, "anna-1").isOk());
    std::this_thread::sleep_for(IN_FORCE_LIMIT);
    std::vector<FleetAnswer> answers(8);
    {
        std::vector<std::jthread> callers;
        callers.reserve(answers.size());
        for (FleetAnswer &answer : answers) {
            callers.emplace_back([&] { answer = fleet.chat(CUT_DAEMON, KEY_ANNA, "waiting"); });
        }
        std::this_thread::sleep_for(Milliseconds(1000));
        fleet.daemonProcess(CUT_DAEMON).signal(SIGCONT);
    }
    for (const FleetAnswer &answer : answers) {
        BOOST_TEST(answer.run == "not_run", answer.body);
    }
    BOOST_TEST(ProcessFleet::await([this] { return fleet.chat(CUT_DAEMON, KEY_BERT, "resumed").status == 200; }));
    BOOST_TEST(fleet.chat(CUT_DAEMON, KEY_ANNA, "resumed").code == static_cast<int>(ResultCode::KeyWithdrawn));
    BOOST_TEST(fleet.receivedCount("waiting") == 0);
}

// Guards against a revision that goes back when the store answers with an old root, also at a daemon that starts.
BOOST_AUTO_TEST_CASE(RevisionNeverGoesBack)
{
    BOOST_REQUIRE(withdraw(1, "anna-1").isOk());
    BOOST_REQUIRE(fleet.awaitSettled());
    const std::uint64_t before = revision(0);
    fleet.setPlatformFaults(R"({"stale_reads":true})");
    const TimePoint until = Clock::now() + Milliseconds(3000);
    while (Clock::now() < until) {
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            BOOST_REQUIRE(revision(daemon) >= before);
            BOOST_REQUIRE(fleet.chat(daemon, KEY_ANNA, "stale").status != 200);
        }
    }
    fleet.daemonProcess(2).kill();
    std::jthread restart([this] { fleet.restartDaemon(2); });
    // The daemon cannot join while the store gives old answers; it must not serve the old revision meanwhile.
    std::this_thread::sleep_for(Milliseconds(2000));
    fleet.setPlatformFaults(R"({"stale_reads":false})");
    restart.join();
    BOOST_REQUIRE(fleet.awaitSettled());
    BOOST_TEST(revision(2) >= before);
    // A restarted home of a team starts after its wait.
    BOOST_TEST(ProcessFleet::await([this] { return fleet.chat(2, KEY_BERT, "restarted").status == 200; }));
    BOOST_TEST(fleet.chat(2, KEY_ANNA, "restarted").code == static_cast<int>(ResultCode::KeyWithdrawn));
}

// Guards against a change of one operator that overwrites the change of another one unseen.
BOOST_AUTO_TEST_CASE(RacingOperatorsGetOneWinnerAndOneConflict)
{
    const FleetAnswer current = fleet.operate(0, { "GET", "/config", {}, {}, Milliseconds(5000) });
    const auto expected = current.json()->optValue<std::uint64_t>("configuration_revision", 0);
    std::vector<std::optional<Configuration>> changes(2);
    for (std::size_t number = 0; number < changes.size(); ++number) {
        Configuration::Data data = fleet.configuration();
        data.teams[number].burst = 500 + static_cast<double>(number);
        changes[number] = *Configuration::create(std::move(data));
    }
    std::vector<FleetAnswer> answers(changes.size());
    {
        std::vector<std::jthread> operators;
        for (std::size_t number = 0; number < answers.size(); ++number) {
            operators.emplace_back(
                [&, number] { answers[number] = fleet.tryApply(number, Json::toText(*changes[number]->toJson(false)), expected); });
        }
    }
    const std::size_t winner = answers[0].isOk() ? 0 : 1;
    const FleetAnswer &loser = answers[1 - winner];
    BOOST_TEST(answers[winner].isOk(), answers[winner].body);
    BOOST_TEST(loser.code == static_cast<int>(ResultCode::ConfigurationConflict), loser.body);
    BOOST_REQUIRE(fleet.awaitSettled());
    const std::string inForce = Json::toText(*changes[winner]->toJson(true));
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        const FleetAnswer read = fleet.operate(daemon, { "GET", "/config", {}, {}, Milliseconds(5000) });
        const JsonObject::Ptr configuration = read.json()->getObject("configuration");
        BOOST_REQUIRE_MESSAGE(!configuration.isNull(), read.body);
        BOOST_TEST(Json::toText(*configuration) == inForce);
    }
}

// Guards against an invalid configuration that takes effect in part.
BOOST_AUTO_TEST_CASE(InvalidConfigurationLeavesTheOldOneInForce)
{
    const FleetAnswer before = fleet.operate(0, { "GET", "/config", {}, {}, Milliseconds(5000) });
    const auto expected = before.json()->optValue<std::uint64_t>("configuration_revision", 0);
    const std::string valid = Json::toText(*Configuration::create(fleet.configuration())->toJson(false));
    const std::vector<std::string> documents = { absl::StrCat(valid.substr(0, valid.size() / 2)),
                                                 R"({"default_class":"chat"})",
                                                 absl::StrCat(valid.substr(0, valid.size() - 1), R"(,"weights":{"u0":2}})") };
    for (const std::string &document : documents) {
        const FleetAnswer answer = fleet.tryApply(1, document, expected);
        BOOST_TEST(answer.status == 400, answer.body);
        BOOST_TEST(answer.body.size() > 20U);
    }
    const FleetAnswer after = fleet.operate(0, { "GET", "/config", {}, {}, Milliseconds(5000) });
    BOOST_TEST(after.json()->optValue<std::uint64_t>("configuration_revision", 0) == expected);
    BOOST_TEST(fleet.chat(3, KEY_ANNA, "still valid").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
