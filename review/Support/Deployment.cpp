#include "Deployment.h"

#include "Support/FreePort.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <stdexcept>

namespace poplardock {

namespace {

constexpr ClientPool::Options POOL { {}, Milliseconds(1000), Milliseconds(1000) };
constexpr Milliseconds READY_TIME { 300 };
constexpr Milliseconds STEP { 100 };

/// Two free ports in a row, as the range of internal ports.
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

auto addressAt(int port) -> std::string
{
    return absl::StrCat("127.0.0.1:", port);
}

} // namespace

CaseRecord::CaseRecord()
    : file_(environmentVariable("RECORD", "record.txt"))
    , startedAt_(BootClock::now())
{
}

auto CaseRecord::write(const std::string &line) -> void
{
    file_ << absl::StrFormat("%7.3f ", millisecondsBetween(startedAt_, BootClock::now()) / 1000) << line << std::endl;
}

Deployment::Deployment(EventLoop &eventLoop, CaseRecord &caseRecord, const std::vector<std::string> &zones)
    : loop(eventLoop)
    , record(caseRecord)
    , store(eventLoop)
    , folder_(environmentVariable("FOLDER", "."))
    , pool_(eventLoop, POOL)
    , client_(eventLoop, pool_)
{
    for (std::size_t index = 0; index < zones.size(); ++index) {
        Daemon daemon;
        daemon.name = absl::StrCat("front-", zones[index], "-", index + 1);
        daemon.zone = zones[index];
        daemon.callersAddress = addressAt(freePort());
        daemon.readyAddress = addressAt(freePort());
        daemon.settingsFile = absl::StrCat(folder_, "/", daemon.name, ".conf");
        daemon.logFile = absl::StrCat(folder_, "/", daemon.name, ".log");
        daemon.storeView = store.openView([this, index](const std::string &body) {
            if (onStoreAnswer) {
                onStoreAnswer(index, body);
            }
            return body;
        });
        const int internalPort = freePortPair();
        std::ofstream file(daemon.settingsFile);
        file << "nodeName=" << daemon.name << "\nrole=front\nmachineClass=front\nserves=front\nipAddress=127.0.0.1\nzone=" << daemon.zone
             << "\nregion=dixie-east\nzones.dixie-east-a=dixie-east\nzones.dixie-east-b=dixie-east\nzones.dixie-east-c=dixie-east"
             << "\nlisten.front=" << daemon.callersAddress << "\nlisten.ready=" << daemon.readyAddress << "\ninternalPorts=" << internalPort
             << "," << internalPort + 1
             << "\nseeds=\nbootstrap=true\ncountsLoss=false\nlimits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260"
                "\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\nheartbeatMs=1200"
                "\ncontracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform\ntolerate.machines=1"
                "\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4.7"
                "\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250"
                "\nbounds.maxStretchMs=5000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.quotaWindowS=5"
                "\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0"
                "\nbounds.finishS=18\nbounds.statusS=120\nbounds.cancelMs=3000\nbounds.settleMs=1000"
             << "\nplatform.address=" << store.viewAddress(daemon.storeView)
             << "\nplatform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20"
                "\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
        if (!file.flush()) {
            throw std::runtime_error(daemon.settingsFile + " cannot be written");
        }
        daemons.push_back(std::move(daemon));
    }
}

auto Deployment::configure(const std::string &routes, const std::string &tenants) -> void
{
    store.put("config",
              "main",
              absl::StrCat(R"({"version":)",
                           ++version_,
                           R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000},)",
                           R"("routes":[)",
                           routes,
                           R"(],"services":[{"name":"models","engine":{"slots":8,"stride":7}}],"tenants":[)",
                           tenants,
                           "]}"));
}

auto Deployment::registerServer(const std::string &name, const std::string &address, int slots) -> void
{
    store.put("servers",
              name,
              absl::StrCat(R"({"service":"models","address":")",
                           address,
                           R"(","zone":"dixie-east-a","version":"1","slots":)",
                           slots,
                           R"(,"state":"ready","coldRemainingMs":0,"sequence":1})"));
}

