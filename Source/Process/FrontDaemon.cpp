#include "Process/FrontDaemon.h"

#include "Connection/Refusal.h"
#include "Process/EventLog.h"
#include "Process/MetricsText.h"
#include "Process/StateDump.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <sys/resource.h>
#include <unistd.h>

namespace poplardock {

namespace {

constexpr Milliseconds LOG_PERIOD { 200 };
constexpr Milliseconds CALLS_PERIOD { 10000 };
constexpr Milliseconds CHECK_PERIOD { 200 };
/// A check that comes this much late shows that the process or the VM stood still.
constexpr Milliseconds PAUSE_LIMIT { 800 };
/// The platform forwards no new connections after two questions, a second apart, that were not answered 200.
constexpr Milliseconds LEAVE_TIME { 2600 };
/// Time before the kill at which a shutdown ends in any case.
constexpr Milliseconds SHUTDOWN_MARGIN { 600 };
/// Time before the margin in which requests that have no answer yet get one, so that no connection ends without it.
constexpr Milliseconds LAST_ANSWERS_TIME { 300 };
constexpr Milliseconds SHUTDOWN_STEP { 50 };
/// Time in which requests are read that came while the process stood still, before connections without one are closed.
constexpr Milliseconds UNREAD_TIME { 100 };
constexpr ClientPool::Options UPSTREAM_POOL { { 1500, 1000 }, Milliseconds(400), Milliseconds(20000) };
/// Time for which reports name a job that this daemon has come to own, so that a read at another daemon needs no call to
/// the store; several reports, since datagrams are lost at times.
constexpr Milliseconds ANNOUNCEMENT_TIME { 1500 };
/// As many as fit into a datagram.
constexpr std::size_t MAXIMUM_ANNOUNCEMENTS = 1000;
constexpr ClientPool::Options PEER_POOL { { 1000, 1000 }, Milliseconds(250), Milliseconds(10000) };
/// Retries in 30 s that a daemon may make however few requests it has.
constexpr std::uint64_t MINIMUM_RETRIES = 20;

/// Peers and operators are this fleet's own; their requests have no bodies.
auto internalLimits() -> CallerLimits
{
    constexpr std::uint64_t INTERNAL_BODY_BYTES = 64U << 10U;
    CallerLimits limits;
    limits.bodyBytes = INTERNAL_BODY_BYTES;
    return limits;
}

/// Copies of a body: the request's own, the one of the attempt at an upstream, the message that is sent, and the queue of the
/// upstream's connection. A submission is parsed into values and written to the store besides.
constexpr int ONLINE_BODY_COPIES = 4;
constexpr int SUBMISSION_BODY_COPIES = 8;
/// Time after which a request for which there was no room may come again: longer than a slow client is waited for.
constexpr Milliseconds MEMORY_RETRY_AFTER { 2000 };

auto heldBoundsOf(const FrontSettings &settings) -> HeldBytes::Bounds
{
    const auto machineBytes = static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return HeldBytes::Bounds::ofMemory(settings.memoryBytes > 0 ? settings.memoryBytes : machineBytes);
}

/// The most connections of each server.
struct ConnectionBounds
{
    std::size_t callers = 0;
    std::size_t peers = 0;
    std::size_t operators = 0;
};

/// Splits the descriptors so that upstreams, peers and the store have theirs, however many callers connect.
auto connectionBoundsOf(const FrontSettings &settings) -> ConnectionBounds
{
    /// Listeners, the loop's own descriptors, files, and connections to the store.
    constexpr std::size_t FIXED_DESCRIPTORS = 32;
    constexpr std::size_t OPERATOR_CONNECTIONS = 8;
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    const std::size_t total = settings.maxDescriptors > 0 ? std::min<std::size_t>(settings.maxDescriptors, limit.rlim_cur) : limit.rlim_cur;
    const std::size_t shared = total - std::min(total, FIXED_DESCRIPTORS);
    // A caller's request takes a second connection, to its upstream.
    return { std::max<std::size_t>(1, shared * 3 / 8), std::max<std::size_t>(1, shared / 8), OPERATOR_CONNECTIONS };
}

} // namespace

FrontDaemon::FrontDaemon(EventLoop &loop, FrontSettings settings, WireDialect dialect)
    : settings_(std::move(settings))
    , dialect_(std::move(dialect))
    , loop_(loop)
    , heldBytes_(std::make_shared<HeldBytes>(heldBoundsOf(settings_)))
    , retries_(MINIMUM_RETRIES)
    , random_(std::random_device()())
    , store_(loop_, dialect_, settings_.storeAddress)
    , peerPool_(loop_, PEER_POOL)
    , peerClient_(loop_, peerPool_)
    , configuration_(loop_, store_, dialect_, peerClient_)
    , peers_(settings_.name, settings_.dataCentre, settings_.capacity)
    , directory_(settings_.dataCentre, peers_.upstreamLimits(), peers_.leavingUpstreams())
    , upstreams_(loop_, store_, dialect_, directory_, peerClient_, settings_.bounds.upstreamDrain)
    , evacuations_(makeEvacuationFollower())
    , upstreamPool_(loop_, UPSTREAM_POOL)
    , peerLink_(loop_,
                store_,
                peers_,
                { settings_.name, settings_.dataCentre, settings_.peersAddress, settings_.capacity },
                { [this] { return ownReport(); },
                  [this] { return freshness_.state(); },
                  [this] { takePeerReports(); },
                  [this](const std::string &sender, const FreshnessState &state, BootTime sentAt) {
                      freshness_.handleState(state, sentAt, sender);
                  },
                  [this](const std::string &sender, const PeerMessage &message) {
                      takePeerMessage(sender, message);
                  } })
    , allowances_(loop_,
                  peers_,
                  settings_.name,
                  [this](const std::string &address, const PeerMessage &message) { peerLink_.send(address, message); })
    , freshness_(loop_,
                 peers_,
                 settings_.name,
                 { configuration_.watch(),
                   [this] { return configuration_.revision(); },
                   [this] { return configuration_.revision(); },
                   [this](const std::string &address) {
                       configuration_.fetchFromPeer(address);
                   } },
                 { upstreams_.watch(),
                   [this] { return upstreams_.revision(); },
                   [this] { return upstreams_.syncedRevision(); },
                   [this](const std::string &address) {
                       upstreams_.fetchFromPeer(address);
                   } },
                 evacuationAccess(),
                 { [this](const std::string &address, const PeerMessage &message) { peerLink_.send(address, message); },
                   [this](std::function<void()> onRead) {
                       configuration_.read(std::move(onRead));
                   } })
    , parts_ { loop_,
               dialect_,
               settings_,
               store_,
               directory_,
               upstreamPool_,
               peers_,
               peerLink_,
               peerClient_,
               peers_.crashSuspects(),
               peers_.upstreamLimits(),
               peers_.leavingUpstreams(),
               retries_,
               metrics_,
               random_,
               [this] { return configuration_.version(); },
               [this] { return freshness_.confirmedAt(); },
               [this](const std::string &upstream) { return runner_.preemptAt(upstream); },
               heldBytes_,
               [this] {
                   return endsAt(BootClock::now());
               } }
    , ledger_(loop_, store_, dialect_, settings_.maxStoreValueBytes)
    , book_(parts_, ledger_)
    , runner_(parts_, book_)
    , adoption_(parts_, ledger_, book_, runner_)
    , jobs_(parts_, ledger_, book_, runner_, adoption_)
    , front_(parts_, allowances_, [this](const FrontService::JobRequest &request) { jobs_.handle(request); })
{
}

FrontDaemon::~FrontDaemon() = default;

auto FrontDaemon::makeEvacuationFollower() -> std::unique_ptr<EvacuationFollower>
{
    if (!settings_.bounds.evacuation) {
        return nullptr;
    }
    return std::make_unique<EvacuationFollower>(loop_,
                                                store_,
                                                dialect_,
                                                directory_,
                                                peerClient_,
                                                EvacuationFollower::Handlers { [this](const std::string & /*dataCentre*/) {
                                                                                  metrics_.count("evacuations_begun");
                                                                                  runner_.leaveEvacuated();
                                                                              },
                                                                               [this](const std::string &dataCentre) {
                                                                                   metrics_.count("evacuations_ended");
                                                                                   handleEvacuationEnd(dataCentre, BootClock::now());
                                                                               } });
}

auto FrontDaemon::handleEvacuationEnd(const std::string &dataCentre, BootTime now) -> void
{
    // Its upstreams are usually cold by then, and not all of them have said so yet.
    directory_.markDataCentreCold(dataCentre, now);
}

auto FrontDaemon::evacuationAccess() -> std::optional<FreshnessExchange::Follower>
{
    if (evacuations_ == nullptr) {
        return std::nullopt;
    }
    return FreshnessExchange::Follower { evacuations_->watch(),
                                         [this] { return evacuations_->set().revision(); },
                                         [this] { return evacuations_->set().syncedRevision(); },
                                         [this](const std::string &address) {
                                             evacuations_->fetchFromPeer(address);
                                         } };
}

auto FrontDaemon::callerLimits() const -> CallerLimits
{
    const ServingVersionPointer &version = configuration_.version();
    return version == nullptr ? CallerLimits() : version->data().callerLimits;
}

auto FrontDaemon::bodyCopies(const MessageHead &head) const -> int
{
    const ServingVersionPointer &version = configuration_.version();
    const ServiceRoute *route = version == nullptr ? nullptr : version->findRoute(dialect_.requestTerms(head.headers).host, head.target);
    return route != nullptr && route->kind == RouteKind::Batch ? SUBMISSION_BODY_COPIES : ONLINE_BODY_COPIES;
}

auto FrontDaemon::serverOptions(std::size_t maximumConnections) -> CallerServer::Options
{
    CallerServer::Options options;
    options.limits = internalLimits;
    options.account = heldBytes_;
    options.maximumConnections = maximumConnections;
    options.overloadAnswer = [this] {
        return refusalOf(dialect_, ResultCode::Overloaded, "the memory for requests is in use", MEMORY_RETRY_AFTER);
    };
    options.onBodyTimeout = [this] {
        metrics_.count("bodies_timed_out");
    };
    options.onConnectionBound = [this] {
        metrics_.count("connections_over_bound");
    };
    return options;
}

auto FrontDaemon::start() -> absl::Status
{
    EventLog::write("start",
                    { { "vm", settings_.name }, { "data_centre", settings_.dataCentre }, { "incarnation", peerLink_.incarnation() } });
    const ConnectionBounds bounds = connectionBoundsOf(settings_);
    CallerServer::Options callerOptions = serverOptions(bounds.callers);
    callerOptions.limits = [this] {
        return callerLimits();
    };
    callerOptions.bodyCopies = [this](const MessageHead &head) {
        return bodyCopies(head);
    };
    auto callers = CallerServer::open(loop_, settings_.callersAddress, std::move(callerOptions), [this](const auto &exchange) {
        retries_.recordRequest(Clock::now());
        front_.handle(exchange);
    });
    auto ready = CallerServer::open(
        loop_, settings_.readyAddress, serverOptions(bounds.operators), [this](const auto &exchange) { answerReady(exchange); });
    auto peers = CallerServer::open(
        loop_, settings_.peersAddress, serverOptions(bounds.peers), [this](const auto &exchange) { answerPeer(exchange); });
    auto operators = CallerServer::open(
        loop_, settings_.operatorsAddress, serverOptions(bounds.operators), [this](const auto &exchange) { answerOperator(exchange); });
    for (const absl::Status &status : { callers.status(), ready.status(), peers.status(), operators.status(), peerLink_.start() }) {
        if (!status.ok()) {
            return status;
        }
    }
    callers_ = *std::move(callers);
    ready_ = *std::move(ready);
    peerServer_ = *std::move(peers);
    operators_ = *std::move(operators);
    configuration_.start();
    upstreams_.start();
    if (evacuations_ != nullptr) {
        evacuations_->start();
    }
    freshness_.start();
    runner_.start();
    adoption_.start();
    startTimers();
    return absl::OkStatus();
}

auto FrontDaemon::startTimers() -> void
{
    logTimer_ = loop_.every(LOG_PERIOD, [] { EventLog::flush(); });
    callsTimer_ = loop_.every(CALLS_PERIOD, [this] {
        std::string calls;
        for (const auto &[kind, count] : store_.callsByKind()) {
            absl::StrAppend(&calls, calls.empty() ? "" : ", ", kind, " ", count);
        }
        EventLog::write("store_calls", { { "total", calls } });
    });
    loanTimer_ = loop_.every(UpstreamLimits::LOAN_REQUEST_PERIOD, [this] { requestLoan(); });
    lastCheckAt_ = BootClock::now();
    checkTimer_ = loop_.every(CHECK_PERIOD, [this] {
        checkPauses();
        noteReadiness();
        directory_.removeExpired(BootClock::now());
        peers_.removeExpired(BootClock::now());
        takePeerReports();
    });
}

auto FrontDaemon::run() -> void
{
    loop_.onSignal(SIGTERM, [this] { beginShutdown(); });
    loop_.onSignal(SIGINT, [this] { beginShutdown(); });
    loop_.onSignal(SIGHUP, [] {
        EventLog::write("reload", { { "effect", "settings of the platform are read at the start; nothing changes" } });
    });
    loop_.setExceptionHandler([this](std::string_view reason) {
        metrics_.count("task_failures");
        EventLog::write("task_failed", { { "reason", reason } });
    });
    loop_.run();
    const ObjectStore::Counts &counts = store_.counts();
    EventLog::write("stop",
                    { { "vm", settings_.name },
                      { "busy", busyCount() },
                      { "store_reads", counts.reads },
                      { "store_watches", counts.watches },
                      { "store_stale_reads", counts.staleReads },
                      { "store_writes", counts.writes } });
    EventLog::flush();
}

auto FrontDaemon::callersAddress() const -> std::string
{
    return callers_->address();
}

auto FrontDaemon::readyAddress() const -> std::string
{
    return ready_->address();
}

auto FrontDaemon::operatorsAddress() const -> std::string
{
    return operators_->address();
}

auto FrontDaemon::busyCount() const -> std::uint64_t
{
    return callers_->busyCount() + peerServer_->sendingCount();
}

auto FrontDaemon::hasStopped() const -> bool
{
    return hasStopped_;
}

auto FrontDaemon::ownReport() -> DaemonReport
{
    const BootTime now = BootClock::now();
    DaemonReport report;
    report.isDraining = isStopping_;
    report.hasStoreContact = adoption_.hasStoreContact(now);
    report.work = directory_.ownWork();
    report.demand = allowances_.demand(now);
    report.crashSuspects = peers_.crashSuspects().states(now);
    report.upstreamLimits = peers_.upstreamLimits().states(now);
    report.coldStatements = peers_.upstreamLimits().cold().states(now);
    report.leavingUpstreams = peers_.leavingUpstreams().states(now);
    report.cancelledJobs = peers_.ownCancellations(now);
    book_.forEach([this, now, &report](const std::string &id, const OwnedJob &job) {
        const bool isNew = now - job.ownedSince() < ANNOUNCEMENT_TIME;
        if ((isStopping_ || (isNew && adoption_.mayActAsOwner(id))) && report.jobs.size() < MAXIMUM_ANNOUNCEMENTS) {
            report.jobs.push_back(id);
        }
    });
    return report;
}

auto FrontDaemon::requestLoan() -> void
{
    const auto request = peers_.upstreamLimits().loanRequest(BootClock::now());
    const Peer *lender = request ? peers_.find(request->lender) : nullptr;
    if (lender != nullptr) {
        metrics_.count("limit_tokens_requested");
        peerLink_.send(lender->address, LimitTokenRequest { request->upstream });
    }
}

auto FrontDaemon::updateColdUpstreams(BootTime now) -> void
{
    ColdUpstreams &cold = peers_.upstreamLimits().cold();
    std::map<std::string, ColdPolicy> policies;
    if (const ServingVersionPointer &version = configuration_.version(); version != nullptr) {
        for (const GroupLimits &group : version->data().groups) {
            if (group.coldPerSecond > 0) {
                policies[group.name] = { group.coldStart,
                                         group.coldPerSecond,
                                         group.coldPerSecond * settings_.bounds.coldOverage + settings_.bounds.coldSlack };
            }
        }
    }
    cold.setPolicies(std::move(policies));
    if (cold.isEnabled() && peerLink_.hasListedMembers()) {
        cold.setDaemons(peers_.knownDaemons(now), peers_.aliveDaemons(now).size(), now);
    }
}

auto FrontDaemon::takePeerReports() -> void
{
    const BootTime now = BootClock::now();
    directory_.setPeerWork(peers_.work(now));
    for (const LeavingUpstream &leaving : peers_.takeLeavingNews()) {
        upstreamPool_.drop(leaving.upstream);
        metrics_.count("upstreams_leaving_by_peer");
        EventLog::write("upstream_leaving", { { "upstream", leaving.upstream }, { "by", "peer" }, { "age_ms", leaving.age.count() } });
    }
    allowances_.updatePeerDemand(now);
    peers_.upstreamLimits().setDaemons(peers_.aliveDaemons(now), peers_.aliveFraction(now), now);
    updateColdUpstreams(now);
    adoption_.checkPeerReports();
}

namespace {

/// Hands a message between daemons to the part that it is for.
struct PeerMessageVisitor
{
    const std::string &sender;
    JobRunner &runner;
    AllowanceTable &allowances;
    FreshnessExchange &freshness;
    const ServingVersionPointer &version;
    const PeerDirectory &peers;
    PeerLink &link;
    Metrics &metrics;
    std::mt19937_64 &random;

