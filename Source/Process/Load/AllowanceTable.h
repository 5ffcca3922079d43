#pragma once

#include "Connection/Io/EventLoop.h"
#include "Process/Peers/PeerDirectory.h"
#include "Request/AllowanceShare.h"
#include "Version/ServingVersion.h"

#include <functional>
#include <map>

namespace poplardock {

/// Enforces each team's allowance across all daemons.
///
/// One daemon is the team's home and holds the token bucket of the whole allowance. The other daemons request one token
/// from it for each request, with one datagram in each direction. If the home does not respond in time, a daemon admits
/// from its own share, whose size follows from the recent demand at all daemons. The shares add up to the allowance, and
/// a share is also charged for requests that the home admitted, so falling back to it admits nothing extra. The home
/// leaves their part of the allowance to daemons that have become silent. A daemon that is out of touch with all peers it knows
/// does not act as home, and one that has not read the records of the others admits only what the home of a limited team grants it.
/// Thread safety: the loop's thread only.
class AllowanceTable
{
public:
    /// Called with nothing if the request is admitted, otherwise with the time until the next token.
    using Handler = std::function<void(std::optional<Milliseconds>)>;
    using Sender = std::function<void(const std::string &address, const PeerMessage &)>;

    AllowanceTable(EventLoop &loop, const PeerDirectory &peers, std::string ownName, Sender send);

    /// Tries to acquire one token for a team. Calls the handler immediately, or when the home has responded or its time-out
    /// of 40 ms has passed.
    auto tryAcquire(const Team &team, Handler handler) -> void;
    /// Responds to another daemon's request. "team" is null if the requested team is not configured.
    auto handleRequest(const Team *team, const TokenRequest &request, const std::string &sender) -> void;
    auto handleResponse(const TokenResponse &response) -> void;
    /// Requests per second at this daemon, by team; teams without recent requests are left out.
    auto demand(BootTime now) -> std::map<std::string, double>;
    /// Adjusts the shares to the demand that the other daemons have reported.
    auto updatePeerDemand(BootTime now) -> void;

private:
    struct PendingRequest
    {
        std::string team;
        Handler handler;
        /// The decision of this daemon's share, used if the home does not decide.
        std::optional<Milliseconds> fallbackDecision;
        Timer timeout;
    };

    /// Whether "homeName" is this daemon and it hears the others: it has read their records, is in touch with them, and does not know
    /// most of them from the store only.
    [[nodiscard]] auto isHome(const std::string &homeName, BootTime now) const -> bool;
    auto tryAcquireFrom(std::map<std::string, AllowanceShare> &buckets, const Team &team, bool isHomeBucket, BootTime now)
        -> std::optional<Milliseconds>;

    /// Adjusts a share to the demand that the heard daemons have reported. Each of the "presumed" daemons, which are not heard
    /// yet, is taken to have as much demand as this one: right after a restart of the whole fleet, a daemon hears nobody.
    static auto updateShare(AllowanceShare &share, double reportedDemand, int heard, int presumed, BootTime now) -> void;
    /// Notes whether the home of a team admits requests by itself, so that this daemon's share must not do so as well.
    auto setHomeSilent(const std::string &team, bool isSilent, BootTime now) -> void;

    EventLoop &loop_;
    const PeerDirectory &peers_;
    const std::string ownName_;
    const Sender send_;
    /// This daemon's share of each team's allowance.
    std::map<std::string, AllowanceShare> shares_;
    /// Buckets of the whole allowance, for the teams whose home is this daemon.
    std::map<std::string, AllowanceShare> homeBuckets_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::uint64_t lastCorrelationId_ = 0;
    /// As PeerDirectory::aliveFraction(), at the last updatePeerDemand().
    double aliveFraction_ = 1;
    const BootTime startedAt_;
};

} // namespace poplardock
