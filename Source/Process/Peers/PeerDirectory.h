#pragma once

#include "Process/Peers/DaemonReport.h"
#include "Process/Peers/FleetLoad.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace poplardock {

/// The known state of one other daemon.
struct Peer
{
    std::string name;
    /// "IP:port" for datagrams and calls.
    std::string address;
    std::string dataCentre;
    /// Empty while no daemon is known to have heard it.
    std::string incarnation;
    int capacity = 1;
    bool isDraining = false;
    bool hasStoreContact = true;
    /// When its relay, or this daemon as its relay, last heard it.
    BootTime lastSeenAt;
    /// When this daemon found its record in the store, or first heard of it.
    BootTime addedAt;
    /// Decides between daemons of the same capacity which are the relays of their data centre.
    double relayScore = 0;
    /// The relays of its data centre have dropped it from the roster.
    bool isUnlisted = false;

    auto operator==(const Peer &) const -> bool = default;
};

/// What a daemon knows of whether there are others.
enum class MembershipState
{
    /// Nothing since its start: it has not read the records in the store, and hears nobody. It must not act as if it were the only one.
    NotLearned,
    /// It hears others, and has not read the records in the store: there may be daemons that none of those knows yet.
    Partial,
    /// It knows of others that may be running, and hears none of them.
    OutOfTouch,
    /// It hears others, or has learned that there are none that may be running.
    InTouch,
};

/// The other daemons: from their records in the store, from the reports that this daemon receives as a relay, and from
/// the rosters of the data centres.
///
/// Two daemons of each data centre are its relays, those with the most capacity. All daemons there report to both. The
/// relays send digests to the relays of the other data centres, and summaries of the whole fleet back to the daemons that
/// report to them. So a daemon's messages do not grow with the fleet, a relay's only with its data centre, and little
/// traffic passes between data centres. A daemon that hears nothing from a relay selects another one.
/// Times are passed in, so that tests need no clock. Thread safety: one thread.
class PeerDirectory
{
public:
    /// Time between two digests of the first relay.
    static constexpr Milliseconds DIGEST_PERIOD { 100 };
    /// The second relay sends a digest on every fifth tick only, to bridge the loss of the first relay.
    static constexpr int BACKUP_DIGEST_TICKS = 5;

    explicit PeerDirectory(std::string ownName, std::string ownDataCentre = {}, int ownCapacity = 1);
    PeerDirectory(const PeerDirectory &) = delete;
    auto operator=(const PeerDirectory &) -> PeerDirectory & = delete;
    PeerDirectory(PeerDirectory &&) = default;
    auto operator=(PeerDirectory &&) -> PeerDirectory & = delete;
    ~PeerDirectory() = default;

    /// Adds a daemon that has a record in the store. The address, data centre and capacity are used until a relay has heard
    /// the daemon.
    auto addMember(const std::string &name, const std::string &address, const std::string &dataCentre, int capacity, BootTime now) -> void;
    /// All records in the store at a moment when this daemon's own was there have been added. The first such call is when this
    /// daemon learns who the others are. What it hears does not tell: daemons that restart at the same moment are in no roster yet.
    auto recordMembersListed(BootTime now) -> void;
    /// Applies a report to this daemon as a relay unless a newer one of the same incarnation has been applied, or it is
    /// this daemon's own. Returns whether it was applied.
    auto handleReport(const DaemonReport &report, const std::string &address, BootTime now) -> bool;
    /// Applies a digest of another data centre. Returns whether it was applied: false for an older one of the same sender,
    /// and for one of another daemon than the data centre's first relay while that one sends.
    auto handleDigest(const DataCentreDigest &digest, BootTime now) -> bool;
    /// Applies a relay's summary. Returns whether its sums were applied: false for an older one, and for one of the second
    /// relay while the first sends.
    auto handleSummary(const FleetSummary &summary, BootTime now) -> bool;
    /// Applies a roster that was requested. Returns whether it was applied: false for another version than the one that the
    /// last digest or summary named, which may be an older one.
    auto handleRoster(const Roster &roster, BootTime now) -> bool;
    /// Remembers the own report that is being sent.
    auto recordOwnReport(const DaemonReport &report, BootTime now) -> void;

