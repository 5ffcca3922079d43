#include "Support/FrontProcesses.h"

#include "Support/FreePort.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <stdexcept>

namespace poplardock {

namespace {

constexpr const char *ROUTES = R"([
{"name":"plain","host":"shop","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":200,"service":"models","maxAttempts":3},
{"name":"once","host":"shop","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":200,"service":"models","maxAttempts":3},
{"name":"resumed","host":"shop","pathPrefix":"/resumed/","kind":"streaming","resumable":true,"timeoutMs":4000,"targetLatencyMs":300,"targetGapMs":300,"service":"models","maxAttempts":3},
{"name":"stream","host":"shop","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":300,"targetGapMs":300,"service":"models","maxAttempts":1},
{"name":"batch","host":"shop","pathPrefix":"/batch/","kind":"batch","timeoutMs":4000,"targetLatencyMs":400,"service":"models","maxAttempts":3,"targetCompletionMs":8000,"retentionS":60}])";

auto addressAt(int port) -> std::string
{
    return absl::StrCat("127.0.0.1:", port);
}

/// Two ports in a row: the daemon takes the second one for operators.
auto freePortPair() -> int
{
    int first = freePort();
    for (;;) {
        const int second = freePort();
        if (second == first + 1) {
            return first;
        }
        first = second;
    }
}

} // namespace

FrontProcesses::FrontProcesses(
    EventLoop &eventLoop, std::string folder, std::size_t daemonCount, std::size_t engineCount, std::string settings)
    : loop(eventLoop)
    , store(eventLoop)
    , folder_(std::move(folder))
    , settings_(std::move(settings))
{
    configure("");
    for (std::size_t index = 0; index < engineCount; ++index) {
        addEngine();
    }
    std::vector<int> ports;
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < daemonCount; ++index) {
        ports.push_back(freePortPair());
        addresses.push_back(addressAt(ports.back()));
    }
    peers = std::make_unique<PeerMesh>(loop, addresses);
    for (std::size_t index = 0; index < daemonCount; ++index) {
        Daemon daemon;
        daemon.name = absl::StrCat("daemon", index);
        daemon.dataCentre = index < daemonCount / 2 ? "east-a" : "east-b";
        daemon.outputFile = absl::StrCat(folder_, "/", daemon.name, ".log");
        daemon.storeView = store.openView([this, index](const std::string &body) { return peers->rewriteAddressesFor(index, body); });
        daemon.store = std::make_unique<LoopbackProxy>(loop, addressAt(0), store.viewAddress(daemon.storeView));
        const std::string callersAddress = addressAt(freePort());
        daemon.callers = std::make_unique<LoopbackProxy>(loop, addressAt(0), callersAddress);
        daemon.readyAddress = addressAt(freePort());
        writeSettings(daemon, absl::StrCat(ports[index]), callersAddress);
        daemons.push_back(std::move(daemon));
        startDaemon(index);
    }
}

auto FrontProcesses::writeSettings(Daemon &daemon, const std::string &peersPort, const std::string &callersAddress) -> void
{
    daemon.settingsFile = absl::StrCat(folder_, "/", daemon.name, ".conf");
    std::ofstream file(daemon.settingsFile);
    file << "nodeName=" << daemon.name << "\nzone=" << daemon.dataCentre
         << "\nregion=east\nserves=front\nipAddress=127.0.0.1\ninternalPorts=" << peersPort << "," << std::stoi(peersPort) + 1
         << "\nlisten.front=" << callersAddress << "\nlisten.ready=" << daemon.readyAddress
         << "\nplatform.address=" << daemon.store->address() << "\n"
         << settings_;
    if (!file.flush()) {
        throw std::runtime_error(daemon.settingsFile + " cannot be written");
    }
}

auto FrontProcesses::configure(const std::string &key) -> void
{
    store.put(
        "config",
        "main",
        absl::StrCat(R"({"version":)",
                     ++version_,
                     R"(,"routes":)",
                     ROUTES,
                     R"(,"services":[{"name":"models","engine":{"slots":8,"stride":7}}],"tenants":[{"name":"weavers","apiKeys":["key1")",
                     key.empty() ? "" : absl::StrCat(",\"", key, "\""),
                     R"(]},{"name":"dyers","apiKeys":["key2"],"ratePerS":5,"burst":5}]})"));
}

auto FrontProcesses::startDaemon(std::size_t daemon) -> void
{
    ChildProcess::Command command;
    command.program = binaryFolder() + "/poplardock";
    command.arguments = { "front" };
    command.environment = { { "POPLARDOCK_CONFIG", daemons[daemon].settingsFile } };
    command.outputFile = daemons[daemon].outputFile;
    auto process = ChildProcess::start(command);
    if (!process.ok()) {
        throw std::runtime_error(std::string(process.status().message()));
    }
    daemons[daemon].process = *std::move(process);
}

auto FrontProcesses::addEngine() -> void
{
    Engine engine;
    engine.server = std::make_unique<FakeEngine>(loop, absl::StrCat("engine", engines.size()));
    engine.proxy = std::make_unique<LoopbackProxy>(loop, addressAt(0), engine.server->address());
    engine.server->setCrashHandler([this, index = engines.size()] {
        engines[index].leftAt = BootClock::now();
        engines[index].hasCrashed = true;
        engines[index].proxy->close();
    });
    registerEngine(engine, "ready");
    engines.push_back(std::move(engine));
    resetBehaviour(engines.size() - 1);
}

auto FrontProcesses::resetBehaviour(std::size_t engine) -> void
{
    FakeEngine::Behaviour &behaviour = engines[engine].server->behaviour();
    const std::string limit = behaviour.limit;
    behaviour = {};
    behaviour.limit = limit;
    behaviour.crashesOnPart = CRASHING_PART;
}

auto FrontProcesses::registerEngine(const Engine &engine, const std::string &state) -> void
{
    store.put("servers", engine.server->name(), FakeEngine::entryAt(engine.proxy->address(), state));
}

auto FrontProcesses::beginLeave(std::size_t engine) -> void
{
    engines[engine].leftAt = BootClock::now();
    registerEngine(engines[engine], "draining");
}

auto FrontProcesses::crashEngine(std::size_t engine) -> void
{
    engines[engine].server->crash();
}

auto FrontProcesses::removeEntry(std::size_t engine) -> void
{
    const std::string name = engines[engine].server->name();
    if (!store.specOf("servers", name).empty()) {
        store.remove("servers", name);
    }
}

auto FrontProcesses::livingEngines() const -> std::vector<std::size_t>
{
    std::vector<std::size_t> living;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (engines[index].leftAt == BootTime()) {
            living.push_back(index);
        }
    }
    return living;
}

auto FrontProcesses::runsOf(const std::string &requestId) const -> std::vector<FakeEngine::Run>
{
    std::vector<FakeEngine::Run> runs;
    for (const Engine &engine : engines) {
        const auto found = engine.server->runsOfRequest(requestId);
        runs.insert(runs.end(), found.begin(), found.end());
    }
    return runs;
}

} // namespace poplardock
