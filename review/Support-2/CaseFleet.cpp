#include "CaseFleet.h"

#include "../../Tests/Support/FreePort.h"
#include "Process/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace poplardock::review {

namespace {

constexpr Milliseconds STEP { 5 };
constexpr Milliseconds GRACE { 8000 };
constexpr ClientPool::Options CLIENT_POOL { { 5000, 0 }, Milliseconds(1000), Milliseconds(100) };

auto addressAt(int port) -> std::string
{
    return absl::StrCat("127.0.0.1:", port);
}

/// Two ports in a row, as a daemon needs for the others and for operators.
auto freePortPair() -> int
{
    int first = freePort();
    for (int second = freePort(); second != first + 1; second = freePort()) {
        first = second;
    }
    return first;
}

} // namespace

CaseFleet::CaseFleet(EventLoop &loop, CaseRecord &record, std::string folder, std::string program)
    : loop_(loop)
    , record_(record)
    , folder_(std::move(folder))
    , program_(std::move(program))
    , store_(loop)
    , pool_(loop, CLIENT_POOL)
    , client_(loop, pool_)
{
}

auto CaseFleet::addDaemon(const std::string &zone, const std::string &settings) -> std::size_t
{
    Daemon daemon;
    daemon.name = absl::StrCat("front-", zone, "-", daemons_.size());
    daemon.zone = zone;
    daemon.callersAddress = addressAt(freePort());
    daemon.readyAddress = addressAt(freePort());
    daemon.settingsFile = absl::StrCat(folder_, "/", daemon.name, ".conf");
    daemon.outputFile = absl::StrCat(folder_, "/", daemon.name, ".log");
    const int internalPort = freePortPair();
    std::ofstream file(daemon.settingsFile);
    file << "nodeName=" << daemon.name << "\nrole=front\nmachineClass=front\nserves=front\nipAddress=127.0.0.1\nzone=" << zone
         << "\nregion=east\nzones.east-a=east\nzones.east-b=east\nlisten.front=" << daemon.callersAddress
         << "\nlisten.ready=" << daemon.readyAddress << "\ninternalPorts=" << internalPort << "," << internalPort + 1
         << "\nbootstrap=true\ncountsLoss=false\nlimits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.maxFds=4100\nheartbeatMs=1200"
         << "\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.configApplyMs=2000\nbounds.revokeMs=5000\nbounds.quotaWindowS=5"
         << "\nbounds.finishS=18\nbounds.statusS=120\nbounds.cancelMs=3000\nbounds.settleMs=1000\nplatform.address=" << store_.address()
         << "\nplatform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n"
         << (settings.empty() ? "limits.memoryMb=260\n" : settings);
    if (!file.flush()) {
        throw std::runtime_error(daemon.settingsFile + " cannot be written");
    }
    daemons_.push_back(std::move(daemon));
    return daemons_.size() - 1;
}

auto CaseFleet::startDaemon(std::size_t daemon) -> void
{
    ChildProcess::Command command;
    command.program = program_;
    command.arguments = { "front" };
    command.environment = { { "POPLARDOCK_CONFIG", daemons_[daemon].settingsFile } };
    command.outputFile = daemons_[daemon].outputFile;
    auto process = ChildProcess::start(command);
    if (!process.ok()) {
        throw std::runtime_error(std::string(process.status().message()));
    }
    daemons_[daemon].process = *std::move(process);
    record_.write(absl::StrCat("platform starts ", daemons_[daemon].name));
}

auto CaseFleet::killDaemon(std::size_t daemon) -> void
{
    daemons_[daemon].process->kill();
    daemons_[daemon].process = nullptr;
    record_.write(absl::StrCat("SIGKILL ", daemons_[daemon].name));
}

auto CaseFleet::stopDaemon(std::size_t daemon) -> bool
{
    record_.write(absl::StrCat("SIGTERM ", daemons_[daemon].name));
    daemons_[daemon].process->signal(SIGTERM);
    const bool hasEnded = runUntil([this, daemon] { return daemons_[daemon].process->awaitExit(Milliseconds(0)).has_value(); }, GRACE);
    daemons_[daemon].process = nullptr;
    record_.write(absl::StrCat(daemons_[daemon].name, hasEnded ? " has ended" : " is killed after its time"));
    return hasEnded;
}

