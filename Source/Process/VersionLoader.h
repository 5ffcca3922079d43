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

/// Loads the fleet version of a root and puts it in force: reads the shards that the version in force does not
/// share, validates the version as a whole and installs it into the fleet state. Keeps the shards of the version in
/// force for the next change, and to serve them to peers.
/// Thread safety: all methods may be called from any thread; no lock is held during a call to the store or to peers.
class VersionLoader
{
public:
    /// The references must outlive this object.
    VersionLoader(StoreClient &store, FleetState &state, PeerClients &peers);

    /// Reads the missing shards from the store, or from the members' peers addresses when the store fails. The
    /// preferred peer (an address, may be empty) is queried before the other members.
    /// Errors: InvalidArgument when the version is invalid; DataLoss when a shard does not exist in the store or its
    /// content does not match its name, and no peer has it; Unavailable when a shard could not be read.
    auto load(const FleetRoot &root, const std::string &preferredPeer) -> absl::StatusOr<FleetVersionPointer>;

    /// Loads only the members of a root, which works even if the rest of the version is invalid. Errors: as load().
    auto loadMembers(const FleetRoot &root) -> absl::StatusOr<MemberTable>;

    /// Puts a loaded version in force, with the time at which it was confirmed. Returns false and logs a warning when
    /// its revision is lower than the one in force.
    auto install(const FleetRoot &root, const FleetVersionPointer &version, TimePoint confirmedAt) -> bool;
    /// Calls load(), then install(). Errors: as load(); FailedPrecondition when a higher revision is in force.
    auto loadAndInstall(const FleetRoot &root, TimePoint confirmedAt, const std::string &preferredPeer) -> absl::Status;

    /// Marks a stored root as one that never comes into force, so that the next commit is based on the version in
    /// force instead.
    auto markRefused(const FleetRoot &root) -> void;
    [[nodiscard]] auto isRefused(const FleetRoot &root) const -> bool;

    /// Adds the shards of a version that this daemon commits, which saves reading them again.
    auto addShards(const std::vector<Shard> &shards) -> void;
    /// Returns the content of a shard that is held here, or nullopt.
    [[nodiscard]] auto findShard(const std::string &name) const -> std::optional<std::string>;
    /// Returns the last version that was put in force here, with its root.
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
    ShardContents shards_;
};

} // namespace poplardock
