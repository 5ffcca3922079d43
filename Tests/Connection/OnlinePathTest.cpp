#include "Connection/OnlinePath.h"

#include "Connection/HttpService.h"
#include "Fakes/FakePlatform.h"
#include "Fakes/FakeUpstream.h"
#include "Process/JsonClient.h"
#include "Request/ChatBody.h"
#include "Support/RawServer.h"

#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

namespace poplardock {

namespace {

constexpr const char *KEY = "key-of-blue";
constexpr const char *CHAT = "/v1/chat/completions";

/// One daemon's online path with its upstreams, without the rest of the daemon.
class Daemon
{
public:
    explicit Daemon(const std::string &platformAddress)
        : store_(platformAddress, "d1", { 1000, 1000 })
    {
        path_.registerRoutes(callers_);
        peers_.add("POST", "/peers/relay", [this](auto &request, auto &response) { path_.handleRelayed(request, response); });
        const HttpService::Options options { 100, 100 };
        callersService_ = *HttpService::start("127.0.0.1:0", options, [this](auto &q, auto &a) { callers_.handle(q, a); });
        peersService_ = *HttpService::start("127.0.0.1:0", options, [this](auto &q, auto &a) { peers_.handle(q, a); });
    }

    auto install(Configuration::Data data) -> void
    {
        FleetVersion version;
        version.revision = ++revision_;
        // A route needs an upstream in its group.
        std::erase_if(data.routes, [&data](const Route &route) {
            return std::none_of(
                data.upstreams.begin(), data.upstreams.end(), [&route](const Upstream &entry) { return entry.group == route.group; });
        });
        version.configuration = *Configuration::create(std::move(data));
        version.members = *MemberTable::create({ { "d1", peersService_->address(), "dc1", "r1", 1, "i1", {} } });
        state.install(std::make_shared<const FleetVersion>(std::move(version)), Clock::now());
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return callersService_->address();
    }
    [[nodiscard]] auto peersAddress() const -> std::string
    {
        return peersService_->address();
    }

    FleetState state { "d1" };
    UpstreamTable upstreams { state };
    RetryBudget budget;
    CrashSuspects crashes;
    Metrics metrics;
    AllowanceDecision allowance = Admitted {};

private:
    StoreClient store_;
    ClaimStore claims_ { store_ };
    OnlinePath path_ { { state, upstreams, budget, crashes, claims_, metrics, [this](const auto &, auto) { return allowance; }, {} } };
    std::uint64_t revision_ = 0;
    Router callers_;
    Router peers_;
    std::unique_ptr<HttpService> callersService_;
    std::unique_ptr<HttpService> peersService_;
};

struct OnlineFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    Daemon daemon { platform->address() };
    std::vector<std::unique_ptr<FakeUpstream>> fakes;
    Configuration::Data data;

    OnlineFixture()
    {
        data.defaultClass = "online";
        data.classes = { { "online", WorkKind::Online, 990, 43 }, { "night", WorkKind::Batch, 0, 0 } };
        data.teams = { { "blue", 10, 10, { { "k1", sha256Hex(KEY), false }, { "k2", sha256Hex("old-key"), true } } },
                       { "red", 10, 10, { { "k3", sha256Hex("key-of-red"), false } } } };
        data.routes = { { "/hold", "stock", "online", false, false },
                        { "/look", "stock", "online", true, false },
                        { "/open", "stock", "online", true, true } };
    }

    auto addUpstream(const std::string &address, UpstreamKind kind) -> void
    {
        const std::string name = absl::StrCat("u", data.upstreams.size());
        const bool isModel = kind == UpstreamKind::Model;
        const std::vector<std::string> models = isModel ? std::vector<std::string> { "m" } : std::vector<std::string>();
        data.upstreams.push_back({ name, address, isModel ? "models" : "stock", kind, models, "upstream-secret", "dc1", false });
    }

