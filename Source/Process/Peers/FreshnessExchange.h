#pragma once

#include "Process/Peers/PeerDirectory.h"
#include "Process/Store/KindWatch.h"

#include <functional>
#include <map>

namespace poplardock {

/// Keeps this daemon's configuration and upstreams those of the store with few calls to it.
///
/// One daemon of the fleet, the leader, reads the configuration often; one of each data centre, the feeder, watches both
/// kinds. The others ask both how old their beliefs are and which revisions they have, and fetch what is newer from
/// them. An answer confirms the configuration as of the time when this daemon asked, less the age that the answer
/// names, and only if the other's configuration is not newer. A daemon that gets no such answer, or does not catch up,
/// asks the store itself.
/// Thread safety: the loop's thread only.
class FreshnessExchange
{
public:
    /// What the relay needs of the follower of one kind.
    struct Follower
    {
        KindWatch &watch;
        /// Revision of the last change that was seen; told to the others.
        std::function<std::uint64_t()> revision;
        /// Revision up to which all changes are known; what the others tell is compared with it.
        std::function<std::uint64_t()> syncedRevision;
        /// Takes what the daemon at that address knows.
        std::function<void(const std::string &address)> fetch;
    };
    struct Handlers
    {
        std::function<void(const std::string &address, const PeerMessage &)> send;
        /// Reads the configuration from the store, takes it, and calls back when that has succeeded.
        std::function<void(std::function<void()> onRead)> readConfiguration;
    };

    FreshnessExchange(
        EventLoop &loop, const PeerDirectory &peers, std::string ownName, Follower configuration, Follower upstreams, Handlers handlers);

    auto start() -> void;
    auto stop() -> void;
    auto handleRequest(const FreshnessRequest &request, const std::string &sender) -> void;
    auto handleResponse(const FreshnessResponse &answer, const std::string &sender) -> void;
    /// The configuration in force is the store's of this time or later.
    [[nodiscard]] auto confirmedAt() const -> BootTime;

private:
    struct PendingRequest
    {
        BootTime sentAt;
        /// To the feeder, or to a leader of this data centre.
        bool isLocal = false;
    };
    struct KindState
    {
        Follower follower;
        /// Answers in a row that named a newer revision.
        int timesBehind = 0;
        BootTime fetchedAt;
        BootTime refreshedAt;
        /// When an answer last named no newer revision.
        BootTime caughtUpAt;
    };

    auto tick() -> void;
    auto sendRequest(const std::string &daemon, BootTime now) -> void;
    auto readAsLeader(BootTime now) -> void;
    /// Compares with what another daemon knows. Returns whether this one knows as much.
    auto reconcile(KindState &kind, std::uint64_t revision, bool isNear, const std::string &address) -> bool;
    static auto refresh(KindState &kind, BootTime now) -> void;

    EventLoop &loop_;
    const PeerDirectory &peers_;
    const std::string ownName_;
    KindState configuration_;
    KindState upstreams_;
    Handlers handlers_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::uint64_t lastCorrelationId_ = 0;
    BootTime startedAt_;
    BootTime peerConfirmedAt_;
    /// When the leader's last read that succeeded was sent.
    BootTime readSentAt_;
    Timer timer_;
};

} // namespace poplardock
