#pragma once

#include "Connection/CallerServer.h"
#include "Connection/JobService.h"
#include "Process/ConfigurationFollower.h"
#include "Process/Load/EvacuationFollower.h"
#include "Process/Load/UpstreamFollower.h"
#include "Process/Peers/FreshnessExchange.h"

namespace poplardock {

/// A daemon that callers reach on the users' platform: builds the parts, starts them, and shuts down in order.
///
/// Shutdown: the daemon is not ready any more and says so to the others, who take over its jobs; it goes on serving
/// until callers have left for other daemons, and ends when no request is running.
/// Thread safety: one thread.
class FrontDaemon
{
public:
    /// The loop must outlive the daemon.
    FrontDaemon(EventLoop &loop, FrontSettings settings, WireDialect dialect);
    FrontDaemon(const FrontDaemon &) = delete;
    auto operator=(const FrontDaemon &) -> FrontDaemon & = delete;
    FrontDaemon(FrontDaemon &&) = delete;
    auto operator=(FrontDaemon &&) -> FrontDaemon & = delete;
    ~FrontDaemon();

    /// Errors: as CallerServer::open().
    auto start() -> absl::Status;
    /// Runs the loop until a signal has ended the daemon.
    auto run() -> void;
    auto beginShutdown() -> void;
    /// Ends all work at once, as a kill does. The object must live on until the loop has ended, since calls that are
    /// under way refer to it.
    auto halt() -> void;
    /// Whether a shutdown has come to its end.
    [[nodiscard]] auto hasStopped() const -> bool;
    /// Connections of callers with a request or an undelivered answer, and of other daemons with an undelivered answer: what a
    /// shutdown waits for, and what the log and the metrics show. Precondition: started. Loop's thread only.
    [[nodiscard]] auto busyCount() const -> std::uint64_t;
    /// "IP:port" with the real ports. Precondition: started.
    [[nodiscard]] auto callersAddress() const -> std::string;
    [[nodiscard]] auto readyAddress() const -> std::string;
    [[nodiscard]] auto operatorsAddress() const -> std::string;

private:
    auto startTimers() -> void;
    [[nodiscard]] auto makeEvacuationFollower() -> std::unique_ptr<EvacuationFollower>;
    /// Handles the end of a data centre's evacuation: its upstreams are to be taken for cold from now on.
    auto handleEvacuationEnd(const std::string &dataCentre, BootTime now) -> void;
    [[nodiscard]] auto evacuationAccess() -> std::optional<FreshnessExchange::Follower>;
    [[nodiscard]] auto hasSynced() const -> bool;
    [[nodiscard]] auto metricsResult() const -> HttpResult;
    [[nodiscard]] auto dumpResult() const -> HttpResult;
    [[nodiscard]] auto ownReport() -> DaemonReport;
    /// Asks another daemon for a token of an upstream's limit if this daemon's share does not suffice.
    auto requestLoan() -> void;
    /// Passes the configured limits of cold upstreams and the known daemons on.
    auto updateColdUpstreams(BootTime now) -> void;
    auto takePeerReports() -> void;
    auto takePeerMessage(const std::string &sender, const PeerMessage &message) -> void;
    auto answerPeer(const std::shared_ptr<CallerExchange> &exchange) -> void;
    auto checkPauses() -> void;
    [[nodiscard]] auto isReady() const -> bool;
    auto noteReadiness() -> void;
    auto answerReady(const std::shared_ptr<CallerExchange> &exchange) -> void;
    auto answerOperator(const std::shared_ptr<CallerExchange> &exchange) -> void;
    /// Late in a shutdown, when this daemon ends at the latest.
    [[nodiscard]] auto endsAt(BootTime now) const -> std::optional<BootTime>;
    auto continueShutdown() -> void;
    [[nodiscard]] auto callerLimits() const -> CallerLimits;
    /// Copies of its body that a request of a caller takes while it is served.
    [[nodiscard]] auto bodyCopies(const MessageHead &head) const -> int;
    /// The options of a server with that many connections at most.
    [[nodiscard]] auto serverOptions(std::size_t maximumConnections) -> CallerServer::Options;

    const FrontSettings settings_;
    const WireDialect dialect_;
    EventLoop &loop_;
    Metrics metrics_;
    std::shared_ptr<HeldBytes> heldBytes_;
    RetryBudget retries_;
    std::mt19937_64 random_;
    ObjectStore store_;
    ClientPool peerPool_;
    HttpClient peerClient_;
    ConfigurationFollower configuration_;
    PeerDirectory peers_;
    UpstreamDirectory directory_;
    UpstreamFollower upstreams_;
    /// Unset where the settings do not enable evacuations.
    std::unique_ptr<EvacuationFollower> evacuations_;
    ClientPool upstreamPool_;
    PeerLink peerLink_;
    AllowanceTable allowances_;
    FreshnessExchange freshness_;
    FrontParts parts_;
    JobRepository ledger_;
    JobRegistry book_;
    JobRunner runner_;
    JobTakeover adoption_;
    JobService jobs_;
    FrontService front_;
    std::unique_ptr<CallerServer> callers_;
    std::unique_ptr<CallerServer> ready_;
    std::unique_ptr<CallerServer> peerServer_;
    std::unique_ptr<CallerServer> operators_;
    bool isStopping_ = false;
    bool hasStopped_ = false;
    BootTime stoppingSince_;
    /// Unset as long as callers may connect.
    std::optional<BootTime> closesIdleFrom_;
    BootTime lastCheckAt_;
    bool wasAlone_ = false;
    bool wasReady_ = false;
    Timer logTimer_;
    Timer callsTimer_;
    Timer loanTimer_;
    Timer checkTimer_;
    Timer stopTimer_;
};

} // namespace poplardock