    auto addFake(UpstreamKind kind, FakeUpstream::Options options = {}) -> FakeUpstream &
    {
        fakes.push_back(*FakeUpstream::start("127.0.0.1:0", std::move(options)));
        addUpstream(fakes.back()->address(), kind);
        return *fakes.back();
    }

    /// Sends requests to two upstreams, one of which says that it leaves in the way of these faults: it gets one of them.
    auto checkLeaving(const std::string &faults, bool isStreamed) -> void
    {
        constexpr std::size_t CALLS = 40;
        FakeUpstream &leaving = addFake(UpstreamKind::Model);
        FakeUpstream &other = addFake(UpstreamKind::Model);
        daemon.install(data);
        BOOST_REQUIRE(leaving.setFaults(faults).ok());
        for (std::size_t call = 0; call < CALLS; ++call) {
            if (isStreamed) {
                BOOST_TEST(absl::StrContains(stream(chatBody("x", true, 2)), "data: [DONE]"));
            } else {
                send(CHAT, chatBody("x", false, 1));
            }
        }
        BOOST_TEST(leaving.received().size() == 1U);
        BOOST_TEST(other.received().size() == CALLS - 1);
    }

    /// One model and one service, both fast.
    auto installUsual() -> void
    {
        addFake(UpstreamKind::Model, { .prefillMs = 1, .tokenMs = 1 });
        addFake(UpstreamKind::Service);
        daemon.install(data);
    }

    static auto chatBody(const std::string &text, bool isStream, int tokens) -> std::string
    {
        return absl::StrCat(R"({"model":"m","max_tokens":)",
                            tokens,
                            R"(,"stream":)",
                            isStream ? "true" : "false",
                            R"(,"messages":[{"role":"user","content":")",
                            text,
                            R"("}]})");
    }

    auto send(const std::string &path, const std::string &body, std::map<std::string, std::string> headers = {}) -> HttpResponse
    {
        headers.emplace("Authorization", absl::StrCat("Bearer ", KEY));
        JsonClient client(daemon.address());
        const CallResult result = client.call({ "POST", path, body, headers, Milliseconds(60000) });
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(result));
        return std::get<HttpResponse>(result);
    }

    /// Sends a streamed chat and returns all bytes of the answer.
    auto stream(const std::string &body) -> std::string
    {
        return exchangeRaw(daemon.address(), rawRequest("POST", CHAT, authorization(KEY), body), false);
    }

    static auto authorization(const std::string &key) -> std::string
    {
        return absl::StrCat("Authorization: Bearer ", key, "\r\n");
    }

    static auto rawRequest(const std::string &method, const std::string &path, const std::string &headers, const std::string &body)
        -> std::string
    {
        return absl::StrCat(
            method, " ", path, " HTTP/1.1\r\nHost: d\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n", headers, "\r\n", body);
    }

    auto receivedCount() -> std::size_t
    {
        std::size_t count = 0;
        for (const auto &fake : fakes) {
            count += fake->received().size();
        }
        return count;
    }
};

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

/// Waits for something that other threads bring about. The limit only ends a test that has failed.
template<typename Condition>
auto waitUntil(Condition condition) -> bool
{
    const TimePoint limit = Clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (Clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(2));
    }
    return true;
}

struct BadInput
{
    const char *name;
    std::string request;
    int code;
    bool endsEarly = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OnlinePathSuite, OnlineFixture)

