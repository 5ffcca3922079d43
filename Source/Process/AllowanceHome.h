#pragma once

#include "Process/AllowanceAccount.h"
#include "Process/AllowanceMessages.h"
#include "Process/FleetState.h"
#include "Process/PeerClients.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace poplardock {

/// Wait of a new home before it acts without a handover. By then the earlier home has stopped acting (after the
/// freshness bound) and its loans have expired; the last second covers clock drift.
constexpr Milliseconds TAKEOVER_WAIT = FRESHNESS_BOUND + LOAN_TERM + Milliseconds(1000);

/// Called when a token of the team is spent, with the time of spending. Called from any thread, with no lock held.
using AdmissionRecorder = std::function<void(const std::string &team, TimePoint spentAt)>;
using TimeSource = std::function<TimePoint()>;

/// This daemon is not the home of the team in the newest revision that it has, which is "revision".
struct NotHomeResponse
{
    std::uint64_t revision = 0;

    auto operator==(const NotHomeResponse &) const -> bool = default;
};

/// This daemon is the home of the team but must not act at present.
struct HomeNotActing
{
    std::string reason;
    Milliseconds retryAfter { 0 };

    auto operator==(const HomeNotActing &) const -> bool = default;
};

using HomeResponse = std::variant<LoanResponse, NotHomeResponse, HomeNotActing>;

/// Holds the buckets of the teams whose home is this daemon. In each region, one daemon is the home of a team: it
/// keeps the team's token bucket, admits requests from it and lends tokens to the other daemons of the region.
/// A home acts only while FleetState::mayAct() holds, and only on the version in force at this daemon.
///
/// When this daemon becomes the home of a team, it gets the bucket from the earlier home by a handover, or starts
/// with an empty one after TAKEOVER_WAIT. When another daemon becomes the home, the bucket is kept for TAKEOVER_WAIT,
/// so that the successor can request it.
/// Thread safety: all methods may be called from any thread. No lock is held across a network call.
class AllowanceHome
{
public:
    struct Options
    {
        TimeSource clock = Clock::now;
        /// May be empty.
        AdmissionRecorder recorder;
        /// Limits the connect to an earlier home, and each wait for data from it.
        Milliseconds handoverTimeout { 500 };
    };

    /// Preconditions: "self" is this daemon's member record; either all members have a region or none has; each commit
    /// of the root increments the revision by one.
    AllowanceHome(Member self, FleetState &state, PeerClients &peers, Options options);

    /// Drops all buckets and continues as this member. To be called before this process joins again under a new
    /// incarnation.
    auto rejoinAs(Member self) -> void;
    [[nodiscard]] auto self() const -> Member;

    /// Spends one token for a request that arrived at this daemon. LoanResponse::granted is 1 or 0.
    auto acquire(const std::string &team) -> HomeResponse;
    /// See AllowanceAccount::lend().
    auto lend(const LoanRequest &request) -> HomeResponse;
    /// Hands the bucket of a team over to the successor named by the request, which may repeat it. If this daemon does
    /// not have the revision of the request yet, it stops acting until it has.
    auto handOver(const HandoverRequest &request) -> HandoverResponse;
    /// Applies a new version, starts and drops buckets, and requests handovers from earlier homes. To be called about
    /// every 100 ms from one thread. Blocks for Options::handoverTimeout for each earlier home that does not respond.
    auto maintain() -> void;

    /// The state of each team's entry, with level and outstanding loans if this daemon acts, for the state dump.
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;
    [[nodiscard]] auto now() const -> TimePoint;

private:
    /// The fleet state at one instant; all values belong to the same version.
    struct Snapshot
    {
        TimePoint takenAt;
        FleetVersionPointer version;
        bool mayAct = false;
        /// Whether there is store contact and a live majority, as the takeover wait needs to begin.
        bool mayStartWait = false;
        std::optional<TimePoint> confirmedAt;
    };

    /// This daemon is the home, but neither has it the bucket yet nor is the takeover wait over.
    struct Waiting
    {
        /// Unset when there was none, or when it has responded that it has no bucket.
        std::optional<Member> earlierHome;
        /// End of the takeover wait; unset until the wait begins.
        std::optional<TimePoint> startsAt;
        /// Distinguishes successive entries of the same team, so that a late handover is ignored.
        std::uint64_t serial = 0;
    };

    /// This daemon is no longer the home; the bucket is kept for the successor.
    struct Departed
    {
        AllowanceBucket bucket;
        Member successor;
        TimePoint dropAt;
    };

    /// An AllowanceAccount means that this daemon acts as the home.
    using Entry = std::variant<Waiting, AllowanceAccount, Departed>;
    using AccountOperation = std::function<LoanResponse(AllowanceAccount &, TimePoint)>;

    struct PendingHandover
    {
        std::string team;
        Member earlierHome;
        Member successor;
        std::uint64_t serial = 0;
        std::uint64_t revision = 0;
    };

    auto snapshot() const -> Snapshot;
    auto isSelf(const Member *member) const -> bool;
    /// Runs the operation on the team's account if this daemon acts as the home, else responds why it does not.
    auto withAccount(const std::string &team, const AccountOperation &operation) -> HomeResponse;
    auto withAccountLocked(const std::string &team, const Snapshot &snapshot, TimePoint now, const AccountOperation &operation)
        -> HomeResponse;
    /// Installs the version of the snapshot if it is newer, and begins the takeover wait once that is allowed.
    auto applySnapshot(const Snapshot &snapshot) -> void;
    /// Makes this version the basis of the entries.
    auto installVersion(const Snapshot &snapshot) -> void;
    /// Updates the limits of all buckets whose team is configured.
    auto applyLimits(TimePoint now) -> void;
    /// Moves entries whose home is another daemon in the new table to Departed, or drops them.
    auto reassignEntries(const MemberTable &members, TimePoint now) -> void;
    /// Adds a Waiting entry for each team that has become this daemon's.
    auto addMissingEntries(const FleetVersion &version, const FleetVersion *previous) -> void;
    auto earlierHomeOf(const std::string &team, const MemberTable &members, const FleetVersion *previous) const -> std::optional<Member>;
    auto startIfDue(const std::string &team, Entry &entry, TimePoint now) -> void;
    auto waitEndsAt() const -> std::optional<TimePoint>;
    auto limitOf(const std::string &team, TimePoint now) const -> RegionAllowance;
    /// Starts the buckets whose wait is over and drops entries that are no longer needed.
    auto advanceEntries(TimePoint now) -> void;
    /// True when the team is not configured and its bucket is full.
    auto isDroppable(const std::string &team, AllowanceAccount &account, TimePoint now) const -> bool;
    auto pendingHandovers() const -> std::vector<PendingHandover>;
    /// False when the earlier home could not be reached or sent no valid response.
    auto requestHandover(const PendingHandover &pending) -> bool;
    auto handleHandoverResponse(const PendingHandover &pending, const HandoverResponse &response) -> void;

    Member self_;
    FleetState &state_;
    PeerClients &peers_;
    const Options options_;
    mutable std::mutex mutex_;
    /// The version on which the entries are based; null before the first.
    FleetVersionPointer version_;
    /// Last known confirmation of that version.
    TimePoint versionConfirmedAt_;
    /// Start of the takeover wait of the current member table; unset until the wait may begin.
    std::optional<TimePoint> waitBeganAt_;
    std::set<std::string> regions_;
    /// Regions of earlier member tables, whose homes may still act until the takeover wait ends.
    std::set<std::string> earlierRegions_;
    std::map<std::string, Entry> entries_;
    std::uint64_t nextSerial_ = 1;
};

} // namespace poplardock