auto CaseFleet::addEngine(const std::string &zone, CaseEngine::Shape shape, bool isRecorded) -> std::size_t
{
    auto engine = std::make_unique<CaseEngine>(loop_, absl::StrCat("engine-", engines_.size()), shape, isRecorded ? &record_ : nullptr);
    store_.put("servers", engine->name(), engine->entry("models", zone));
    engines_.push_back(std::move(engine));
    return engines_.size() - 1;
}

auto CaseFleet::configure(const std::string &routes, const std::string &allotment) -> void
{
    ++version_;
    store_.put("config",
               "main",
               absl::StrCat(R"({"version":)",
                            version_,
                            R"(,"routes":)",
                            routes,
                            R"(,"services":[{"name":"models","healthPath":"/health","maxConnections":300}],)",
                            R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},)",
                            R"("tenants":[{"name":"weavers","apiKeys":["key1"]},{"name":"dyers","apiKeys":["key2"])",
                            allotment,
                            "}]}"));
    record_.write(absl::StrCat("operator writes config version ", version_, ": ", routes));
}

auto CaseFleet::runFor(Milliseconds time) -> void
{
    loop_.runUntil(BootClock::now() + time);
}

auto CaseFleet::runUntil(const std::function<bool()> &condition, Milliseconds time) -> bool
{
    const BootTime deadline = BootClock::now() + time;
    while (!condition()) {
        if (BootClock::now() >= deadline) {
            return false;
        }
        loop_.runUntil(BootClock::now() + STEP);
    }
    return true;
}

auto CaseFleet::awaitReady(Milliseconds time) -> bool
{
    const BootTime deadline = BootClock::now() + time;
    for (const Daemon &daemon : daemons_) {
        bool isReady = daemon.process == nullptr;
        while (!isReady && BootClock::now() < deadline) {
            std::optional<HttpCallOutcome> outcome;
            client_.call(daemon.readyAddress,
                         { "GET", "/-/ready", {}, {} },
                         BootClock::now() + Milliseconds(500),
                         [&outcome](const HttpCallOutcome &result) { outcome = result; });
            runUntil([&outcome] { return outcome.has_value(); }, Milliseconds(1000));
            const auto *result = outcome ? std::get_if<HttpResult>(&*outcome) : nullptr;
            isReady = result != nullptr && result->status == HttpStatus::OK;
            if (!isReady) {
                runFor(Milliseconds(100));
            }
        }
        if (!isReady) {
            return false;
        }
    }
    return true;
}

auto CaseFleet::send(std::size_t daemon, HttpCall call, Milliseconds time, const std::string &key, HttpClient::Handler handler) -> void
{
    call.headers.set("Host", "shop.example");
    call.headers.set("Authorization", "Bearer " + key);
    call.headers.set("Connection", "close");
    client_.call(daemons_[daemon].callersAddress, call, BootClock::now() + time, std::move(handler));
}

auto CaseFleet::call(std::size_t daemon, HttpCall call, Milliseconds time, const std::string &key) -> std::optional<HttpResult>
{
    auto outcome = std::make_shared<std::optional<HttpCallOutcome>>();
    send(daemon, std::move(call), time, key, [outcome](const HttpCallOutcome &result) { *outcome = result; });
    runUntil([&outcome] { return outcome->has_value(); }, time + Milliseconds(500));
    const auto *result = *outcome ? std::get_if<HttpResult>(&**outcome) : nullptr;
    return result == nullptr ? std::nullopt : std::optional(*result);
}

auto CaseFleet::submit(std::size_t daemon, const std::string &job, int items, std::size_t bodyBytes) -> int
{
    std::string text;
    const std::string body = absl::Base64Escape(std::string(bodyBytes, 'b'));
    for (int index = 0; index < items; ++index) {
        absl::StrAppend(
            &text,
            index > 0 ? "," : "",
            R"({"id":")",
            job,
            "-",
            index,
            R"(","path":"/batch/1","headers":{"Model":"m","Token-Count":"350,242","Prompt-Prefix":"9c2e:100,5d07:250"},"body":")",
            body,
            R"(","tokens":592})");
    }
    HttpCall request { "POST", "/batch/" + job, {}, absl::StrCat(R"({"items":[)", text, "]}") };
    request.headers.add("Request-Id", job);
    request.headers.add("Content-Type", "application/json");
    const auto answer = call(daemon, std::move(request), Milliseconds(4000));
    const int status = answer ? answer->status : 0;
    record_.write(absl::StrCat("client submits job ", job, " of ", items, " items at ", daemons_[daemon].name, ": ", status));
    return status;
}