// Guards against bad input that reaches an upstream, stops the process, or is refused in another shape.
BOOST_AUTO_TEST_CASE(BadInputGetsItsCode)
{
    installUsual();
    const std::string good = chatBody("x", false, 1);
    const std::string key = authorization(KEY);
    const auto chat = [&](const std::string &headers, const std::string &body) {
        return rawRequest("POST", CHAT, headers, body);
    };
    const std::string noLength = absl::StrCat("POST ", CHAT, " HTTP/1.1\r\nConnection: close\r\n", key);
    const std::string hold = absl::StrCat("POST /hold HTTP/1.1\r\nConnection: close\r\n", key);
    const std::vector<BadInput> inputs {
        { "malformed JSON", chat(key, "{\"model\":"), 1001 },
        { "empty body", chat(key, ""), 1001 },
        { "JSON list", chat(key, "[]"), 1001 },
        { "deep nesting", chat(key, std::string(100000, '[')), 1001 },
        { "no model", chat(key, R"({"messages":[{}]})"), 1002 },
        { "no messages", chat(key, R"({"model":"m","messages":[]})"), 1002 },
        { "message of wrong type", chat(key, R"({"model":"m","messages":["x"]})"), 1002 },
        { "stream of wrong type", chat(key, R"({"model":"m","messages":[{}],"stream":"yes"})"), 1002 },
        { "max_tokens too low", chat(key, R"({"model":"m","messages":[{}],"max_tokens":0})"), 1002 },
        { "announced body too large", absl::StrCat(noLength, "Content-Length: 1048577\r\n\r\n"), 1003 },
        { "headers too large",
          chat(absl::StrCat(
                   key, "X: ", std::string(8000, 'x'), "\r\nY: ", std::string(8000, 'y'), "\r\nZ: ", std::string(8000, 'z'), "\r\n"),
               good),
          1004 },
        { "no length", absl::StrCat(noLength, "\r\n", good), 1004 },
        { "two framings", absl::StrCat(noLength, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 1004 },
        { "two lengths", absl::StrCat(noLength, "Content-Length: 3\r\nContent-Length: 3\r\n\r\n{}x"), 1004 },
        { "two keys", chat(key + authorization("key-of-red"), good), 1004 },
        { "key of another scheme", chat("Authorization: Basic eDp5\r\n", good), 1004 },
        { "idempotency key too long", chat(absl::StrCat(key, "Idempotency-Key: ", std::string(300, 'k'), "\r\n"), good), 1004 },
        { "unknown route", rawRequest("POST", "/nowhere", key, "{}"), 1005 },
        { "unknown model", chat(key, R"({"model":"other","messages":[{}]})"), 1006 },
        { "wrong method", rawRequest("GET", CHAT, key, ""), 1007 },
        { "unused method", rawRequest("TRACE", "/look", key, ""), 1007 },
        { "unknown class", chat(key + "Service-Class: other\r\n", good), 1008 },
        { "batch class", chat(key + "Service-Class: night\r\n", good), 1008 },
        { "truncated body", absl::StrCat(noLength, "Content-Length: 500\r\n\r\n", good), 1009, true },
        { "truncated chunk", absl::StrCat(hold, "Transfer-Encoding: chunked\r\n\r\n5\r\nab"), 1009, true },
        { "no last chunk", absl::StrCat(hold, "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"), 1009, true },
        { "chunked body too large",
          absl::StrCat(hold, "Transfer-Encoding: chunked\r\n\r\n100001\r\n", std::string(1048577, 'x'), "\r\n0\r\n\r\n"),
          1003 },
        { "malformed chunk size", absl::StrCat(hold, "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nzz\r\n{}\r\n0\r\n\r\n"), 1009 },
        { "no key", chat("", good), 2001 },
        { "empty key", chat("Authorization: Bearer \r\n", good), 1004 },
        { "wrong key", chat(authorization("other"), good), 2002 },
        { "withdrawn key", chat(authorization("old-key"), good), 2003 },
        { "no key on a service", rawRequest("POST", "/hold", "", "{}"), 2001 },
    };
    for (const BadInput &input : inputs) {
        const std::string answer = exchangeRaw(daemon.address(), input.request, input.endsEarly);
        BOOST_TEST(contains(answer, absl::StrCat("{\"error\":{\"code\":", input.code, ",")), input.name << ": " << answer);
        BOOST_TEST(contains(answer, "\"run\":\"not_run\""), input.name);
    }
    BOOST_TEST(receivedCount() == 0U);
    BOOST_TEST(send(CHAT, good).status == 200);
    BOOST_TEST(contains(exchangeRaw(daemon.address(), rawRequest("GET", "/open/x?q=1", "", ""), false), "200 OK"));
    const std::string chunked = absl::StrCat(hold, "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n1;x=y\r\n!\r\n0\r\nT: v\r\n\r\n");
    BOOST_TEST(contains(exchangeRaw(daemon.address(), chunked, false), "\"body\":\"{}!\""));
}

// Guards against an upstream that learns the caller's key or other headers of the caller.
BOOST_AUTO_TEST_CASE(UpstreamSeesOnlyItsOwnCredential)
{
    installUsual();
    const std::map<std::string, std::string> headers { { "Cookie", "secret-cookie" },
                                                       { "Idempotency-Key", "secret-idem" },
                                                       { "X-Other", "secret-x" } };
    BOOST_TEST(send(CHAT, chatBody("x", false, 1), headers).status == 200);
    BOOST_TEST(send("/hold/7", "{}", headers).status == 200);
    for (const auto &fake : fakes) {
        BOOST_REQUIRE(fake->received().size() == 1U);
        const std::string seen = fake->received().front().headers;
        BOOST_TEST(contains(seen, "Bearer upstream-secret"));
        BOOST_TEST(contains(seen, "X-Request-Id"));
        BOOST_TEST(!contains(seen, KEY));
        BOOST_TEST(!contains(seen, "secret-cookie"));
        BOOST_TEST(!contains(seen, "secret-idem"));
        BOOST_TEST(!contains(seen, "secret-x"));
    }
}

// Guards against an answer that goes to another caller.
BOOST_AUTO_TEST_CASE(ConcurrentCallersGetTheirOwnAnswers)
{
    addFake(UpstreamKind::Model, { .prefillMs = 1, .tokenMs = 0.2 });
    addFake(UpstreamKind::Model, { .prefillMs = 5, .tokenMs = 0.1 });
    daemon.install(data);
    std::atomic<int> wrong = 0;
    {
        std::vector<std::jthread> callers;
        callers.reserve(24);
        for (int caller = 0; caller < 24; ++caller) {
            callers.emplace_back([this, caller, &wrong] {
                JsonClient client(daemon.address());
                for (int call = 0; call < 12; ++call) {
                    const std::string text = absl::StrCat("<", caller, "-", call, ">");
                    const std::map<std::string, std::string> headers { { "Authorization", absl::StrCat("Bearer ", KEY) } };
                    const CallResult result = client.call({ "POST", CHAT, chatBody(text, call % 2 == 0, 4), headers, Milliseconds(60000) });
                    const auto *answer = std::get_if<HttpResponse>(&result);
                    const bool isRight = answer != nullptr && answer->status == 200 && contains(answer->body, "echo:" + text)
                                         && contains(answer->body, call % 2 == 0 ? "data: [DONE]" : "completion_tokens");
                    wrong += isRight ? 0 : 1;
                }
            });
        }
    }
    BOOST_TEST(wrong == 0);
    BOOST_TEST(receivedCount() == 24U * 12U);
}

// Guards against events that reach the caller only with the end of the stream.
BOOST_AUTO_TEST_CASE(EventsArriveBeforeTheStreamEnds)
{
    FakeUpstream &fake = addFake(UpstreamKind::Model, { .prefillMs = 1, .tokenMs = 50 });
    daemon.install(data);
    Poco::Net::StreamSocket caller { Poco::Net::SocketAddress(daemon.address()) };
    const std::string request = rawRequest("POST", CHAT, authorization(KEY), chatBody("x", true, 4000));
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    char buffer[4096];
    while (!contains(received, "echo:x")) {
        const int count = caller.receiveBytes(buffer, sizeof buffer);
        BOOST_REQUIRE(count > 0);
        received.append(buffer, static_cast<std::size_t>(count));
    }
    BOOST_TEST(!fake.received().front().answered);
    // The upstream's work ends with its caller: the table counts it as finished long before 4000 tokens.
    caller.close();
    BOOST_TEST(waitUntil([this] { return daemon.metrics.counter("online_caller_gone") == 1; }));
}

// Guards against a broken answer that is passed on as whole.
BOOST_AUTO_TEST_CASE(LostStreamEndsWithAnErrorAndWithoutDone)
{
    FakeUpstream &fake = addFake(UpstreamKind::Model, { .prefillMs = 1, .tokenMs = 1 });
    daemon.install(data);
    BOOST_REQUIRE(fake.setFaults(R"({"reset_after_tokens":3})").ok());
    const std::string answer = stream(chatBody("x", true, 16));
    BOOST_TEST(contains(answer, "echo:x"));
    BOOST_TEST(contains(answer, "data: {\"error\":{\"code\":3004"));
    BOOST_TEST(contains(answer, "may_have_run"));
    BOOST_TEST(!contains(answer, "[DONE]"));
    BOOST_TEST(!contains(answer, "\r\n0\r\n\r\n"));
    BOOST_TEST(fake.received().size() == 1U);
}

// Guards against a withdrawn key whose stream goes on.
BOOST_AUTO_TEST_CASE(WithdrawalEndsTheStream)
{
    FakeUpstream &fake = addFake(UpstreamKind::Model, { .prefillMs = 1, .tokenMs = 200 });
    daemon.install(data);
    const std::jthread withdrawal([&] {
        waitUntil([&] { return !fake.received().empty(); });
        daemon.state.addTombstone("k1");
    });
    const std::string answer = stream(chatBody("x", true, 4000));
    BOOST_TEST(contains(answer, "data: {\"error\":{\"code\":2005"));
    BOOST_TEST(!contains(answer, "[DONE]"));
}

// Guards against a refusal that says "not run" although an upstream got the request, and against a retry of
// a request that may not be repeated.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestIsSentAtMostOnce)
{
    for (int index = 0; index < 3; ++index) {
        addFake(UpstreamKind::Service).setFaults(R"({"reset_requests":1000})").IgnoreError();
    }
    daemon.install(data);
    for (int count = 0; count < 1000; ++count) {
        daemon.budget.recordRequest(Clock::now());
    }
    for (int call = 0; call < 20; ++call) {
        const HttpResponse answer = send("/hold", absl::StrCat("{\"n\":", call, "}"));
        BOOST_TEST(answer.status == 502);
        BOOST_TEST(contains(answer.body, "may_have_run"));
    }
    BOOST_TEST(receivedCount() == 20U);
}

// Guards against a refusal that says "not run" and is wrong, and against requests that are not sent elsewhere
// although no upstream got them.
BOOST_AUTO_TEST_CASE(NotRunIsTrueAndGoesElsewhere)
{
    FakeUpstream &good = addFake(UpstreamKind::Service);
    std::string closedAddress;
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"), 1);
        closedAddress = socket.address().toString();
    }
    addUpstream(closedAddress, UpstreamKind::Service);
    addUpstream(closedAddress, UpstreamKind::Model);
    daemon.install(data);
    for (int call = 0; call < 20; ++call) {
        BOOST_TEST(send("/hold", "{}").status == 200);
    }
    BOOST_TEST(good.received().size() == 20U);
    const HttpResponse refused = send(CHAT, chatBody("x", false, 1));
    BOOST_TEST(refused.status == 502);
    BOOST_TEST(contains(refused.body, "not_run"));
    BOOST_TEST(good.received().size() == 20U);
}

