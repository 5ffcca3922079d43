#include "Support/ProcessFleet.h"

#include "Connection/CallerAuthentication.h"
#include "Support/FreePort.h"
#include "Support/TestEnvironment.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace poplardock {

namespace {

constexpr Milliseconds START_LIMIT { 60000 };
constexpr Milliseconds POLL_INTERVAL { 20 };
constexpr Milliseconds CONTROL_TIMEOUT { 10000 };

auto makeFolder() -> std::string
{
    std::string pattern = (std::filesystem::temp_directory_path() / "poplardock-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder can be made");
    }
    return pattern;
}

/// The value after "NAME=" in a line of words.
auto wordIn(const std::string &line, const std::string &name) -> std::string
{
    for (const auto &word : absl::StrSplit(line, ' ')) {
        if (absl::StartsWith(word, absl::StrCat(name, "="))) {
            return std::string(word.substr(name.size() + 1));
        }
    }
    throw std::runtime_error(absl::StrCat("no ", name, " in the ready line: ", line));
}

auto quoted(const std::string &text) -> std::string
{
    return absl::StrCat("\"", text, "\"");
}

auto authorization(const std::string &key) -> std::map<std::string, std::string>
{
    return { { "Authorization", absl::StrCat("Bearer ", key) } };
}

auto chatBody(const std::string &text, int tokens, bool isStream) -> std::string
{
    return absl::StrCat(R"({"model":"tiny","max_tokens":)",
                        tokens,
                        R"(,"stream":)",
                        isStream ? "true" : "false",
                        R"(,"messages":[{"role":"user","content":")",
                        text,
                        R"("}]})");
}

auto failed(const std::string &reason) -> FleetAnswer
{
    FleetAnswer answer;
    answer.body = reason;
    return answer;
}

} // namespace

auto FleetAnswer::isOk() const -> bool
{
    return status >= 200 && status < 300;
}

auto FleetAnswer::json() const -> JsonObject::Ptr
{
    auto object = Json::parseObject(body);
    return object.ok() ? *object : JsonObject::Ptr(new JsonObject);
}

auto readAnswer(const CallResult &result) -> FleetAnswer
{
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        return failed(failure->reason);
    }
    const auto &answer = std::get<HttpResponse>(result);
    FleetAnswer read { answer.status, answer.body, 0, {} };
    if (const JsonObject::Ptr error = read.json()->getObject("error"); !error.isNull()) {
        read.code = error->optValue("code", 0);
        read.run = error->optValue<std::string>("run", "");
    }
    return read;
}

auto callAddress(const std::string &address, const JsonClient::Call &request) -> FleetAnswer
{
    JsonClient client(address);
    return readAnswer(client.call(request));
}

auto testSeed() -> std::uint64_t
{
    const std::string given = environmentVariable("POPLARDOCK_SEED", "");
    const std::uint64_t seed = given.empty() ? std::random_device {}() : std::stoull(given);
    std::cout << "seed " << seed << " (POPLARDOCK_SEED)" << std::endl;
    return seed;
}

ProcessFleet::ProcessFleet()
    : binaries_(binaryFolder())
    , folder_(makeFolder())
{
    platform_ = launch("fake_platform", "platform", {});
    const auto address = platform_->awaitLine("listening ", START_LIMIT);
    if (!address) {
        throw std::runtime_error("the platform does not start");
    }
    platformAddress_ = *address;
}

ProcessFleet::~ProcessFleet()
{
    daemons_.clear();
    upstreams_.clear();
    platform_.reset();
    if (environmentVariable("POPLARDOCK_KEEP_LOGS", "").empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    } else {
        std::cout << "logs in " << folder_ << std::endl;
    }
}

auto ProcessFleet::launch(const std::string &program, const std::string &name, std::vector<std::string> arguments) const
    -> std::unique_ptr<ChildProcess>
{
    ChildProcess::Command command;
    command.program = absl::StrCat(binaries_, "/", program);
    command.arguments = std::move(arguments);
    command.outputFile = absl::StrCat(folder_, "/", name, ".log");
    auto process = ChildProcess::start(command);
    if (!process.ok()) {
        throw std::runtime_error(std::string(process.status().message()));
    }
    return *std::move(process);
}

auto ProcessFleet::launchUpstream(Upstream &upstream) const -> void
{
    std::vector<std::string> arguments = { "--name", upstream.name, "--listen", upstream.address };
    arguments.insert(arguments.end(), upstream.options.arguments.begin(), upstream.options.arguments.end());
    upstream.process = launch("fake_upstream", upstream.name, std::move(arguments));
    if (!upstream.process->awaitLine("listening ", START_LIMIT)) {
        throw std::runtime_error(absl::StrCat(upstream.name, " does not start"));
    }
}

