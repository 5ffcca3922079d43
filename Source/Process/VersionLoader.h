#pragma once

#include "Process/FleetState.h"
#include "Process/PeerClients.h"
#include "Process/StoreClient.h"
#include "Version/FleetCodec.h"

#include <mutex>
#include <optional>
#include <string>

namespace poplardock {

/// Kind and name of the root, and the kind of the shards, in the store.
constexpr const char *ROOT_KIND = "roots";
constexpr const char *ROOT_NAME = "fleet";
constexpr const char *SHARD_KIND = "shards";

/// Turns roots into versions in force: reads the shards that the version in force does not share, checks the
/// version as a whole and installs it into the fleet state. Keeps the shards of the version in force, for
/// the next change and for peers.
/// Thread safety: all methods may be called from any thread; no lock is held across a call to store or peers.
class VersionLoader
{
public:
    /// The references must outlive this object.
    VersionLoader(StoreClient &store, FleetState &state, PeerClients &peers);

    /// Reads missing shards, from the store and, where it fails, from members' peers addresses; the preferred
    /// peer (may be empty) is asked first of the members.
    /// Errors: InvalidArgument when the version is invalid; DataLoss when the store answers that a shard does
    /// not exist or holds other content, and no peer has it; Unavailable when a shard could not be read.
    auto load(const FleetRoot &root, const std::string &preferredPeer) -> absl::StatusOr<FleetVersionPointer>;

    /// The members of a root alone, also when the rest of the version is invalid. Errors: as load().
    auto loadMembers(const FleetRoot &root) -> absl::StatusOr<MemberTable>;

    /// Puts a loaded version in force with the time of its confirmation. False, and logged, when its revision
    /// is lower than the one in force.
    auto install(const FleetRoot &root, const FleetVersionPointer &version, TimePoint confirmedAt) -> bool;
    /// load() and install(); FailedPrecondition for a lower revision.
    auto loadAndInstall(const FleetRoot &root, TimePoint confirmedAt, const std::string &preferredPeer) -> absl::Status;

    /// Records that a stored root can never take force, so that the next commit starts from the version in
    /// force instead.
    auto markRefused(const FleetRoot &root) -> void;
    [[nodiscard]] auto isRefused(const FleetRoot &root) const -> bool;

    /// Adds shards that this daemon is about to commit.
    auto addShards(const std::vector<Shard> &shards) -> void;
    /// The content of a shard that is held here, or null.
    [[nodiscard]] auto findShard(const std::string &name) const -> std::optional<std::string>;
    /// The last version that was put in force here, with its root.
    [[nodiscard]] auto inForce() const -> RootedVersion;

private:
    auto readShard(const std::string &name, const std::string &preferredPeer) -> absl::StatusOr<std::string>;
    auto readShardFromPeers(const std::string &name, const std::string &preferredPeer) -> absl::StatusOr<std::string>;

    StoreClient &store_;
    FleetState &state_;
    PeerClients &peers_;
    mutable std::mutex mutex_;
    RootedVersion inForce_;
    std::optional<FleetRoot> refusedRoot_;
    ShardContents contents_;
};

} // namespace poplardock