auto CaseFleet::read(std::size_t daemon, const std::string &job, std::size_t from) -> std::optional<ResultPage>
{
    const auto answer = call(daemon, { "GET", absl::StrCat("/-/lots/", job, "?after=", from), {}, {} }, Milliseconds(4000));
    const auto json = answer && answer->status == HttpStatus::OK ? Json::parseObject(answer->body) : absl::NotFoundError("");
    if (!json.ok()) {
        record_.write(
            absl::StrCat("client reads job ", job, " from ", from, " at ", daemons_[daemon].name, ": ", answer ? answer->status : 0));
        return std::nullopt;
    }
    ResultPage page;
    page.total = (*json)->getValue<std::int64_t>("total");
    const auto results = Json::optionalObjects(**json, "results");
    for (const JsonObject::Ptr &each : results.ok() ? *results : std::vector<JsonObject::Ptr>()) {
        page.itemIds.push_back(each->getValue<std::string>("id"));
        page.states.push_back(each->getValue<std::string>("state"));
        page.texts.push_back(each->getValue<std::string>("text"));
    }
    record_.write(absl::StrCat("client reads job ",
                               job,
                               " from ",
                               from,
                               " at ",
                               daemons_[daemon].name,
                               ": 200, ",
                               page.itemIds.size(),
                               " results of ",
                               page.total));
    return page;
}

auto CaseFleet::residentKb(std::size_t daemon) const -> std::uint64_t
{
    if (daemons_[daemon].process == nullptr) {
        return 0;
    }
    std::ifstream stream(absl::StrCat("/proc/", daemons_[daemon].process->pid(), "/status"));
    std::string line;
    while (std::getline(stream, line)) {
        if (absl::StartsWith(line, "VmRSS:")) {
            const std::vector<std::string> words = absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
            std::uint64_t size = 0;
            return words.size() > 1 && absl::SimpleAtoi(words[1], &size) ? size : 0;
        }
    }
    return 0;
}

auto CaseFleet::loop() -> EventLoop &
{
    return loop_;
}

auto CaseFleet::store() -> CaseStore &
{
    return store_;
}

auto CaseFleet::daemons() -> std::vector<Daemon> &
{
    return daemons_;
}

auto CaseFleet::engines() const -> const std::vector<std::unique_ptr<CaseEngine>> &
{
    return engines_;
}

auto CaseFleet::record() -> CaseRecord &
{
    return record_;
}

auto runCase(int argumentCount, char **arguments, const std::function<Verdict(CaseFleet &fleet, bool hasTrouble)> &body) -> int
{
    if (argumentCount != 3) {
        std::cerr << "usage: " << arguments[0] << " RECORD PROGRAM\n";
        return static_cast<int>(Verdict::CouldNotRun);
    }
    const char *trouble = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe): nothing sets the environment
    std::string folder = std::filesystem::temp_directory_path() / "poplardock-case-XXXXXX";
    Verdict verdict = Verdict::CouldNotRun;
    CaseRecord record(arguments[1]);
    try {
        if (mkdtemp(folder.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        EventLoop loop;
        CaseFleet fleet(loop, record, folder, arguments[2]);
        verdict = body(fleet, trouble == nullptr || std::string_view(trouble) != "0");
    } catch (const std::exception &exception) {
        record.write(absl::StrCat("the case could not run: ", exception.what()));
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) { // NOLINT(concurrency-mt-unsafe): as above
        std::filesystem::remove_all(folder, ignored);
    }
    record.write(verdict == Verdict::Held ? "the rule held" : verdict == Verdict::Broken ? "the rule was broken" : "no verdict");
    return static_cast<int>(verdict);
}

} // namespace poplardock::review
