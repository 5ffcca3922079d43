#pragma once

#include "Process/VersionLoader.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace poplardock {

/// Keeps the version in force up to date: watches the root in the store, and fetches versions from peers that have
/// a higher revision.
///
/// While a newer version cannot be read, this daemon is stale. An invalid version is refused and logged, and does not
/// make the daemon stale: the version before it stays in force and stays confirmed.
/// Thread safety: start() and stop() once each, from one thread; the other methods from any thread.
class VersionWatcher
{
public:
    /// The references must outlive this object.
    VersionWatcher(StoreClient &store, FleetState &state, VersionLoader &loader, PeerClients &peers, std::uint64_t seed);
    VersionWatcher(const VersionWatcher &) = delete;
    auto operator=(const VersionWatcher &) -> VersionWatcher & = delete;
    VersionWatcher(VersionWatcher &&) = delete;
    auto operator=(VersionWatcher &&) -> VersionWatcher & = delete;
    ~VersionWatcher();

    /// Puts the highest version in force that the store or the members named by the store's root have. To be called
    /// before start().
    /// Errors: NotFound when there is no root yet; Unavailable; InvalidArgument.
    auto loadInitial() -> absl::Status;
    auto start() -> void;
    auto stop() -> void;

    /// Schedules a fetch of a peer's version if the peer reports a higher revision than the one in force. Returns at
    /// once; the peer thread makes the call.
    auto scheduleFetch(std::uint64_t revision, const std::string &peerAddress) -> void;

    /// Makes one watch call of up to 1 s and handles its result; the thread that start() starts repeats it. Returns
    /// false when the next call must wait for a backoff.
    auto watchOnce() -> bool;
    /// Fetches a peer's version and puts it in force if its revision is higher than the one in force.
    auto fetchFromPeer(const std::string &peerAddress) -> absl::Status;

private:
    struct PendingFetch
    {
        std::uint64_t revision = 0;
        std::string address;
    };

    auto fetchFromMembers(const MemberTable &members) -> void;
    auto isPermanentlyIncomplete(const StoredObject &stored, const absl::Status &loaded) -> bool;
    auto handleStoredRoot(const StoredObject &stored, TimePoint sentAt) -> bool;
    auto refuse(const FleetRoot &root, const StoredObject &stored, TimePoint sentAt, const absl::Status &reason) -> void;
    auto confirmUnchanged(TimePoint sentAt) -> void;
    auto watchLoop(const std::stop_token &stop) -> void;
    auto peerLoop(const std::stop_token &stop) -> void;

    StoreClient &store_;
    FleetState &state_;
    VersionLoader &loader_;
    PeerClients &peers_;

    /// The members from here to mutex_ are used by the watch thread only.
    std::mt19937_64 random_;
    /// Stored version of the last root that was handled, and its revision; the revision is 0 when it was refused.
    std::uint64_t storedVersion_ = 0;
    std::uint64_t storedRevision_ = 0;
    /// Stored version of the last root that could not be loaded for lack of a shard, and its failed loads in a row.
    std::uint64_t incompleteVersion_ = 0;
    int incompleteLoads_ = 0;

    std::mutex mutex_;
    std::condition_variable_any fetchScheduled_;
    std::optional<PendingFetch> pendingFetch_;
    std::jthread watchThread_;
    std::jthread peerThread_;
};

} // namespace poplardock
