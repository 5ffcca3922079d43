#pragma once

#include "Version/BatchChunk.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace poplardock {

/// Failed attempts after which an item fails.
constexpr int MAXIMUM_ATTEMPTS = 3;

/// Proof of the right to change a chunk, as obtained by its holder.
struct ChunkLease
{
    ChunkHolder holder;
    std::uint64_t epoch = 0;

    auto operator==(const ChunkLease &) const -> bool = default;
};

/// The item has a response, which is stored in this results object.
struct ItemCompleted
{
    std::string result;

    auto operator==(const ItemCompleted &) const -> bool = default;
};

/// The item failed for good, without a stored response.
struct ItemFailed
{
    ResultCode error = ResultCode::Internal;
    std::string reason;

    auto operator==(const ItemFailed &) const -> bool = default;
};

/// An attempt at this upstream failed. The item returns to waiting unless it has reached the limit of attempts, or it may
/// have run and is not retryable. A crash of the upstream is not the item's doing and does not count as an attempt.
struct AttemptFailed
{
    std::string upstream;
    bool mayHaveRun = true;
    bool isCrash = false;
    std::string reason;

    auto operator==(const AttemptFailed &) const -> bool = default;
};

/// The item was not sent, or its holder aborted it. Does not count as an attempt.
struct ItemReturned
{
    bool mayHaveRun = false;

    auto operator==(const ItemReturned &) const -> bool = default;
};

using ItemOutcome = std::variant<ItemCompleted, ItemFailed, AttemptFailed, ItemReturned>;

/// Outcomes by the index of the item in its chunk.
using ItemOutcomes = std::map<std::size_t, ItemOutcome>;

/// All state transitions of a chunk. Pure functions: each returns the changed chunk, or FailedPrecondition with the
/// reason when the transition is not allowed. JobStore writes the result with a conditional update on the version
/// that was read, so of two concurrent changes to the same version only one takes effect.
namespace ChunkTransition {

/// Leases the chunk to a holder under a new epoch. Items that the previous holder may have sent and that are not
/// retryable fail with ItemMayHaveRun. Not allowed on an ended or cancelled chunk.
/// Precondition: the caller has decided that the current holder may be replaced.
auto lease(const BatchChunk &chunk, const ChunkHolder &holder) -> absl::StatusOr<BatchChunk>;
/// Marks waiting items as started; called before they are sent. Only needed for items that are not retryable.
auto start(const BatchChunk &chunk, const ChunkLease &lease, const std::vector<std::size_t> &items) -> absl::StatusOr<BatchChunk>;
/// Records outcomes of items that have not ended. A non-retryable item must have been started before it can complete.
auto commit(const BatchChunk &chunk, const ChunkLease &lease, const ItemOutcomes &outcomes) -> absl::StatusOr<BatchChunk>;
/// Renews the lease: shows that the holder is alive by advancing the chunk's progress.
auto renew(const BatchChunk &chunk, const ChunkLease &lease) -> absl::StatusOr<BatchChunk>;
/// Releases the lease so that others can take the chunk. Started items that are not retryable fail with ItemMayHaveRun.
auto release(const BatchChunk &chunk, const ChunkLease &lease) -> absl::StatusOr<BatchChunk>;
/// Cancels the chunk and drops its lease; its items keep their states. Not allowed on an ended or cancelled chunk.
auto cancel(const BatchChunk &chunk) -> absl::StatusOr<BatchChunk>;

} // namespace ChunkTransition

} // namespace poplardock