auto ProcessFleet::launchDaemon(Daemon &daemon) const -> void
{
    daemon.process = launch("poplardock", daemon.name, { "serve", "--settings", absl::StrCat(folder_, "/", daemon.name, ".toml") });
    const auto addresses = daemon.process->awaitLine("ready ", START_LIMIT);
    if (!addresses) {
        throw std::runtime_error(absl::StrCat(daemon.name, " does not get ready"));
    }
    daemon.callers = wordIn(*addresses, "callers");
    daemon.operators = wordIn(*addresses, "operators");
}

auto ProcessFleet::addUpstream(const UpstreamOptions &options) -> std::size_t
{
    // A port of its own: while the upstream is down, a test elsewhere may be given one of the kernel's choice.
    const std::string address = absl::StrCat("127.0.0.1:", freePort());
    upstreams_.push_back({ absl::StrCat("u", upstreams_.size()), address, options, nullptr });
    launchUpstream(upstreams_.back());
    return upstreams_.size() - 1;
}

auto ProcessFleet::addDaemon(const DaemonOptions &options) -> std::size_t
{
    const std::string name = absl::StrCat("d", daemons_.size());
    std::ofstream settings(absl::StrCat(folder_, "/", name, ".toml"));
    settings << "[daemon]\nname = " << quoted(name) << "\ndata_centre = \"dc1\"\nregion = " << quoted(options.region) << "\n";
    if (!options.vm.empty()) {
        settings << "vm = " << quoted(options.vm) << "\n";
    }
    settings << "[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n"
             << "[platform]\naddress = " << quoted(options.platformAddress.empty() ? platformAddress_ : options.platformAddress) << "\n"
             << "[log]\nadmissions = " << quoted(absl::StrCat(folder_, "/", name, ".admissions")) << "\n";
    settings.close();
    daemons_.push_back({ name, {}, {}, nullptr });
    launchDaemon(daemons_.back());
    return daemons_.size() - 1;
}

auto ProcessFleet::restartUpstream(std::size_t upstream) -> void
{
    upstreams_[upstream].process->kill();
    launchUpstream(upstreams_[upstream]);
}

auto ProcessFleet::restartDaemon(std::size_t daemon) -> void
{
    daemons_[daemon].process->kill();
    launchDaemon(daemons_[daemon]);
}

auto ProcessFleet::daemonProcess(std::size_t daemon) -> ChildProcess &
{
    return *daemons_[daemon].process;
}

auto ProcessFleet::upstreamProcess(std::size_t upstream) -> ChildProcess &
{
    return *upstreams_[upstream].process;
}

auto ProcessFleet::callersAddress(std::size_t daemon) const -> std::string
{
    return daemons_[daemon].callers;
}

auto ProcessFleet::platformAddress() const -> std::string
{
    return platformAddress_;
}

auto ProcessFleet::upstreamAddress(std::size_t upstream) const -> std::string
{
    return upstreams_[upstream].address;
}

auto ProcessFleet::daemonCount() const -> std::size_t
{
    return daemons_.size();
}

auto ProcessFleet::upstreamCount() const -> std::size_t
{
    return upstreams_.size();
}

auto ProcessFleet::folder() const -> std::string
{
    return folder_;
}

auto ProcessFleet::admissions(const std::string &team) const -> std::vector<TimePoint>
{
    std::vector<TimePoint> times;
    for (const Daemon &daemon : daemons_) {
        std::ifstream stream(absl::StrCat(folder_, "/", daemon.name, ".admissions"));
        std::string name;
        std::int64_t nanoseconds = 0;
        while (stream >> name >> nanoseconds) {
            if (name == team) {
                times.emplace_back(std::chrono::nanoseconds(nanoseconds));
            }
        }
    }
    return times;
}

