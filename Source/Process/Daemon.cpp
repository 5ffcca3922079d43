#include "Process/Daemon.h"

#include "Connection/AllowanceRoutes.h"
#include "Connection/ControlRoutes.h"
#include "Connection/HttpReply.h"
#include "Connection/HttpService.h"
#include "Connection/JobRoutes.h"
#include "Connection/OnlinePath.h"
#include "Connection/RequestRelay.h"
#include "Connection/RequestRun.h"
#include "Connection/Router.h"
#include "Process/AdmissionLog.h"
#include "Process/AllowanceClient.h"
#include "Process/BatchDispatcher.h"
#include "Process/ConfigurationEditor.h"
#include "Process/FleetState.h"
#include "Process/Log.h"
#include "Process/Membership.h"
#include "Process/Metrics.h"
#include "Process/PeerClients.h"
#include "Process/PeerExchange.h"
#include "Process/PeriodicTask.h"
#include "Process/PreemptionNotifier.h"
#include "Process/RequestCounter.h"
#include "Process/RootCommitter.h"
#include "Process/Signals.h"
#include "Process/StateDump.h"
#include "Process/StoreClient.h"
#include "Process/VersionLoader.h"
#include "Process/VersionWatcher.h"

#include <Poco/UUIDGenerator.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <random>
#include <unistd.h>

namespace poplardock {

namespace {

constexpr const char *HEALTH_PATH = "/healthz";
constexpr int PEER_THREADS = 64;
constexpr Milliseconds ALLOWANCE_INTERVAL { 100 };
/// Part of the daemon's store calls that jobs may use, for callers and for dispatch each.
constexpr double JOB_SHARE = 0.4;
/// Store calls that may be made at once after a pause, as a multiple of the calls per second.
constexpr double BURST_SECONDS = 2;
constexpr int OPERATOR_THREADS = 8;
/// Time for the balancer to see the negative health check and to send no new connections.
constexpr Milliseconds BALANCER_GRACE { 2000 };
/// Time for the store to answer at the start; a supervisor starts the process again after that.
constexpr Milliseconds JOIN_LIMIT { 60000 };
constexpr Milliseconds LEAVE_LIMIT { 5000 };
/// Longest time for running requests to end after SIGTERM; long streams are cut then.
constexpr Milliseconds DRAIN_LIMIT { 120000 };

auto storeLimits(const Settings &settings) -> StoreClient::Limits
{
    return { static_cast<double>(settings.storeCallsPerSecond), BURST_SECONDS * settings.storeCallsPerSecond };
}

auto jobLimits(const Settings &settings) -> JobStore::Limits
{
    return { JOB_SHARE * settings.storeCallsPerSecond, JOB_SHARE * settings.storeCallsPerSecond };
}

} // namespace

struct Daemon::Parts
{
    explicit Parts(Settings given)
        : settings(std::move(given))
        , seed(std::random_device {}())
        , writer(absl::StrCat(settings.name, "-", Poco::UUIDGenerator::defaultGenerator().createRandom().toString()))
        , store(settings.platformAddress, writer, storeLimits(settings))
        , state(settings.name)
        , loader(store, state, peers)
        , watcher(store, state, loader, peers, seed)
        , exchange(state, watcher, peers, seed + 1)
        , committer(store, state, loader, writer, seed + 2)
        , editor(state, committer, exchange, seed + 3)
        , upstreams(state)
        , claims(store)
        , jobStore(store, jobLimits(settings))
    {
    }

    const Settings settings;
    const std::uint64_t seed;
    /// Unique for this process, so that its writer tokens are never those of an earlier one.
    const std::string writer;
    Metrics metrics;
    StateDump dump;
    RequestCounter requests;
    std::atomic<bool> isDraining = false;
    std::atomic<bool> isReady = false;
    StoreClient store;
    FleetState state;
    PeerClients peers;
    Router callersRouter;
    Router peersRouter;
    Router operatorsRouter;
    VersionLoader loader;
    VersionWatcher watcher;
    PeerExchange exchange;
    RootCommitter committer;
    ConfigurationEditor editor;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<AdmissionLog> admissionLog;
    std::unique_ptr<AllowanceHome> allowanceHome;
    std::unique_ptr<AllowanceClient> allowanceClient;
    UpstreamTable upstreams;
    RetryBudget retryBudget;
    CrashSuspects crashes;
    ClaimStore claims;
    JobStore jobStore;
    std::unique_ptr<BatchDispatcher> dispatcher;
    std::unique_ptr<PreemptionNotifier> yieldSender;
    std::unique_ptr<OnlinePath> onlinePath;
    std::unique_ptr<JobRoutes> jobRoutes;
    std::vector<std::unique_ptr<PeriodicTask>> tasks;
    std::unique_ptr<HttpService> callersService;
    std::unique_ptr<HttpService> peersService;
    std::unique_ptr<HttpService> operatorsService;

