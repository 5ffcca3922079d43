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
    /// May have been sent. Only items of jobs that may not be repeated are recorded as started.
    Started,
    Done,
    Failed,
};

auto toString(ItemState state) -> std::string;

/// One item of a chunk.
struct BatchItem
{
    /// The client's name of the item; unique within the job.
    std::string id;
    /// JSON text of the request.
    std::string body;
    ItemState state = ItemState::Waiting;
    /// Attempts that failed.
    int attempts = 0;
    /// Upstreams that died while they ran the item.
    int crashes = 0;
    /// Upstreams at which an attempt failed; others are tried first.
    std::vector<std::string> excluded;
    /// Name of the results object that holds the answer; set when done.
    std::string result;
    /// Why the item failed; Ok otherwise.
    ResultCode error = ResultCode::Ok;
    std::string reason;

    [[nodiscard]] auto hasEnded() const -> bool;
    auto operator==(const BatchItem &) const -> bool = default;
};

/// The daemon that holds a chunk; an empty name means nobody.
struct ChunkHolder
{
    std::string name;
    std::string incarnation;

    auto operator==(const ChunkHolder &) const -> bool = default;
};

/// A part of a job that one daemon runs at a time. Immutable value; see ChunkTransition.h for its changes.
struct BatchChunk
{
    /// ID of the job.
    std::string job;
    std::int64_t number = 0;
    bool isRetryable = true;
    /// Raised by each lease.
    std::uint64_t epoch = 0;
    ChunkHolder holder;
    /// Raised by each change, so that a holder can be seen to be active and a write be told from others.
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
