#pragma once

#include "Version/FleetVersion.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplardock {

/// Teams are spread over this many shards; see "Cost" in section 6 of docs/design.md.
constexpr std::size_t TEAM_SHARD_COUNT = 64;

/// Format of the root and shards that this build writes, and the highest that it reads.
constexpr std::int64_t FLEET_FORMAT = 1;

/// An immutable piece of a fleet version, named after the SHA-256 of its content.
struct Shard
{
    std::string name;
    /// Canonical JSON text.
    std::string content;

    auto operator==(const Shard &) const -> bool = default;
};

/// A commit that is listed in the root, so that a writer whose response was lost can find out that it committed.
struct RecentCommit
{
    std::string id;
    std::uint64_t revision = 0;

    auto operator==(const RecentCommit &) const -> bool = default;
};

/// The object that lists the shards of one fleet revision. Its conditional update is the commit point.
struct FleetRoot
{
    std::uint64_t revision = 0;
    std::uint64_t configurationRevision = 0;
    std::array<std::string, TEAM_SHARD_COUNT> teamShards;
    std::string classShard;
    std::string routeShard;
    std::string upstreamShard;
    std::string memberShard;
    /// The most recent commits, oldest first.
    std::vector<RecentCommit> recentCommits;

    /// Errors: Unimplemented for a higher format, whose content may be valid for newer builds; InvalidArgument
    /// for malformed JSON, revisions out of range, shard names that are not a SHA-256, and a wrong shard count.
    static auto fromText(const std::string &text) -> absl::StatusOr<FleetRoot>;
    [[nodiscard]] auto toText() const -> std::string;
    /// Names of all shards, sorted, each once.
    [[nodiscard]] auto shardNames() const -> std::vector<std::string>;

    auto operator==(const FleetRoot &) const -> bool = default;
};

/// A fleet version split into its root and shards.
struct EncodedFleet
{
    FleetRoot root;
    std::vector<Shard> shards;

    auto operator==(const EncodedFleet &) const -> bool = default;
};

/// A fleet version and its root in the store. Before the first version, the pointer is null and the revision is 0.
struct RootedVersion
{
    FleetRoot root;
    FleetVersionPointer version;

    auto operator==(const RootedVersion &) const -> bool = default;
};

/// Shard contents by shard name.
using ShardContents = std::map<std::string, std::string>;

/// Pure functions that split a fleet version into a root and shards, and that assemble a version from them.
namespace FleetCodec {

/// The index of the shard that holds the team.
auto teamShardOf(const std::string &team) -> std::size_t;
/// Sorts teams, classes and upstreams by name, keys by ID and routes by prefix, so that the order of the entries does
/// not affect the shards.
auto sorted(Configuration::Data data) -> Configuration::Data;
/// Returns a root without recent commits and the shards that differ from the previous version, without duplicates.
/// Unchanged shards keep their names and are not encoded: a change to one of 5,000 teams encodes 1 of 68 shards.
auto encode(const FleetVersion &version, const RootedVersion &previous) -> EncodedFleet;
/// Names of the root's shards that are missing from the contents.
auto missingShards(const FleetRoot &root, const ShardContents &contents) -> std::vector<std::string>;
/// True if the name is the SHA-256 of the content in canonical form. The order of keys and white space do not matter.
auto isContentOf(const std::string &name, const std::string &content) -> bool;
/// Teams, upstreams and members whose shards are unchanged are copied from the previous version instead of parsed.
/// Precondition: the contents hold all other shards of the root, each checked with isContentOf().
/// Errors: InvalidArgument with the reason when a shard is malformed or the version is invalid.
auto assemble(const FleetRoot &root, const ShardContents &contents, const RootedVersion &previous) -> absl::StatusOr<FleetVersion>;

} // namespace FleetCodec

} // namespace poplardock
