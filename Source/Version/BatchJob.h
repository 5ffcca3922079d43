#pragma once

#include "Process/Json.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace poplardock {

/// Wall-clock time in milliseconds, for due times and creation times.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Parses an RFC 3339 time such as "2026-05-01T08:00:00Z". Errors: InvalidArgument.
auto parseWallTime(const std::string &text) -> absl::StatusOr<WallTime>;
/// Formats a time as RFC 3339 in UTC with milliseconds.
auto toText(WallTime time) -> std::string;

enum class JobState
{
    Open,
    Cancelled,
    Done,
};

auto toString(JobState state) -> std::string;

/// A batch job as it is stored. Immutable value; a change produces a new one.
struct BatchJob
{
    std::string team;
    /// Key given by the caller; unique within the team.
    std::string jobKey;
    /// SHA-256 over everything that the caller submitted except the job key.
    std::string contentHash;
    std::string serviceClass;
    /// Model of the items; empty for a service job.
    std::string model;
    /// Path of a plain service; empty for a model job.
    std::string path;
    WallTime due;
    bool isRetryable = true;
    /// Number of items in each chunk, in the order of the chunks.
    std::vector<std::int64_t> chunkSizes;
    JobState state = JobState::Open;
    /// Whether each chunk is recorded as ended, by chunk number. Updated together with the item counts, so that each
    /// chunk is counted exactly once. A chunk may have ended without being recorded yet.
    std::vector<bool> endedChunks;
    std::int64_t doneItems = 0;
    std::int64_t failedItems = 0;

    [[nodiscard]] auto chunkCount() const -> std::int64_t;
    [[nodiscard]] auto itemCount() const -> std::int64_t;
    /// True when every chunk is recorded as ended.
    [[nodiscard]] auto hasEnded() const -> bool;
    auto operator==(const BatchJob &) const -> bool = default;
};

/// The name of the job's object in the store: a hash over team and job key, so that the name is valid whatever
/// characters they contain.
auto jobIdOf(const std::string &team, const std::string &jobKey) -> std::string;

auto batchJobFromJson(const JsonObject &object) -> absl::StatusOr<BatchJob>;
auto toJson(const BatchJob &job) -> JsonObject::Ptr;

} // namespace poplardock