    auto registerRoutes() -> void;
    [[nodiscard]] auto encodeCrashSuspects() const -> Poco::Dynamic::Var;
    auto mergeCrashSuspects(const Poco::Dynamic::Var &value) -> void;
    [[nodiscard]] auto ownRecord() const -> Member;
    auto createAllowances() -> absl::Status;
    auto createOnlinePath() -> void;
    auto createBatch() -> void;
    auto maintainAllowances() -> void;
    auto loadOf(const std::string &upstream) const -> ObservedLoad;
    auto startServices() -> absl::Status;
    auto join() -> absl::Status;
    auto registerDumpSections() -> void;
    auto handleCaller(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
};

auto Daemon::Parts::handleCaller(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    const RequestCounter::Guard running(requests);
    if (!isReady && HttpReply::pathOf(request) != HEALTH_PATH) {
        response.setKeepAlive(false);
        HttpReply::sendError(response, { ResultCode::ShuttingDown, "the daemon is starting", 1 });
        return;
    }
    if (isDraining) {
        response.setKeepAlive(false);
    }
    callersRouter.handle(request, response);
}

auto Daemon::Parts::registerRoutes() -> void
{
    callersRouter.add("GET", HEALTH_PATH, [this](Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) {
        const bool isHealthy = isReady && !isDraining && state.mayAct(Clock::now());
        HttpReply::sendJson(response, isHealthy ? 200 : 503, isHealthy ? R"({"healthy":true})" : R"({"healthy":false})");
    });
    operatorsRouter.add("GET", "/dump", [this](Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) {
        HttpReply::sendJson(response, 200, Json::toText(*dump.toJson()));
    });
    ControlRoutes::addPeerRoutes(peersRouter, exchange, loader, state);
    ControlRoutes::addOperatorRoutes(operatorsRouter, editor, state);
    ControlRoutes::addMemberRoutes(operatorsRouter, [this](const std::string &name) -> absl::Status {
        return membership ? membership->removeByOperator(name) : absl::UnavailableError("the daemon is starting");
    });
    exchange.addField(
        "crashes",
        [this] { return encodeCrashSuspects(); },
        [this](const Poco::Dynamic::Var &value, const ExchangeSource &) { mergeCrashSuspects(value); });
}

auto Daemon::Parts::encodeCrashSuspects() const -> Poco::Dynamic::Var
{
    std::vector<std::string> texts;
    for (const CrashSuspect &suspect : crashes.allStates(BootClock::now())) {
        texts.push_back(encodeCrashSuspect(suspect));
    }
    return Json::fromStrings(texts);
}

auto Daemon::Parts::mergeCrashSuspects(const Poco::Dynamic::Var &value) -> void
{
    if (value.type() != typeid(JsonArray::Ptr)) {
        return;
    }
    std::vector<CrashSuspect> suspects;
    for (const Poco::Dynamic::Var &text : *value.extract<JsonArray::Ptr>()) {
        const auto suspect = text.isString() ? decodeCrashSuspect(text.extract<std::string>()) : absl::InvalidArgumentError("not a text");
        if (suspect.ok()) {
            suspects.push_back(*suspect);
        }
    }
    crashes.merge(suspects, BootClock::now());
}

auto Daemon::Parts::createAllowances() -> absl::Status
{
    AdmissionRecorder recorder;
    if (!settings.admissionLogFile.empty()) {
        auto log = AdmissionLog::open(settings.admissionLogFile);
        if (!log.ok()) {
            return log.status();
        }
        admissionLog = *std::move(log);
        recorder = [this](const std::string &team, TimePoint spentAt) {
            admissionLog->record(team, spentAt);
        };
    }
    Member self = ownRecord();
    allowanceHome = std::make_unique<AllowanceHome>(std::move(self), state, peers, AllowanceHome::Options { Clock::now, recorder });
    allowanceClient = std::make_unique<AllowanceClient>(state, *allowanceHome, peers, AllowanceClient::Options { Clock::now, recorder });
    addAllowanceRoutes(peersRouter, *allowanceHome);
    return absl::OkStatus();
}

auto Daemon::Parts::maintainAllowances() -> void
{
    if (membership->isReplaced() && !isDraining.exchange(true)) {
        Log::error(Part::Process, "Another process has taken this daemon's name; this one shuts down.");
        ::kill(::getpid(), SIGTERM);
        return;
    }
    if (allowanceHome->self().incarnation != membership->incarnation()) {
        Member self = ownRecord();
        self.incarnation = membership->incarnation();
        allowanceHome->rejoinAs(std::move(self));
    }
    allowanceHome->maintain();
}

auto Daemon::Parts::loadOf(const std::string &upstream) const -> ObservedLoad
{
    const UpstreamLoad load = upstreams.snapshotOf(upstream);
    ObservedLoad observed;
    observed.running = load.report.running;
    observed.waiting = load.report.waiting;
    observed.onlineInFlight = load.ownOnline;
    observed.onlineFirstTokenP95Ms = load.firstTokenP95Ms;
    return observed;
}

auto Daemon::Parts::createBatch() -> void
{
    BatchDispatcher::Options options;
    options.region = settings.region;
    options.threads = settings.batchThreads;
    BatchDispatcher::Hooks hooks;
    hooks.incarnation = [this] {
        return membership->incarnation();
    };
    hooks.loadOf = [this](const std::string &upstream) {
        return loadOf(upstream);
    };
    hooks.isLeaving = [this](const std::string &upstream) {
        return upstreams.isLeaving(upstream, Clock::now());
    };
    hooks.onHead = [this](const std::string &upstream, const UpstreamHead &head, TimePoint sentAt) {
        noteLeaving(upstreams, metrics, upstream, head, sentAt);
    };
    dispatcher = std::make_unique<BatchDispatcher>(jobStore, state, metrics, options, hooks);
    yieldSender = std::make_unique<PreemptionNotifier>(
        state, peers, settings.region, [this](const std::string &upstream) { dispatcher->preempt(upstream); });
    jobRoutes = std::make_unique<JobRoutes>(jobStore, state, [this](const std::string &team, TimePoint now) -> AllowanceDecision {
        return allowanceClient->acquire(team, now, AllowanceClient::Forwarding::Never);
    });
    jobRoutes->addCallerRoutes(callersRouter);
    JobRoutes::addPeerRoutes(peersRouter, *dispatcher);
}

auto Daemon::Parts::createOnlinePath() -> void
{
    OnlineParts parts { state,
                        upstreams,
                        retryBudget,
                        crashes,
                        claims,
                        metrics,
                        [this](const std::string &team, TimePoint now) { return allowanceClient->acquire(team, now); },
                        [this](const std::string &upstream) {
                            yieldSender->notify(upstream);
                        } };
    onlinePath = std::make_unique<OnlinePath>(std::move(parts));
    onlinePath->registerRoutes(callersRouter);
    peersRouter.add("POST", RelayHeader::PATH, [this](auto &request, auto &response) {
        const RequestCounter::Guard running(requests);
        onlinePath->handleRelayed(request, response);
    });
}

auto Daemon::Parts::ownRecord() const -> Member
{
    Member self;
    self.name = settings.name;
    self.address = peersService ? peersService->address() : settings.peersAddress;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    self.size = settings.size;
    self.vm = settings.vm;
    return self;
}

auto Daemon::Parts::startServices() -> absl::Status
{
    struct Listener
    {
        const std::string &address;
        int threads;
        HttpService::Handler handler;
        std::unique_ptr<HttpService> &service;
    };
    const Listener listeners[] = {
        { settings.operatorsAddress,
          OPERATOR_THREADS,
          [this](auto &request, auto &response) { operatorsRouter.handle(request, response); },
          operatorsService },
        { settings.peersAddress,
          PEER_THREADS,
          [this](auto &request, auto &response) { peersRouter.handle(request, response); },
          peersService },
        { settings.callersAddress,
          settings.onlineThreads,
          [this](auto &request, auto &response) { handleCaller(request, response); },
          callersService },
    };
    for (const Listener &listener : listeners) {
        auto service = HttpService::start(listener.address, { listener.threads, listener.threads }, listener.handler);
        if (!service.ok()) {
            return service.status();
        }
        listener.service = *std::move(service);
    }
    return absl::OkStatus();
}

auto Daemon::Parts::join() -> absl::Status
{
    membership = std::make_unique<Membership>(store, state, watcher, committer, exchange, ownRecord(), seed + 4);
    return membership->join(Clock::now() + JOIN_LIMIT);
}

auto Daemon::Parts::registerDumpSections() -> void
{
    dump.add("daemon", [this] {
        JsonObject::Ptr section = new JsonObject;
        section->set("name", settings.name);
        section->set("version", POPLARDOCK_VERSION);
        section->set("data_centre", settings.dataCentre);
        section->set("region", settings.region);
        section->set("running_requests", requests.count());
        section->set("draining", isDraining.load());
        return section;
    });
    dump.add("fleet", [this] {
        const TimePoint now = Clock::now();
        const FleetVersionPointer version = state.current();
        JsonObject::Ptr section = new JsonObject;
        section->set("revision", version->revision);
        section->set("configuration_revision", version->configurationRevision);
        section->set("highest_known_revision", state.highestKnownRevision());
        section->set("may_act", state.mayAct(now));
        section->set("store_contact", state.hasStoreContact(now));
        section->set("members", version->members.toJson()->getArray("members"));
        section->set("tombstones", state.tombstones().size());
        return section;
    });
    dump.add("store", [this] {
        const StoreCallCounts counts = store.callCounts();
        JsonObject::Ptr section = new JsonObject;
        section->set("reads", counts.reads);
        section->set("writes", counts.writes);
        section->set("failures", counts.failures);
        section->set("resolved_writes", counts.resolvedWrites);
        section->set("suspended", store.isSuspended());
        return section;
    });
    dump.add("allowances", [this] { return allowanceHome->toJson(); });
    dump.add("upstreams", [this] { return upstreams.toJson(Clock::now()); });
    dump.add("batch", [this] { return dispatcher->toJson(); });
    dump.add("peer_exchange", [this] {
        const ExchangeCounts counts = exchange.counts();
        JsonObject::Ptr section = new JsonObject;
        section->set("messages_sent", counts.messagesSent);
        section->set("messages_received", counts.messagesReceived);
        section->set("bytes_sent", counts.bytesSent);
        section->set("bytes_received", counts.bytesReceived);
        section->set("failures", counts.failures);
        return section;
    });
    dump.add("metrics", [this] { return metrics.toJson(); });
}

Daemon::Daemon(Settings settings)
    : parts_(std::make_unique<Parts>(std::move(settings)))
{
}

Daemon::~Daemon()
{
    stop();
}

auto Daemon::start() -> absl::Status
{
    Parts &parts = *parts_;
    parts.registerRoutes();
    if (absl::Status status = parts.createAllowances(); !status.ok()) {
        return status;
    }
    parts.createBatch();
    parts.createOnlinePath();
    parts.registerDumpSections();
    if (absl::Status status = parts.startServices(); !status.ok()) {
        return status;
    }
    if (absl::Status status = parts.join(); !status.ok()) {
        return status;
    }
    parts.watcher.start();
    parts.exchange.start();
    parts.editor.start();
    parts.membership->start();
    parts.upstreams.startPolling();
    parts.tasks.push_back(std::make_unique<PeriodicTask>(ALLOWANCE_INTERVAL, [&parts] { parts.maintainAllowances(); }));
    parts.tasks.push_back(std::make_unique<PeriodicTask>(ALLOWANCE_INTERVAL, [&parts] { parts.allowanceClient->maintain(); }));
    parts.dispatcher->start();
    parts.isReady = true;
    return absl::OkStatus();
}

auto Daemon::drain() -> void
{
    parts_->isDraining = true;
    parts_->dispatcher->stop();
    parts_->membership->stop();
    if (const absl::Status status = parts_->membership->leave(Clock::now() + LEAVE_LIMIT); !status.ok()) {
        Log::warning(Part::Member, absl::StrCat("The member record stays in the table: ", status.message()));
    }
    std::this_thread::sleep_for(BALANCER_GRACE);
    const TimePoint deadline = Clock::now() + DRAIN_LIMIT;
    parts_->callersService->drain(deadline);
    if (!parts_->requests.waitUntilIdle(deadline)) {
        Log::warning(Part::Process, "Requests are still running at the drain limit and are cut.");
    }
}

auto Daemon::stop() -> void
{
    for (const auto &task : parts_->tasks) {
        task->stop();
    }
    if (parts_->dispatcher) {
        parts_->dispatcher->stop();
    }
    if (parts_->membership) {
        parts_->membership->stop();
    }
    parts_->upstreams.stopPolling();
    parts_->editor.stop();
    parts_->exchange.stop();
    parts_->watcher.stop();
    for (auto *service : { &parts_->callersService, &parts_->peersService, &parts_->operatorsService }) {
        if (*service) {
            (*service)->stop();
        }
    }
}

auto Daemon::addresses() const -> std::string
{
    return absl::StrCat("callers=",
                        parts_->callersService->address(),
                        " peers=",
                        parts_->peersService->address(),
                        " operators=",
                        parts_->operatorsService->address());
}

auto Daemon::stateDump() const -> std::string
{
    return Json::toText(*parts_->dump.toJson());
}

auto runDaemon(const Settings &settings) -> int
{
    Daemon daemon(settings);
    if (const absl::Status status = daemon.start(); !status.ok()) {
        Log::error(Part::Process, std::string(status.message()));
        return 1;
    }
    Log::info(Part::Process, absl::StrCat("Serving, ", daemon.addresses(), "."));
    std::cout << "ready " << daemon.addresses() << std::endl;
    while (waitForDaemonSignal() == DaemonSignal::Dump) {
        Log::info(Part::Process, daemon.stateDump());
    }
    Log::info(Part::Process, "Shutting down.");
    daemon.drain();
    daemon.stop();
    Log::info(Part::Process, "Stopped.");
    return 0;
}

} // namespace poplardock
