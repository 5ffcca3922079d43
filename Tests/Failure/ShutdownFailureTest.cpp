#include "Request/ResultCode.h"
#include "Support/CallerLoad.h"
#include "Support/ProcessFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <sys/wait.h>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t DAEMONS = 4;
/// Sentence 11 of the design.
constexpr Milliseconds LEAVE_LIMIT { 3000 };
/// A stopping daemon accepts connections for this long after its health check turned negative.
constexpr Milliseconds BALANCER_GRACE { 2000 };
/// Share of the store calls of a daemon (section 10 of the design).
constexpr double CALLS_PER_SECOND = 20;
constexpr double CALL_BURST = 100;

struct ShutdownFixture
{
    ShutdownFixture()
    {
        for (int upstream = 0; upstream < 3; ++upstream) {
            fleet.addUpstream({ false, { "--token-ms", "10" } });
        }
        fleet.addUpstream({ true, {} });
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            fleet.addDaemon({});
        }
        fleet.apply(0, fleet.configuration());
        BOOST_REQUIRE(fleet.awaitServing());
    }

    auto startLoad(std::size_t daemon, double perSecond) const -> std::unique_ptr<CallerLoad>
    {
        return std::make_unique<CallerLoad>(
            fleet.callersAddress(daemon),
            CallerLoad::Options {
                KEY_ANNA, "/v1/chat/completions", absl::StrCat("load-", daemon), perSecond, 8, 10, false, Milliseconds(10000) });
    }

    auto isHealthy(std::size_t daemon) const -> bool
    {
        return fleet.call(daemon, { "GET", "/healthz", {}, {}, Milliseconds(1000) }).status == 200;
    }

    auto storeCalls() const -> std::uint64_t
    {
        const JsonObject::Ptr stats = fleet.platformStats();
        std::uint64_t sum = 0;
        for (const std::string &name : stats->getNames()) {
            sum += stats->getValue<std::uint64_t>(name);
        }
        return sum;
    }

    ProcessFleet fleet;
};

/// The caller could not connect, so that a balancer may send the request elsewhere.
auto isRefusedConnection(const FleetAnswer &answer) -> bool
{
    return answer.status == 0 && absl::StrContains(answer.body, "Connection refused");
}

/// A daemon that was frozen may refuse work while what it knows is old, if it says that the work has not run.
auto hasHonestAnswer(const FleetAnswer &answer) -> bool
{
    return answer.isOk() || (answer.status == 503 && answer.run == "not_run");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShutdownFailureSuite, ShutdownFixture)

// Guards against new work for an upstream that an operator has marked as leaving.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNoNewWork)
{
    std::vector<std::unique_ptr<CallerLoad>> loads;
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        loads.push_back(startLoad(daemon, 20));
    }
    BOOST_REQUIRE(ProcessFleet::await([this] { return fleet.received(0).size() > 20; }));
    const FleetAnswer answer = fleet.operate(1, { "POST", "/config/upstreams/u0/leave", {}, {}, Milliseconds(10000) });
    BOOST_TEST(answer.isOk(), answer.body);
    std::this_thread::sleep_for(LEAVE_LIMIT);
    const std::size_t received = fleet.received(0).size();
    const std::size_t others = fleet.received(1).size() + fleet.received(2).size();
    std::this_thread::sleep_for(Milliseconds(3000));
    BOOST_TEST(fleet.received(0).size() == received);
    BOOST_TEST(fleet.received(1).size() + fleet.received(2).size() > others + 100);
    for (const auto &load : loads) {
        load->stop();
        BOOST_TEST(load->countsByCode().size() == 1U, "outcomes: " << describeCounts(load->countsByCode()));
    }
}

// Guards against requests and streams that a graceful shutdown cuts, and duties that nobody takes over.
BOOST_AUTO_TEST_CASE(GracefulShutdownCutsNoRequest)
{
    // The daemon with most duties: the home of both the team and an upstream, if there is one.
    const std::size_t leaving = fleet.homeOf("anna", 0);
    const std::size_t other = (leaving + 1) % DAEMONS;
    std::vector<StreamRecord> streams(6);
    std::vector<std::jthread> threads;
    threads.reserve(streams.size());
    for (StreamRecord &stream : streams) {
        threads.emplace_back([&] { stream = fleet.streamChat(leaving, KEY_ANNA, "long", 400); });
    }
    const auto load = startLoad(leaving, 40);
    const auto otherLoad = startLoad(other, 20);
    BOOST_REQUIRE(ProcessFleet::await([&] { return load->outcomes().size() > 40; }));
    const TimePoint termAt = Clock::now();
    fleet.daemonProcess(leaving).signal(SIGTERM);
    // The balancer stops sending once the health check turns negative.
    BOOST_TEST(ProcessFleet::await([&] { return !isHealthy(leaving); }, BALANCER_GRACE));
    load->stop();
    threads.clear();
    const auto status = fleet.daemonProcess(leaving).awaitExit(Milliseconds(30000));
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST((WIFEXITED(*status) && WEXITSTATUS(*status) == 0));
    BOOST_TEST_MESSAGE("the process ended " << std::chrono::duration<double>(Clock::now() - termAt).count() << " s after SIGTERM");
    for (const StreamRecord &stream : streams) {
        BOOST_TEST(stream.isComplete);
    }
    for (const CallOutcome &outcome : load->outcomes()) {
        // On a busy host the load can go on beyond the grace; its connections may be refused then, and never be reset.
        const bool isRefusedLate = isRefusedConnection(outcome.answer) && outcome.endedAt >= termAt + BALANCER_GRACE;
        BOOST_TEST((outcome.answer.isOk() || isRefusedLate),
                   absl::StrCat(outcome.id, ": ", outcome.answer.status, " ", outcome.answer.body));
    }
    // The allowance was handed over, so that the team is served elsewhere without a wait.
    BOOST_TEST(fleet.chat(other, KEY_ANNA, "after").status == 200);
    otherLoad->stop();
    BOOST_TEST_MESSAGE("at another daemon: " << describeCounts(otherLoad->countsByCode()));
    for (const CallOutcome &outcome : otherLoad->outcomes()) {
        BOOST_TEST(outcome.answer.isOk(), absl::StrCat(outcome.id, ": ", outcome.answer.status, " ", outcome.answer.body));
    }
    BOOST_TEST(fleet.members(other).find(absl::StrCat("d", leaving)) == nullptr);
}

