#pragma once

#include "Process/VersionLoader.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace poplardock {

/// Keeps the version in force up to date: watches the root in the store, and takes versions from peers that
/// have a higher revision.
///
/// A version that cannot be read makes this daemon stale until it is read. A version that is invalid is
/// refused, logged, and never makes it stale: the old one stays in force and stays confirmed.
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

    /// Puts the highest version of the store and the members it names in force; to be called before start().
    /// Errors: NotFound when there is no root yet; Unavailable; InvalidArgument.
    auto loadInitial() -> absl::Status;
    auto start() -> void;
    auto stop() -> void;

    /// Asks for the version of a peer that claims a higher revision. Returns at once; the call to the peer
    /// is made by another thread.
    auto scheduleFetch(std::uint64_t revision, const std::string &peerAddress) -> void;

    /// One watch call of up to 1 s and its consequences; start() repeats it. False when it is to be repeated
    /// only after a pause.
    auto watchOnce() -> bool;
    /// Takes the version of a peer if its revision is higher than the one in force.
    auto fetchFromPeer(const std::string &peerAddress) -> absl::Status;

private:
    struct Offer
    {
        std::uint64_t revision = 0;
        std::string address;
    };

    auto fetchFromMembers(const MemberTable &members) -> void;
    auto isLostFor(const StoredObject &stored, const absl::Status &loaded) -> bool;
    auto acceptStored(const StoredObject &stored, TimePoint sentAt) -> bool;
    auto refuse(const FleetRoot &root, const StoredObject &stored, TimePoint sentAt, const absl::Status &reason) -> void;
    auto confirmUnchanged(TimePoint sentAt) -> void;
    auto watchLoop(const std::stop_token &stop) -> void;
    auto peerLoop(const std::stop_token &stop) -> void;

    StoreClient &store_;
    FleetState &state_;
    VersionLoader &loader_;
    PeerClients &peers_;

    /// The following are used by the watching thread only.
    std::mt19937_64 random_;
    /// Stored version of the last root that was dealt with, and its revision; 0 when it was refused.
    std::uint64_t storedVersion_ = 0;
    std::uint64_t storedRevision_ = 0;
    /// Loads of one stored root that failed for lack of a shard.
    std::uint64_t incompleteVersion_ = 0;
    int incompleteLoads_ = 0;

    std::mutex mutex_;
    std::condition_variable_any offered_;
    std::optional<Offer> offer_;
    std::jthread watchThread_;
    std::jthread peerThread_;
};

} // namespace poplardock
