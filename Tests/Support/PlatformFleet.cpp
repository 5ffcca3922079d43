#include "Support/PlatformFleet.h"

#include "Support/FreePort.h"
#include "Support/TestEnvironment.h"
#include "platform/Adapter.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <stdexcept>

namespace poplardock {

namespace {

constexpr const char *ROUTES = R"([
{"name":"plain","host":"shop","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":200,"service":"models","maxAttempts":3},
{"name":"once","host":"shop","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":200,"service":"models","maxAttempts":3},
{"name":"open","host":"shop","pathPrefix":"/open/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":200,"service":"models","maxAttempts":1,"public":true},
{"name":"resumed","host":"shop","pathPrefix":"/resumed/","kind":"streaming","resumable":true,"timeoutMs":3000,"targetLatencyMs":300,"targetGapMs":300,"service":"models","maxAttempts":3},
{"name":"stream","host":"shop","pathPrefix":"/stream/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,"targetGapMs":300,"service":"models","maxAttempts":3},
{"name":"batch","host":"shop","pathPrefix":"/batch/","kind":"batch","timeoutMs":3000,"targetLatencyMs":400,"service":"models","maxAttempts":2,"targetCompletionMs":6000,"retentionS":20}])";

constexpr Milliseconds CALL_TIME { 8000 };
constexpr ClientPool::Options CLIENT_POOL { {}, Milliseconds(1000), Milliseconds(5000) };

} // namespace

PlatformFleet::PlatformFleet(int daemonCount, int engineCount)
    : store(loop)
    , pool_(loop, CLIENT_POOL)
    , client_(loop, pool_)
{
    configure({ "key1" });
    for (int index = 0; index < engineCount; ++index) {
        engines.push_back(std::make_unique<FakeEngine>(loop, absl::StrCat("engine", index)));
        registerEngine(*engines.back(), "ready");
    }
    for (int index = 0; index < daemonCount; ++index) {
        startDaemon(absl::StrCat("daemon", index));
    }
    awaitReady();
}

PlatformFleet::~PlatformFleet()
{
    for (const auto &daemon : daemons) {
        if (daemon != nullptr) {
            daemon->halt();
        }
    }
    // Calls under way end while the parts that they refer to still exist.
    runFor(Milliseconds(50));
}

auto PlatformFleet::configure(const std::vector<std::string> &keys, const std::string &serviceFields) -> void
{
    std::vector<std::string> quoted;
    quoted.reserve(keys.size());
    for (const std::string &key : keys) {
        quoted.push_back(absl::StrCat("\"", key, "\""));
    }
    store.put("config",
              "main",
              absl::StrCat(R"({"version":1,"routes":)",
                           ROUTES,
                           R"(,"services":[{"name":"models","engine":{"slots":8,"stride":7})",
                           serviceFields,
                           R"(}],"tenants":[{"name":"weavers","apiKeys":[)",
                           absl::StrJoin(quoted, ","),
                           R"(]},{"name":"dyers","apiKeys":["key2"],"ratePerS":1,"burst":1}]})"));
}

auto PlatformFleet::registerEngine(const FakeEngine &engine, const std::string &state) -> void
{
    store.put("servers", engine.name(), FakeEngine::entryAt(engine.address(), state));
}

auto PlatformFleet::startDaemon(const std::string &name) -> std::size_t
{
    FrontSettings settings;
    settings.name = name;
    settings.dataCentre = "east-a";
    settings.callersAddress = "127.0.0.1:0";
    settings.readyAddress = "127.0.0.1:0";
    settings.peersAddress = absl::StrCat("127.0.0.1:", freePort());
    settings.operatorsAddress = "127.0.0.1:0";
    settings.storeAddress = store.address();
    if (adjustSettings) {
        adjustSettings(settings);
    }
    daemons.push_back(std::make_unique<FrontDaemon>(loop, settings, platform::makeAdapter()));
    const absl::Status status = daemons.back()->start();
    if (!status.ok()) {
        throw std::runtime_error(std::string(status.message()));
    }
    return daemons.size() - 1;
}

auto PlatformFleet::killDaemon(std::size_t daemon) -> void
{
    daemons[daemon]->halt();
    killed_.push_back(std::move(daemons[daemon]));
}

auto PlatformFleet::runUntil(const std::function<bool()> &condition, Milliseconds time) -> bool
{
    return runLoopUntil(loop, condition, time);
}