// Guards against retries that multiply the load when all upstreams fail.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget)
{
    for (int index = 0; index < 3; ++index) {
        addFake(UpstreamKind::Model).setFaults(R"({"reset_requests":100000})").IgnoreError();
    }
    daemon.install(data);
    constexpr std::size_t CALLS = 120;
    for (std::size_t call = 0; call < CALLS; ++call) {
        const HttpResponse answer = send(CHAT, chatBody(absl::StrCat(call), false, 1));
        BOOST_TEST(contains(answer.body, "may_have_run"));
    }
    BOOST_TEST(receivedCount() > CALLS);
    BOOST_TEST(receivedCount() * 10 <= CALLS * 11);
}

// Guards against a caller that names a team in the headers by which daemons relay requests to each other.
BOOST_AUTO_TEST_CASE(RelayHeadersOfACallerGrantNothing)
{
    installUsual();
    const std::string forged = absl::StrCat("Relay-Team: red\r\nRelay-Key-Sha256: ", sha256Hex("key-of-red"), "\r\n");
    for (const char *path : { CHAT, "/hold", "/peers/relay" }) {
        const std::string answer = exchangeRaw(daemon.address(), rawRequest("POST", path, forged, chatBody("forged", false, 2)), false);
        BOOST_TEST(contains(answer, "key_missing"), path << " gave " << answer);
    }
    BOOST_TEST(receivedCount() == 0U);
}

