#pragma once

#include "Process/Peers/DaemonReport.h"

#include <functional>
#include <map>
#include <set>

namespace poplardock {

/// The known state of one other daemon.
struct Peer
{
    std::string name;
    /// "IP:port" for datagrams and calls.
    std::string address;
    std::string dataCentre;
    /// The last report; empty before the first one. For a daemon in another data centre it comes from digests, which hold
    /// work, demand and crashes only as sums over that data centre, and lacks these.
    DaemonReport report;
    BootTime lastSeenAt;

    auto operator==(const Peer &) const -> bool = default;
};

/// The other daemons, as known from their records in the store, from the reports of the local peers (the daemons of the
/// same data centre) and from the digests of the other data centres.
///
/// Two daemons of each data centre, the relays, send digests to the relays of the other data centres, which forward them
/// to their local peers. So a daemon's messages grow only with its own data centre, and little traffic passes between
/// data centres.
/// Times are passed in, so that tests need no clock. Thread safety: one thread.
class PeerDirectory
{
public:
    /// Time between two digests of the first relay.
    static constexpr Milliseconds DIGEST_PERIOD { 100 };
    /// The second relay sends a digest on every fifth tick only, to bridge the loss of the first relay.
    static constexpr int BACKUP_DIGEST_TICKS = 5;

    explicit PeerDirectory(std::string ownName, std::string ownDataCentre = {});

    /// Adds a daemon that has a record in the store. The address and data centre are used until the daemon's first report.
    auto addMember(const std::string &name, const std::string &address, const std::string &dataCentre) -> void;
    /// Applies a report unless a newer one of the same incarnation has been applied, or it is this daemon's own. Returns
    /// whether it was applied.
    auto handleReport(const DaemonReport &report, const std::string &address, BootTime now) -> bool;
    /// Applies a digest of another data centre unless a newer one of the same sender has been applied. Returns whether it
    /// was applied.
    auto handleDigest(const DataCentreDigest &digest, BootTime now) -> bool;
    /// The digest of this daemon's data centre, made from its own report and address and the live local peers. The caller
    /// sets the sequence.
    [[nodiscard]] auto makeDigest(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> DataCentreDigest;
    /// Names of the one or two relays of a data centre, the first relay first; empty if none of its daemons is known. While
    /// no daemon there is alive, the relays are selected from all known ones.
    [[nodiscard]] auto relaysOf(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>;
    /// The other data centres with known daemons.
    [[nodiscard]] auto otherDataCentres() const -> std::set<std::string>;
    /// Addresses to which this daemon, as a relay, sends its digest on this tick: the relays of the other data centres, and
    /// the daemons there that send digests themselves, as one does that is partitioned from its data centre. Empty if this
    /// daemon is not a relay.
    [[nodiscard]] auto digestTargets(std::uint64_t tick, BootTime now) const -> std::vector<std::string>;
    /// The other daemons of this data centre, and those whose data centre is unknown.
    [[nodiscard]] auto localPeers() const -> std::vector<const Peer *>;
    [[nodiscard]] auto isLocal(const Peer &peer) const -> bool;

    [[nodiscard]] auto peers() const -> const std::map<std::string, Peer> &;
    /// Null for an unknown daemon and for this daemon.
    [[nodiscard]] auto find(const std::string &name) const -> const Peer *;
    /// Time between two reports of a daemon. Grows with the number of daemons in the data centre.
    [[nodiscard]] auto reportPeriod() const -> Milliseconds;
    /// Time until this daemon sees work that another daemon has started, on average over all daemons.
    [[nodiscard]] auto propagationDelay() const -> Milliseconds;
    /// Whether a report was received within the liveness timeout, a few report periods. Work of daemons that are not alive
    /// does not count.
    [[nodiscard]] auto isAlive(const Peer &peer, BootTime now) const -> bool;
    /// Whether the peer is alive, in contact with the store and not draining.
    [[nodiscard]] auto mayTakeWork(const Peer &peer, BootTime now) const -> bool;
    /// Work in flight of all live daemons but this one.
    [[nodiscard]] auto work(BootTime now) const -> WorkCounts;
    /// Demand at all daemons but this one in requests per second, by team. The demand of a daemon that is no longer alive
    /// counts for another while, since it may only be partitioned and still admit requests.
    [[nodiscard]] auto demand(BootTime now) const -> std::map<std::string, double>;
    /// Number of daemons whose demand counts, including this one.
    [[nodiscard]] auto daemonCount(BootTime now) const -> int;
    /// Upstream crashes caused by a request, as observed by all other daemons.
    [[nodiscard]] auto crashes(const std::string &fingerprint, BootTime now) const -> int;
    /// A live daemon with batch work at an upstream, or null. "tieBreaker", a random number, selects among several.
    [[nodiscard]] auto batchHolder(const std::string &upstream, BootTime now, std::uint64_t tieBreaker) const -> const Peer *;
    /// The live daemon that reports owning a job, or null. If several do, the one with the most recent report.
    [[nodiscard]] auto ownerOf(const std::string &job, BootTime now) const -> const Peer *;
    /// The daemon that holds a team's bucket, by rendezvous hashing over all daemons whose demand counts. A daemon that was
    /// not seen for a short time keeps its buckets, since it may still be granting tokens.
    [[nodiscard]] auto allowanceHomeOf(const std::string &team, BootTime now) const -> std::string;
    /// Whether other daemons are known but none is alive.
    [[nodiscard]] auto isIsolated(BootTime now) const -> bool;
    /// The store watcher of this data centre, the daemon that watches the store for the others: selected by rendezvous
    /// hashing from this daemon and the local peers that may take work.
    [[nodiscard]] auto storeWatcher(BootTime now) const -> std::string;
    /// The home of a key, the daemon responsible for it: selected by rendezvous hashing from this daemon and all peers that
    /// may take work.
    [[nodiscard]] auto homeOf(const std::string &key, BootTime now) const -> std::string;

private:
    struct ReceivedDigest
    {
        DataCentreDigest digest;
        BootTime receivedAt;
        /// When it was last received from the sender itself rather than forwarded.
        BootTime receivedDirectlyAt;
    };

    /// Whether the peer's demand still counts: last seen within 15 s.
    [[nodiscard]] auto countsForDemand(const Peer &peer, BootTime now) const -> bool;
    /// The daemon with the highest rendezvous score for a key among this daemon and the eligible peers.
    [[nodiscard]] auto selectByRendezvous(const std::string &key, const std::function<bool(const Peer &)> &isEligible) const -> std::string;
    auto updateLocalPeerCount() -> void;
    /// The digests younger than "maxAge", without those whose sender is covered by another one of them.
    [[nodiscard]] auto recentDigests(Milliseconds maxAge, BootTime now) const -> std::vector<const DataCentreDigest *>;
    /// Time without a report after which a daemon is no longer alive.
    [[nodiscard]] auto livenessTimeout() const -> Milliseconds;

    const std::string ownName_;
    const std::string ownDataCentre_;
    std::map<std::string, Peer> peers_;
    /// Kept up to date with the peers, since every evaluation of the liveness timeout needs it.
    std::int64_t localPeerCount_ = 0;
    /// The last digest of each sender.
    std::map<std::string, ReceivedDigest> digests_;
};

} // namespace poplardock
