#include "Process/Peers/PeerDirectory.h"

#include "Process/Peers/Rendezvous.h"
#include "Version/MemberTable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace poplardock {

namespace {

constexpr Milliseconds MINIMUM_PERIOD { 50 };
constexpr Milliseconds MAXIMUM_REPORT_PERIOD { 100 };
constexpr Milliseconds MAXIMUM_SUMMARY_PERIOD { 200 };
constexpr std::int64_t REPORT_MS_PER_DAEMON = 4;
constexpr std::int64_t SUMMARY_MS_PER_DAEMON = 3;
/// In a data centre with fewer daemons, both relays answer at the same rate.
constexpr std::int64_t SMALL_DATA_CENTRE = 16;
/// Time after the discovery of a daemon during which it is presumed alive although no relay has heard it.
constexpr Milliseconds PRESUMED_ALIVE { 3000 };
/// Time without a summary after which a relay is passed over, and for how long.
constexpr Milliseconds RELAY_TIMEOUT { 800 };
constexpr Milliseconds PASSED_OVER_TIME { 3000 };
/// Every how many reports go to further daemons, so that one that was cut off or passed over others finds back.
constexpr std::uint64_t PROBE_REPORTS = 5;
/// The second relay's messages count when the first was silent for this time.
constexpr Milliseconds FIRST_RELAY_SILENCE { 400 };
/// A data centre from which nothing is heard for this time counts as gone with all its daemons.
constexpr Milliseconds GROUP_SILENCE { 6000 };
/// Time in which a daemon that runs is heard by one that knows its address.
constexpr Milliseconds HEARING_TIME { 2500 };
/// Age of an echoed report up to which a daemon knows itself heard; below the liveness timeout by the time that the
/// loss takes at least to spread.
constexpr Milliseconds HEARD_TIME { 1200 };
/// Time for which a relay passes on the announcement of a job's owner.
constexpr Milliseconds ANNOUNCEMENT_TIME { 600 };
/// Announcements are kept while callers read the results, as many as a fleet at its target size needs.
/// A daemon that has not been heard for a shorter time may only be cut off and still send requests.
constexpr std::chrono::minutes KNOWN_RETENTION { 10 };
constexpr std::chrono::seconds ANNOUNCEMENT_RETENTION { 60 };
constexpr std::size_t MAXIMUM_ANNOUNCEMENTS = 10000;
/// Cancellations without the owner are rare; more than these do not fit a datagram beside the sums. A relay passes on those
/// of several daemons.
constexpr std::size_t MAXIMUM_OWN_CANCELLATIONS = 100;
constexpr std::size_t MAXIMUM_SENT_CANCELLATIONS = 1000;
/// How long selections that many requests repeat are reused.
constexpr Milliseconds HOME_CACHE_TIME { 250 };
constexpr Milliseconds RELAY_CACHE_TIME { 100 };
constexpr std::size_t MAXIMUM_CACHED_HOMES = 10000;

auto relayScoreOf(const std::string &name, const std::string &dataCentre) -> double
{
    return rendezvousScore(name, "relay of " + dataCentre, 1);
}

auto versionOf(const std::vector<RosterEntry> &entries) -> std::uint64_t
{
    std::string text;
    for (const RosterEntry &entry : entries) {
        absl::StrAppend(&text, entry.name, " ", entry.address, " ", entry.incarnation, " ", entry.capacity);
        absl::StrAppend(&text, entry.isDraining ? " draining" : "", entry.hasStoreContact ? "" : " storeless", "\n");
    }
    return stableHash(text);
}

} // namespace

PeerDirectory::PeerDirectory(std::string ownName, std::string ownDataCentre, int ownCapacity)
    : ownName_(std::move(ownName))
    , ownDataCentre_(std::move(ownDataCentre))
    , ownCapacity_(ownCapacity)
    , ownRelayScore_(relayScoreOf(ownName_, ownDataCentre_))
    , probeOffset_(stableHash(ownName_))
    , upstreamLimits_(std::make_unique<UpstreamLimits>(ownName_))
{
}

auto PeerDirectory::handleChange() -> void
{
    localPeerCount_ = std::count_if(peers_.begin(), peers_.end(), [this](const auto &each) { return isLocal(each.second); });
    relays_.clear();
}

auto PeerDirectory::addMember(
    const std::string &name, const std::string &address, const std::string &dataCentre, int capacity, BootTime now) -> void
{
    if (name == ownName_) {
        return;
    }
    const auto [entry, isNew] = peers_.try_emplace(name);
    Peer &peer = entry->second;
    if (isNew || (peer.incarnation.empty() && peer.address != address)) {
        peer.name = name;
        peer.address = address;
        peer.dataCentre = dataCentre;
        peer.relayScore = relayScoreOf(name, dataCentre);
        peer.capacity = capacity;
        peer.addedAt = now;
        handleChange();
    }
}

auto PeerDirectory::recordMembersListed(BootTime now) -> void
{
    if (!membersListedAt_) {
        membersListedAt_ = now;
        allowanceHomes_.clear();
        // The daemons that have just been found begin to report here only now.
        settledAt_ = std::max(settledAt_, now + settlingTime());
    }
}

