#include "Process/Peers/PeerDirectory.h"

#include "Version/MemberTable.h"

#include <algorithm>

namespace poplardock {

namespace {

/// The report period grows with the number of local peers, so that a daemon sends at most about 160 report
/// datagrams a second, and receives as many, however many daemons its data centre has.
constexpr Milliseconds MIN_REPORT_PERIOD { 100 };
constexpr Milliseconds REPORT_PERIOD_PER_PEER { 6 };
/// Lower bound of the liveness timeout, and the number of report periods that it covers: three lost reports in a row are
/// rare.
constexpr Milliseconds MIN_LIVENESS_TIMEOUT { 1500 };
constexpr int LIVENESS_REPORT_PERIODS = 4;
/// A network partition lasts some seconds. A daemon not seen for longer than this is considered gone, and its demand
/// no longer counts.
constexpr Milliseconds DEMAND_RETENTION { 15000 };
/// As long as a daemon retains the crashes that it has observed itself.
constexpr std::chrono::minutes DIGEST_CRASH_RETENTION { 10 };

auto addDemand(std::map<std::string, double> &total, const std::map<std::string, double> &demand) -> void
{
    for (const auto &[team, requests] : demand) {
        total[team] += requests;
    }
}

auto addWork(WorkCounts &total, const WorkCounts &work) -> void
{
    for (const auto &[upstream, count] : work) {
        total[upstream].online += count.online;
        total[upstream].batch += count.batch;
    }
}

auto rendezvousScore(const std::string &daemon, const std::string &key) -> std::uint64_t
{
    return stableHash(daemon + "/" + key);
}

} // namespace

PeerDirectory::PeerDirectory(std::string ownName, std::string ownDataCentre)
    : ownName_(std::move(ownName))
    , ownDataCentre_(std::move(ownDataCentre))
{
}

auto PeerDirectory::addMember(const std::string &name, const std::string &address, const std::string &dataCentre) -> void
{
    if (name == ownName_) {
        return;
    }
    Peer &peer = peers_[name];
    peer.name = name;
    if (peer.address.empty() || peer.report.incarnation.empty()) {
        peer.address = address;
        peer.dataCentre = dataCentre;
    }
    updateLocalPeerCount();
}

auto PeerDirectory::handleReport(const DaemonReport &report, const std::string &address, BootTime now) -> bool
{
    if (report.name == ownName_) {
        return false;
    }
    Peer &peer = peers_[report.name];
    if (peer.report.incarnation == report.incarnation && report.sequence <= peer.report.sequence) {
        return false;
    }
    peer = { report.name, address, report.dataCentre, report, now };
    updateLocalPeerCount();
    return true;
}

auto PeerDirectory::updateLocalPeerCount() -> void
{
    localPeerCount_ = std::count_if(peers_.begin(), peers_.end(), [this](const auto &each) { return isLocal(each.second); });
}

auto PeerDirectory::isLocal(const Peer &peer) const -> bool
{
    return peer.dataCentre == ownDataCentre_ || peer.dataCentre.empty();
}

auto PeerDirectory::localPeers() const -> std::vector<const Peer *>
{
    std::vector<const Peer *> found;
    for (const auto &[name, peer] : peers_) {
        if (isLocal(peer)) {
            found.push_back(&peer);
        }
    }
    return found;
}

auto PeerDirectory::handleDigest(const DataCentreDigest &digest, BootTime now) -> bool
{
    if (digest.dataCentre == ownDataCentre_) {
        return false;
    }
    ReceivedDigest &known = digests_[digest.sender];
    if (!digest.isForwarded) {
        known.receivedDirectlyAt = now;
    }
    // The sender's own entry comes first; a new incarnation means that the sequence has started again.
    const bool isSameIncarnation = !known.digest.daemons.empty() && !digest.daemons.empty()
                                   && known.digest.daemons.front().incarnation == digest.daemons.front().incarnation;
    if (isSameIncarnation && digest.sequence <= known.digest.sequence) {
        return false;
    }
    known.digest = digest;
    known.receivedAt = now;
    for (const DigestEntry &entry : digest.daemons) {
        Peer &peer = peers_[entry.name];
        const BootTime lastSeenAt = now - entry.age;
        const bool isKnownIncarnation = peer.report.incarnation == entry.incarnation;
        if (entry.name == ownName_ || (isKnownIncarnation ? entry.sequence < peer.report.sequence : lastSeenAt < peer.lastSeenAt)) {
            continue;
        }
        peer.name = entry.name;
        peer.address = entry.address;
        peer.dataCentre = digest.dataCentre;
        peer.lastSeenAt = isKnownIncarnation ? std::max(peer.lastSeenAt, lastSeenAt) : lastSeenAt;
        peer.report = {};
        peer.report.name = entry.name;
        peer.report.dataCentre = digest.dataCentre;
        peer.report.incarnation = entry.incarnation;
        peer.report.sequence = entry.sequence;
        peer.report.isDraining = entry.isDraining;
        peer.report.hasStoreContact = entry.hasStoreContact;
        peer.report.jobs = entry.jobs;
    }
    peers_.erase(ownName_);
    updateLocalPeerCount();
    return true;
}

auto PeerDirectory::makeDigest(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> DataCentreDigest
{
    DataCentreDigest digest;
    digest.dataCentre = ownDataCentre_;
    digest.sender = ownName_;
    const auto add = [&digest](const DaemonReport &report, const std::string &address, Milliseconds age) {
        digest.daemons.push_back(
            { report.name, address, report.incarnation, report.sequence, age, report.isDraining, report.hasStoreContact, report.jobs });
        addWork(digest.work, report.work);
        addDemand(digest.demand, report.demand);
        for (const auto &[upstream, count] : report.work) {
            if (count.batch > 0) {
                digest.batchHolders[upstream] = report.name;
            }
        }
        for (const auto &[fingerprint, count] : report.crashes) {
            digest.crashes[fingerprint] += count;
        }
    };
    add(own, ownAddress, Milliseconds(0));
    for (const Peer *peer : localPeers()) {
        if (isAlive(*peer, now)) {
            add(peer->report, peer->address, std::chrono::ceil<Milliseconds>(now - peer->lastSeenAt));
        }
    }
    return digest;
}

auto PeerDirectory::relaysOf(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>
{
    struct Candidate
    {
        bool isAlive;
        std::uint64_t score;
        std::string name;
    };
    std::vector<Candidate> candidates;
    const auto add = [&candidates, &dataCentre](bool isAlive, const std::string &name) {
        candidates.push_back({ isAlive, rendezvousScore(name, "relay of " + dataCentre), name });
    };
    for (const auto &[name, peer] : peers_) {
        if (peer.dataCentre == dataCentre) {
            add(isAlive(peer, now) && !peer.report.isDraining, name);
        }
    }
    if (dataCentre == ownDataCentre_) {
        add(true, ownName_);
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.isAlive != b.isAlive ? a.isAlive : a.score > b.score;
    });
    std::vector<std::string> names;
    for (std::size_t index = 0; index < candidates.size() && index < 2; ++index) {
        if (index == 0 || candidates[index].isAlive == candidates[0].isAlive) {
            names.push_back(candidates[index].name);
        }
    }
    return names;
}

auto PeerDirectory::otherDataCentres() const -> std::set<std::string>
{
    std::set<std::string> found;
    for (const auto &[name, peer] : peers_) {
        if (!isLocal(peer)) {
            found.insert(peer.dataCentre);
        }
    }
    return found;
}

auto PeerDirectory::digestTargets(std::uint64_t tick, BootTime now) const -> std::vector<std::string>
{
    const std::vector<std::string> own = relaysOf(ownDataCentre_, now);
    const bool isFirstRelay = own[0] == ownName_;
    const bool isBackupTick = tick % BACKUP_DIGEST_TICKS == 0;
    if (!isFirstRelay && (!isBackupTick || own.size() < 2 || own[1] != ownName_)) {
        return {};
    }
    std::set<std::string> names;
    for (const std::string &dataCentre : otherDataCentres()) {
        const std::vector<std::string> relays = relaysOf(dataCentre, now);
        if (isFirstRelay) {
            names.insert(relays.front());
        }
        if (isBackupTick) {
            names.insert(relays.back());
        }
    }
    if (isBackupTick) {
        for (const auto &[sender, received] : digests_) {
            if (now - received.receivedDirectlyAt < MIN_LIVENESS_TIMEOUT) {
                names.insert(sender);
            }
        }
    }
    std::vector<std::string> addresses;
    for (const std::string &name : names) {
        if (const Peer *peer = find(name)) {
            addresses.push_back(peer->address);
        }
    }
    return addresses;
}

auto PeerDirectory::recentDigests(Milliseconds maxAge, BootTime now) const -> std::vector<const DataCentreDigest *>
{
    std::vector<const ReceivedDigest *> recent;
    for (const auto &[sender, received] : digests_) {
        if (now - received.receivedAt < maxAge) {
            recent.push_back(&received);
        }
    }
    // Digests that cover more daemons go first: a relay that is partitioned from most of its data centre only covers the
    // daemons that it still reaches.
    std::stable_sort(recent.begin(), recent.end(), [](const ReceivedDigest *a, const ReceivedDigest *b) {
        return a->digest.daemons.size() != b->digest.daemons.size() ? a->digest.daemons.size() > b->digest.daemons.size()
                                                                    : a->receivedAt > b->receivedAt;
    });
    std::set<std::string> covered;
    std::vector<const DataCentreDigest *> chosen;
    for (const ReceivedDigest *received : recent) {
        if (covered.contains(received->digest.sender)) {
            continue;
        }
        chosen.push_back(&received->digest);
        for (const DigestEntry &entry : received->digest.daemons) {
            covered.insert(entry.name);
        }
    }
    return chosen;
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
    return std::max(MIN_REPORT_PERIOD, REPORT_PERIOD_PER_PEER * localPeerCount_);
}

auto PeerDirectory::propagationDelay() const -> Milliseconds
{
    const bool hasRemotePeers = localPeerCount_ < static_cast<std::int64_t>(peers_.size());
    return reportPeriod() + (hasRemotePeers ? DIGEST_PERIOD / 2 : Milliseconds(0));
}

auto PeerDirectory::livenessTimeout() const -> Milliseconds
{
    return std::max(MIN_LIVENESS_TIMEOUT, LIVENESS_REPORT_PERIODS * reportPeriod());
}

auto PeerDirectory::isAlive(const Peer &peer, BootTime now) const -> bool
{
    return !peer.report.incarnation.empty() && now - peer.lastSeenAt < livenessTimeout();
}

auto PeerDirectory::work(BootTime now) const -> WorkCounts
{
    WorkCounts total;
    for (const auto &[name, peer] : peers_) {
        if (isAlive(peer, now)) {
            addWork(total, peer.report.work);
        }
    }
    for (const DataCentreDigest *digest : recentDigests(livenessTimeout(), now)) {
        addWork(total, digest->work);
    }
    return total;
}

auto PeerDirectory::countsForDemand(const Peer &peer, BootTime now) const -> bool
{
    return !peer.report.incarnation.empty() && now - peer.lastSeenAt < DEMAND_RETENTION;
}

auto PeerDirectory::demand(BootTime now) const -> std::map<std::string, double>
{
    std::map<std::string, double> total;
    for (const auto &[name, peer] : peers_) {
        if (countsForDemand(peer, now)) {
            addDemand(total, peer.report.demand);
        }
    }
    for (const DataCentreDigest *digest : recentDigests(DEMAND_RETENTION, now)) {
        addDemand(total, digest->demand);
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

auto PeerDirectory::crashes(const std::string &fingerprint, BootTime now) const -> int
{
    int total = 0;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.report.crashes.find(fingerprint);
        total += found == peer.report.crashes.end() ? 0 : found->second;
    }
    for (const DataCentreDigest *digest : recentDigests(DIGEST_CRASH_RETENTION, now)) {
        const auto found = digest->crashes.find(fingerprint);
        total += found == digest->crashes.end() ? 0 : found->second;
    }
    return total;
}

auto PeerDirectory::batchHolder(const std::string &upstream, BootTime now, std::uint64_t tieBreaker) const -> const Peer *
{
    std::vector<const Peer *> holders;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.report.work.find(upstream);
        if (isAlive(peer, now) && found != peer.report.work.end() && found->second.batch > 0) {
            holders.push_back(&peer);
        }
    }
    for (const DataCentreDigest *digest : recentDigests(livenessTimeout(), now)) {
        const auto found = digest->batchHolders.find(upstream);
        const Peer *peer = found == digest->batchHolders.end() ? nullptr : find(found->second);
        if (peer != nullptr) {
            holders.push_back(peer);
        }
    }
    return holders.empty() ? nullptr : holders[tieBreaker % holders.size()];
}

auto PeerDirectory::ownerOf(const std::string &job, BootTime now) const -> const Peer *
{
    const Peer *owner = nullptr;
    for (const auto &[name, peer] : peers_) {
        const auto &jobs = peer.report.jobs;
        const bool isOwner = mayTakeWork(peer, now) && std::find(jobs.begin(), jobs.end(), job) != jobs.end();
        if (isOwner && (owner == nullptr || peer.lastSeenAt > owner->lastSeenAt)) {
            owner = &peer;
        }
    }
    return owner;
}

auto PeerDirectory::allowanceHomeOf(const std::string &team, BootTime now) const -> std::string
{
    return selectByRendezvous(team, [this, now](const Peer &peer) { return countsForDemand(peer, now); });
}

auto PeerDirectory::isIsolated(BootTime now) const -> bool
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

auto PeerDirectory::mayTakeWork(const Peer &peer, BootTime now) const -> bool
{
    return isAlive(peer, now) && !peer.report.isDraining && peer.report.hasStoreContact;
}

auto PeerDirectory::storeWatcher(BootTime now) const -> std::string
{
    return selectByRendezvous("feeder", [this, now](const Peer &peer) { return isLocal(peer) && mayTakeWork(peer, now); });
}

auto PeerDirectory::homeOf(const std::string &key, BootTime now) const -> std::string
{
    return selectByRendezvous(key, [this, now](const Peer &peer) { return mayTakeWork(peer, now); });
}

auto PeerDirectory::selectByRendezvous(const std::string &key, const std::function<bool(const Peer &)> &isEligible) const -> std::string
{
    std::string best = ownName_;
    std::uint64_t bestScore = rendezvousScore(ownName_, key);
    for (const auto &[name, peer] : peers_) {
        const std::uint64_t score = rendezvousScore(name, key);
        if (score > bestScore && isEligible(peer)) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

} // namespace poplardock
