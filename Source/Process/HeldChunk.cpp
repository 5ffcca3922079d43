#include "Process/HeldChunk.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Delay of the next attempt of an item after an upstream could not be reached.
constexpr Milliseconds UNREACHABLE_BACKOFF { 200 };
/// Delay of the next attempt of an item after the first crash of an upstream under it. It doubles with each further crash.
constexpr Milliseconds CRASH_BACKOFF { 1000 };
constexpr int MAXIMUM_CRASH_BACKOFF_DOUBLINGS = 5;

} // namespace

HeldChunk::HeldChunk(StoredChunk stored, ChunkLease lease, bool ignoresExclusion, TimePoint now)
    : stored_(std::move(stored))
    , lease_(std::move(lease))
    , ignoresExclusion_(ignoresExclusion)
    , localItems_(stored_.chunk.items.size())
    , lastWriteAt_(now)
{
}

auto HeldChunk::stored() const -> const StoredChunk &
{
    return stored_;
}

auto HeldChunk::lease() const -> const ChunkLease &
{
    return lease_;
}

auto HeldChunk::name() const -> std::string
{
    return chunkNameOf(stored_.chunk.job, stored_.chunk.number);
}

auto HeldChunk::isRunnable(std::size_t item) const -> bool
{
    const LocalItem &local = localItems_[item];
    const ItemState state = stored_.chunk.items[item].state;
    if (local.state != LocalState::Idle) {
        return false;
    }
    return stored_.chunk.isRetryable ? state == ItemState::Waiting : state == ItemState::Started && local.isStartedUnsent;
}

auto HeldChunk::isCrashSuspect(std::size_t item) const -> bool
{
    return stored_.chunk.items[item].crashes > 0;
}

auto HeldChunk::nextRunnable(const std::string &upstream,
                             const std::vector<std::string> &others,
                             bool allowsCrashSuspects,
                             TimePoint now) const -> std::optional<std::size_t>
{
    if (!areStartsAllowed_) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < localItems_.size(); ++index) {
        if (!isRunnable(index) || now < localItems_[index].notBefore || (isCrashSuspect(index) && !allowsCrashSuspects)) {
            continue;
        }
        const auto &excluded = stored_.chunk.items[index].excluded;
        const auto isExcluded = [&excluded](const std::string &name) {
            return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
        };
        const bool hasAlternative = !std::all_of(others.begin(), others.end(), isExcluded);
        if (ignoresExclusion_ || !isExcluded(upstream) || !hasAlternative) {
            return index;
        }
    }
    return std::nullopt;
}

auto HeldChunk::waitingCount() const -> int
{
    int count = 0;
    for (std::size_t index = 0; index < localItems_.size(); ++index) {
        const bool isIdle = localItems_[index].state == LocalState::Idle && !stored_.chunk.items[index].hasEnded();
        count += isIdle ? 1 : 0;
    }
    return count;
}

auto HeldChunk::runningCount() const -> int
{
    return static_cast<int>(
        std::count_if(localItems_.begin(), localItems_.end(), [](const LocalItem &local) { return local.state == LocalState::Running; }));
}

auto HeldChunk::startedUnsentCount() const -> int
{
    return static_cast<int>(
        std::count_if(localItems_.begin(), localItems_.end(), [](const LocalItem &local) { return local.isStartedUnsent; }));
}

auto HeldChunk::allowStarts(bool areAllowed) -> void
{
    areStartsAllowed_ = areAllowed;
}

auto HeldChunk::beginAttempt(std::size_t item) -> void
{
    localItems_[item].state = LocalState::Running;
    localItems_[item].isStartedUnsent = false;
}

auto HeldChunk::endAttempt(std::size_t item, const ItemAttemptResult &result, TimePoint now) -> void
{
    LocalItem &local = localItems_[item];
    const auto *returned = std::get_if<ItemReturned>(&result);
    if (returned != nullptr && (stored_.chunk.isRetryable || !returned->mayHaveRun)) {
        // There is nothing to record: the item is still waiting, or still marked as started.
        local.state = LocalState::Idle;
        local.isStartedUnsent = !stored_.chunk.isRetryable;
        local.notBefore = returned->mayHaveRun ? now : now + UNREACHABLE_BACKOFF;
        return;
    }
    local.state = LocalState::Pending;
    local.result = result;
    oldestOutcomeAt_ = oldestOutcomeAt_.value_or(now);
}

