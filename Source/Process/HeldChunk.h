#pragma once

#include "Process/Clock.h"
#include "Process/JobStore.h"
#include "Request/BatchItemAttempt.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// A chunk that this daemon has leased, with the attempts and outcomes that are not yet recorded in the store.
/// Not thread-safe; the dispatcher guards it.
class HeldChunk
{
public:
    /// One write to the store. When it is not known whether a write took effect, it is repeated unchanged.
    struct Write
    {
        std::string resultName;
        std::vector<ChunkItemResponse> responses;
        bool areResponsesStored = false;
        ItemOutcomes outcomes;
        std::vector<std::size_t> starts;
    };

    /// Delays after which a write is due.
    struct WriteTiming
    {
        /// From the oldest outcome. With 9 held chunks and two writes each, 3 s make 6 writes/s, below the rate limit
        /// of JobStore.
        Milliseconds commitAfter { 3000 };
        /// From the last write.
        Milliseconds renewAfter { 10000 };
    };

    HeldChunk(StoredChunk stored, ChunkLease lease, bool ignoresExclusion, TimePoint now);

    [[nodiscard]] auto stored() const -> const StoredChunk &;
    [[nodiscard]] auto lease() const -> const ChunkLease &;
    [[nodiscard]] auto name() const -> std::string;

    /// The next item that may be sent to the upstream. Items that were running when an upstream crashed are crash
    /// suspects and are only returned when these are allowed. "others" are the other upstreams of the fleet that can
    /// run the chunk.
    [[nodiscard]] auto nextRunnable(const std::string &upstream,
                                    const std::vector<std::string> &others,
                                    bool allowsCrashSuspects,
                                    TimePoint now) const -> std::optional<std::size_t>;
    /// Items that wait for an attempt, at any upstream.
    [[nodiscard]] auto waitingCount() const -> int;
    [[nodiscard]] auto runningCount() const -> int;
    /// Items that are marked as started in the store and not sent yet.
    [[nodiscard]] auto startedUnsentCount() const -> int;
    [[nodiscard]] auto isCrashSuspect(std::size_t item) const -> bool;

    /// While starts are not allowed, nextRunnable() returns nothing: the chunk is about to be released.
    auto allowStarts(bool areAllowed) -> void;
    auto beginAttempt(std::size_t item) -> void;
    auto endAttempt(std::size_t item, const ItemAttemptResult &result, TimePoint now) -> void;

    /// The write that is due, or null. It marks at most "maximumStarts" non-repeatable items as started. "flush" makes
    /// a write due as soon as there is an outcome.
    auto dueWrite(const WriteTiming &timing, int maximumStarts, bool flush, TimePoint now) -> const Write *;
    auto markResponsesStored() -> void;
    /// Ends the items of the pending write as failed, since the store refused their responses.
    auto rejectResponses() -> void;
    /// Updates the chunk after the pending write took effect.
    auto applyWrite(StoredChunk stored, TimePoint now) -> void;
    /// Returns items that were marked as started and never sent. To be called before the chunk is released.
    auto returnStartedUnsent() -> void;

private:
    enum class LocalState
    {
        Idle,
        Running,
        /// Has an outcome that is not yet recorded in the store.
        Pending,
    };
    /// State of an item that is not in the store.
    struct LocalItem
    {
        LocalState state = LocalState::Idle;
        /// Marked as started in the store and not sent yet.
        bool isStartedUnsent = false;
        TimePoint notBefore;
        ItemAttemptResult result;
    };

    [[nodiscard]] auto isRunnable(std::size_t item) const -> bool;
    auto planOutcomes(Write &write) -> void;
    auto planStarts(Write &write, int maximumStarts) -> void;

    StoredChunk stored_;
    ChunkLease lease_;
    bool ignoresExclusion_;
    bool areStartsAllowed_ = true;
    std::vector<LocalItem> localItems_;
    std::optional<Write> write_;
    std::optional<TimePoint> oldestOutcomeAt_;
    TimePoint lastWriteAt_;
    std::uint64_t nextResultSequence_ = 0;
};

} // namespace poplardock