auto PeerDirectory::isNewer(std::map<std::string, Sender> &senders,
                            const std::string &name,
                            const std::string &incarnation,
                            std::uint64_t sequence,
                            BootTime now) -> bool
{
    Sender &sender = senders[name];
    if (sender.incarnation == incarnation && sequence <= sender.sequence) {
        return false;
    }
    sender = { incarnation, sequence, now };
    return true;
}

auto PeerDirectory::applyEntry(const std::string &dataCentre, const RosterEntry &entry, BootTime seenAt) -> void
{
    if (entry.name == ownName_) {
        return;
    }
    const auto [position, isNew] = peers_.try_emplace(entry.name);
    Peer &peer = position->second;
    const Peer before = peer;
    peer.name = entry.name;
    peer.address = entry.address;
    peer.dataCentre = dataCentre;
    peer.incarnation = entry.incarnation;
    peer.capacity = entry.capacity;
    peer.isDraining = entry.isDraining;
    peer.hasStoreContact = entry.hasStoreContact;
    peer.isUnlisted = false;
    if (isNew) {
        peer.addedAt = seenAt;
    }
    if (isNew || before.dataCentre != dataCentre) {
        peer.relayScore = relayScoreOf(entry.name, dataCentre);
    }
    const bool isChanged = isNew || before.dataCentre != peer.dataCentre || before.capacity != peer.capacity
                           || before.isDraining != peer.isDraining || before.incarnation != peer.incarnation || before.isUnlisted;
    peer.lastSeenAt = std::max(peer.lastSeenAt, seenAt);
    if (before.incarnation != peer.incarnation) {
        crashSuspects_->announceRefused(seenAt);
        upstreamLimits_->announceAll(seenAt);
        leavingUpstreams_->announceAll(seenAt);
    }
    if (isChanged) {
        handleChange();
    }
}

auto PeerDirectory::handleReport(const DaemonReport &report, const std::string &address, BootTime now) -> bool
{
    if (report.name == ownName_) {
        return false;
    }
    ReporterState &reporter = reporters_[report.name];
    const Peer *known = find(report.name);
    if (known != nullptr && known->incarnation == report.incarnation && report.sequence <= reporter.sequence
        && reporter.heardAt != BootTime()) {
        return false;
    }
    reporter = { report.isToBackup, report.sequence, now, 0 };
    applyEntry(
        report.dataCentre, { report.name, address, report.incarnation, report.capacity, report.isDraining, report.hasStoreContact }, now);
    load_.applyReport(report, now);
    std::vector<JobOwner> jobs;
    for (const std::string &job : report.jobs) {
        jobs.push_back({ job, report.name });
    }
    addAnnouncements(jobs, Source::Report, now);
    addCancellations(report.cancelledJobs, Source::Report, now);
    crashSuspects_->merge(report.crashSuspects, now);
    upstreamLimits_->merge(report.upstreamLimits, now);
    upstreamLimits_->cold().merge(report.coldStatements, now);
    mergeLeaving(report.leavingUpstreams, now);
    return true;
}

auto PeerDirectory::isPreferred(const std::map<std::string, Sender> &senders,
                                const std::string &dataCentre,
                                const std::string &sender,
                                BootTime now) const -> bool
{
    const auto isSilent = [&senders, now](const std::string &relay, Milliseconds time) {
        const auto found = senders.find(relay);
        return found == senders.end() || now - found->second.heardAt > time;
    };
    const std::vector<std::string> relays = relaysOf(dataCentre, now);
    if (relays.empty() || relays.front() == sender) {
        return true;
    }
    if (relays.back() == sender) {
        return isSilent(relays.front(), FIRST_RELAY_SILENCE);
    }
    // Another daemon that takes itself for a relay may hear few others, so it only counts when no relay does.
    return std::all_of(relays.begin(), relays.end(), [this, &isSilent](const std::string &relay) {
        return relay == ownName_ || isSilent(relay, FleetLoad::LIVENESS_TIMEOUT);
    });
}

auto PeerDirectory::handleDigest(const DataCentreDigest &digest, BootTime now) -> bool
{
    if (digest.dataCentre == ownDataCentre_ || !isNewer(digestSenders_, digest.sender, digest.incarnation, digest.sequence, now)) {
        return false;
    }
    addAnnouncements(digest.jobs, Source::Digest, now);
    addCancellations(digest.cancelledJobs, Source::Digest, now);
    crashSuspects_->merge(digest.crashSuspects, now);
    upstreamLimits_->merge(digest.upstreamLimits, now);
    upstreamLimits_->cold().merge(digest.coldStatements, now);
    mergeLeaving(digest.leavingUpstreams, now);
    if (!isPreferred(digestSenders_, digest.dataCentre, digest.sender, now)) {
        return false;
    }
    load_.applyDigest(digest, now);
    confirmRoster(digest.dataCentre, digest.rosterVersion, digest.sender, now);
    return true;
}