auto PlatformFleet::runFor(Milliseconds time) -> void
{
    runUntil([] { return false; }, time);
}

auto PlatformFleet::awaitReady() -> void
{
    const auto areReady = [this] {
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            if (daemons[index] != nullptr && !isReady(index)) {
                return false;
            }
        }
        return true;
    };
    runUntil(areReady, CALL_TIME);
    // Daemons list each other within the first second.
    runFor(daemons.size() > 1 ? Milliseconds(1200) : Milliseconds(50));
}

auto PlatformFleet::call(std::size_t daemon, const HttpCall &request) -> std::optional<HttpResult>
{
    return callAddress(daemons[daemon]->callersAddress(), request);
}

auto PlatformFleet::callAddress(const std::string &address, const HttpCall &request) -> std::optional<HttpResult>
{
    std::optional<HttpCallOutcome> outcome;
    client_.call(address, request, BootClock::now() + CALL_TIME, [&outcome](const HttpCallOutcome &result) { outcome = result; });
    runUntil([&outcome] { return outcome.has_value(); }, CALL_TIME + Milliseconds(100));
    const auto *result = outcome ? std::get_if<HttpResult>(&*outcome) : nullptr;
    return result == nullptr ? std::nullopt : std::optional(*result);
}

auto PlatformFleet::post(std::size_t daemon, const HttpCall &request) -> void
{
    client_.call(daemons[daemon]->callersAddress(), request, BootClock::now() + CALL_TIME, [](const HttpCallOutcome &) {});
}

auto PlatformFleet::isReady(std::size_t daemon) -> bool
{
    std::optional<HttpCallOutcome> outcome;
    client_.call(daemons[daemon]->readyAddress(),
                 { "GET", "/-/ready", {}, {} },
                 BootClock::now() + CALL_TIME,
                 [&outcome](const HttpCallOutcome &result) { outcome = result; });
    runUntil([&outcome] { return outcome.has_value(); }, CALL_TIME);
    const auto *result = outcome ? std::get_if<HttpResult>(&*outcome) : nullptr;
    return result != nullptr && result->status == 200;
}

auto PlatformFleet::results(std::size_t daemon, const std::string &job, const std::string &key) -> std::vector<JobResult>
{
    // A full page is followed by others.
    constexpr std::size_t FULL_PAGE_BYTES = 100000;
    std::vector<JobResult> results;
    for (std::size_t pageBytes = FULL_PAGE_BYTES; pageBytes >= FULL_PAGE_BYTES;) {
        const std::string target = absl::StrCat("/-/lots/", job, "?after=", results.size());
        const auto result = call(daemon, { "GET", target, request("", "r", key).headers, {} });
        const auto page
            = result && result->status == 200 ? platform::makeAdapter().decodeResults(result->body) : absl::NotFoundError("none");
        if (!page.ok() || page->empty()) {
            break;
        }
        results.insert(results.end(), page->begin(), page->end());
        pageBytes = result->body.size();
    }
    return results;
}

auto PlatformFleet::request(const std::string &path, const std::string &id, const std::string &key) -> HttpCall
{
    HttpCall call { "POST", path, {}, "body of " + id };
    call.headers.add("Host", "shop");
    call.headers.add("Request-Id", id);
    call.headers.add("Deadline-Ms", "5000");
    if (!key.empty()) {
        call.headers.add("Authorization", "Bearer " + key);
    }
    return call;
}

auto PlatformFleet::streamRequest(const std::string &path, const std::string &id, const std::string &key) -> HttpCall
{
    HttpCall call = request(path, id, key);
    call.headers.add("Token-Count", "100,35");
    return call;
}

auto PlatformFleet::submission(const std::string &id, int items, const std::string &key) -> HttpCall
{
    std::vector<std::string> entries;
    for (int index = 0; index < items; ++index) {
        const std::string item = absl::StrCat(id, "-", index);
        entries.push_back(absl::StrCat(R"({"id":")",
                                       item,
                                       R"(","path":"/batch/)",
                                       item,
                                       R"(","headers":{"Model":"m","Token-Count":"100,35"},"body":")",
                                       absl::Base64Escape("body of " + item),
                                       R"(","tokens":135})"));
    }
    HttpCall call = request("/batch/" + id, id, key);
    call.body = absl::StrCat(R"({"items":[)", absl::StrJoin(entries, ","), "]}");
    return call;
}

} // namespace poplardock
