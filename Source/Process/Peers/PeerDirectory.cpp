#include "Process/Peers/PeerDirectory.h"

#include "Version/MemberTable.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Reports are as fresh as a daemon's share of datagrams allows: about 160 a second each way whatever the number of
/// daemons.
constexpr Milliseconds SHORTEST_PERIOD { 100 };
constexpr Milliseconds PERIOD_PER_PEER { 6 };
/// Shortest silence after which a daemon counts as gone, and the number of report periods that it must cover: three
/// losses in a row are rare.
constexpr Milliseconds SHORTEST_SILENCE { 1500 };
constexpr int SILENT_PERIODS = 4;
/// A cut between daemons lasts some seconds; after this time a silent daemon is taken to be gone.
constexpr Milliseconds DEMAND_MEMORY { 15000 };

auto rendezvousScore(const std::string &daemon, const std::string &key) -> std::uint64_t
{
    return stableHash(daemon + "/" + key);
}

} // namespace

PeerDirectory::PeerDirectory(std::string ownName)
    : ownName_(std::move(ownName))
{
}

auto PeerDirectory::addMember(const std::string &name, const std::string &address) -> void
{
    if (name == ownName_) {
        return;
    }
    Peer &peer = peers_[name];
    peer.name = name;
    if (peer.address.empty() || peer.report.incarnation.empty()) {
        peer.address = address;
    }
}

auto PeerDirectory::take(const DaemonReport &report, const std::string &address, BootTime now) -> bool
{
    if (report.name == ownName_) {
        return false;
    }
    Peer &peer = peers_[report.name];
    if (peer.report.incarnation == report.incarnation && report.sequence <= peer.report.sequence) {
        return false;
    }
    peer = { report.name, address, report, now };
    return true;
}

auto PeerDirectory::peers() const -> const std::map<std::string, Peer> &
{
    return peers_;
}

auto PeerDirectory::find(const std::string &name) const -> const Peer *
{
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : &found->second;
}

auto PeerDirectory::reportPeriod() const -> Milliseconds
{
    return std::max(SHORTEST_PERIOD, PERIOD_PER_PEER * static_cast<std::int64_t>(peers_.size()));
}

auto PeerDirectory::isAlive(const Peer &peer, BootTime now) const -> bool
{
    return !peer.report.incarnation.empty() && now - peer.heardAt < std::max(SHORTEST_SILENCE, SILENT_PERIODS * reportPeriod());
}

auto PeerDirectory::work(BootTime now) const -> WorkCounts
{
    WorkCounts total;
    for (const auto &[name, peer] : peers_) {
        if (!isAlive(peer, now)) {
            continue;
        }
        for (const auto &[upstream, count] : peer.report.work) {
            total[upstream].online += count.online;
            total[upstream].batch += count.batch;
        }
    }
    return total;
}

auto PeerDirectory::countsForDemand(const Peer &peer, BootTime now) const -> bool
{
    return !peer.report.incarnation.empty() && now - peer.heardAt < DEMAND_MEMORY;
}

auto PeerDirectory::demand(const std::string &team, BootTime now) const -> double
{
    double total = 0;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.report.demand.find(team);
        if (countsForDemand(peer, now) && found != peer.report.demand.end()) {
            total += found->second;
        }
    }
    return total;
}

auto PeerDirectory::daemonCount(BootTime now) const -> int
{
    int count = 1;
    for (const auto &[name, peer] : peers_) {
        count += countsForDemand(peer, now) ? 1 : 0;
    }
    return count;
}

auto PeerDirectory::crashes(const std::string &fingerprint) const -> int
{
    int total = 0;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.report.crashes.find(fingerprint);
        total += found == peer.report.crashes.end() ? 0 : found->second;
    }
    return total;
}

auto PeerDirectory::batchHolder(const std::string &upstream, BootTime now, std::uint64_t random) const -> const Peer *
{
    std::vector<const Peer *> holders;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.report.work.find(upstream);
        if (isAlive(peer, now) && found != peer.report.work.end() && found->second.batch > 0) {
            holders.push_back(&peer);
        }
    }
    return holders.empty() ? nullptr : holders[random % holders.size()];
}

auto PeerDirectory::ownerOf(const std::string &job, BootTime now) const -> const Peer *
{
    const Peer *owner = nullptr;
    for (const auto &[name, peer] : peers_) {
        const auto &jobs = peer.report.jobs;
        const bool claims = isAlive(peer, now) && peer.report.hasStore && !peer.report.isLeaving
                            && std::find(jobs.begin(), jobs.end(), job) != jobs.end();
        if (claims && (owner == nullptr || peer.heardAt > owner->heardAt)) {
            owner = &peer;
        }
    }
    return owner;
}

auto PeerDirectory::allowanceHomeOf(const std::string &team, BootTime now) const -> std::string
{
    std::string best = ownName_;
    std::uint64_t bestScore = rendezvousScore(ownName_, team);
    for (const auto &[name, peer] : peers_) {
        const std::uint64_t score = rendezvousScore(name, team);
        if (countsForDemand(peer, now) && score > bestScore) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

auto PeerDirectory::isAlone(BootTime now) const -> bool
{
    bool hasPeers = false;
    for (const auto &[name, peer] : peers_) {
        if (isAlive(peer, now)) {
            return false;
        }
        hasPeers = hasPeers || !peer.report.incarnation.empty();
    }
    return hasPeers;
}

auto PeerDirectory::homeOf(const std::string &key, BootTime now) const -> std::string
{
    std::string best = ownName_;
    std::uint64_t bestScore = rendezvousScore(ownName_, key);
    for (const auto &[name, peer] : peers_) {
        const std::uint64_t score = rendezvousScore(name, key);
        if (isAlive(peer, now) && !peer.report.isLeaving && peer.report.hasStore && score > bestScore) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

} // namespace poplardock