auto PeerDirectory::handleSummary(const FleetSummary &summary, BootTime now) -> bool
{
    if (summary.sender == ownName_ || !isNewer(summarySenders_, summary.sender, summary.incarnation, summary.sequence, now)) {
        return false;
    }
    RelayState &relay = relayStates_[summary.sender];
    relay.lastSummaryAt = now;
    if (const auto sentAt = load_.reportSentAt(summary.echoedReport)) {
        relay.echoedAt = std::max(relay.echoedAt, *sentAt);
        if (isPassedOver(summary.sender, now) && now - relay.echoedAt < RELAY_TIMEOUT) {
            relay.passedOverUntil = {};
            relay.targetedSince = now;
            relays_.clear();
        }
    }
    addAnnouncements(summary.jobs, Source::Summary, now);
    addCancellations(summary.cancelledJobs, Source::Summary, now);
    crashSuspects_->merge(summary.crashSuspects, now);
    upstreamLimits_->merge(summary.upstreamLimits, now);
    upstreamLimits_->cold().merge(summary.coldStatements, now);
    mergeLeaving(summary.leavingUpstreams, now);
    const bool isServing = isFirstRelay(now) && !reporters(now).empty();
    if (isServing || !isPreferred(summarySenders_, ownDataCentre_, summary.sender, now)) {
        return false;
    }
    load_.applySummary(summary, now);
    for (const RosterState &state : summary.rosters) {
        confirmRoster(state.dataCentre, state.version, summary.sender, now - state.age);
    }
    return true;
}

auto PeerDirectory::confirmRoster(const std::string &dataCentre, std::uint64_t version, const std::string &sender, BootTime confirmedAt)
    -> void
{
    const auto known = rosters_.find(dataCentre);
    if (known == rosters_.end() || known->second.roster.version != version) {
        missingRosters_[dataCentre] = { version, sender };
        return;
    }
    missingRosters_.erase(dataCentre);
    known->second.confirmedAt = std::max(known->second.confirmedAt, confirmedAt);
    for (std::size_t index = 0; index < known->second.peers.size(); ++index) {
        Peer *peer = known->second.peers[index];
        if (peer != nullptr && peer->incarnation == known->second.roster.entries[index].incarnation) {
            peer->lastSeenAt = std::max(peer->lastSeenAt, confirmedAt);
        }
    }
}

auto PeerDirectory::handleRoster(const Roster &roster, BootTime now) -> bool
{
    const auto missing = missingRosters_.find(roster.dataCentre);
    if (missing == missingRosters_.end() || missing->second.version != roster.version) {
        return false;
    }
    missingRosters_.erase(missing);
    std::set<std::string> listed;
    std::vector<Peer *> listedPeers;
    for (const RosterEntry &entry : roster.entries) {
        listed.insert(entry.name);
        applyEntry(roster.dataCentre, entry, now);
        const auto peer = peers_.find(entry.name);
        listedPeers.push_back(peer == peers_.end() ? nullptr : &peer->second);
    }
    for (auto &[name, peer] : peers_) {
        const bool isDropped = peer.dataCentre == roster.dataCentre && !peer.incarnation.empty() && !listed.contains(name);
        if (isDropped && !peer.isUnlisted) {
            peer.isUnlisted = true;
            handleChange();
        }
    }
    rosters_[roster.dataCentre] = { roster, std::move(listedPeers), now };
    return true;
}

auto PeerDirectory::recordOwnReport(const DaemonReport &report, BootTime now) -> void
{
    if (now - lastOwnReportAt_ > settlingTime()) {
        settledAt_ = now + settlingTime();
    }
    lastOwnReportAt_ = now;
    ownHasStoreContact_ = report.hasStoreContact;
    load_.recordOwnReport(report, now);
}

auto PeerDirectory::settlingTime() const -> Milliseconds
{
    // A daemon that has passed this one over reports to it only now and then.
    return static_cast<std::int64_t>(PROBE_REPORTS + 1) * reportPeriod();
}

auto PeerDirectory::addAnnouncements(const std::vector<JobOwner> &jobs, Source source, BootTime now) -> void
{
    for (const JobOwner &each : jobs) {
        if (each.owner == ownName_) {
            announcements_.erase(each.job);
            continue;
        }
        JobAnnouncement &known = announcements_[each.job];
        // What a relay has heard itself it may also receive from the other relay.
        const bool isRepeated = source == Source::Summary && known.owner == each.owner && known.source != Source::Summary;
        if (!isRepeated) {
            const Peer *owner = find(each.owner);
            known = { each.owner, owner == nullptr ? std::string() : owner->incarnation, now, source };
        }
    }
}

auto PeerDirectory::recentAnnouncements(Source lastSource, BootTime now) const -> std::vector<JobOwner>
{
    std::vector<JobOwner> jobs;
    for (const auto &[job, announcement] : announcements_) {
        if (now - announcement.heardAt < ANNOUNCEMENT_TIME && announcement.source <= lastSource) {
            jobs.push_back({ job, announcement.owner });
        }
    }
    return jobs;
}

