#pragma once

#include "Version/ServiceRoute.h"
#include "Version/Team.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplardock {

/// Limits on the size of a caller's request head and body, the time to receive the head, and the time that a
/// connection may be idle.
struct CallerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    auto operator==(const CallerLimits &) const -> bool = default;
};

/// The operator's settings for one group of upstreams.
struct GroupLimits
{
    std::string name;
    /// Connections that one upstream accepts from all daemons together; 0 for no limit.
    int maximumConnections = 0;
    /// Output tokens in one event of a stream; 0 when unknown.
    int tokensPerEvent = 0;
    /// Requests that one upstream runs at a time; 0 when unknown.
    int slots = 0;
    /// How long an upstream is cold after a start; 0: never.
    Milliseconds coldStart { 0 };
    /// Requests per second that a cold upstream can handle; 0 for no limit.
    double coldPerSecond = 0;

    auto operator==(const GroupLimits &) const -> bool = default;
};

/// A team and what applies to its requests.
struct ServedTeam
{
    Team team;
    /// 0 is the highest; negative if the team has none of its own.
    int priority = -1;
    /// Regions whose upstreams may run the team's requests; empty for all.
    std::vector<std::string> allowedRegions;

    auto operator==(const ServedTeam &) const -> bool = default;
};

/// One version of the configuration that the operator wrote to the platform's store. Immutable; safe to read from any
/// thread.
class ServingVersion
{
public:
    struct Data
    {
        /// Revision of the object in the store; increases with each change.
        std::uint64_t revision = 0;
        /// Version number given by the operator.
        std::int64_t number = 0;
        std::vector<ServiceRoute> routes;
        std::vector<GroupLimits> groups;
        std::vector<ServedTeam> teams;
        CallerLimits callerLimits;

        auto operator==(const Data &) const -> bool = default;
    };

    explicit ServingVersion(Data data);

    [[nodiscard]] auto data() const -> const Data &;
    /// The route of that host with the longest prefix of the path, or null if none matches. The path's query is
    /// ignored. The pointer lives as long as the version.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const -> const ServiceRoute *;
    /// The team that the key belongs to, or null if the key is unknown.
    [[nodiscard]] auto findTeamOfKey(const std::string &key) const -> const ServedTeam *;
    [[nodiscard]] auto findTeam(const std::string &name) const -> const ServedTeam *;
    /// If there are no teams, every request is allowed.
    [[nodiscard]] auto hasTeams() const -> bool;

    /// Whether a route or a team has allowed regions.
    [[nodiscard]] auto hasRegions() const -> bool;

    auto operator==(const ServingVersion &other) const -> bool;

private:
    Data data_;
    bool hasRegions_ = false;
    std::unordered_map<std::string, std::size_t> teamIndexByKeyHash_;
};

using ServingVersionPointer = std::shared_ptr<const ServingVersion>;

} // namespace poplardock
