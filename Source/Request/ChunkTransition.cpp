#include "Request/ChunkTransition.h"

#include <algorithm>

namespace poplardock::ChunkTransition {

namespace {

constexpr std::size_t MAXIMUM_REASON_BYTES = 200;

auto failItem(BatchItem &item, ResultCode error, const std::string &reason) -> void
{
    item.state = ItemState::Failed;
    item.error = error;
    item.reason = reason.substr(0, MAXIMUM_REASON_BYTES);
}

auto failStartedItems(BatchChunk &chunk) -> void
{
    for (BatchItem &item : chunk.items) {
        if (item.state == ItemState::Started) {
            failItem(item,
                     ResultCode::ItemMayHaveRun,
                     "the item was sent, but its holder lost or released the lease before recording its completion");
        }
    }
}

auto checkLease(const BatchChunk &chunk, const ChunkLease &lease) -> absl::Status
{
    if (chunk.cancelled) {
        return absl::FailedPreconditionError("the chunk is cancelled");
    }
    if (chunk.holder != lease.holder || chunk.epoch != lease.epoch || chunk.holder.name.empty()) {
        return absl::FailedPreconditionError("the chunk is held under another lease");
    }
    return absl::OkStatus();
}

/// Applies one outcome to an item that has not ended.
struct OutcomeVisitor
{
    BatchItem &item;
    bool isRetryable;

    auto operator()(const ItemCompleted &outcome) const -> void
    {
        item.state = ItemState::Done;
        item.result = outcome.result;
    }

    auto operator()(const ItemFailed &outcome) const -> void
    {
        failItem(item, outcome.error, outcome.reason);
    }

    auto operator()(const AttemptFailed &outcome) const -> void
    {
        (outcome.isCrash ? item.crashes : item.attempts) += 1;
        if (outcome.mayHaveRun && !isRetryable) {
            failItem(item, ResultCode::ItemMayHaveRun, outcome.reason);
            return;
        }
        item.state = ItemState::Waiting;
        if (outcome.isCrash) {
            return;
        }
        if (item.attempts >= MAXIMUM_ATTEMPTS) {
            failItem(item, ResultCode::ItemAttemptsExhausted, outcome.reason);
        } else if (std::find(item.excluded.begin(), item.excluded.end(), outcome.upstream) == item.excluded.end()) {
            item.excluded.push_back(outcome.upstream);
        }
    }

    auto operator()(const ItemReturned &outcome) const -> void
    {
        if (outcome.mayHaveRun && !isRetryable) {
            failItem(item, ResultCode::ItemMayHaveRun, "the item was sent, then aborted before its response arrived");
            return;
        }
        item.state = ItemState::Waiting;
    }
};

} // namespace

auto lease(const BatchChunk &chunk, const ChunkHolder &holder) -> absl::StatusOr<BatchChunk>
{
    if (chunk.cancelled || chunk.hasEnded()) {
        return absl::FailedPreconditionError("the chunk has ended");
    }
    if (holder.name.empty()) {
        return absl::FailedPreconditionError("a lease needs a holder");
    }
    BatchChunk changed = chunk;
    failStartedItems(changed);
    changed.holder = holder;
    ++changed.epoch;
    ++changed.progress;
    return changed;
}

auto start(const BatchChunk &chunk, const ChunkLease &lease, const std::vector<std::size_t> &items) -> absl::StatusOr<BatchChunk>
{
    if (absl::Status status = checkLease(chunk, lease); !status.ok()) {
        return status;
    }
    BatchChunk changed = chunk;
    for (const std::size_t index : items) {
        if (index >= changed.items.size() || changed.items[index].state != ItemState::Waiting) {
            return absl::FailedPreconditionError("only a waiting item can be started");
        }
        changed.items[index].state = ItemState::Started;
    }
    ++changed.progress;
    return changed;
}

auto commit(const BatchChunk &chunk, const ChunkLease &lease, const ItemOutcomes &outcomes) -> absl::StatusOr<BatchChunk>
{
    if (absl::Status status = checkLease(chunk, lease); !status.ok()) {
        return status;
    }
    BatchChunk changed = chunk;
    for (const auto &[index, outcome] : outcomes) {
        if (index >= changed.items.size() || changed.items[index].hasEnded()) {
            return absl::FailedPreconditionError("the item has ended");
        }
        BatchItem &item = changed.items[index];
        if (std::holds_alternative<ItemCompleted>(outcome) && !chunk.isRetryable && item.state != ItemState::Started) {
            return absl::FailedPreconditionError("a non-retryable item must be started before it can complete");
        }
        std::visit(OutcomeVisitor { item, chunk.isRetryable }, outcome);
    }
    ++changed.progress;
    return changed;
}

auto renew(const BatchChunk &chunk, const ChunkLease &lease) -> absl::StatusOr<BatchChunk>
{
    return commit(chunk, lease, {});
}

auto release(const BatchChunk &chunk, const ChunkLease &lease) -> absl::StatusOr<BatchChunk>
{
    if (absl::Status status = checkLease(chunk, lease); !status.ok()) {
        return status;
    }
    BatchChunk changed = chunk;
    failStartedItems(changed);
    changed.holder = {};
    ++changed.progress;
    return changed;
}

auto cancel(const BatchChunk &chunk) -> absl::StatusOr<BatchChunk>
{
    if (chunk.cancelled || chunk.hasEnded()) {
        return absl::FailedPreconditionError("the chunk has ended");
    }
    BatchChunk changed = chunk;
    changed.cancelled = true;
    changed.holder = {};
    ++changed.progress;
    return changed;
}

} // namespace poplardock::ChunkTransition