auto PeerDirectory::announceCancellation(const std::string &job, BootTime now) -> bool
{
    const std::vector<std::string> announced = ownCancellations(now);
    if (announced.size() >= MAXIMUM_OWN_CANCELLATIONS && std::find(announced.begin(), announced.end(), job) == announced.end()) {
        return false;
    }
    cancellations_[job] = { now, Source::Own };
    return true;
}

auto PeerDirectory::addCancellations(const std::vector<std::string> &jobs, Source source, BootTime now) -> void
{
    for (const std::string &job : jobs) {
        const auto known = cancellations_.find(job);
        // What was heard at first hand, or announced here, also comes back from a relay.
        if (known == cancellations_.end() || source <= known->second.source) {
            cancellations_[job] = { now, source };
        }
    }
}

auto PeerDirectory::recentCancellations(Source firstSource, Source lastSource, BootTime now) const -> std::vector<std::string>
{
    std::vector<std::string> jobs;
    for (const auto &[job, cancellation] : cancellations_) {
        const bool isFromThere = cancellation.source >= firstSource && cancellation.source <= lastSource;
        if (isFromThere && now - cancellation.heardAt < ANNOUNCEMENT_TIME && jobs.size() < MAXIMUM_SENT_CANCELLATIONS) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

auto PeerDirectory::ownCancellations(BootTime now) const -> std::vector<std::string>
{
    return recentCancellations(Source::Own, Source::Own, now);
}

auto PeerDirectory::cancelledJobs() const -> std::vector<std::string>
{
    std::vector<std::string> jobs;
    for (const auto &[job, cancellation] : cancellations_) {
        if (cancellation.source != Source::Own) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

auto PeerDirectory::removeExpired(BootTime now) -> void
{
    const auto isOld = [now](BootTime heardAt) {
        return now - heardAt > ANNOUNCEMENT_RETENTION;
    };
    load_.removeExpired(now);
    crashSuspects_->removeExpired(now);
    upstreamLimits_->removeExpired(now);
    leavingUpstreams_->removeExpired(now);
    std::erase_if(cancellations_, [&isOld](const auto &each) { return isOld(each.second.heardAt); });
    while (cancellations_.size() > MAXIMUM_ANNOUNCEMENTS) {
        cancellations_.erase(cancellations_.begin());
    }
    std::erase_if(digestSenders_, [&isOld](const auto &each) { return isOld(each.second.heardAt); });
    std::erase_if(summarySenders_, [&isOld](const auto &each) { return isOld(each.second.heardAt); });
    std::erase_if(relayStates_,
                  [&isOld](const auto &each) { return isOld(each.second.lastTargetedAt) && isOld(each.second.lastSummaryAt); });
    std::erase_if(announcements_, [&isOld](const auto &each) { return isOld(each.second.heardAt); });
    while (announcements_.size() > MAXIMUM_ANNOUNCEMENTS) {
        announcements_.erase(announcements_.begin());
    }
    std::erase_if(reporters_, [&isOld](const auto &each) { return isOld(each.second.heardAt); });
}

auto PeerDirectory::ownRoster(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> Roster
{
    std::map<std::string, RosterEntry> entries;
    entries[ownName_] = { ownName_, ownAddress, own.incarnation, own.capacity, own.isDraining, own.hasStoreContact };
    for (const Reporter &reporter : reporters(now)) {
        const Peer &peer = *reporter.peer;
        if (isLocal(peer)) {
            entries[peer.name] = { peer.name, peer.address, peer.incarnation, peer.capacity, peer.isDraining, peer.hasStoreContact };
        }
    }
    Roster roster;
    roster.dataCentre = ownDataCentre_;
    for (auto &[name, entry] : entries) {
        roster.entries.push_back(std::move(entry));
    }
    roster.version = versionOf(roster.entries);
    return roster;
}

auto PeerDirectory::rosterOf(const std::string &dataCentre, const DaemonReport &own, const std::string &ownAddress, BootTime now) const
    -> std::optional<Roster>
{
    if (dataCentre == ownDataCentre_) {
        return ownRoster(own, ownAddress, now);
    }
    const auto known = rosters_.find(dataCentre);
    return known == rosters_.end() ? std::nullopt : std::optional(known->second.roster);
}

auto PeerDirectory::missingRosters(const std::string &sender) const -> std::vector<std::string>
{
    std::vector<std::string> dataCentres;
    for (const auto &[dataCentre, missing] : missingRosters_) {
        if (missing.sender == sender) {
            dataCentres.push_back(dataCentre);
        }
    }
    return dataCentres;
}

auto PeerDirectory::makeDigest(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> DataCentreDigest
{
    DataCentreDigest digest;
    static_cast<LoadSums &>(digest) = load_.dataCentreSums(own, now);
    digest.dataCentre = ownDataCentre_;
    digest.sender = ownName_;
    digest.incarnation = own.incarnation;
    digest.rosterVersion = ownRoster(own, ownAddress, now).version;
    digest.jobs = recentAnnouncements(Source::Report, now);
    digest.cancelledJobs = recentCancellations(Source::Own, Source::Report, now);
    digest.crashSuspects = crashSuspects_->states(now);
    digest.upstreamLimits = upstreamLimits_->states(now);
    digest.coldStatements = upstreamLimits_->cold().states(now);
    digest.leavingUpstreams = leavingUpstreams_->states(now);
    for (const std::string &job : own.jobs) {
        digest.jobs.push_back({ job, ownName_ });
    }
    return digest;
}

auto PeerDirectory::makeSummary(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> FleetSummary
{
    FleetSummary summary;
    static_cast<LoadSums &>(summary) = load_.fleetSums(own, now);
    summary.sender = ownName_;
    summary.incarnation = own.incarnation;
    summary.rosters.push_back({ ownDataCentre_, ownRoster(own, ownAddress, now).version, Milliseconds(0) });
    for (const auto &[dataCentre, known] : rosters_) {
        if (dataCentre != ownDataCentre_) {
            summary.rosters.push_back({ dataCentre, known.roster.version, std::chrono::ceil<Milliseconds>(now - known.confirmedAt) });
        }
    }
    summary.jobs = recentAnnouncements(Source::Digest, now);
    summary.cancelledJobs = recentCancellations(Source::Own, Source::Digest, now);
    summary.crashSuspects = crashSuspects_->states(now);
    summary.upstreamLimits = upstreamLimits_->states(now);
    summary.coldStatements = upstreamLimits_->cold().states(now);
    summary.leavingUpstreams = leavingUpstreams_->states(now);
    for (const std::string &job : own.jobs) {
        summary.jobs.push_back({ job, ownName_ });
    }
    return summary;
}

auto PeerDirectory::mayRelay(const Peer &peer, BootTime now) const -> bool
{
    return !peer.isDraining && (isAlive(peer, now) || isPresumedAlive(peer, now));
}

auto PeerDirectory::isPresumedAlive(const Peer &peer, BootTime now) -> bool
{
    return !peer.isUnlisted && peer.incarnation.empty() && now - peer.addedAt < PRESUMED_ALIVE;
}

auto PeerDirectory::mayRunUnheard(const Peer &peer, BootTime now) -> bool
{
    return !peer.isUnlisted && peer.incarnation.empty() && now - peer.addedAt < FleetLoad::DEMAND_RETENTION;
}

auto PeerDirectory::isPassedOver(const std::string &name, BootTime now) const -> bool
{
    const auto state = relayStates_.find(name);
    return state != relayStates_.end() && now < state->second.passedOverUntil;
}

auto PeerDirectory::rankRelays(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>
{
    struct Candidate
    {
        bool mayRelay = false;
        int capacity = 0;
        double score = 0;
        const std::string *name = nullptr;

        [[nodiscard]] auto isBetterThan(const Candidate &other) const -> bool
        {
            return other.name == nullptr || std::tie(mayRelay, capacity, score) > std::tie(other.mayRelay, other.capacity, other.score);
        }
    };
    Candidate first;
    Candidate second;
    const auto add = [&first, &second](const Candidate &candidate) {
        if (candidate.isBetterThan(first)) {
            second = first;
            first = candidate;
        } else if (candidate.isBetterThan(second)) {
            second = candidate;
        }
    };
    for (const auto &[name, peer] : peers_) {
        if (peer.dataCentre == dataCentre) {
            add({ mayRelay(peer, now) && !isPassedOver(name, now), peer.capacity, peer.relayScore, &name });
        }
    }
    if (dataCentre == ownDataCentre_) {
        add({ true, ownCapacity_, ownRelayScore_, &ownName_ });
    }
    std::vector<std::string> names;
    if (first.name != nullptr) {
        names.push_back(*first.name);
    }
    if (second.name != nullptr && second.mayRelay == first.mayRelay) {
        names.push_back(*second.name);
    }
    return names;
}

auto PeerDirectory::relaysOf(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>
{
    CachedRelays &cached = relays_[dataCentre];
    if (now >= cached.validUntil || now < cached.validUntil - 2 * RELAY_CACHE_TIME) {
        cached = { rankRelays(dataCentre, now), now + RELAY_CACHE_TIME };
    }
    return cached.names;
}

auto PeerDirectory::isRelay(BootTime now) const -> bool
{
    const std::vector<std::string> relays = relaysOf(ownDataCentre_, now);
    return std::find(relays.begin(), relays.end(), ownName_) != relays.end();
}

auto PeerDirectory::isSettled(BootTime now) const -> bool
{
    return now >= settledAt_;
}

auto PeerDirectory::hasOtherRelay(BootTime now) const -> bool
{
    return relaysOf(ownDataCentre_, now) != std::vector<std::string> { ownName_ };
}

auto PeerDirectory::isFirstRelay(BootTime now) const -> bool
{
    return relaysOf(ownDataCentre_, now).front() == ownName_;
}

auto PeerDirectory::reportTargets(BootTime now) -> std::vector<const Peer *>
{
    for (const std::string &name : relaysOf(ownDataCentre_, now)) {
        if (name == ownName_) {
            continue;
        }
        RelayState &state = relayStates_[name];
        if (now - state.lastTargetedAt > RELAY_TIMEOUT) {
            state.targetedSince = now;
        }
        state.lastTargetedAt = now;
        if (now - std::max(state.targetedSince, state.lastSummaryAt) > RELAY_TIMEOUT) {
            state.passedOverUntil = now + PASSED_OVER_TIME;
            relays_.clear();
        }
    }
    std::vector<std::string> names = relaysOf(ownDataCentre_, now);
    if (++reportCount_ % PROBE_REPORTS == 0) {
        for (const std::string &name : probeTargets(reportCount_ / PROBE_REPORTS)) {
            if (std::find(names.begin(), names.end(), name) == names.end()) {
                names.push_back(name);
            }
        }
    }
    std::vector<const Peer *> targets;
    for (const std::string &name : names) {
        if (const Peer *peer = find(name)) {
            targets.push_back(peer);
        }
    }
    return targets;
}

auto PeerDirectory::probeTargets(std::uint64_t round) const -> std::vector<std::string>
{
    std::vector<std::pair<std::pair<int, double>, std::string>> ranked;
    for (const auto &[name, peer] : peers_) {
        if (isLocal(peer)) {
            ranked.push_back({ { peer.capacity, peer.relayScore }, name });
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> names;
    for (std::size_t index = 0; index < ranked.size() && index < 2; ++index) {
        names.push_back(ranked[index].second);
    }
    if (!ranked.empty()) {
        names.push_back(ranked[(probeOffset_ + round) % ranked.size()].second);
    }
    return names;
}

auto PeerDirectory::reporters(BootTime now) const -> std::vector<Reporter>
{
    std::vector<Reporter> found;
    for (const auto &[name, state] : reporters_) {
        const Peer *peer = find(name);
        if (peer != nullptr && now - state.heardAt < FleetLoad::LIVENESS_TIMEOUT) {
            found.push_back({ peer, state.isToBackup, state.sequence });
        }
    }
    return found;
}

auto PeerDirectory::summaryTargets(std::uint64_t tick, BootTime now) -> std::vector<Reporter>
{
    if (!isSettled(now)) {
        return {};
    }
    const bool isBackupTick = tick % static_cast<std::uint64_t>(backupSummaryTicks()) == 0;
    const bool isRelayNow = isRelay(now);
    std::vector<Reporter> targets = reporters(now);
    std::erase_if(targets, [this, isBackupTick, isRelayNow](const Reporter &each) {
        ReporterState &state = reporters_.at(each.peer->name);
        if ((each.isToBackup && !isBackupTick) || (!isRelayNow && state.answered == each.sequence)) {
            return true;
        }
        state.answered = each.sequence;
        return false;
    });
    return targets;
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
        for (const auto &[name, sender] : digestSenders_) {
            if (now - sender.heardAt < FleetLoad::LIVENESS_TIMEOUT) {
                names.insert(name);
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

auto PeerDirectory::isLocal(const Peer &peer) const -> bool
{
    return peer.dataCentre == ownDataCentre_ || peer.dataCentre.empty();
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

auto PeerDirectory::localCount() const -> std::int64_t
{
    return localPeerCount_ + 1;
}

auto PeerDirectory::reportPeriod() const -> Milliseconds
{
    return std::clamp(Milliseconds(REPORT_MS_PER_DAEMON * localCount()), MINIMUM_PERIOD, MAXIMUM_REPORT_PERIOD);
}

auto PeerDirectory::summaryPeriod() const -> Milliseconds
{
    return std::clamp(Milliseconds(SUMMARY_MS_PER_DAEMON * localCount()), MINIMUM_PERIOD, MAXIMUM_SUMMARY_PERIOD);
}

auto PeerDirectory::backupSummaryTicks() const -> int
{
    constexpr int LARGE_DATA_CENTRE_TICKS = 3;
    return localCount() < SMALL_DATA_CENTRE ? 1 : LARGE_DATA_CENTRE_TICKS;
}

auto PeerDirectory::propagationDelay() const -> Milliseconds
{
    const bool hasRemotePeers = localPeerCount_ < static_cast<std::int64_t>(peers_.size());
    return (reportPeriod() + summaryPeriod()) / 2 + (hasRemotePeers ? DIGEST_PERIOD / 2 : Milliseconds(0));
}

auto PeerDirectory::isAlive(const Peer &peer, BootTime now) const -> bool
{
    return !peer.incarnation.empty() && !peer.isUnlisted && now - peer.lastSeenAt < FleetLoad::LIVENESS_TIMEOUT;
}

auto PeerDirectory::isGone(const Peer &peer, BootTime now) const -> bool
{
    if (isAlive(peer, now)) {
        return false;
    }
    // A relay hears the daemons of its data centre itself.
    return peer.isUnlisted || now - peer.lastSeenAt > GROUP_SILENCE || (isLocal(peer) && isFirstRelay(now));
}

auto PeerDirectory::mayTakeWork(const Peer &peer, BootTime now) const -> bool
{
    return isAlive(peer, now) && !peer.isDraining && peer.hasStoreContact;
}

auto PeerDirectory::isUnheardGone(BootTime now) const -> bool
{
    return membersListedAt_ && now - *membersListedAt_ > (hasFullView(now) ? HEARING_TIME : GROUP_SILENCE);
}

auto PeerDirectory::hasFullView(BootTime now) const -> bool
{
    if (!membersListedAt_) {
        return false;
    }
    std::set<std::string> heard;
    std::set<std::string> known;
    for (const auto &[name, peer] : peers_) {
        known.insert(peer.dataCentre);
        if (isAlive(peer, now)) {
            heard.insert(peer.dataCentre);
        }
    }
    known.erase(ownDataCentre_);
    return std::includes(heard.begin(), heard.end(), known.begin(), known.end());
}

auto PeerDirectory::isHeard(BootTime now) const -> bool
{
    bool hasRelay = false;
    for (const std::string &name : relaysOf(ownDataCentre_, now)) {
        if (name == ownName_) {
            continue;
        }
        const auto state = relayStates_.find(name);
        if (state == relayStates_.end() || now - state->second.echoedAt > HEARD_TIME) {
            return false;
        }
        hasRelay = true;
    }
    return hasRelay;
}

auto PeerDirectory::wasHeardSince(BootTime time, BootTime now) const -> bool
{
    const std::vector<std::string> relays = relaysOf(ownDataCentre_, now);
    return std::any_of(relays.begin(), relays.end(), [this, time](const std::string &name) {
        const auto state = relayStates_.find(name);
        return state != relayStates_.end() && state->second.echoedAt >= time;
    });
}

auto PeerDirectory::work(BootTime now) const -> WorkCounts
{
    return load_.work(isFirstRelay(now), now);
}

auto PeerDirectory::demand(BootTime now) const -> std::map<std::string, double>
{
    return load_.demand(isFirstRelay(now), now);
}

auto PeerDirectory::crashSuspects() const -> CrashSuspects &
{
    return *crashSuspects_;
}

auto PeerDirectory::startCrashTrial(const CrashSubject &subject, BootTime now) const -> bool
{
    const auto trial = crashSuspects_->dueTrial(subject, now);
    return trial && homeOf(trial->turn, now) == ownName_ && crashSuspects_->startTrial(*trial, now);
}

auto PeerDirectory::upstreamLimits() const -> UpstreamLimits &
{
    return *upstreamLimits_;
}

auto PeerDirectory::leavingUpstreams() const -> LeavingUpstreams &
{
    return *leavingUpstreams_;
}

auto PeerDirectory::mergeLeaving(const std::vector<LeavingUpstream> &states, BootTime now) -> void
{
    const std::vector<LeavingUpstream> news = leavingUpstreams_->merge(states, now);
    leavingNews_.insert(leavingNews_.end(), news.begin(), news.end());
}

auto PeerDirectory::takeLeavingNews() -> std::vector<LeavingUpstream>
{
    return std::exchange(leavingNews_, {});
}

auto PeerDirectory::reportSentAt(std::uint64_t sequence) const -> std::optional<BootTime>
{
    return load_.reportSentAt(sequence);
}

auto PeerDirectory::countsForDemand(const Peer &peer, BootTime now) const -> bool
{
    return !peer.incarnation.empty() && now - peer.lastSeenAt < FleetLoad::DEMAND_RETENTION;
}

auto PeerDirectory::daemonCount(BootTime now) const -> int
{
    int count = 1;
    for (const auto &[name, peer] : peers_) {
        count += countsForDemand(peer, now) ? 1 : 0;
    }
    return count;
}

auto PeerDirectory::aliveDaemons(BootTime now) const -> std::vector<std::string>
{
    std::vector<std::string> names = { ownName_ };
    for (const auto &[name, peer] : peers_) {
        if (mayRelay(peer, now)) {
            names.push_back(name);
        }
    }
    return names;
}

auto PeerDirectory::knownDaemons(BootTime now) const -> std::vector<std::string>
{
    std::vector<std::string> names = { ownName_ };
    for (const auto &[name, peer] : peers_) {
        if (now - std::max(peer.lastSeenAt, peer.addedAt) < KNOWN_RETENTION) {
            names.push_back(name);
        }
    }
    return names;
}

auto PeerDirectory::presumedCount(BootTime now) const -> int
{
    return static_cast<int>(
        std::count_if(peers_.begin(), peers_.end(), [now](const auto &each) { return mayRunUnheard(each.second, now); }));
}

auto PeerDirectory::aliveFraction(BootTime now) const -> double
{
    int counted = 1;
    int alive = 1;
    for (const auto &[name, peer] : peers_) {
        if (countsForDemand(peer, now) && !peer.isDraining) {
            ++counted;
            alive += isAlive(peer, now) ? 1 : 0;
        }
    }
    return static_cast<double>(alive) / counted;
}

auto PeerDirectory::preemptionTarget(const std::string &upstream, BootTime now, std::uint64_t tieBreaker) const -> const Peer *
{
    if (!isRelay(now)) {
        return find(relaysOf(ownDataCentre_, now).front());
    }
    const std::vector<std::string> holders = load_.localBatchHolders(upstream, now);
    if (!holders.empty()) {
        return find(holders[tieBreaker % holders.size()]);
    }
    const std::vector<std::string> dataCentres = load_.batchDataCentres(upstream, now);
    if (dataCentres.empty()) {
        return nullptr;
    }
    const std::vector<std::string> relays = relaysOf(dataCentres[tieBreaker % dataCentres.size()], now);
    return relays.empty() ? nullptr : find(relays.front());
}

auto PeerDirectory::ownerOf(const std::string &job, BootTime now) const -> const Peer *
{
    const auto announcement = announcements_.find(job);
    const Peer *owner = announcement == announcements_.end() ? nullptr : find(announcement->second.owner);
    const bool isOwner = owner != nullptr && mayTakeWork(*owner, now) && !hasRestarted(announcement->second, *owner);
    return isOwner ? owner : nullptr;
}

auto PeerDirectory::hasRestarted(const JobAnnouncement &announcement, const Peer &owner) -> bool
{
    return !announcement.incarnation.empty() && announcement.incarnation != owner.incarnation;
}

auto PeerDirectory::forEachJob(const std::function<void(const std::string &job, const Peer &owner, bool hasRestarted)> &visit) const -> void
{
    for (const auto &[job, announcement] : announcements_) {
        if (const Peer *owner = find(announcement.owner)) {
            visit(job, *owner, hasRestarted(announcement, *owner));
        }
    }
}

auto PeerDirectory::allowanceHomeOf(const std::string &team, BootTime now) const -> std::string
{
    const auto cached = allowanceHomes_.find(team);
    if (cached != allowanceHomes_.end() && now < cached->second.validUntil && now > cached->second.validUntil - 2 * HOME_CACHE_TIME) {
        return cached->second.home;
    }
    if (allowanceHomes_.size() > MAXIMUM_CACHED_HOMES) {
        allowanceHomes_.clear();
    }
    std::string home = selectHome(
        team,
        [this, now](const Peer &peer) { return countsForDemand(peer, now) || mayRunUnheard(peer, now); },
        membersListedAt_.has_value());
    allowanceHomes_[team] = { home, now + HOME_CACHE_TIME };
    return home;
}

auto PeerDirectory::membership(BootTime now) const -> MembershipState
{
    bool hasPeers = false;
    for (const auto &[name, peer] : peers_) {
        if (isAlive(peer, now)) {
            return membersListedAt_ ? MembershipState::InTouch : MembershipState::Partial;
        }
        hasPeers = hasPeers || !peer.incarnation.empty() || mayRunUnheard(peer, now);
    }
    if (!membersListedAt_) {
        return MembershipState::NotLearned;
    }
    return hasPeers ? MembershipState::OutOfTouch : MembershipState::InTouch;
}

auto PeerDirectory::storeWatcher(BootTime now) const -> std::string
{
    const std::vector<std::string> relays = relaysOf(ownDataCentre_, now);
    for (const std::string &name : relays) {
        const Peer *peer = find(name);
        const bool isUsable
            = name == ownName_ ? ownHasStoreContact_ : peer == nullptr || peer->incarnation.empty() || mayTakeWork(*peer, now);
        if (isUsable) {
            return name;
        }
    }
    return relays.front();
}

auto PeerDirectory::leader(BootTime now) const -> std::string
{
    constexpr const char *KEY = "configuration";
    std::string best = ownName_;
    // Without contact this daemon ranks below all others, whose capacity is at least 1.
    std::pair<int, double> bestRank { ownHasStoreContact_ ? ownCapacity_ : 0, rendezvousScore(ownName_, KEY, 1) };
    for (const auto &[name, peer] : peers_) {
        if (peer.capacity >= bestRank.first && mayTakeWork(peer, now)) {
            const std::pair<int, double> rank { peer.capacity, rendezvousScore(name, KEY, 1) };
            if (rank > bestRank) {
                best = name;
                bestRank = rank;
            }
        }
    }
    return best;
}

auto PeerDirectory::homeOf(const std::string &key, BootTime now) const -> std::string
{
    return selectHome(key, [this, now](const Peer &peer) { return mayTakeWork(peer, now); });
}

auto PeerDirectory::isHomeAmong(const std::string &key, const RegionFilter &regions, BootTime now) const -> bool
{
    return regions.allows(ownDataCentre_) && selectHome(key, [this, now, &regions](const Peer &peer) {
                                                 return regions.allows(peer.dataCentre) && mayTakeWork(peer, now);
                                             }) == ownName_;
}

auto PeerDirectory::selectHome(const std::string &key, const std::function<bool(const Peer &)> &isEligible, bool isOwnEligible) const
    -> std::string
{
    std::string best = ownName_;
    double bestScore = isOwnEligible ? rendezvousScore(ownName_, key, ownCapacity_) : std::numeric_limits<double>::lowest();
    for (const auto &[name, peer] : peers_) {
        const double score = rendezvousScore(name, key, peer.capacity);
        if (score > bestScore && isEligible(peer)) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

} // namespace poplardock
