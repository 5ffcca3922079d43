#include "Deployment.h"

#include <absl/strings/str_cat.h>

namespace poplardock::review {

namespace {

constexpr int SERVERS = 12;
constexpr Milliseconds POLL_INTERVAL { 100 };
constexpr Milliseconds READY_PATIENCE { 500 };

auto zones() -> std::vector<std::string>
{
    return { "dixie-east-a", "dixie-east-b", "dixie-east-c" };
}

/// The classes of the small deployment's sheet that cases use.
auto configurationText(int version, const std::string &tenants, const std::string &moreRoutes) -> std::string
{
    return absl::StrCat(
        R"({"version":)",
        version,
        R"(,"routes":[{"name":"pattern-batch","host":")",
        Deployment::HOST,
        R"(","pathPrefix":")",
        Deployment::BATCH_PREFIX,
        R"(","kind":"batch","service":"loom-models","timeoutMs":15000,"targetLatencyMs":400,"targetCompletionMs":18000,"maxAttempts":3,)",
        R"("priority":2,"sticky":true,"retentionS":60},{"name":"gauge-ask","host":")",
        Deployment::HOST,
        R"(","pathPrefix":")",
        Deployment::ONLINE_PREFIX,
        R"(","kind":"streaming","service":"loom-models","timeoutMs":5000,"targetLatencyMs":300,"targetGapMs":300,"maxAttempts":1,)",
        R"("priority":0,"sticky":true})",
        moreRoutes.empty() ? "" : ",",
        moreRoutes,
        R"(],"services":[{"name":"loom-models","healthPath":"/health","maxConnections":300,)",
        R"("engine":{"slots":8,"stride":7,"kvTokens":134354}}],"tenants":[)",
        tenants,
        R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000}})");
}

} // namespace

Deployment::Deployment(EventLoop &eventLoop,
                       Record &record,
                       const std::string &program,
                       const std::string &folder,
                       TokenServer::Shape shape,
                       const std::vector<std::string> &frontZones)
    : loop(eventLoop)
    , store(eventLoop)
    , client(eventLoop, HOST, KEY)
{
    configure(TENANT);
    for (int number = 0; number < SERVERS; ++number) {
        servers.push_back(std::make_unique<TokenServer>(loop, absl::StrCat("i-", absl::Hex(number + 1, absl::kZeroPad8)), shape));
        store.put("servers",
                  servers.back()->name(),
                  servers.back()->entry("loom-models", zones()[static_cast<std::size_t>(number) % zones().size()]));
    }
    fleet = std::make_unique<FrontFleet>(loop, store, record, program, folder, frontZones.empty() ? zones() : frontZones, MEMORY_MB);
}

auto Deployment::configure(const std::string &tenants, const std::string &moreRoutes) -> void
{
    store.put("config", "main", configurationText(++version_, tenants, moreRoutes));
}

auto Deployment::fronts() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < fleet->fronts(); ++index) {
        addresses.push_back(fleet->machine(index).callersAddress);
    }
    return addresses;
}

auto Deployment::runFor(Milliseconds time) -> void
{
    loop.runUntil(BootClock::now() + time);
}

auto Deployment::awaitReady(Milliseconds limit) -> bool
{
    const BootTime deadline = BootClock::now() + limit;
    std::size_t ready = 0;
    while (ready < fleet->fronts() && BootClock::now() < deadline) {
        std::size_t answers = 0;
        ready = 0;
        for (std::size_t index = 0; index < fleet->fronts(); ++index) {
            client.call(fleet->machine(index).readyAddress,
                        { "GET", "/-/ready", {}, {} },
                        READY_PATIENCE,
                        [&ready, &answers](int status, const HttpResult &) {
                            ready += status == HttpStatus::OK ? 1 : 0;
                            ++answers;
                        });
        }
        while (answers < fleet->fronts()) {
            runFor(POLL_INTERVAL);
        }
    }
    return ready == fleet->fronts();
}

} // namespace poplardock::review
