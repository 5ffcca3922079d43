#pragma once

#include "Process/Json.h"
#include "Request/ResultCode.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace poplardock {

enum class ItemState
{
    Waiting,
    /// May have been sent to an upstream. Recorded only for items of non-retryable jobs.
    Started,
    Done,
    Failed,
};

auto toString(ItemState state) -> std::string;

/// One item of a chunk.
struct BatchItem
{
    /// ID given by the caller; unique within the job.
    std::string id;
    /// JSON text of the request.
    std::string body;
    ItemState state = ItemState::Waiting;
    /// Number of failed attempts.
    int attempts = 0;
    /// Number of upstream crashes while the item ran.
    int crashes = 0;
    /// Upstreams at which an attempt failed; they are tried only after all others.
    std::vector<std::string> excluded;
    /// Name of the results object that holds the response; set when done.
    std::string result;
    /// Cause of the failure; Ok unless the item failed.
    ResultCode error = ResultCode::Ok;
    std::string reason;

    [[nodiscard]] auto hasEnded() const -> bool;
    auto operator==(const BatchItem &) const -> bool = default;
};

/// The daemon that holds the lease of a chunk; the name is empty when no daemon does.
struct ChunkHolder
{
    std::string name;
    std::string incarnation;

    auto operator==(const ChunkHolder &) const -> bool = default;
};

/// A group of a job's items that is leased to one daemon at a time. Immutable value; ChunkTransition.h has its state
/// transitions.
struct BatchChunk
{
    /// ID of the job.
    std::string job;
    std::int64_t number = 0;
    bool isRetryable = true;
    /// Incremented by each lease.
    std::uint64_t epoch = 0;
    ChunkHolder holder;
    /// Incremented by each change: shows that the holder is active, and distinguishes a write from those of others.
    std::uint64_t progress = 0;
    bool cancelled = false;
    std::vector<BatchItem> items;

    [[nodiscard]] auto hasEnded() const -> bool;
    [[nodiscard]] auto count(ItemState state) const -> std::int64_t;
    auto operator==(const BatchChunk &) const -> bool = default;
};

auto chunkNameOf(const std::string &job, std::int64_t number) -> std::string;
auto batchChunkFromJson(const JsonObject &object) -> absl::StatusOr<BatchChunk>;
auto toJson(const BatchChunk &chunk) -> JsonObject::Ptr;

} // namespace poplardock