    auto operator()(const PreemptionRequest &request) const -> void
    {
        if (runner.preemptAt(request.upstream) || request.hops <= 0) {
            return;
        }
        if (const Peer *next = peers.preemptionTarget(request.upstream, BootClock::now(), random())) {
            link.send(next->address, PreemptionRequest { request.upstream, request.hops - 1 });
        }
    }
    auto operator()(const TokenRequest &request) const -> void
    {
        const ServedTeam *team = version == nullptr ? nullptr : version->findTeam(request.team);
        allowances.handleRequest(team == nullptr ? nullptr : &team->team, request, sender);
    }
    auto operator()(const TokenResponse &answer) const -> void
    {
        allowances.handleResponse(answer);
    }
    auto operator()(const LimitTokenRequest &request) const -> void
    {
        if (peers.upstreamLimits().lend(request.upstream, BootClock::now())) {
            metrics.count("limit_tokens_lent");
            link.send(sender, LimitTokenGrant { request.upstream });
        }
    }
    auto operator()(const LimitTokenGrant &grant) const -> void
    {
        peers.upstreamLimits().addLoan(grant.upstream, BootClock::now());
    }
    auto operator()(const FreshnessRequest &request) const -> void
    {
        freshness.handleRequest(request, sender);
    }
    auto operator()(const FreshnessResponse &answer) const -> void
    {
        freshness.handleResponse(answer, sender);
    }
    template<typename Message>
    auto operator()(const Message & /*handledByPeerLink*/) const -> void
    {
    }
};

} // namespace

auto FrontDaemon::takePeerMessage(const std::string &sender, const PeerMessage &message) -> void
{
    std::visit(
        PeerMessageVisitor { sender, runner_, allowances_, freshness_, configuration_.version(), peers_, peerLink_, metrics_, random_ },
        message);
}

auto FrontDaemon::answerPeer(const std::shared_ptr<CallerExchange> &exchange) -> void
{
    if (exchange->head().target == ConfigurationFollower::PEER_PATH) {
        exchange->reply(configuration_.responseForPeer());
        return;
    }
    if (absl::StartsWith(exchange->head().target, UpstreamFollower::PEER_PATH)) {
        exchange->reply(upstreams_.responseForPeer(exchange->head().target));
        return;
    }
    if (evacuations_ != nullptr && exchange->head().target == EvacuationFollower::PEER_PATH) {
        exchange->reply(evacuations_->responseForPeer());
        return;
    }
    jobs_.handlePeer(exchange);
}

auto FrontDaemon::checkPauses() -> void
{
    const BootTime now = BootClock::now();
    const bool wasPaused = now - lastCheckAt_ > CHECK_PERIOD + PAUSE_LIMIT;
    lastCheckAt_ = now;
    if (const auto lostSince = store_.lostSince()) {
        upstreams_.recordStoreLost(*lostSince, now);
    }
    const bool isAlone = peers_.membership(now) == MembershipState::OutOfTouch;
    if (wasPaused || (isAlone && !wasAlone_)) {
        EventLog::write("ownership_doubted", { { "paused", wasPaused }, { "alone", isAlone } });
        adoption_.verifyOwnership();
    }
    wasAlone_ = isAlone;
}

auto FrontDaemon::hasSynced() const -> bool
{
    return upstreams_.hasSynced() && (evacuations_ == nullptr || evacuations_->hasSynced());
}

auto FrontDaemon::isReady() const -> bool
{
    return !isStopping_ && hasSynced() && front_.isFresh(BootClock::now());
}

auto FrontDaemon::noteReadiness() -> void
{
    const bool isNowReady = isReady();
    if (isNowReady == wasReady_) {
        return;
    }
    wasReady_ = isNowReady;
    const BootTime now = BootClock::now();
    EventLog::write("ready_changed",
                    { { "ready", isNowReady },
                      { "leaving", isStopping_ },
                      { "upstreams_listed", upstreams_.hasSynced() },
                      { "evacuations_listed", evacuations_ == nullptr || evacuations_->hasSynced() },
                      { "config", static_cast<std::uint64_t>(configuration_.revision()) },
                      { "config_age_ms", configuration_.revision() == 0 ? 0.0 : millisecondsBetween(freshness_.confirmedAt(), now) } });
}

auto FrontDaemon::answerReady(const std::shared_ptr<CallerExchange> &exchange) -> void
{
    noteReadiness();
    const bool isQuestion = exchange->head().target == dialect_.readyTarget;
    exchange->reply({ !isQuestion ? HttpStatus::NOT_FOUND : wasReady_ ? HttpStatus::OK : HttpStatus::UNAVAILABLE, {}, {} });
}

auto FrontDaemon::answerOperator(const std::shared_ptr<CallerExchange> &exchange) -> void
{
    const std::string &target = exchange->head().target;
    if (target == "/metrics") {
        exchange->reply(metricsResult());
    } else if (target == "/dump") {
        exchange->reply(dumpResult());
    } else {
        exchange->reply({ HttpStatus::NOT_FOUND, {}, {} });
    }
}

auto FrontDaemon::dumpResult() const -> HttpResult
{
    StateDump dump;
    if (evacuations_ != nullptr) {
        dump.add("evacuations", [this] { return evacuations_->toJson(BootClock::now()); });
    }
    HttpResult result { HttpStatus::OK, {}, Json::toText(*dump.toJson()) };
    result.headers.add("Content-Type", "application/json");
    return result;
}

auto FrontDaemon::metricsResult() const -> HttpResult
{
    const ObjectStore::Counts &counts = store_.counts();
    HttpResult result { HttpStatus::OK, {}, metricsText(metrics_) };
    absl::StrAppend(&result.body,
                    "poplardock_store_reads_total ",
                    counts.reads,
                    "\npoplardock_store_stale_reads_total ",
                    counts.staleReads,
                    "\npoplardock_store_watches_total ",
                    counts.watches,
                    "\npoplardock_store_writes_total ",
                    counts.writes,
                    "\npoplardock_store_failures_total ",
                    counts.failures,
                    "\npoplardock_upstream_connects_total ",
                    upstreamPool_.connectCount(),
                    "\npoplardock_log_dropped_lines_total ",
                    EventLog::droppedLineCount(),
                    "\npoplardock_upstreams ",
                    directory_.size(),
                    "\npoplardock_cold_upstreams ",
                    peers_.upstreamLimits().cold().coldCount(BootClock::now()),
                    "\npoplardock_leaving_marks ",
                    peers_.leavingUpstreams().size(),
                    "\npoplardock_peers ",
                    peers_.peers().size(),
                    "\npoplardock_unreadable_peer_lines_total ",
                    peerLink_.counts().unreadableLines,
                    "\npoplardock_unreadable_peer_messages_total ",
                    peerLink_.counts().unreadableMessages,
                    "\npoplardock_failed_peer_sends_total ",
                    peerLink_.counts().failedSends,
                    "\npoplardock_jobs_owned ",
                    book_.size(),
                    "\npoplardock_busy_connections ",
                    busyCount(),
                    "\npoplardock_items_running ",
                    runner_.runningCount(),
                    "\npoplardock_held_bytes ",
                    heldBytes_->bytes(),
                    "\npoplardock_held_bytes_bound ",
                    heldBytes_->bounds().bytes,
                    "\npoplardock_memory_refusals_total ",
                    heldBytes_->counts().refused,
                    "\npoplardock_memory_ended_connections_total ",
                    heldBytes_->counts().ended,
                    "\n");
    if (evacuations_ != nullptr) {
        absl::StrAppend(&result.body, "poplardock_evacuated_data_centres ", evacuations_->set().entries().size(), "\n");
    }
    result.headers.add("Content-Type", "text/plain; version=0.0.4");
    return result;
}

auto FrontDaemon::halt() -> void
{
    isStopping_ = true;
    callers_ = nullptr;
    ready_ = nullptr;
    peerServer_ = nullptr;
    operators_ = nullptr;
    checkTimer_.cancel();
    stopTimer_.cancel();
    peerLink_.stop();
    freshness_.stop();
    adoption_.stop();
    runner_.stop();
}

auto FrontDaemon::beginShutdown() -> void
{
    if (isStopping_) {
        return;
    }
    EventLog::write("shutdown", { { "busy", busyCount() }, { "items", static_cast<std::uint64_t>(runner_.runningCount()) } });
    isStopping_ = true;
    stoppingSince_ = BootClock::now();
    callers_->drain();
    runner_.drain();
    adoption_.drain();
    peerLink_.sendReports();
    stopTimer_ = loop_.every(SHUTDOWN_STEP, [this] { continueShutdown(); });
}

auto FrontDaemon::endsAt(BootTime now) const -> std::optional<BootTime>
{
    const bool isLate = isStopping_ && now - stoppingSince_ > LEAVE_TIME;
    return isLate ? std::optional(stoppingSince_ + settings_.bounds.shutdown - SHUTDOWN_MARGIN - LAST_ANSWERS_TIME) : std::nullopt;
}

auto FrontDaemon::continueShutdown() -> void
{
    const auto elapsed = BootClock::now() - stoppingSince_;
    if (elapsed < LEAVE_TIME) {
        return;
    }
    // The platform sends on to a daemon that is not ready while too few others are; such a connection is refused before
    // its request is read, and the caller goes to another daemon.
    callers_->stopAccepting();
    if (!closesIdleFrom_) {
        closesIdleFrom_ = BootClock::now() + UNREAD_TIME;
    }
    if (BootClock::now() < *closesIdleFrom_) {
        return;
    }
    callers_->closeIdle();
    book_.flush();
    if (elapsed > settings_.bounds.shutdown - SHUTDOWN_MARGIN - LAST_ANSWERS_TIME) {
        // Whether they have run is not known.
        callers_->answerUnfinished(refusalOf(dialect_, ResultCode::UpstreamLost, "the daemon has stopped", std::nullopt));
    }
    const bool isIdle = busyCount() == 0 && book_.isFlushed();
    if (isIdle || elapsed > settings_.bounds.shutdown - SHUTDOWN_MARGIN) {
        hasStopped_ = true;
        stopTimer_.cancel();
        loop_.stop();
    }
}

} // namespace poplardock