auto ProcessFleet::configuration() const -> Configuration::Data
{
    Configuration::Data data;
    data.defaultClass = "chat";
    data.teams = { { "anna", 1000, 1000, { { "anna-1", sha256Hex(KEY_ANNA), false } } },
                   { "bert", 1000, 1000, { { "bert-1", sha256Hex(KEY_BERT), false } } } };
    // A wide target, so that a busy test host causes no refusals.
    data.classes = { { "chat", WorkKind::Online, 20000, 1000 }, { "sheets", WorkKind::Batch, 0, 0 } };
    bool hasService = false;
    for (const Upstream &upstream : upstreams_) {
        const bool isService = upstream.options.isService;
        hasService = hasService || isService;
        data.upstreams.push_back({ upstream.name,
                                   upstream.address,
                                   isService ? "services" : "models",
                                   isService ? UpstreamKind::Service : UpstreamKind::Model,
                                   isService ? std::vector<std::string> {} : std::vector<std::string> { "tiny" },
                                   absl::StrCat("credential-of-", upstream.name),
                                   "dc1",
                                   false });
    }
    if (hasService) {
        data.routes = { { "/lookups", "services", "chat", true, false }, { "/holds", "services", "chat", false, false } };
    }
    return data;
}

auto ProcessFleet::tryApply(std::size_t daemon, const std::string &document, std::uint64_t expected) -> FleetAnswer
{
    return operate(daemon, { "PUT", absl::StrCat("/config?expected=", expected), document, {}, CONTROL_TIMEOUT });
}

auto ProcessFleet::apply(std::size_t daemon, const Configuration::Data &data) -> void
{
    const auto configuration = Configuration::create(data);
    if (!configuration.ok()) {
        throw std::runtime_error(std::string(configuration.status().message()));
    }
    const FleetAnswer current = operate(daemon, { "GET", "/config", {}, {}, CONTROL_TIMEOUT });
    const auto expected = current.json()->optValue<std::uint64_t>("configuration_revision", 0);
    const FleetAnswer answer = tryApply(daemon, Json::toText(*configuration->toJson(false)), expected);
    if (!answer.isOk()) {
        throw std::runtime_error(absl::StrCat("the configuration is refused: ", answer.body));
    }
}

auto ProcessFleet::isSettled() const -> bool
{
    std::uint64_t revision = 0;
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
        const JsonObject::Ptr fleet = dump(daemon, "fleet");
        const auto own = fleet->optValue<std::uint64_t>("revision", 0);
        const JsonArray::Ptr members = fleet->getArray("members");
        const bool listsAll = !members.isNull() && members->size() == daemons_.size();
        if (own == 0 || (revision != 0 && own != revision) || !fleet->optValue("may_act", false) || !listsAll) {
            return false;
        }
        revision = own;
    }
    return true;
}

auto ProcessFleet::awaitSettled() -> bool
{
    return await([this] { return isSettled(); });
}

auto ProcessFleet::awaitServing() -> bool
{
    const bool hasModel
        = std::any_of(upstreams_.begin(), upstreams_.end(), [](const Upstream &upstream) { return !upstream.options.isService; });
    const auto isServed = [&](std::size_t daemon, const char *key) {
        const FleetAnswer answer = hasModel ? chat(daemon, key, "warm-up")
                                            : call(daemon, { "POST", "/lookups/warm-up", "{}", authorization(key), CONTROL_TIMEOUT });
        return answer.isOk();
    };
    if (!awaitSettled()) {
        return false;
    }
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
        for (const char *key : { KEY_ANNA, KEY_BERT }) {
            if (!await([&] { return isServed(daemon, key); })) {
                return false;
            }
        }
    }
    return true;
}

auto ProcessFleet::call(std::size_t daemon, const JsonClient::Call &request) const -> FleetAnswer
{
    return callAddress(daemons_[daemon].callers, request);
}

auto ProcessFleet::operate(std::size_t daemon, const JsonClient::Call &request) const -> FleetAnswer
{
    return callAddress(daemons_[daemon].operators, request);
}

auto ProcessFleet::chat(std::size_t daemon, const std::string &key, const std::string &text) const -> FleetAnswer
{
    return call(daemon, { "POST", "/v1/chat/completions", chatBody(text, 4, false), authorization(key), CONTROL_TIMEOUT });
}

auto ProcessFleet::streamChat(std::size_t daemon, const std::string &key, const std::string &text, int tokens) const -> StreamRecord
{
    StreamRecord record;
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(daemons_[daemon].callers) };
        session.setTimeout(Poco::Timespan(std::chrono::microseconds(CONTROL_TIMEOUT).count()));
        Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", absl::StrCat("Bearer ", key));
        request.setContentType("application/json");
        const std::string body = chatBody(text, tokens, true);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        record.status = response.getStatus();
        std::string line;
        while (std::getline(stream, line)) {
            if (!absl::StartsWith(line, "data: ")) {
                continue;
            }
            record.events.push_back(line.substr(6));
            record.lastEventAt = Clock::now();
            record.isComplete = absl::StartsWith(record.events.back(), "[DONE]");
        }
    } catch (const Poco::Exception &exception) {
        // The record shows how far the stream came.
        static_cast<void>(exception);
    }
    return record;
}

