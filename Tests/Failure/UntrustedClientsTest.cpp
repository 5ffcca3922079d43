#include "Fakes/FakeEngine.h"
#include "Fakes/FakeObjectStore.h"
#include "Support/ChildProcess.h"
#include "Support/FreePort.h"
#include "Support/PlatformFleet.h"
#include "Support/TestEnvironment.h"
#include "Support/UntrustedCrowd.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

// Guards against clients that end a front daemon, or make it hang, by what they make it hold: unfinished, oversized and
// many bodies at once. The smallest VM has 112 MB.

namespace poplardock {

namespace {

constexpr std::uint64_t MEBIBYTE = 1U << 20U;
/// The settings of the test; both are the bounds that are checked.
constexpr std::uint64_t MEMORY_MB = 112;
constexpr std::size_t MAX_FDS = 160;
/// The configuration's largest body.
constexpr std::size_t BODY_BYTES = MEBIBYTE;
constexpr int CLIENTS = 200;
/// In chunks of one byte, each of which takes 6 bytes on the wire.
constexpr int ONE_BYTE_CHUNKS = 320 << 10;
constexpr std::size_t CHUNK_BYTES = 64U << 10U;
/// What a client sends at most of a body far over the limit.
constexpr int OVERSIZED_MB = 8;
constexpr Milliseconds START_TIME { 15000 };
/// Time for the crowd to be read. The checks ask nothing about times; this only has to be long enough to do harm.
constexpr Milliseconds CROWD_TIME { 2500 };
/// Time within which an ordinary request is answered, sent again after each rejection.
constexpr Milliseconds ANSWER_TIME { 30000 };
constexpr Milliseconds SAMPLE_PERIOD { 20 };

enum class Endpoint
{
    Route,
    Submission,
    Peers,
    Operators,
};
enum class Kind
{
    WholeBodies,
    AlmostWhole,
    LargeChunks,
    OneByteChunks,
    OversizedDeclared,
    OversizedSent,
};

auto operator<<(std::ostream &stream, Endpoint endpoint) -> std::ostream &
{
    constexpr const char *NAMES[] = { "route", "submission", "peers", "operators" };
    return stream << NAMES[static_cast<int>(endpoint)];
}

auto operator<<(std::ostream &stream, Kind kind) -> std::ostream &
{
    constexpr const char *NAMES[] = { "(a) whole bodies",    "(b) almost whole bodies", "(c) large chunks",
                                      "(d) one-byte chunks", "(e) oversized, declared", "(f) oversized, sent" };
    return stream << NAMES[static_cast<int>(kind)];
}

constexpr Endpoint ENDPOINTS[] = { Endpoint::Route, Endpoint::Submission, Endpoint::Peers, Endpoint::Operators };
constexpr Kind KINDS[]
    = { Kind::WholeBodies, Kind::AlmostWhole, Kind::LargeChunks, Kind::OneByteChunks, Kind::OversizedDeclared, Kind::OversizedSent };

/// A submission of almost the largest size, in fewer than the 200 items that are permitted.
auto largeSubmission() -> std::string
{
    const std::string itemBody = absl::Base64Escape(std::string(4096, 'x'));
    std::string text = R"({"items":[)";
    for (int item = 0; text.size() + itemBody.size() + 200 < BODY_BYTES; ++item) {
        absl::StrAppend(&text, item == 0 ? "" : ",", R"({"id":"i)", item, R"(","path":"/batch/i","body":")", itemBody, R"(","tokens":9})");
    }
    text += "]}";
    return text;
}

/// One front daemon as a process, with a store and an engine that answers nothing while the crowd sends.
class Deployment
{
public:
    explicit Deployment(std::size_t maxFds = MAX_FDS)
        : store(loop)
        , engine(loop, "engine")
        , folder_(std::filesystem::temp_directory_path() / absl::StrCat("poplardock-untrusted-", getpid()))
    {
        std::filesystem::create_directories(folder_);
        store.put("servers", "engine", FakeEngine::entryAt(engine.address(), "ready"));
        store.put("config",
                  "main",
                  absl::StrCat(R"({"version":1,"routes":[
{"name":"plain","host":"shop","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":200,"service":"models","maxAttempts":3},
{"name":"batch","host":"shop","pathPrefix":"/batch/","kind":"batch","timeoutMs":4000,"targetLatencyMs":400,"service":"models","maxAttempts":3,"targetCompletionMs":8000,"retentionS":60}],
"services":[{"name":"models","engine":{"slots":8,"stride":7}}],"tenants":[{"name":"weavers","apiKeys":["key1"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)",
                               BODY_BYTES,
                               R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})"));
        int port = freePort();
        for (int next = freePort(); next != port + 1; next = freePort()) {
            port = next;
        }
        peers = absl::StrCat("127.0.0.1:", port);
        operators = absl::StrCat("127.0.0.1:", port + 1);
        callers = absl::StrCat("127.0.0.1:", freePort());
        ready_ = absl::StrCat("127.0.0.1:", freePort());
        const std::string settings = folder_ / "daemon.conf";
        std::ofstream(settings) << "nodeName=daemon\nzone=east-a\nregion=east\nserves=front\nipAddress=127.0.0.1\ninternalPorts=" << port
                                << "," << port + 1 << "\nlisten.front=" << callers << "\nlisten.ready=" << ready_
                                << "\nplatform.address=" << store.address() << "\nlimits.memoryMb=" << MEMORY_MB
                                << "\nlimits.maxFds=" << maxFds << "\n";
        auto process = ChildProcess::start(
            { binaryFolder() + "/poplardock", { "front" }, { { "POPLARDOCK_CONFIG", settings } }, folder_ / "daemon.log" });
        BOOST_REQUIRE_MESSAGE(process.ok(), process.status().message());
        process_ = *std::move(process);
        BOOST_REQUIRE(isAnswered({ "GET", "/-/ready", {}, {} }, ready_, START_TIME));
        BOOST_REQUIRE(isOrdinaryRequestAnswered(START_TIME));
    }

    /// Sends the call again and again until it is answered with 200.
    auto isAnswered(const HttpCall &call, const std::string &address, Milliseconds time) -> bool
    {
        constexpr Milliseconds CALL_TIME { 3000 };
        constexpr Milliseconds PAUSE { 200 };
        const auto isDone = std::make_shared<bool>(false);
        const BootTime deadline = BootClock::now() + time;
        while (!*isDone && BootClock::now() < deadline) {
            // A pool of its own, so that no kept connection is used.
            ClientPool pool(loop, { { 3000, 3000 }, Milliseconds(2000), Milliseconds(1) });
            HttpClient client(loop, pool);
            const auto isOver = std::make_shared<bool>(false);
            client.call(address, call, BootClock::now() + CALL_TIME, [isDone, isOver](const HttpCallOutcome &outcome) {
                const auto *result = std::get_if<HttpResult>(&outcome);
                *isDone = result != nullptr && result->status == HttpStatus::OK;
                *isOver = true;
            });
            runLoopUntil(
                loop, [isOver] { return *isOver; }, CALL_TIME + PAUSE);
            if (!*isDone) {
                loop.runUntil(BootClock::now() + PAUSE);
            }
        }
        return *isDone;
    }

    auto isOrdinaryRequestAnswered(Milliseconds time) -> bool
    {
        return isAnswered(PlatformFleet::request("/plain/x", absl::StrCat("ordinary-", ++requests_), "key1"), callers, time);
    }

    auto isAlive() -> bool
    {
        return !process_->awaitExit(Milliseconds(0)).has_value();
    }

    auto sample() -> void
    {
        const ProcessUse use = measureProcess(process_->pid(), { callers, peers, operators });
        mostMemory = std::max(mostMemory, use.residentBytes + use.unreadBytes);
        mostResident = std::max(mostResident, use.residentBytes);
        mostDescriptors = std::max(mostDescriptors, use.descriptors);
    }

    EventLoop loop;
    FakeObjectStore store;
    FakeEngine engine;
    std::string callers;
    std::string peers;
    std::string operators;
    /// Resident and unread bytes together.
    std::uint64_t mostMemory = 0;
    std::uint64_t mostResident = 0;
    std::size_t mostDescriptors = 0;

private:
    const std::filesystem::path folder_;
    std::string ready_;
    std::unique_ptr<ChildProcess> process_;
    int requests_ = 0;
};

auto planOf(Endpoint endpoint, Kind kind, const Deployment &deployment) -> UntrustedCrowd::Plan
{
    UntrustedCrowd::Plan plan;
    plan.clients = CLIENTS;
    plan.address = endpoint == Endpoint::Peers       ? deployment.peers
                   : endpoint == Endpoint::Operators ? deployment.operators
                                                     : deployment.callers;
    plan.body = endpoint == Endpoint::Submission ? largeSubmission() : std::string(BODY_BYTES, 'x');
    std::string framing = absl::StrCat("Content-Length: ", plan.body.size());
    const std::string chunk = absl::StrFormat("%x\r\n%s\r\n", CHUNK_BYTES, std::string(CHUNK_BYTES, 'x'));
    switch (kind) {
    case Kind::WholeBodies:
        break;
    case Kind::AlmostWhole:
        plan.body.pop_back();
        break;
    case Kind::LargeChunks:
        framing = "Transfer-Encoding: chunked";
        plan.body = chunk;
        plan.repeats = static_cast<int>(BODY_BYTES / CHUNK_BYTES) - 1;
        plan.tail = chunk.substr(0, chunk.size() / 2);
        break;
    case Kind::OneByteChunks:
        framing = "Transfer-Encoding: chunked";
        plan.body = "1\r\nx\r\n";
        for (int chunks = 1; chunks < 1024; chunks *= 2) {
            plan.body += plan.body;
        }
        plan.repeats = ONE_BYTE_CHUNKS / 1024;
        break;
    case Kind::OversizedDeclared:
        framing = "Content-Length: 1073741824";
        plan.body = std::string(MEBIBYTE, 'x');
        plan.repeats = OVERSIZED_MB;
        break;
    case Kind::OversizedSent:
        framing = "Transfer-Encoding: chunked";
        plan.body = chunk;
        plan.repeats = OVERSIZED_MB * static_cast<int>(MEBIBYTE / CHUNK_BYTES);
        break;
    }
    const std::string path = endpoint == Endpoint::Submission ? "/batch/x" : endpoint == Endpoint::Operators ? "/metrics" : "/plain/x";
    plan.head = [path, framing](int client) {
        return absl::StrCat("POST ",
                            path,
                            " HTTP/1.1\r\nHost: shop\r\nRequest-Id: crowd-",
                            client,
                            "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key1\r\n",
                            framing,
                            "\r\n\r\n");
    };
    return plan;
}

} // namespace

BOOST_DATA_TEST_CASE(UntrustedClientsDoNotExhaustTheProcess,
                     boost::unit_test::data::make(ENDPOINTS) * boost::unit_test::data::make(KINDS),
                     endpoint,
                     kind)
{
    Deployment deployment;
    deployment.engine.behaviour().isSilent = true;
    UntrustedCrowd crowd(deployment.loop, planOf(endpoint, kind, deployment));
    const Timer sampling = deployment.loop.every(SAMPLE_PERIOD, [&deployment] { deployment.sample(); });
    deployment.loop.runUntil(BootClock::now() + CROWD_TIME);
    deployment.engine.behaviour().isSilent = false;
    // The crowd's connections stay open.
    const bool isAnswered = deployment.isOrdinaryRequestAnswered(ANSWER_TIME);
    std::cout << endpoint << " " << kind << ": sent " << crowd.sentBytes() / MEBIBYTE << " MiB, memory at most "
              << deployment.mostMemory / MEBIBYTE << " MiB (resident " << deployment.mostResident / MEBIBYTE << "), descriptors at most "
              << deployment.mostDescriptors << ", ordinary request answered: " << isAnswered << std::endl;
    BOOST_TEST(deployment.isAlive());
    BOOST_TEST(deployment.mostMemory <= MEMORY_MB * MEBIBYTE);
    BOOST_TEST(deployment.mostDescriptors <= MAX_FDS);
    BOOST_TEST(isAnswered);
}

/// Guards against a memory that is bounded only by way of the connections: all clients may connect here.
BOOST_DATA_TEST_CASE(TheMemoryIsBoundedWithManyDescriptors,
                     boost::unit_test::data::make({ Endpoint::Route, Endpoint::Submission })
                         * boost::unit_test::data::make({ Kind::WholeBodies, Kind::AlmostWhole, Kind::LargeChunks, Kind::OneByteChunks }),
                     endpoint,
                     kind)
{
    constexpr std::size_t MANY_FDS = 1000;
    Deployment deployment(MANY_FDS);
    deployment.engine.behaviour().isSilent = true;
    UntrustedCrowd crowd(deployment.loop, planOf(endpoint, kind, deployment));
    const Timer sampling = deployment.loop.every(SAMPLE_PERIOD, [&deployment] { deployment.sample(); });
    deployment.loop.runUntil(BootClock::now() + CROWD_TIME);
    deployment.engine.behaviour().isSilent = false;
    BOOST_TEST(deployment.isOrdinaryRequestAnswered(ANSWER_TIME));
    std::cout << "many descriptors, " << endpoint << " " << kind << ": sent " << crowd.sentBytes() / MEBIBYTE << " MiB, memory at most "
              << deployment.mostMemory / MEBIBYTE << " MiB (resident " << deployment.mostResident / MEBIBYTE << "), descriptors at most "
              << deployment.mostDescriptors << std::endl;
    BOOST_TEST(deployment.isAlive());
    BOOST_TEST(deployment.mostMemory <= MEMORY_MB * MEBIBYTE);
}

/// The smallest VM serves the largest permitted body of the usual configuration in calm, 4 MiB.
BOOST_AUTO_TEST_CASE(TheLargestBodyIsServedInCalm)
{
    Deployment deployment;
    deployment.store.put("config",
                         "main",
                         R"({"version":2,"routes":[
{"name":"plain","host":"shop","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":200,"service":"models","maxAttempts":3}],
"services":[{"name":"models","engine":{"slots":8,"stride":7}}],"tenants":[{"name":"weavers","apiKeys":["key1"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    const Timer sampling = deployment.loop.every(SAMPLE_PERIOD, [&deployment] { deployment.sample(); });
    HttpCall call = PlatformFleet::request("/plain/large", "large", "key1");
    call.body = std::string(4 * MEBIBYTE, 'x');
    BOOST_TEST(deployment.isAnswered(call, deployment.callers, ANSWER_TIME));
    BOOST_TEST(deployment.isAlive());
    BOOST_TEST(deployment.mostMemory <= MEMORY_MB * MEBIBYTE);
}

} // namespace poplardock
