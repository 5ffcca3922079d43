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

/// Wait of a home that takes over without a handover: an earlier home has ceased to act after the freshness
/// bound and its loans have lapsed; the last second covers clock drift.
constexpr Milliseconds TAKEOVER_WAIT = FRESHNESS_BOUND + LOAN_TERM + Milliseconds(1000);

/// Called at the instant at which a token of the team is spent, with that instant. From any thread, with no
/// lock held.
using AdmissionRecorder = std::function<void(const std::string &team, TimePoint spentAt)>;
using TimeSource = std::function<TimePoint()>;

/// This daemon is not the home of the team by the newest revision that it has.
struct NotHomeAnswer
{
    std::uint64_t revision = 0;

    auto operator==(const NotHomeAnswer &) const -> bool = default;
};

/// This daemon is the home but may not act now.
struct HomeNotActing
{
    std::string reason;
    Milliseconds retryAfter { 0 };

    auto operator==(const HomeNotActing &) const -> bool = default;
};

using HomeAnswer = std::variant<LoanAnswer, NotHomeAnswer, HomeNotActing>;

/// The buckets of all teams for which this daemon is the home in its region. Acts only while
/// FleetState::mayAct() holds and only by a version that is in force here.
///
/// A team that becomes this daemon's is taken over by a handover from its earlier home, or empty after
/// TAKEOVER_WAIT. A bucket that moves away is kept for its successor for TAKEOVER_WAIT.
/// Thread safety: all methods may be called from any thread. No lock is held across a network call.
class AllowanceHome
{
public:
    struct Options
    {
        TimeSource clock = Clock::now;
        /// May be empty.
        AdmissionRecorder recorder;
        /// Limit for the connect and for each wait for an answer of an earlier home.
        Milliseconds handoverTimeout { 500 };
    };

    /// Preconditions: "self" is this daemon's member record; either every member names a region or none does;
    /// the revision grows by one with each commit of the root.
    AllowanceHome(Member self, FleetState &state, PeerClients &peers, Options options);

    /// To be called before this process joins again under a new incarnation: drops all buckets.
    auto joinAs(Member self) -> void;
    [[nodiscard]] auto self() const -> Member;

    /// Spends one token for a request that arrived here. LoanAnswer::granted is 1 or 0.
    auto spend(const std::string &team) -> HomeAnswer;
    /// See AllowanceAccount::lend().
    auto lend(const LoanRequest &request) -> HomeAnswer;
    /// Stops acting for the team by the revision of the request, and gives the bucket to the successor.
    /// Repeatable by the same successor.
    auto handOver(const HandoverRequest &request) -> HandoverAnswer;
    /// Takes note of a new version, asks earlier homes for their buckets, starts and drops buckets. To be called
    /// every 100 ms or so from one thread; waits Options::handoverTimeout for each earlier
    /// home that does not answer.
    auto maintain() -> void;

    /// Teams for which this daemon acts now or waits to act, with level and loans, for the state dump.
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;
    [[nodiscard]] auto now() const -> TimePoint;

private:
    /// What the fleet state said at one instant, all by one version.
    struct Snapshot
    {
        TimePoint takenAt;
        FleetVersionPointer version;
        bool mayAct = false;
        /// Store contact and a majority heard: a wait may begin.
        bool mayStartWait = false;
        std::optional<TimePoint> confirmedAt;
    };

    /// The home by the current table, before the handover or the end of the wait.
    struct Waiting
    {
        /// Unset when there is none to ask, or when it has answered that it has no bucket.
        std::optional<Member> earlierHome;
        /// End of the wait; unset until a wait may begin.
        std::optional<TimePoint> startsAt;
        /// Tells entries of the same team apart.
        std::uint64_t serial = 0;
    };

    /// No longer the home; kept for the successor. (An AllowanceAccount as entry means that this daemon acts.)
    struct Departed
    {
        AllowanceBucket bucket;
        Member successor;
        TimePoint dropAt;
    };

    using Entry = std::variant<Waiting, AllowanceAccount, Departed>;
    using Action = std::function<LoanAnswer(AllowanceAccount &, TimePoint)>;

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
    auto perform(const std::string &team, const Action &action) -> HomeAnswer;
    auto performLocked(const std::string &team, const Snapshot &snapshot, TimePoint now, const Action &action) -> HomeAnswer;
    auto observe(const Snapshot &snapshot) -> void;
    auto install(const Snapshot &snapshot) -> void;
    auto applyLimits(TimePoint now) -> void;
    auto moveEntries(const MemberTable &members, TimePoint now) -> void;
    auto addEntries(const FleetVersion &version, const FleetVersion *previous) -> void;
    auto earlierHomeOf(const std::string &team, const MemberTable &members, const FleetVersion *previous) const -> std::optional<Member>;
    auto startIfDue(const std::string &team, Entry &entry, TimePoint now) -> void;
    auto waitEndsAt() const -> std::optional<TimePoint>;
    auto limitOf(const std::string &team, TimePoint now) const -> RegionAllowance;
    auto dropEntries(TimePoint now) -> void;
    auto isUnused(const std::string &team, AllowanceAccount &account, TimePoint now) const -> bool;
    auto pendingHandovers() const -> std::vector<PendingHandover>;
    auto askForBucket(const PendingHandover &pending) -> bool;
    auto acceptHandover(const PendingHandover &pending, const HandoverAnswer &answer) -> void;

    Member self_;
    FleetState &state_;
    PeerClients &peers_;
    const Options options_;
    mutable std::mutex mutex_;
    /// The version that the entries follow; null before the first.
    FleetVersionPointer version_;
    /// Last confirmation of that version that was seen here.
    TimePoint versionConfirmedAt_;
    /// First instant with the current member table at which a wait may begin.
    std::optional<TimePoint> waitBeganAt_;
    std::set<std::string> regions_;
    /// Regions of the earlier table, whose homes may still act until the wait ends.
    std::set<std::string> earlierRegions_;
    std::map<std::string, Entry> entries_;
    std::uint64_t nextSerial_ = 1;
};

} // namespace poplardock