auto ProcessFleet::submitJob(std::size_t daemon, const std::string &key, const std::string &document) const -> FleetAnswer
{
    return call(daemon, { "POST", "/v1/jobs", document, authorization(key), CONTROL_TIMEOUT });
}

auto ProcessFleet::job(std::size_t daemon, const std::string &key, const std::string &jobKey) const -> FleetAnswer
{
    return call(daemon, { "GET", absl::StrCat("/v1/jobs/", jobKey), {}, authorization(key), CONTROL_TIMEOUT });
}

auto ProcessFleet::dump(std::size_t daemon, const std::string &section) const -> JsonObject::Ptr
{
    const JsonObject::Ptr whole = operate(daemon, { "GET", "/dump", {}, {}, Milliseconds(2000) }).json();
    const JsonObject::Ptr found = whole->getObject(section);
    return found.isNull() ? JsonObject::Ptr(new JsonObject) : found;
}

auto ProcessFleet::members(std::size_t daemon) const -> MemberTable
{
    const auto table = MemberTable::fromJson(*dump(daemon, "fleet"));
    if (!table.ok()) {
        throw std::runtime_error(std::string(table.status().message()));
    }
    return *table;
}

auto ProcessFleet::indexOf(const std::string &name) const -> std::size_t
{
    const auto found = std::find_if(daemons_.begin(), daemons_.end(), [&name](const Daemon &daemon) { return daemon.name == name; });
    return static_cast<std::size_t>(found - daemons_.begin());
}

auto ProcessFleet::homeOf(const std::string &key, std::size_t daemon) const -> std::size_t
{
    const MemberTable table = members(daemon);
    const Member *home = table.homeOf(key, {});
    if (home == nullptr) {
        throw std::runtime_error("the member table is empty");
    }
    return indexOf(home->name);
}

auto ProcessFleet::setVms(const std::vector<std::string> &names) const -> void
{
    JsonArray::Ptr items = new JsonArray;
    for (const std::string &name : names) {
        JsonObject::Ptr item = new JsonObject;
        item->set("name", name);
        item->set("state", "live");
        items->add(item);
    }
    JsonObject whole;
    whole.set("items", items);
    if (!callAddress(platformAddress_, { "PUT", "/apis/platform/v1/vms", Json::toText(whole), {}, CONTROL_TIMEOUT }).isOk()) {
        throw std::runtime_error("the platform does not take its VM list");
    }
}

auto ProcessFleet::setPlatformFaults(const std::string &json) const -> void
{
    if (!callAddress(platformAddress_, { "POST", "/faults", json, {}, CONTROL_TIMEOUT }).isOk()) {
        throw std::runtime_error("the platform does not take its fault switches");
    }
}

auto ProcessFleet::setUpstreamFaults(std::size_t upstream, const std::string &json) const -> void
{
    if (!callAddress(upstreams_[upstream].address, { "POST", "/faults", json, {}, CONTROL_TIMEOUT }).isOk()) {
        throw std::runtime_error("the upstream does not take its fault switches");
    }
}

auto ProcessFleet::platformStats() const -> JsonObject::Ptr
{
    return callAddress(platformAddress_, { "GET", "/stats", {}, {}, CONTROL_TIMEOUT }).json();
}

auto ProcessFleet::received(std::size_t upstream) const -> std::vector<JsonObject::Ptr>
{
    const FleetAnswer answer = callAddress(upstreams_[upstream].address, { "GET", "/received", {}, {}, CONTROL_TIMEOUT });
    auto items = Json::optionalObjects(*answer.json(), "items");
    return items.ok() ? *std::move(items) : std::vector<JsonObject::Ptr> {};
}

auto ProcessFleet::receivedCount(const std::string &text) const -> int
{
    int count = 0;
    for (std::size_t upstream = 0; upstream < upstreams_.size(); ++upstream) {
        for (const JsonObject::Ptr &item : received(upstream)) {
            count += absl::StrContains(item->optValue<std::string>("body", ""), text) ? 1 : 0;
        }
    }
    return count;
}

auto ProcessFleet::await(const std::function<bool()> &condition, Milliseconds limit) -> bool
{
    const TimePoint deadline = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    return true;
}

} // namespace poplardock
