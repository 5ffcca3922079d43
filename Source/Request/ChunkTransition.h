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
/// Upstream deaths after which an item fails.
constexpr int MAXIMUM_CRASHES = 2;

/// The right to change a chunk, as its holder obtained it.
struct ChunkLease
{
    ChunkHolder holder;
    std::uint64_t epoch = 0;

    auto operator==(const ChunkLease &) const -> bool = default;
};

/// The answer of the item is stored in this results object.
struct ItemCompleted
{
    std::string result;

    auto operator==(const ItemCompleted &) const -> bool = default;
};

/// The item ended without an answer.
struct ItemFailed
{
    ResultCode error = ResultCode::Internal;
    std::string reason;

    auto operator==(const ItemFailed &) const -> bool = default;
};

/// An attempt at this upstream failed. The item waits again unless its attempts or deaths are used up, or it
/// may have run and may not be repeated.
struct AttemptFailed
{
    std::string upstream;
    bool mayHaveRun = true;
    bool isCrash = false;
    std::string reason;

    auto operator==(const AttemptFailed &) const -> bool = default;
};

/// The item was not sent, or it was dropped by its holder. Counts no attempt.
struct ItemReturned
{
    bool mayHaveRun = false;

    auto operator==(const ItemReturned &) const -> bool = default;
};

using ItemOutcome = std::variant<ItemCompleted, ItemFailed, AttemptFailed, ItemReturned>;

/// Outcomes by index of the item in its chunk.
using ItemOutcomes = std::map<std::size_t, ItemOutcome>;

/// Every change of a chunk. Pure functions: each returns the changed chunk or FailedPrecondition, naming the
/// reason, when the change is not allowed. JobStore makes a change with a conditional update on the version
/// that was read, so of two changes of one version only one takes effect.
namespace ChunkTransition {

/// Gives the chunk to a holder under a new epoch. Items that the last holder may have sent and that may not
/// be repeated end as ItemMayHaveRun. Not allowed on an ended or cancelled chunk.
/// Precondition: the caller decided that the present holder may be replaced.
auto lease(const BatchChunk &chunk, const ChunkHolder &holder) -> absl::StatusOr<BatchChunk>;
/// Records that waiting items are about to be sent.
auto start(const BatchChunk &chunk, const ChunkLease &lease, const std::vector<std::size_t> &items) -> absl::StatusOr<BatchChunk>;
/// Records outcomes of items that have not ended. An item that may not be repeated must have been started.
auto commit(const BatchChunk &chunk, const ChunkLease &lease, const ItemOutcomes &outcomes) -> absl::StatusOr<BatchChunk>;
/// Shows that the holder is active.
auto renew(const BatchChunk &chunk, const ChunkLease &lease) -> absl::StatusOr<BatchChunk>;
/// Leaves the chunk to other holders. Started items that may not be repeated end as ItemMayHaveRun.
auto release(const BatchChunk &chunk, const ChunkLease &lease) -> absl::StatusOr<BatchChunk>;
/// Ends the chunk's work; its items keep their states. Not allowed when it has ended or is cancelled.
auto cancel(const BatchChunk &chunk) -> absl::StatusOr<BatchChunk>;

} // namespace ChunkTransition

} // namespace poplardock
