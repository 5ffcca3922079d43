#pragma once

#include "Process/VersionLoader.h"

#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace poplardock {

/// The changes of one commit. An unset field leaves that part of the version as it is; with none set, nothing is
/// written.
struct FleetChange
{
    std::optional<Configuration::Data> configuration;
    std::optional<MemberTable> members;

    auto operator==(const FleetChange &) const -> bool = default;
};

/// Commits changes to the fleet version: writes the new shards, then updates the root conditionally.
///
/// After a conflict with another commit, the change is computed again from the new version. Each commit records an
/// identifier in the root, so that reading the root again tells whether an update with a lost response took effect.
/// Such an update may be sent again, since at most one update of a stored version takes effect.
/// When the stored root is invalid, a change is based on the version in force instead.
/// Thread safety: all methods may be called from any thread.
class RootCommitter
{
public:
    /// Computes the change from a base version; called again for each new base. An error ends the commit.
    using ChangeFunction = std::function<absl::StatusOr<FleetChange>(const FleetVersion &)>;

    /// The references must outlive this object. The writer name and the seed make commit identifiers unique in the
    /// fleet.
    RootCommitter(StoreClient &store, FleetState &state, VersionLoader &loader, std::string writer, std::uint64_t seed);

    /// Returns a version that holds the change. On return, that version or a higher one is in force here.
    /// Errors: those of the change function; NotFound when there is no root; InvalidArgument when the changed
    /// version is invalid; Aborted when each attempt conflicted with another commit; Unavailable and
    /// ResourceExhausted when nothing was changed; Unknown when the change may have taken effect. Blocks for at most
    /// about 10 s while the store does not answer.
    auto commit(const ChangeFunction &change) -> absl::StatusOr<FleetVersionPointer>;
    /// Creates the root with an empty configuration and these members. Errors: AlreadyExists, Unavailable,
    /// ResourceExhausted, Unknown.
    auto createRoot(const MemberTable &members) -> absl::StatusOr<FleetVersionPointer>;

private:
    /// The stored root, which the update replaces, and the version that the change is based on.
    struct Base
    {
        StoredObject stored;
        FleetRoot root;
        FleetVersionPointer version;
        /// Lower bound (exclusive) of the next revision. Above root.revision when the stored root is invalid.
        std::uint64_t highestRevision = 0;
        TimePoint readAt;
    };
    /// An update that was sent and whose outcome is not known yet.
    struct SentUpdate
    {
        std::uint64_t baseVersion = 0;
        std::uint64_t revision = 0;
    };
    enum class UpdateOutcome
    {
        Applied,
        /// Another commit replaced the base first.
        Conflicted,
        /// The base is still stored, so that the update may yet take effect.
        Pending,
        /// The root's list of recent commits no longer reaches back to the update.
        Indeterminate,
    };
    struct Commit
    {
        const ChangeFunction &change;
        std::string id;
        std::optional<SentUpdate> sent;
    };

    auto readBase() -> absl::StatusOr<Base>;
    auto makeBase(const StoredObject &stored, TimePoint readAt) -> absl::StatusOr<Base>;
    static auto classifySentUpdate(const Commit &commit, const Base &base) -> UpdateOutcome;
    auto attempt(Commit &commit) -> absl::StatusOr<FleetVersionPointer>;
    auto applyChange(Commit &commit, const Base &base, const FleetChange &change) -> absl::StatusOr<FleetVersionPointer>;
    auto writeShards(const std::vector<Shard> &shards) -> absl::Status;
    auto installCommitted(const FleetRoot &root, const FleetVersionPointer &version, TimePoint sentAt) -> FleetVersionPointer;
    auto makeCommitId() -> std::string;
    auto backOff(int attempt) -> void;
    auto shouldRetry(const absl::Status &status, const Commit &commit) const -> bool;

    StoreClient &store_;
    FleetState &state_;
    VersionLoader &loader_;
    const std::string writer_;
    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace poplardock