// Guards against a second run of a request whose answer was lost on the way to the caller.
BOOST_AUTO_TEST_CASE(SameIdempotencyKeyGetsTheRecordedAnswer)
{
    installUsual();
    const std::map<std::string, std::string> headers { { "Idempotency-Key", "order-1" } };
    const HttpResponse first = send("/hold", R"({"n":1})", headers);
    const HttpResponse second = send("/hold", R"({"n":1})", headers);
    BOOST_TEST(first.status == 200);
    BOOST_TEST((first == second));
    BOOST_TEST(contains(send("/hold", R"({"n":2})", headers).body, "claim_conflict"));
    BOOST_TEST(receivedCount() == 1U);
    BOOST_REQUIRE(platform->setFaults(R"({"outage":true})").ok());
    const HttpResponse refused = send("/hold", "{}", { { "Idempotency-Key", "order-2" } });
    BOOST_TEST(contains(refused.body, "claim_unavailable"));
    BOOST_TEST(contains(refused.body, "not_run"));
    BOOST_TEST(receivedCount() == 1U);
}

// Guards against a run that is forgotten when its answer was lost.
BOOST_AUTO_TEST_CASE(ClaimWithoutAnswerIsNotRunAgain)
{
    FakeUpstream &fake = addFake(UpstreamKind::Service);
    daemon.install(data);
    BOOST_REQUIRE(fake.setFaults(R"({"reset_requests":1})").ok());
    const std::map<std::string, std::string> headers { { "Idempotency-Key", "order-1" } };
    BOOST_TEST(contains(send("/hold", "{}", headers).body, "upstream_lost"));
    BOOST_TEST(contains(send("/hold", "{}", headers).body, "claim_pending"));
    BOOST_TEST(fake.received().size() == 1U);
}

