#pragma once

#include "Connection/Io/EventLoop.h"
#include "Process/Peers/PeerDirectory.h"
#include "Request/AllowanceShare.h"
#include "Version/ServingVersion.h"

#include <functional>
#include <map>

namespace poplardock {

/// Keeps each team within its allowance over all daemons together.
///
/// A team has a home among the daemons, which keeps one exact bucket; the others ask it for a token for each request,
/// one datagram each way. A daemon that gets no answer in time admits from its own share instead, as far as the recent
/// demand of all daemons lets it: the shares add up to the allowance, and each counts what it has admitted through the
/// home as well, so the change from one to the other adds nothing. A daemon that hears no other daemon is no home.
/// Thread safety: the loop's thread only.
class AllowanceTable
{
public:
    /// Gets nothing when the request is admitted, else the time until the next token.
    using Handler = std::function<void(std::optional<Milliseconds>)>;
    using Sender = std::function<void(const std::string &address, const PeerMessage &)>;

    AllowanceTable(EventLoop &loop, const PeerDirectory &peers, std::string ownName, Sender send);

    /// Takes one token of a team. The handler is called at once, or within the time that a home has to answer.
    auto tryAcquire(const Team &team, Handler handler) -> void;
    /// Answers another daemon's request; null for a team that is not configured.
    auto handleRequest(const Team *team, const TokenRequest &request, const std::string &sender) -> void;
    auto handleResponse(const TokenResponse &answer) -> void;
    /// Demand in requests per second of each team with recent requests.
    auto demand(BootTime now) -> std::map<std::string, double>;
    /// Takes what the other daemons report.
    auto updatePeerDemand(BootTime now) -> void;

private:
    struct PendingRequest
    {
        Handler handler;
        std::optional<Milliseconds> fallbackDecision;
        Timer timeout;
    };

    /// Whether this daemon keeps the buckets whose home has that name.
    [[nodiscard]] auto isHome(const std::string &homeName, BootTime now) const -> bool;
    auto tryAcquireFrom(std::map<std::string, AllowanceShare> &buckets, const Team &team, bool isWhole, BootTime now)
        -> std::optional<Milliseconds>;

    EventLoop &loop_;
    const PeerDirectory &peers_;
    const std::string ownName_;
    const Sender send_;
    /// This daemon's share of each team's allowance.
    std::map<std::string, AllowanceShare> shares_;
    /// The whole allowance of the teams whose home this daemon is.
    std::map<std::string, AllowanceShare> homeBuckets_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::uint64_t lastCorrelationId_ = 0;
    const BootTime startedAt_;
};

} // namespace poplardock
