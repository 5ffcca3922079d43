#pragma once

#include "Process/Clock.h"
#include "Process/StoredObject.h"
#include "Request/RegionFilter.h"
#include "Version/ServingVersion.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace poplardock {

/// The metadata of a job in the store; its items and results are separate objects. The record is created last: once it
/// exists, the job is accepted.
struct JobRecord
{
    /// Name of the record in the store, which also names the job's other objects, and the job between daemons: the id that the caller
    /// chose, or jobNameOf() where another team had that id first.
    std::string id;
    /// The id that the caller chose; empty if it is "id".
    std::string callerId;
    /// Empty for a job that was submitted without a key; everybody who knows its id may read it.
    std::string team;
    std::string host;
    /// Path prefix of the route on which the job was submitted.
    std::string prefix;
    /// The daemon that runs the items, its incarnation, and the address at which other daemons reach it.
    std::string owner;
    std::string ownerIncarnation;
    std::string ownerAddress;
    std::size_t itemCount = 0;
    /// Number of payload objects over which the items are spread.
    std::size_t payloadCount = 0;
    WallClock::time_point submittedAt;
    WallClock::time_point dueAt;
    /// Items without a result at this time may be given up.
    WallClock::time_point giveUpAt;
    /// The team has cancelled the job.
    bool isCancelled = false;
    /// All items have a committed result.
    bool isDone = false;
    /// The store's version of the record, for conditional updates.
    std::uint64_t version = 0;

    /// The id that the caller chose.
    [[nodiscard]] auto chosenId() const -> const std::string &;
    /// Whether the team submitted it under that id. Ids are unique for each team only.
    [[nodiscard]] auto isJobOf(std::string_view submitter, std::string_view submittedId) const -> bool;
    /// Neither done nor cancelled.
    [[nodiscard]] auto isOpen() const -> bool;
    auto operator==(const JobRecord &) const -> bool = default;
};

/// Where the job's items may run by its route and its team; a route or team that the configuration no longer has restricts nothing.
/// Thread-safe.
auto regionFilterOf(const ServingVersion &version, const JobRecord &record, const std::map<std::string, std::string> &regions)
    -> RegionFilter;

/// The name of a job whose id names the record of another team's job: differs for each pair of team and id. Thread-safe.
auto jobNameOf(const std::string &team, const std::string &callerId) -> std::string;
auto toStored(const JobRecord &record) -> StoredObject;
/// Errors: InvalidArgument.
auto jobRecordFrom(const StoredObject &object) -> absl::StatusOr<JobRecord>;

/// Kind of job records in the store.
inline constexpr const char *JOB_KIND = "jobs";

} // namespace poplardock