// Guards against a request that crashes one upstream after the other.
BOOST_AUTO_TEST_CASE(CrashingRequestCostsAtMostTwoUpstreams)
{
    const std::string body = chatBody("poison", false, 1);
    std::vector<std::unique_ptr<RawServer>> dying;
    for (int index = 0; index < 4; ++index) {
        dying.push_back(std::make_unique<RawServer>("poison", ""));
        addUpstream(dying.back()->address(), UpstreamKind::Model);
    }
    daemon.install(data);
    for (int count = 0; count < 1000; ++count) {
        daemon.budget.recordRequest(Clock::now());
    }
    BOOST_TEST(contains(send(CHAT, body).body, "may_have_run"));
    BOOST_TEST(contains(send(CHAT, body).body, "request_crashes_upstreams"));
    const auto isDead = [](const auto &server) {
        return server->hasReceived();
    };
    BOOST_TEST(std::count_if(dying.begin(), dying.end(), isDead) == 2);
    BOOST_TEST(daemon.crashes.crashCount(crashFingerprint("blue", CHAT, body), BootClock::now()) == 2);
}

// Guards against chats that share a message and crash one upstream after the other, each of them new.
BOOST_AUTO_TEST_CASE(ChatsWithACrashingMessageAreRefused)
{
    const auto chat = [](const std::string &first, int number) {
        return absl::StrCat(R"({"model":"m","messages":[{"role":"system","content":")",
                            first,
                            R"("},{"role":"user","content":"question )",
                            number,
                            R"("}]})");
    };
    std::vector<std::unique_ptr<RawServer>> dying;
    for (int index = 0; index < 8; ++index) {
        dying.push_back(std::make_unique<RawServer>("question", ""));
        addUpstream(dying.back()->address(), UpstreamKind::Model);
    }
    daemon.install(data);
    for (int count = 0; count < 1000; ++count) {
        daemon.budget.recordRequest(Clock::now());
    }
    for (int number = 0; number < 6; ++number) {
        send(CHAT, chat("bad", number));
    }
    const auto isDead = [](const auto &server) {
        return server->hasReceived();
    };
    BOOST_TEST(std::count_if(dying.begin(), dying.end(), isDead) == 3);
    BOOST_TEST(contains(send(CHAT, chat("bad", 7)).body, "request_crashes_upstreams"));
    BOOST_TEST(!contains(send(CHAT, chat("good", 8)).body, "request_crashes_upstreams"));
}