auto HeldChunk::planOutcomes(Write &write) -> void
{
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < localItems_.size(); ++index) {
        if (localItems_[index].state != LocalState::Pending) {
            continue;
        }
        const ItemAttemptResult &result = localItems_[index].result;
        if (const auto *completed = std::get_if<ItemResponse>(&result)) {
            if (bytes + completed->body.size() > JobStore::MAXIMUM_RESULT_BYTES) {
                continue;
            }
            bytes += completed->body.size();
            write.responses.push_back({ index, completed->status, completed->body });
            write.outcomes.emplace(index, ItemCompleted { write.resultName });
        } else if (const auto *ended = std::get_if<ItemFailed>(&result)) {
            write.outcomes.emplace(index, *ended);
        } else if (const auto *failed = std::get_if<AttemptFailed>(&result)) {
            write.outcomes.emplace(index, *failed);
        } else {
            write.outcomes.emplace(index, std::get<ItemReturned>(result));
        }
    }
}

auto HeldChunk::planStarts(Write &write, int maximumStarts) -> void
{
    if (stored_.chunk.isRetryable) {
        return;
    }
    for (std::size_t index = 0; index < localItems_.size(); ++index) {
        const bool isWaiting = localItems_[index].state == LocalState::Idle && stored_.chunk.items[index].state == ItemState::Waiting;
        if (isWaiting && static_cast<int>(write.starts.size()) < maximumStarts) {
            write.starts.push_back(index);
        }
    }
}

auto HeldChunk::dueWrite(const WriteTiming &timing, int maximumStarts, bool flush, TimePoint now) -> const Write *
{
    if (write_) {
        return &*write_;
    }
    const bool isIdle = waitingCount() == 0 && runningCount() == 0;
    const bool isCommitDue = oldestOutcomeAt_ && (flush || isIdle || now - *oldestOutcomeAt_ >= timing.commitAfter);
    const bool isRenewalDue = now - lastWriteAt_ >= timing.renewAfter;
    Write write;
    write.resultName = JobStore::resultNameOf(stored_.chunk, lease_.epoch, nextResultSequence_);
    planStarts(write, maximumStarts);
    if (!isCommitDue && !isRenewalDue && write.starts.empty()) {
        return nullptr;
    }
    planOutcomes(write);
    ++nextResultSequence_;
    write_ = std::move(write);
    return &*write_;
}

auto HeldChunk::markResponsesStored() -> void
{
    write_->areResponsesStored = true;
}

auto HeldChunk::rejectResponses() -> void
{
    for (const ChunkItemResponse &response : write_->responses) {
        write_->outcomes[response.index] = ItemFailed { ResultCode::ItemResultTooLarge, "the store refused the response" };
    }
    write_->responses.clear();
}

auto HeldChunk::applyWrite(StoredChunk stored, TimePoint now) -> void
{
    stored_ = std::move(stored);
    lastWriteAt_ = now;
    for (const auto &[index, outcome] : write_->outcomes) {
        localItems_[index] = {};
        const auto *failed = std::get_if<AttemptFailed>(&outcome);
        if (failed != nullptr && failed->isCrash) {
            const int doublings = std::clamp(stored_.chunk.items[index].crashes - 1, 0, MAXIMUM_CRASH_BACKOFF_DOUBLINGS);
            localItems_[index].notBefore = now + CRASH_BACKOFF * (1 << doublings);
        }
    }
    for (const std::size_t index : write_->starts) {
        localItems_[index].isStartedUnsent = true;
    }
    write_.reset();
    const bool hasMore
        = std::any_of(localItems_.begin(), localItems_.end(), [](const LocalItem &local) { return local.state == LocalState::Pending; });
    oldestOutcomeAt_ = hasMore ? std::optional<TimePoint>(now) : std::nullopt;
}

auto HeldChunk::returnStartedUnsent() -> void
{
    for (LocalItem &local : localItems_) {
        if (local.state == LocalState::Idle && local.isStartedUnsent) {
            local.state = LocalState::Pending;
            local.result = ItemReturned { false };
            oldestOutcomeAt_ = oldestOutcomeAt_.value_or(TimePoint());
        }
    }
}

} // namespace poplardock
