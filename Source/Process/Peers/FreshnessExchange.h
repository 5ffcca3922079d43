#pragma once

#include "Process/Peers/PeerDirectory.h"
#include "Process/Peers/RevisionGap.h"
#include "Process/Store/KindWatch.h"

#include <functional>
#include <map>
#include <optional>

namespace poplardock {

/// Keeps this daemon's configuration and upstreams up to date with few calls to the store.
///
/// One daemon of the fleet, the leader, reads the configuration often. One daemon of each data centre, the store watcher,
/// watches both kinds, and the evacuations where they are enabled. The relays query the leader for the age of its view and for its
/// revisions, and tell all others in their summaries. Whoever is behind fetches newer revisions from the daemon that told. A response
/// confirms this daemon's configuration only if the responding daemon's is not newer, and as of the time at which the request, or the
/// report that a summary echoes, was sent minus the age in the response. A daemon that receives no such response, or does not catch up,
/// queries the leader and then the store itself.
/// Thread safety: the loop's thread only.
class FreshnessExchange
{
public:
    /// Access to the follower of one kind.
    struct Follower
    {
        KindWatch &watch;
        /// Revision of the last known change; sent to the other daemons.
        std::function<std::uint64_t()> revision;
        /// Revision up to which all changes are known; compared with the revisions of the other daemons.
        std::function<std::uint64_t()> syncedRevision;
        /// Fetches newer changes from the daemon at that address.
        std::function<void(const std::string &address)> fetch;
    };
    struct Handlers
    {
        std::function<void(const std::string &address, const PeerMessage &)> send;
        /// Reads the configuration from the store and applies it; calls back only on success.
        std::function<void(std::function<void()> onRead)> readConfiguration;
    };

    /// "evacuations": unset where evacuations are not followed.
    FreshnessExchange(EventLoop &loop,
                      const PeerDirectory &peers,
                      std::string ownName,
                      Follower configuration,
                      Follower upstreams,
                      std::optional<Follower> evacuations,
                      Handlers handlers);

    auto start() -> void;
    auto stop() -> void;
    auto handleRequest(const FreshnessRequest &request, const std::string &sender) -> void;
    auto handleResponse(const FreshnessResponse &response, const std::string &sender) -> void;
    /// Handles the state that a relay of this data centre has told in answer to a report sent at that time.
    auto handleState(const FreshnessState &state, BootTime sentAt, const std::string &sender) -> void;
    /// The state of this daemon's views, for the other daemons.
    [[nodiscard]] auto state() const -> FreshnessState;
    /// The configuration in force is the one that the store held at this time or later.
    [[nodiscard]] auto confirmedAt() const -> BootTime;

private:
    struct PendingRequest
    {
        BootTime sentAt;
        /// Sent to a daemon of this data centre.
        bool isLocal = false;
    };
    struct KindState
    {
        Follower follower;
        RevisionGap gap;
        BootTime fetchedAt;
        BootTime refreshedAt;
        /// When a response last had no newer revision, while no other daemon had named one.
        BootTime caughtUpAt;
    };

    auto tick() -> void;
    auto sendRequest(const std::string &daemon, BootTime now) -> void;
    auto applyState(const FreshnessState &state, BootTime sentAt, bool isLocal, const std::string &sender) -> void;
    auto readAsLeader(BootTime now) -> void;
    /// Reads a kind of which this daemon has not heard for long from the store. "hasLongWatch": its own watch may last longer.
    static auto refreshIfStale(KindState &kind, bool hasLongWatch, BootTime now) -> void;
    /// The revision to name to other daemons: that of a missed change, once this daemon has been behind for some time.
    [[nodiscard]] static auto namedRevision(const KindState &kind, BootTime now) -> std::uint64_t;
    /// Compares another daemon's revision with this daemon's and fetches newer changes from a daemon of this data centre. Returns
    /// whether the other daemon knows nothing newer.
    static auto reconcile(KindState &kind, std::uint64_t revision, bool isLocal, const std::string &address, BootTime now) -> bool;
    /// Fetches changes that this daemon has missed for some time, and reads the store when no fetch has helped.
    static auto closeGap(KindState &kind, BootTime now) -> void;
    static auto fetch(KindState &kind, const std::string &address, BootTime now) -> void;
    static auto refresh(KindState &kind, BootTime now) -> void;

    EventLoop &loop_;
    const PeerDirectory &peers_;
    const std::string ownName_;
    KindState configuration_;
    KindState upstreams_;
    std::optional<KindState> evacuations_;
    Handlers handlers_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::uint64_t lastCorrelationId_ = 0;
    BootTime startedAt_;
    /// Time as of which a peer's response last confirmed the configuration.
    BootTime peerConfirmedAt_;
    /// When the last successful read as leader was sent.
    BootTime readSentAt_;
    Timer timer_;
};

} // namespace poplardock