// Guards against sound chats that stay refused because all upstreams crashed at once under chats with the same message.
BOOST_AUTO_TEST_CASE(ChatsReturnAfterAllUpstreamsCrashedAtOnce)
{
    addFake(UpstreamKind::Model);
    daemon.install(data);
    const std::string chat = R"({"model":"m","messages":[{"role":"system","content":"rules"},{"role":"user","content":"question"}]})";
    const std::vector<std::string> shared = std::get<ChatBody>(parseChatBody(chat)).sharedParts;
    const BootTime crashedAt = BootClock::now() - std::chrono::seconds(1);
    for (int crash = 0; crash < 10; ++crash) {
        daemon.crashes.recordCrash({ crashFingerprint("blue", CHAT, absl::StrCat(crash)), shared }, absl::StrCat("u", crash), crashedAt);
    }
    BOOST_TEST(contains(send(CHAT, chat).body, "request_crashes_upstreams"));
    std::this_thread::sleep_until(crashedAt + std::chrono::seconds(3));
    BOOST_TEST(send(CHAT, chat).status == 200);
    BOOST_TEST(!daemon.crashes.refusedUntil({ {}, shared }, BootClock::now()).has_value());
    BOOST_TEST(send(CHAT, chat).status == 200);
}

// Guards against an upstream that resets one request and lives on being counted as dead.
BOOST_AUTO_TEST_CASE(ResetByALivingUpstreamIsNoDeath)
{
    FakeUpstream &fake = addFake(UpstreamKind::Model);
    daemon.install(data);
    BOOST_REQUIRE(fake.setFaults(R"({"reset_requests":3})").ok());
    const std::string body = chatBody("x", false, 1);
    for (int call = 0; call < 3; ++call) {
        BOOST_TEST(contains(send(CHAT, body).body, "may_have_run"));
    }
    BOOST_TEST(send(CHAT, body).status == 200);
    BOOST_TEST(daemon.crashes.crashCount(crashFingerprint("blue", CHAT, body), BootClock::now()) == 0);
}

// Guards against new work for a leaving upstream.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNothingNew)
{
    FakeUpstream &leaving = addFake(UpstreamKind::Service);
    addFake(UpstreamKind::Service);
    daemon.install(data);
    BOOST_TEST(waitUntil([&] {
        send("/look", "{}");
        return !leaving.received().empty();
    }));
    data.upstreams.front().isDraining = true;
    daemon.install(data);
    const std::size_t before = leaving.received().size();
    for (int call = 0; call < 50; ++call) {
        BOOST_TEST(send("/look", "{}").status == 200);
    }
    BOOST_TEST(leaving.received().size() == before);
}

// Guards against requests that pass without an allowance.
BOOST_AUTO_TEST_CASE(AllowanceDecides)
{
    installUsual();
    daemon.allowance = OverAllowance { 7 };
    const HttpResponse over = send(CHAT, chatBody("x", false, 1));
    BOOST_TEST(over.status == 429);
    daemon.allowance = AllowanceUnavailable { "no home" };
    BOOST_TEST(send("/look", "{}").status == 503);
    BOOST_TEST(receivedCount() == 0U);
    BOOST_TEST(contains(exchangeRaw(daemon.address(), rawRequest("GET", "/open", "", ""), false), "200 OK"));
}

