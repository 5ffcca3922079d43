#pragma once

#include "Process/Peers/DaemonReport.h"

#include <optional>

namespace poplardock {

/// What is known of one other daemon.
struct Peer
{
    std::string name;
    /// "IP:port" for datagrams and calls.
    std::string address;
    /// The last report; empty before the first one.
    DaemonReport report;
    BootTime heardAt;

    auto operator==(const Peer &) const -> bool = default;
};

/// The other daemons: from their records in the store and from their reports.
/// Times are given, so that tests need no clock. Thread safety: one thread.
class PeerDirectory
{
public:
    explicit PeerDirectory(std::string ownName);

    /// A record in the store names a daemon. Its address counts until a report comes from another one.
    auto addMember(const std::string &name, const std::string &address) -> void;
    /// Takes a report unless a later one of that incarnation came before. Returns whether it was taken.
    auto take(const DaemonReport &report, const std::string &address, BootTime now) -> bool;

    [[nodiscard]] auto peers() const -> const std::map<std::string, Peer> &;
    /// Null for an unknown daemon and for this one.
    [[nodiscard]] auto find(const std::string &name) const -> const Peer *;
    /// Time between two reports of a daemon; grows with the number of daemons.
    [[nodiscard]] auto reportPeriod() const -> Milliseconds;
    /// Heard within the time after which a daemon's work counts as gone: some report periods.
    [[nodiscard]] auto isAlive(const Peer &peer, BootTime now) const -> bool;
    /// Work of all living daemons but this one.
    [[nodiscard]] auto work(BootTime now) const -> WorkCounts;
    /// Demand for a team at all daemons but this one. A silent daemon's demand counts for some time, since it may
    /// only be cut off and go on admitting requests.
    [[nodiscard]] auto demand(const std::string &team, BootTime now) const -> double;
    /// Daemons whose demand counts, with this one.
    [[nodiscard]] auto daemonCount(BootTime now) const -> int;
    /// Deaths of upstreams that a request caused, as all other daemons saw them.
    [[nodiscard]] auto crashes(const std::string &fingerprint) const -> int;
    /// A living daemon with batch work at an upstream; "random" chooses among several.
    [[nodiscard]] auto batchHolder(const std::string &upstream, BootTime now, std::uint64_t random) const -> const Peer *;
    /// The living daemon that says it owns a job, or null. The last report decides between two.
    [[nodiscard]] auto ownerOf(const std::string &job, BootTime now) const -> const Peer *;
    /// The daemon that keeps a team's bucket, by rendezvous hashing over all daemons heard lately: a short silence moves
    /// no bucket, since the silent daemon may still give out tokens.
    [[nodiscard]] auto allowanceHomeOf(const std::string &team, BootTime now) const -> std::string;
    /// Other daemons are known and none is heard.
    [[nodiscard]] auto isAlone(BootTime now) const -> bool;
    /// The owner that a key falls to: among this daemon and all living ones that may take work, by rendezvous hashing.
    [[nodiscard]] auto homeOf(const std::string &key, BootTime now) const -> std::string;

private:
    [[nodiscard]] auto countsForDemand(const Peer &peer, BootTime now) const -> bool;

    const std::string ownName_;
    std::map<std::string, Peer> peers_;
};

} // namespace poplardock
