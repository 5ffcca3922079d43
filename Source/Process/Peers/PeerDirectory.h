#pragma once

#include "Process/Peers/DaemonReport.h"

#include <functional>
#include <map>
#include <set>

namespace poplardock {

/// What is known of one other daemon.
struct Peer
{
    std::string name;
    /// "IP:port" for datagrams and calls.
    std::string address;
    std::string dataCentre;
    /// The last report; empty before the first one. That of a daemon in another data centre comes by digests, which
    /// hold its work, demand and crashes only in their sums.
    DaemonReport report;
    BootTime lastSeenAt;

    auto operator==(const Peer &) const -> bool = default;
};

/// The other daemons: from their records in the store, from the reports of those in the same data centre, and from the
/// digests of the other data centres.
///
/// Two daemons of each data centre, the relays, send digests to the relays of the other ones, which pass them on. So a
/// daemon's messages grow with its own data centre, and few bytes pass between data centres.
/// Times are given, so that tests need no clock. Thread safety: one thread.
class PeerDirectory
{
public:
    /// Time between two digests of the first relay.
    static constexpr Milliseconds DIGEST_PERIOD { 100 };
    /// The second relay sends each fifth time, so that the loss of the first one is bridged.
    static constexpr int BACKUP_DIGEST_TICKS = 5;

    explicit PeerDirectory(std::string ownName, std::string ownDataCentre = {});

    /// A record in the store names a daemon. Its address counts until a report comes from another one.
    auto addMember(const std::string &name, const std::string &address, const std::string &dataCentre) -> void;
    /// Takes a report unless a later one of that incarnation came before. Returns whether it was taken.
    auto handleReport(const DaemonReport &report, const std::string &address, BootTime now) -> bool;
    /// Takes a digest of another data centre unless a later one of that sender came before. Returns whether it was taken.
    auto handleDigest(const DataCentreDigest &digest, BootTime now) -> bool;
    /// The digest of this daemon's data centre; its sequence is left to the sender. Takes this daemon's own report and
    /// address.
    [[nodiscard]] auto makeDigest(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> DataCentreDigest;
    /// Names of the relays of a data centre, the first one first: one or two, none when no daemon of it is known. While
    /// none is alive there, any known ones.
    [[nodiscard]] auto relaysOf(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>;
    /// The other data centres that have known daemons.
    [[nodiscard]] auto otherDataCentres() const -> std::set<std::string>;
    /// Addresses to which a relay's digest goes in this turn: the relays of the other data centres, and daemons there
    /// that send digests themselves, as one that is cut off from its data centre does. Empty when this daemon is no relay.
    [[nodiscard]] auto digestTargets(std::uint64_t turn, BootTime now) const -> std::vector<std::string>;
    /// The other daemons of this data centre, and those whose data centre is not known.
    [[nodiscard]] auto localPeers() const -> std::vector<const Peer *>;
    [[nodiscard]] auto isLocal(const Peer &peer) const -> bool;

    [[nodiscard]] auto peers() const -> const std::map<std::string, Peer> &;
    /// Null for an unknown daemon and for this one.
    [[nodiscard]] auto find(const std::string &name) const -> const Peer *;
    /// Time between two reports of a daemon; grows with the number of daemons in the data centre.
    [[nodiscard]] auto reportPeriod() const -> Milliseconds;
    /// Time for which work that another daemon starts is not seen, in the mean of all daemons.
    [[nodiscard]] auto propagationDelay() const -> Milliseconds;
    /// Heard within the time after which a daemon's work counts as gone: some report periods.
    [[nodiscard]] auto isAlive(const Peer &peer, BootTime now) const -> bool;
    /// Alive, in contact with the store, and not shutting down.
    [[nodiscard]] auto mayTakeWork(const Peer &peer, BootTime now) const -> bool;
    /// Work of all living daemons but this one.
    [[nodiscard]] auto work(BootTime now) const -> WorkCounts;
    /// Demand at all daemons but this one, by team. A silent daemon's demand counts for some time, since it may only be
    /// cut off and go on admitting requests.
    [[nodiscard]] auto demand(BootTime now) const -> std::map<std::string, double>;
    /// Daemons whose demand counts, with this one.
    [[nodiscard]] auto daemonCount(BootTime now) const -> int;
    /// Deaths of upstreams that a request caused, as all other daemons saw them.
    [[nodiscard]] auto crashes(const std::string &fingerprint, BootTime now) const -> int;
    /// A living daemon with batch work at an upstream; "random" chooses among several.
    [[nodiscard]] auto batchHolder(const std::string &upstream, BootTime now, std::uint64_t random) const -> const Peer *;
    /// The living daemon that says it owns a job, or null. The last report decides between two.
    [[nodiscard]] auto ownerOf(const std::string &job, BootTime now) const -> const Peer *;
    /// The daemon that keeps a team's bucket, by rendezvous hashing over all daemons heard lately: a short silence moves
    /// no bucket, since the silent daemon may still give out tokens.
    [[nodiscard]] auto allowanceHomeOf(const std::string &team, BootTime now) const -> std::string;
    /// Other daemons are known and none is heard.
    [[nodiscard]] auto isIsolated(BootTime now) const -> bool;
    /// The daemon of this data centre that reads the store for the others of it: among this one and the living
    /// neighbours that may take work, by rendezvous hashing.
    [[nodiscard]] auto storeWatcher(BootTime now) const -> std::string;
    /// The owner that a key falls to: among this daemon and all living ones that may take work, by rendezvous hashing.
    [[nodiscard]] auto homeOf(const std::string &key, BootTime now) const -> std::string;

private:
    struct ReceivedDigest
    {
        DataCentreDigest digest;
        BootTime receivedAt;
        /// When it last came from its sender itself, not from a daemon that passes it on.
        BootTime receivedDirectlyAt;
    };

    [[nodiscard]] auto countsForDemand(const Peer &peer, BootTime now) const -> bool;
    /// The eligible daemon, this one included, to which a key falls by rendezvous hashing.
    [[nodiscard]] auto selectByRendezvous(const std::string &key, const std::function<bool(const Peer &)> &isEligible) const -> std::string;
    auto updateLocalPeerCount() -> void;
    /// The digests that are younger than the silence and cover each daemon once.
    [[nodiscard]] auto recentDigests(Milliseconds silence, BootTime now) const -> std::vector<const DataCentreDigest *>;
    [[nodiscard]] auto livenessTimeout() const -> Milliseconds;

    const std::string ownName_;
    const std::string ownDataCentre_;
    std::map<std::string, Peer> peers_;
    /// Kept with the peers, since each judgement of a silence needs it.
    std::int64_t localPeerCount_ = 0;
    /// The last digest of each sender.
    std::map<std::string, ReceivedDigest> digests_;
};

} // namespace poplardock