// Guards against a relay that loses the team, the path or the stream, sends the key, or goes round in circles.
BOOST_AUTO_TEST_CASE(RequestIsRelayedToTheHome)
{
    installUsual();
    Daemon home(platform->address());
    home.install(data);
    daemon.allowance = ForwardToHome { { "home", home.peersAddress(), "dc1", "r1", 1, "i1", {} } };
    BOOST_TEST(contains(send(CHAT, chatBody("x", false, 1)).body, "echo:x"));
    BOOST_TEST(contains(stream(chatBody("y", true, 3)), "data: [DONE]"));
    BOOST_TEST(contains(send("/look/1?a=b", "{}").body, "\"path\":\"/look/1\""));
    home.allowance = OverAllowance { 1 };
    BOOST_TEST(send(CHAT, chatBody("x", false, 1)).status == 429);
    home.allowance = daemon.allowance;
    const HttpResponse circle = send(CHAT, chatBody("x", false, 1));
    BOOST_TEST(contains(circle.body, "allowance_unavailable"));
    home.allowance = Admitted {};
    home.state.addTombstone("k1");
    BOOST_TEST(send(CHAT, chatBody("x", false, 1)).status == 401);
    BOOST_TEST(receivedCount() == 3U);
    for (const auto &fake : fakes) {
        BOOST_TEST(!contains(fake->received().front().headers, sha256Hex(KEY)));
    }
}

// Guards against requests that still reach an upstream which has said in an answer that it leaves.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesGetsNothingMore)
{
    checkLeaving(R"({"leaving":true})", false);
}

// Guards against the same if the answer is an error.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesWithAnErrorGetsNothingMore)
{
    checkLeaving(R"({"leaving":true,"refuse_status":500})", false);
}

// Guards against the same if the answer is the head of a stream, which goes on.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesInAStreamGetsNothingMore)
{
    checkLeaving(R"({"leaving":true})", true);
}

// Guards against a request that waits, or is refused without a reason, while every upstream of its group leaves.
BOOST_AUTO_TEST_CASE(AGroupThatLeavesIsRefusedAtOnce)
{
    FakeUpstream &only = addFake(UpstreamKind::Model);
    daemon.install(data);
    BOOST_REQUIRE(only.setFaults(R"({"leaving":true})").ok());
    BOOST_TEST(send(CHAT, chatBody("x", false, 1)).status == 200);
    const HttpResponse refused = send(CHAT, chatBody("x", false, 1));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(contains(refused.body, "not_run"));
    BOOST_TEST(contains(refused.body, "all upstreams of models are leaving"));
    BOOST_TEST(only.received().size() == 1U);
    // A new run at the same address says in a later answer that it does not leave.
    BOOST_REQUIRE(only.setFaults(R"({"leaving":false})").ok());
    daemon.upstreams.startPolling();
    const TimePoint end = Clock::now() + Milliseconds(5000);
    while (daemon.upstreams.isLeaving("u0", Clock::now()) && Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(20));
    }
    BOOST_TEST(send(CHAT, chatBody("x", false, 1)).status == 200);
}

// Guards against a request that waits behind a queue instead of being refused at once.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedAsNotRun)
{
    installUsual();
    const std::string upstream = "u0";
    daemon.upstreams.recordStart(upstream, WorkKind::Online);
    daemon.upstreams.recordFinish(upstream, WorkKind::Online, { false, 20, 10000 }, Clock::now());
    daemon.upstreams.recordReport(upstream, { 4, 4000 }, Clock::now());
    const HttpResponse answer = send(CHAT, chatBody("x", false, 1));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(contains(answer.body, "overloaded"));
    BOOST_TEST(contains(answer.body, "not_run"));
    BOOST_TEST(receivedCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
