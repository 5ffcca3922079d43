#pragma once

#include "Process/PeerExchange.h"
#include "Process/RemovalRule.h"
#include "Process/RootCommitter.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace poplardock {

/// Keeps this daemon's record in the member table and removes the records of lost members.
/// Thread safety: start() and stop() once each, from one thread, and join() before start(); the other methods
/// from any thread.
class Membership
{
public:
    /// The references must outlive this object. The incarnation of the record is ignored.
    Membership(StoreClient &store,
               FleetState &state,
               VersionWatcher &watcher,
               RootCommitter &committer,
               PeerExchange &exchange,
               Member self,
               std::uint64_t seed);
    Membership(const Membership &) = delete;
    auto operator=(const Membership &) -> Membership & = delete;
    Membership(Membership &&) = delete;
    auto operator=(Membership &&) -> Membership & = delete;
    ~Membership();

    /// Loads the highest version of store and peers and enters the member table under a new incarnation. The
    /// first member creates the root with an empty configuration. Tries again until the deadline.
    /// Errors: FailedPrecondition when the stored version cannot be used by this build; otherwise that of the
    /// last attempt.
    auto join(TimePoint deadline) -> absl::Status;
    /// Removes the own record and does not join again. Tries again until the deadline. To be called after
    /// stop(), since the checking thread may be joining again.
    auto leave(TimePoint deadline) -> absl::Status;

    /// Removes a member at an operator's word, without a majority. Safe only when its process has ended.
    /// Errors: NotFound, Unavailable, ResourceExhausted, Aborted, Unknown.
    auto removeByOperator(const std::string &name) -> absl::Status;

    /// Starts and stops the thread that joins again after a removal and removes lost members.
    auto start() -> void;
    auto stop() -> void;
    /// One pass of that thread.
    auto check() -> void;

    [[nodiscard]] auto incarnation() const -> std::string;
    /// True while the version in force has this daemon with its present incarnation.
    [[nodiscard]] auto isMember() const -> bool;
    /// True when another process has joined under this daemon's name. This daemon then does not join again;
    /// otherwise the two would replace each other without end.
    [[nodiscard]] auto isReplaced() const -> bool;

private:
    auto joinOnce() -> absl::Status;
    auto commitJoin(const Member &record) -> absl::Status;
    auto hasMajorityFor(const FleetVersion &base) -> bool;
    auto renewIncarnation() -> Member;
    auto checkOwnRecord() -> void;
    auto readVms(TimePoint now) -> void;
    auto removalInput(TimePoint now) -> RemovalInput;
    auto removeLost(TimePoint now) -> void;
    auto overtakeFalseRevision(TimePoint now) -> void;
    auto pauseUntil(TimePoint deadline, int attempt) -> bool;

    StoreClient &store_;
    FleetState &state_;
    VersionWatcher &watcher_;
    RootCommitter &committer_;
    PeerExchange &exchange_;

    mutable std::mutex mutex_;
    std::condition_variable_any stopped_;
    Member self_;
    std::mt19937_64 random_;
    bool hasJoined_ = false;
    bool hasLeft_ = false;
    bool isReplaced_ = false;

    /// Used by the checking thread only.
    std::optional<TimePoint> vmsReadAt_;
    std::set<std::string> shownVms_;
    std::map<std::string, TimePoint> vmAbsentSince_;
    std::optional<TimePoint> unknownRevisionSince_;
    std::jthread thread_;
};

} // namespace poplardock