    /// The roster of this daemon's data centre, made from its own report and address and the live daemons that report to
    /// it; or the known one of another data centre. Empty if there is none.
    [[nodiscard]] auto rosterOf(const std::string &dataCentre, const DaemonReport &own, const std::string &ownAddress, BootTime now) const
        -> std::optional<Roster>;
    /// Data centres for which the last digest or summary of a sender named a version that this daemon does not have. Only
    /// the sender has that version for certain.
    [[nodiscard]] auto missingRosters(const std::string &sender) const -> std::vector<std::string>;
    /// The digest of this daemon's data centre. The caller sets the sequence.
    [[nodiscard]] auto makeDigest(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> DataCentreDigest;
    /// The summary for the daemons that report here. The caller sets the sequence, the freshness and the echo.
    [[nodiscard]] auto makeSummary(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> FleetSummary;

    /// Names of the one or two relays of a data centre, the first relay first; empty if none of its daemons is known.
    [[nodiscard]] auto relaysOf(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>;
    /// Whether this daemon is one of the relays of its data centre.
    [[nodiscard]] auto isRelay(BootTime now) const -> bool;
    /// Whether it is the first one, which answers the others. The second relay takes part in the first one's summaries like
    /// any other daemon.
    [[nodiscard]] auto isFirstRelay(BootTime now) const -> bool;
    /// Whether this daemon has been reporting for long enough to have heard, as a relay, all that report to it. After a start or
    /// a pause it has not; until then it sends neither digests nor summaries, which would leave the others out.
    [[nodiscard]] auto isSettled(BootTime now) const -> bool;
    /// Whether another daemon is a relay of this data centre.
    [[nodiscard]] auto hasOtherRelay(BootTime now) const -> bool;
    /// The relays to which this daemon reports, the first relay first. A relay that does not answer reports is passed over
    /// for some seconds, and gets a report now and then.
    auto reportTargets(BootTime now) -> std::vector<const Peer *>;
    /// The daemons that report here, whether as to the second relay, and the sequences of their last reports.
    struct Reporter
    {
        const Peer *peer = nullptr;
        bool isToBackup = false;
        std::uint64_t sequence = 0;
    };
    [[nodiscard]] auto reporters(BootTime now) const -> std::vector<Reporter>;
    /// Those of them that get a summary on this tick. A relay answers all of them periodically, another daemon each report
    /// once: it got the report only to be found in case it should be a relay.
    auto summaryTargets(std::uint64_t tick, BootTime now) -> std::vector<Reporter>;
    /// Addresses to which this daemon, as a relay, sends its digest on this tick: the relays of the other data centres, and
    /// the daemons there that have sent it digests themselves. Empty if this daemon is not a relay.
    [[nodiscard]] auto digestTargets(std::uint64_t tick, BootTime now) const -> std::vector<std::string>;
    /// The other data centres with known daemons.
    [[nodiscard]] auto otherDataCentres() const -> std::set<std::string>;
    [[nodiscard]] auto isLocal(const Peer &peer) const -> bool;

    [[nodiscard]] auto peers() const -> const std::map<std::string, Peer> &;
    /// Null for an unknown daemon and for this daemon.
    [[nodiscard]] auto find(const std::string &name) const -> const Peer *;
    /// Time between two reports of a daemon, and between two summaries of a relay. Both grow with the data centre, up to a
    /// bound, so that a relay keeps up.
    [[nodiscard]] auto reportPeriod() const -> Milliseconds;
    [[nodiscard]] auto summaryPeriod() const -> Milliseconds;
    /// Time until this daemon sees work that another daemon has started, on average over all daemons.
    [[nodiscard]] auto propagationDelay() const -> Milliseconds;
    /// Whether a relay has heard the daemon within the liveness timeout. Work of daemons that are not alive does not count.
    [[nodiscard]] auto isAlive(const Peer &peer, BootTime now) const -> bool;
    /// Whether the daemon is gone as far as can be known: its relays have stopped hearing it, or its whole data centre has
    /// been silent for long. A data centre that is cut off for a moment does not lose its daemons' duties.
    [[nodiscard]] auto isGone(const Peer &peer, BootTime now) const -> bool;
    /// Whether the peer is alive, in contact with the store and not draining.
    [[nodiscard]] auto mayTakeWork(const Peer &peer, BootTime now) const -> bool;
    /// Whether this daemon hears of all data centres, so that a daemon that it does not know is unknown to all. False while it has
    /// not learned who the others are.
    [[nodiscard]] auto hasFullView(BootTime now) const -> bool;
    /// Whether a daemon that this one has never heard counts as gone. It must have had time to be heard since this daemon learned
    /// of the others; if data centres are silent, as much as a data centre that has been heard is given.
    [[nodiscard]] auto isUnheardGone(BootTime now) const -> bool;
    /// Whether all relays of this daemon's data centre have recently heard it. Until their liveness timeout after the report
    /// that they echoed, no other daemon can find it gone.
    [[nodiscard]] auto isHeard(BootTime now) const -> bool;
    /// Whether another relay of this data centre has echoed a report that this daemon sent at that time or later.
    [[nodiscard]] auto wasHeardSince(BootTime time, BootTime now) const -> bool;

    /// As the functions of FleetLoad.
    [[nodiscard]] auto work(BootTime now) const -> WorkCounts;
    [[nodiscard]] auto demand(BootTime now) const -> std::map<std::string, double>;
    /// What is known of requests that crash upstreams, here and at the others.
    [[nodiscard]] auto crashSuspects() const -> CrashSuspects &;
    /// Whether this daemon may send a refused request all the same, to find out whether it is sound; records that it does then.
    /// One daemon after the other has its turn, so that one such request at a time is sent in the fleet.
    auto startCrashTrial(const CrashSubject &subject, BootTime now) const -> bool;
    /// The limits that upstreams have named, here and at the others.
    [[nodiscard]] auto upstreamLimits() const -> UpstreamLimits &;
    /// The upstreams that have said that they leave, here and at the others.
    [[nodiscard]] auto leavingUpstreams() const -> LeavingUpstreams &;
    /// The marks of leaving upstreams that other daemons have told of since the last call.
    auto takeLeavingNews() -> std::vector<LeavingUpstream>;
    [[nodiscard]] auto reportSentAt(std::uint64_t sequence) const -> std::optional<BootTime>;
    /// Number of daemons whose demand counts, including this one.
    [[nodiscard]] auto daemonCount(BootTime now) const -> int;
    /// Number of daemons that were found in the store and have not been heard yet, but may be admitting requests: most of the fleet,
    /// right after the start of this daemon.
    [[nodiscard]] auto presumedCount(BootTime now) const -> int;
    /// Names of the daemons that are alive, or presumed to be, and not about to stop, and this one's.
    [[nodiscard]] auto aliveDaemons(BootTime now) const -> std::vector<std::string>;
    /// Names of all daemons that may be running, whether or not this daemon hears them, and this one's.
    [[nodiscard]] auto knownDaemons(BootTime now) const -> std::vector<std::string>;
    /// Which part of the daemons whose demand counts is alive, this one included. The others may only be partitioned, and
    /// admit requests on their own.
    [[nodiscard]] auto aliveFraction(BootTime now) const -> double;
    /// The daemon to which a request to preempt batch work at an upstream goes next, or null: from a relay one that has such
    /// work or a relay of its data centre, from any other daemon its relay. "tieBreaker", a random number, selects among
    /// several.
    [[nodiscard]] auto preemptionTarget(const std::string &upstream, BootTime now, std::uint64_t tieBreaker) const -> const Peer *;

    /// The live daemon that has announced owning a job, or null.
    [[nodiscard]] auto ownerOf(const std::string &job, BootTime now) const -> const Peer *;
    /// Calls "visit" for each job that another daemon has announced some time ago, and tells whether that daemon has started
    /// again since.
    auto forEachJob(const std::function<void(const std::string &job, const Peer &owner, bool hasRestarted)> &visit) const -> void;
    /// Tells the others, by the reports of a short time, that this daemon has cancelled a job in the store, which its owner may
    /// not know. Returns false if so many are announced already that the reports would not name this one.
    [[nodiscard]] auto announceCancellation(const std::string &job, BootTime now) -> bool;
    /// What this daemon has announced a short time ago, for its reports.
    [[nodiscard]] auto ownCancellations(BootTime now) const -> std::vector<std::string>;
    /// Jobs that other daemons have recently cancelled in the store.
    [[nodiscard]] auto cancelledJobs() const -> std::vector<std::string>;
    /// Forgets announcements and senders that are too old to matter.
    auto removeExpired(BootTime now) -> void;

    /// The daemon that holds a team's bucket, selected from all daemons whose demand counts or that may be admitting requests unheard,
    /// so that daemons that start together select the same one. A daemon that was not seen for a short time keeps its buckets,
    /// since it may still be granting tokens. Another daemon, if there is one, as long as this one does not know who the others are.
    [[nodiscard]] auto allowanceHomeOf(const std::string &team, BootTime now) const -> std::string;
    [[nodiscard]] auto membership(BootTime now) const -> MembershipState;
    /// The store watcher of this data centre, the daemon that watches the store for the others: its first relay, or the
    /// second one if the first has no contact with the store.
    [[nodiscard]] auto storeWatcher(BootTime now) const -> std::string;
    /// The leader, the daemon that reads the configuration for the fleet: one with the most capacity among those in contact with
    /// the store. This daemon when none is.
    [[nodiscard]] auto leader(BootTime now) const -> std::string;
    /// The home of a key, the daemon responsible for it: selected by rendezvous hashing, weighted by capacity, from this
    /// daemon and all peers that may take work.
    [[nodiscard]] auto homeOf(const std::string &key, BootTime now) const -> std::string;
    /// Whether this daemon is the home of a key among the daemons of the data centres that the filter allows.
    [[nodiscard]] auto isHomeAmong(const std::string &key, const RegionFilter &regions, BootTime now) const -> bool;

private:
    auto mergeLeaving(const std::vector<LeavingUpstream> &states, BootTime now) -> void;
    struct KnownRoster
    {
        Roster roster;
        /// The peers of the entries, in their order; null for this daemon. Peers are never removed.
        std::vector<Peer *> peers;
        /// Until when, by the last digests and summaries, its daemons were alive.
        BootTime confirmedAt;
    };
    struct MissingRoster
    {
        std::uint64_t version = 0;
        std::string sender;
    };
    struct Sender
    {
        std::string incarnation;
        std::uint64_t sequence = 0;
        BootTime heardAt;
    };
    /// What this daemon, reporting to a relay, knows of it.
    struct RelayState
    {
        BootTime targetedSince;
        BootTime lastTargetedAt;
        BootTime lastSummaryAt;
        BootTime passedOverUntil;
        /// When the last own report that it has echoed was sent.
        BootTime echoedAt;
    };
    struct ReporterState
    {
        bool isToBackup = false;
        std::uint64_t sequence = 0;
        BootTime heardAt;
        /// Sequence of the last report that was answered.
        std::uint64_t answered = 0;
    };
    /// By what an announcement arrived. Those from summaries are not passed on, since they would circulate.
    enum class Source
    {
        Own,
        Report,
        Digest,
        Summary,
    };
    struct JobAnnouncement
    {
        std::string owner;
        /// Incarnation of the owner when it was announced; empty if unknown. A later one does not own the job.
        std::string incarnation;
        BootTime heardAt;
        Source source = Source::Report;
    };
    struct Cancellation
    {
        BootTime heardAt;
        Source source = Source::Own;
    };
    struct CachedHome
    {
        std::string home;
        BootTime validUntil;
    };
    struct CachedRelays
    {
        std::vector<std::string> names;
        BootTime validUntil;
    };

    /// Whether a message of a sender is newer than its last one; remembers it then.
    static auto isNewer(std::map<std::string, Sender> &senders,
                        const std::string &name,
                        const std::string &incarnation,
                        std::uint64_t sequence,
                        BootTime now) -> bool;
    /// Whether to apply what a relay of a data centre sends: it is the first relay, or the second and the first is silent,
    /// or both are silent.
    [[nodiscard]] auto isPreferred(const std::map<std::string, Sender> &senders,
                                   const std::string &dataCentre,
                                   const std::string &sender,
                                   BootTime now) const -> bool;
    auto confirmRoster(const std::string &dataCentre, std::uint64_t version, const std::string &sender, BootTime confirmedAt) -> void;
    auto applyEntry(const std::string &dataCentre, const RosterEntry &entry, BootTime seenAt) -> void;
    [[nodiscard]] static auto hasRestarted(const JobAnnouncement &announcement, const Peer &owner) -> bool;
    auto addAnnouncements(const std::vector<JobOwner> &jobs, Source source, BootTime now) -> void;
    [[nodiscard]] auto recentAnnouncements(Source lastSource, BootTime now) const -> std::vector<JobOwner>;
    auto addCancellations(const std::vector<std::string> &jobs, Source source, BootTime now) -> void;
    [[nodiscard]] auto recentCancellations(Source firstSource, Source lastSource, BootTime now) const -> std::vector<std::string>;
    [[nodiscard]] auto ownRoster(const DaemonReport &own, const std::string &ownAddress, BootTime now) const -> Roster;
    [[nodiscard]] auto mayRelay(const Peer &peer, BootTime now) const -> bool;
    /// Whether a daemon that was found in the store a short time ago, and has not been heard yet, counts as alive.
    [[nodiscard]] static auto isPresumedAlive(const Peer &peer, BootTime now) -> bool;
    /// Whether a daemon that was found in the store, and has not been heard since, may be running out of reach. As long as one that
    /// has been heard counts for the allowances.
    [[nodiscard]] static auto mayRunUnheard(const Peer &peer, BootTime now) -> bool;
    [[nodiscard]] auto isPassedOver(const std::string &name, BootTime now) const -> bool;
    [[nodiscard]] auto rankRelays(const std::string &dataCentre, BootTime now) const -> std::vector<std::string>;
    /// The daemons that would be relays if all were alive, and one more of this data centre, another in each round.
    [[nodiscard]] auto probeTargets(std::uint64_t round) const -> std::vector<std::string>;
    [[nodiscard]] auto countsForDemand(const Peer &peer, BootTime now) const -> bool;
    /// "isOwnEligible": whether this daemon may be selected when there is another one.
    [[nodiscard]] auto selectHome(const std::string &key,
                                  const std::function<bool(const Peer &)> &isEligible,
                                  bool isOwnEligible = true) const -> std::string;
    /// Every how many summary periods a relay answers the daemons for which it is the second relay.
    [[nodiscard]] auto backupSummaryTicks() const -> int;
    /// Time in which a relay that has begun to report hears all daemons that report to it.
    [[nodiscard]] auto settlingTime() const -> Milliseconds;
    [[nodiscard]] auto localCount() const -> std::int64_t;
    auto handleChange() -> void;

    const std::string ownName_;
    const std::string ownDataCentre_;
    const int ownCapacity_;
    const double ownRelayScore_;
    /// Where this daemon begins in the order of probed daemons, so that not all probe the same one at a time.
    const std::uint64_t probeOffset_;
    std::map<std::string, Peer> peers_;
    std::int64_t localPeerCount_ = 0;
    FleetLoad load_;
    /// Behind a pointer, since it cannot be moved.
    std::unique_ptr<CrashSuspects> crashSuspects_ = std::make_unique<CrashSuspects>();
    /// Behind a pointer, since others keep references to it.
    std::unique_ptr<UpstreamLimits> upstreamLimits_;
    std::unique_ptr<LeavingUpstreams> leavingUpstreams_ = std::make_unique<LeavingUpstreams>();
    std::vector<LeavingUpstream> leavingNews_;
    std::map<std::string, KnownRoster> rosters_;
    /// Versions that digests and summaries named, by data centre, while they are unknown here.
    std::map<std::string, MissingRoster> missingRosters_;
    std::map<std::string, Sender> digestSenders_;
    std::map<std::string, Sender> summarySenders_;
    std::map<std::string, RelayState> relayStates_;
    std::uint64_t reportCount_ = 0;
    std::map<std::string, ReporterState> reporters_;
    std::map<std::string, JobAnnouncement> announcements_;
    std::map<std::string, Cancellation> cancellations_;
    BootTime lastOwnReportAt_;
    /// As in the last own report.
    bool ownHasStoreContact_ = true;
    BootTime settledAt_;
    /// When this daemon first had the records of all others; unset until then.
    std::optional<BootTime> membersListedAt_;
    mutable std::map<std::string, CachedHome> allowanceHomes_;
    mutable std::map<std::string, CachedRelays> relays_;
};

} // namespace poplardock