// Guards against connections that the kernel accepts while a stopping daemon is frozen, and that are reset when it ends.
BOOST_AUTO_TEST_CASE(ADaemonFrozenInItsGraceAnswersWhatTheKernelAccepted)
{
    constexpr std::size_t CALLERS = 24;
    const std::size_t leaving = (fleet.homeOf("anna", 0) + 1) % DAEMONS;
    StreamRecord stream;
    std::jthread streaming([&] { stream = fleet.streamChat(leaving, KEY_ANNA, "long", 600); });
    BOOST_REQUIRE(ProcessFleet::await([this] { return fleet.receivedCount("long") == 1; }));
    fleet.daemonProcess(leaving).signal(SIGTERM);
    BOOST_REQUIRE(ProcessFleet::await([&] { return !isHealthy(leaving); }, BALANCER_GRACE));
    fleet.daemonProcess(leaving).signal(SIGSTOP);
    std::vector<FleetAnswer> answers(CALLERS);
    std::vector<std::jthread> threads;
    threads.reserve(CALLERS);
    for (FleetAnswer &answer : answers) {
        threads.emplace_back([&] { answer = fleet.chat(leaving, KEY_ANNA, "short"); });
    }
    std::this_thread::sleep_for(BALANCER_GRACE + Milliseconds(1000));
    fleet.daemonProcess(leaving).signal(SIGCONT);
    threads.clear();
    // Callers that come after the grace are refused at once, and neither wait nor lose a request.
    const auto lateLoad = startLoad(leaving, 20);
    streaming.join();
    const auto status = fleet.daemonProcess(leaving).awaitExit(Milliseconds(30000));
    lateLoad->stop();
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST((WIFEXITED(*status) && WEXITSTATUS(*status) == 0));
    BOOST_TEST(stream.isComplete);
    for (const FleetAnswer &answer : answers) {
        BOOST_TEST(hasHonestAnswer(answer), absl::StrCat(answer.status, " ", answer.body));
    }
    for (const CallOutcome &outcome : lateLoad->outcomes()) {
        BOOST_TEST((hasHonestAnswer(outcome.answer) || isRefusedConnection(outcome.answer)),
                   absl::StrCat(outcome.id, ": ", outcome.answer.status, " ", outcome.answer.body));
    }
}

// Guards against online work that stops with the store, calls without a limit, and a herd when it returns.
BOOST_AUTO_TEST_CASE(StoreOutageLeavesOnlineWorkAlone)
{
    std::vector<std::unique_ptr<CallerLoad>> loads;
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        loads.push_back(startLoad(daemon, 15));
    }
    std::this_thread::sleep_for(Milliseconds(2000));
    const std::uint64_t callsBefore = storeCalls();
    const TimePoint outageAt = Clock::now();
    fleet.setPlatformFaults(R"({"outage":true})");
    std::this_thread::sleep_for(Milliseconds(9000));
    const std::uint64_t callsInOutage = storeCalls() - callsBefore;
    const double outageSeconds = std::chrono::duration<double>(Clock::now() - outageAt).count();
    BOOST_TEST_MESSAGE("calls in the outage: " << callsInOutage << " in " << outageSeconds << " s from " << DAEMONS << " daemons");
    BOOST_TEST(static_cast<double>(callsInOutage) < DAEMONS * (CALLS_PER_SECOND * outageSeconds + CALL_BURST));
    const FleetAnswer refused = fleet.submitJob(0,
                                                KEY_ANNA,
                                                R"({"job_key":"j","class":"sheets","model":"tiny","due":"2036-01-01T00:00:00Z",)"
                                                R"("repeatable":true,"items":[{"id":"1","body":{"messages":[]}}]})");
    BOOST_TEST(refused.status == 503, refused.body);
    fleet.setPlatformFaults(R"({"outage":false})");
    // Calls in each 100 ms after the return; the breakers try again at times of their own.
    std::uint64_t most = 0;
    std::uint64_t last = storeCalls();
    for (int slot = 0; slot < 20; ++slot) {
        std::this_thread::sleep_for(Milliseconds(100));
        const std::uint64_t now = storeCalls();
        most = std::max(most, now - last);
        last = now;
    }
    BOOST_TEST_MESSAGE("most calls within 100 ms after the return: " << most);
    BOOST_TEST(static_cast<double>(most) < DAEMONS * CALLS_PER_SECOND);
    for (const auto &load : loads) {
        load->stop();
        BOOST_TEST(load->countsByCode().size() == 1U, "outcomes: " << describeCounts(load->countsByCode()));
        BOOST_TEST(load->countsByCode().contains(0));
        BOOST_TEST(load->crossedAnswers().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
