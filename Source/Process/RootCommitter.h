#pragma once

#include "Process/VersionLoader.h"

#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace poplardock {

/// What a commit changes; unset parts stay as they are, and a change with no part writes nothing.
struct FleetChange
{
    std::optional<Configuration::Data> configuration;
    std::optional<MemberTable> members;

    auto operator==(const FleetChange &) const -> bool = default;
};

/// Commits changes of the fleet version: writes the new shards, then updates the root conditionally.
///
/// A change that lost to another one is computed again on the new version. Each commit leaves an identifier
/// in the root, so that a lost answer is resolved by reading the root again. The conditional update may be
/// sent again after a lost answer, since at most one update of a stored version takes effect.
/// When the stored root is invalid, a change starts from the version in force, since the invalid one never
/// took force.
/// Thread safety: all methods may be called from any thread.
class RootCommitter
{
public:
    /// Computes the change for a version; called again for each new base. An error ends the commit.
    using ChangeFunction = std::function<absl::StatusOr<FleetChange>(const FleetVersion &)>;

    /// The references must outlive this object. Writer and seed make commit identifiers unique in the fleet.
    RootCommitter(StoreClient &store, FleetState &state, VersionLoader &loader, std::string writer, std::uint64_t seed);

    /// Returns the version that holds the change; it, or a higher one, is in force here by then.
    /// Errors: those of the change function; NotFound when there is no root; InvalidArgument when the changed
    /// version is invalid; Aborted when other changes kept coming first; Unavailable and ResourceExhausted
    /// when nothing was changed; Unknown when the change may have taken effect. Blocks for at most about 10 s
    /// while the store does not answer.
    auto commit(const ChangeFunction &change) -> absl::StatusOr<FleetVersionPointer>;
    /// Creates the root with an empty configuration and these members. Errors: AlreadyExists, Unavailable,
    /// ResourceExhausted, Unknown.
    auto createRoot(const MemberTable &members) -> absl::StatusOr<FleetVersionPointer>;

private:
    /// The stored root and the version that a change starts from.
    struct Base
    {
        StoredObject stored;
        FleetRoot root;
        FleetVersionPointer version;
        /// The next revision must be above this one; higher than the root's when the stored root is invalid.
        std::uint64_t floor = 0;
        TimePoint readAt;
    };
    /// An update whose effect is not known yet.
    struct SentUpdate
    {
        std::uint64_t baseVersion = 0;
        std::uint64_t revision = 0;
    };
    enum class Effect
    {
        TookEffect,
        Lost,
        Pending,
        Undecided,
    };
    struct Commit
    {
        const ChangeFunction &change;
        std::string id;
        std::optional<SentUpdate> sent;
    };

    auto readBase() -> absl::StatusOr<Base>;
    auto makeBase(const StoredObject &stored, TimePoint readAt) -> absl::StatusOr<Base>;
    static auto effectOf(const Commit &commit, const Base &base) -> Effect;
    auto attempt(Commit &commit) -> absl::StatusOr<FleetVersionPointer>;
    auto applyChange(Commit &commit, const Base &base, const FleetChange &change) -> absl::StatusOr<FleetVersionPointer>;
    auto writeShards(const std::vector<Shard> &shards) -> absl::Status;
    auto finish(const FleetRoot &root, const FleetVersionPointer &version, TimePoint sentAt) -> FleetVersionPointer;
    auto nextId() -> std::string;
    auto pauseBeforeRetry(int attempt) -> void;
    auto isWorthRetrying(const absl::Status &status, const Commit &commit) const -> bool;

    StoreClient &store_;
    FleetState &state_;
    VersionLoader &loader_;
    const std::string writer_;
    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace poplardock
