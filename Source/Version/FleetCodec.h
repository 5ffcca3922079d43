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

/// An immutable part of a version, named by the SHA-256 of its content.
struct Shard
{
    std::string name;
    /// Canonical JSON text.
    std::string content;

    auto operator==(const Shard &) const -> bool = default;
};

/// A commit that the root remembers, so that a writer whose answer was lost can find its own commit.
struct RecentCommit
{
    std::string id;
    std::uint64_t revision = 0;

    auto operator==(const RecentCommit &) const -> bool = default;
};

/// The object that names one revision of the fleet. Its conditional update is the commit point.
struct FleetRoot
{
    std::uint64_t revision = 0;
    std::uint64_t configurationRevision = 0;
    std::array<std::string, TEAM_SHARD_COUNT> teamShards;
    std::string classShard;
    std::string routeShard;
    std::string upstreamShard;
    std::string memberShard;
    /// The last commits, oldest first.
    std::vector<RecentCommit> recentCommits;

    /// Errors: Unimplemented for a higher format, whose content may be valid for newer builds; InvalidArgument
    /// for malformed JSON, shard names that are no SHA-256, and a wrong shard count.
    static auto fromText(const std::string &text) -> absl::StatusOr<FleetRoot>;
    [[nodiscard]] auto toText() const -> std::string;
    /// Names of all shards, sorted, each once.
    [[nodiscard]] auto shardNames() const -> std::vector<std::string>;

    auto operator==(const FleetRoot &) const -> bool = default;
};

/// A version split into its root and shards.
struct EncodedFleet
{
    FleetRoot root;
    std::vector<Shard> shards;

    auto operator==(const EncodedFleet &) const -> bool = default;
};

/// A version and the root that it has in the store; the null pointer and revision 0 before the first one.
struct RootedVersion
{
    FleetRoot root;
    FleetVersionPointer version;

    auto operator==(const RootedVersion &) const -> bool = default;
};

/// Contents of shards by name.
using ShardContents = std::map<std::string, std::string>;

/// Splits a fleet version into a root and shards and assembles it again. Pure functions.
namespace FleetCodec {

/// The index of the shard that holds the team.
auto teamShardOf(const std::string &team) -> std::size_t;
/// Sorts teams, classes and upstreams by name, keys by id and routes by prefix. Equal data in another order
/// give equal shards.
auto sorted(Configuration::Data data) -> Configuration::Data;
/// Equal shards occur once. The root has no recent commits. Parts that equal those of the previous version
/// keep its shard names and are not encoded: a change of one of 5,000 teams then takes 1 of 68 shards.
auto encode(const FleetVersion &version, const RootedVersion &previous) -> EncodedFleet;
/// Shard names of the root that the contents lack.
auto missingShards(const FleetRoot &root, const ShardContents &contents) -> std::vector<std::string>;
/// True when the content has the name, whatever the order of its keys and its white space.
auto isContentOf(const std::string &name, const std::string &content) -> bool;
/// Parts whose shards the previous version shares are taken from it and not parsed again.
/// Precondition: the contents have every other shard of the root, each checked with isContentOf().
/// Errors: InvalidArgument with the reason when a shard is malformed or the version is invalid.
auto assemble(const FleetRoot &root, const ShardContents &contents, const RootedVersion &previous) -> absl::StatusOr<FleetVersion>;

} // namespace FleetCodec

} // namespace poplardock