auto Deployment::start(std::size_t daemon) -> void
{
    ChildProcess::Command command;
    command.program = environmentVariable("PROGRAM", "target/poplardock");
    command.arguments = { "front" };
    command.environment = { { "POPLARDOCK_CONFIG", daemons[daemon].settingsFile } };
    command.outputFile = daemons[daemon].logFile;
    auto process = ChildProcess::start(command);
    if (!process.ok()) {
        throw std::runtime_error(std::string(process.status().message()));
    }
    daemons[daemon].process = *std::move(process);
    record.write(absl::StrCat("started ", daemons[daemon].name, ", callers at ", daemons[daemon].callersAddress));
}

auto Deployment::isReady(std::size_t daemon) -> bool
{
    HttpCall call { "GET", "/-/ready", {}, {} };
    call.headers.add("Connection", "close");
    std::optional<int> status;
    client_.call(daemons[daemon].readyAddress, call, BootClock::now() + READY_TIME, [&status](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        status = result == nullptr ? 0 : result->status;
    });
    runLoopUntil(
        loop, [&status] { return status.has_value(); }, READY_TIME * 2);
    return status == HttpStatus::OK;
}

auto Deployment::awaitReady(Milliseconds time) -> bool
{
    const BootTime deadline = BootClock::now() + time;
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
        while (daemons[daemon].process != nullptr && !isReady(daemon)) {
            if (BootClock::now() >= deadline) {
                return false;
            }
            sleep(STEP);
        }
    }
    record.write("all daemons are ready");
    return true;
}

auto Deployment::send(std::size_t daemon, const HttpCall &call, Milliseconds time, HttpClient::Handler handler) -> void
{
    HttpCall whole = call;
    whole.headers.set("Connection", "close");
    client_.call(daemons[daemon].callersAddress, whole, BootClock::now() + time, std::move(handler));
}

auto Deployment::call(std::size_t daemon, const HttpCall &call, Milliseconds time) -> HttpResult
{
    const auto answer = std::make_shared<std::optional<HttpResult>>();
    send(daemon, call, time, [answer](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        *answer = result == nullptr ? HttpResult() : *result;
    });
    runLoopUntil(
        loop, [&answer] { return answer->has_value(); }, time + READY_TIME);
    return answer->value_or(HttpResult());
}

auto Deployment::sleep(Milliseconds time) -> void
{
    loop.runUntil(BootClock::now() + time);
}

auto callerHeaders(const std::string &requestId, const std::string &key) -> HeaderList
{
    HeaderList headers;
    headers.add("Host", "shop.example");
    headers.add("Authorization", "Bearer " + key);
    headers.add("Request-Id", requestId);
    return headers;
}

auto submissionCall(const std::string &id, const std::string &key, const std::string &items) -> HttpCall
{
    HttpCall call { "POST", "/batch/" + id, callerHeaders(id, key), absl::StrCat(R"({"items":[)", items, "]}") };
    call.headers.add("Content-Type", "application/json");
    call.headers.add("Deadline-Ms", "4000");
    return call;
}

auto resultsCall(const std::string &id, const std::string &key, std::size_t after) -> HttpCall
{
    HttpCall call { "GET", absl::StrCat("/-/lots/", id, "?after=", after), callerHeaders("read-" + id, key), {} };
    call.headers.add("Wait-Ms", "1000");
    return call;
}

auto cancelCall(const std::string &id, const std::string &key) -> HttpCall
{
    return { "DELETE", "/-/lots/" + id, callerHeaders("end-" + id, key), {} };
}

auto resultsIn(const HttpResult &answer) -> std::vector<std::pair<std::string, std::string>>
{
    std::vector<std::pair<std::string, std::string>> results;
    const auto json = Json::parseObject(answer.body);
    if (answer.status != HttpStatus::OK || !json.ok()) {
        return results;
    }
    const auto entries = Json::optionalObjects(**json, "results");
    if (entries.ok()) {
        for (const JsonObject::Ptr &entry : *entries) {
            results.emplace_back(entry->getValue<std::string>("id"),
                                 absl::StrCat(entry->getValue<std::string>("state"), "\n", entry->getValue<std::string>("text")));
        }
    }
    return results;
}

auto hasTrouble() -> bool
{
    return environmentVariable("TROUBLE", "1") != "0";
}

} // namespace poplardock
