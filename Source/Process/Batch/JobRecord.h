#pragma once

#include "Process/Clock.h"
#include "Process/StoredObject.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace poplardock {

/// What the store holds of a job beside its items and results. Its create is the acceptance of the job.
struct JobRecord
{
    std::string id;
    std::string team;
    std::string host;
    /// Prefix of the route on which the job came.
    std::string prefix;
    /// The daemon that runs the items, with its start and the address at which the others reach it.
    std::string owner;
    std::string ownerIncarnation;
    std::string ownerAddress;
    std::size_t itemCount = 0;
    /// Number of objects that hold the items.
    std::size_t payloadCount = 0;
    WallClock::time_point submittedAt;
    WallClock::time_point dueAt;
    /// From this time on an item may be given up.
    WallClock::time_point giveUpAt;
    /// The team has cancelled the job.
    bool isCancelled = false;
    /// All items have a result.
    bool isDone = false;
    /// The store's revision of the record.
    std::uint64_t version = 0;

    [[nodiscard]] auto isOpen() const -> bool;
    auto operator==(const JobRecord &) const -> bool = default;
};

auto toStored(const JobRecord &record) -> StoredObject;
/// Errors: InvalidArgument.
auto jobRecordFrom(const StoredObject &object) -> absl::StatusOr<JobRecord>;

/// Kind of job records in the store.
inline constexpr const char *JOB_KIND = "jobs";

} // namespace poplardock
