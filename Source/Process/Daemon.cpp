#include "Process/Daemon.h"

#include "Connection/HttpReply.h"
#include "Connection/HttpService.h"
#include "Connection/Router.h"
#include "Process/FleetState.h"
#include "Process/Log.h"
#include "Process/Metrics.h"
#include "Process/PeerClients.h"
#include "Process/RequestCounter.h"
#include "Process/Signals.h"
#include "Process/StateDump.h"
#include "Process/StoreClient.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <iostream>

namespace poplardock {

namespace {

constexpr int PEER_THREADS = 64;
constexpr int OPERATOR_THREADS = 8;
/// Time for the balancer to see the negative health check and to send no new connections.
constexpr Milliseconds BALANCER_GRACE { 2000 };
/// Longest time for running requests to end after SIGTERM; long streams are cut then.
constexpr Milliseconds DRAIN_LIMIT { 120000 };

} // namespace

struct Daemon::Parts
{
    explicit Parts(Settings given)
        : settings(std::move(given))
        , store(settings.platformAddress, settings.name, {})
        , state(settings.name)
    {
    }

    const Settings settings;
    Metrics metrics;
    StateDump dump;
    RequestCounter requests;
    std::atomic<bool> isDraining = false;
    StoreClient store;
    FleetState state;
    PeerClients peers;
    Router callersRouter;
    Router peersRouter;
    Router operatorsRouter;
    std::unique_ptr<HttpService> callersService;
    std::unique_ptr<HttpService> peersService;
    std::unique_ptr<HttpService> operatorsService;

    auto registerOwnRoutes() -> void;
    auto registerDumpSections() -> void;
    auto handleCaller(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
};

auto Daemon::Parts::handleCaller(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    const RequestCounter::Running running(requests);
    if (isDraining) {
        response.setKeepAlive(false);
    }
    callersRouter.handle(request, response);
}

auto Daemon::Parts::registerOwnRoutes() -> void
{
    callersRouter.add("GET", "/healthz", [this](Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) {
        const bool isHealthy = !isDraining && state.mayAct(Clock::now());
        HttpReply::sendJson(response, isHealthy ? 200 : 503, isHealthy ? R"({"healthy":true})" : R"({"healthy":false})");
    });
    operatorsRouter.add("GET", "/dump", [this](Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) {
        HttpReply::sendJson(response, 200, Json::toText(*dump.toJson()));
    });
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
    parts.registerOwnRoutes();
    parts.registerDumpSections();
    auto operators = HttpService::start(parts.settings.operatorsAddress,
                                        { OPERATOR_THREADS, OPERATOR_THREADS },
                                        [&parts](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
                                            parts.operatorsRouter.handle(request, response);
                                        });
    if (!operators.ok()) {
        return operators.status();
    }
    parts.operatorsService = *std::move(operators);
    auto peers = HttpService::start(parts.settings.peersAddress,
                                    { PEER_THREADS, PEER_THREADS },
                                    [&parts](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
                                        parts.peersRouter.handle(request, response);
                                    });
    if (!peers.ok()) {
        return peers.status();
    }
    parts.peersService = *std::move(peers);
    auto callers = HttpService::start(parts.settings.callersAddress,
                                      { parts.settings.onlineThreads, parts.settings.onlineThreads },
                                      [&parts](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
                                          parts.handleCaller(request, response);
                                      });
    if (!callers.ok()) {
        return callers.status();
    }
    parts.callersService = *std::move(callers);
    return absl::OkStatus();
}

auto Daemon::drain() -> void
{
    parts_->isDraining = true;
    std::this_thread::sleep_for(BALANCER_GRACE);
    parts_->callersService->drain();
    if (!parts_->requests.waitUntilIdle(Clock::now() + DRAIN_LIMIT)) {
        Log::warning(Part::Process, "Requests are still running at the drain limit and are cut.");
    }
}

auto Daemon::stop() -> void
{
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
