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

/// A chunk that this daemon has leased, with the runs and outcomes that the store does not know yet.
/// Not thread-safe; the dispatcher guards it.
class HeldChunk
{
public:
    /// One write to the store. A write whose fate is unknown is tried again unchanged.
    struct Write
    {
        std::string resultName;
        std::vector<ChunkItemResponse> responses;
        bool areResponsesStored = false;
        ItemOutcomes outcomes;
        std::vector<std::size_t> starts;
    };

    /// When a write is due.
    struct WriteTiming
    {
        /// With 9 held chunks and two writes each, 3 s make 6 writes/s, below the pace of JobStore.
        Milliseconds commitAfter { 3000 };
        Milliseconds renewAfter { 10000 };
    };

    HeldChunk(StoredChunk stored, ChunkLease lease, bool ignoresExclusion, TimePoint now);

    [[nodiscard]] auto stored() const -> const StoredChunk &;
    [[nodiscard]] auto lease() const -> const ChunkLease &;
    [[nodiscard]] auto name() const -> std::string;

    /// The next item that may be sent to the upstream. Items that were there when an upstream died run only
    /// when suspects are allowed. "others" are the other upstreams of the fleet that can run the chunk.
    [[nodiscard]] auto nextRunnable(const std::string &upstream,
                                    const std::vector<std::string> &others,
                                    bool allowsSuspects,
                                    TimePoint now) const -> std::optional<std::size_t>;
    /// Items that wait for a run, at whichever upstream.
    [[nodiscard]] auto waitingCount() const -> int;
    [[nodiscard]] auto runningCount() const -> int;
    /// Items that are marked started in the store and not sent yet.
    [[nodiscard]] auto startedUnsentCount() const -> int;
    [[nodiscard]] auto isCrashSuspect(std::size_t item) const -> bool;

    auto beginAttempt(std::size_t item) -> void;
    auto endAttempt(std::size_t item, const ItemAttemptResult &result, TimePoint now) -> void;

    /// The write that is due, or null. At most "startGroup" items that may not be repeated are marked started.
    /// "atOnce" asks for every outcome now.
    auto dueWrite(const WriteTiming &pace, int startGroup, bool atOnce, TimePoint now) -> const Write *;
    auto markResponsesStored() -> void;
    /// The store refused the answers: their items end without one.
    auto rejectResponses() -> void;
    /// The write took effect.
    auto applyWrite(StoredChunk stored, TimePoint now) -> void;
    /// Returns started items that were never sent, ahead of giving the chunk back.
    auto returnStartedUnsent() -> void;

private:
    enum class LocalState
    {
        Idle,
        Running,
        /// Has an outcome that the store does not know.
        Pending,
    };
    struct LocalItem
    {
        LocalState state = LocalState::Idle;
        /// Marked started in the store and not sent yet.
        bool isStartedUnsent = false;
        TimePoint notBefore;
        ItemAttemptResult result;
    };

    [[nodiscard]] auto isRunnable(std::size_t item) const -> bool;
    auto planOutcomes(Write &write) -> void;
    auto planStarts(Write &write, int startGroup) -> void;

    StoredChunk stored_;
    ChunkLease lease_;
    bool ignoresExclusion_;
    std::vector<LocalItem> localItems_;
    std::optional<Write> write_;
    std::optional<TimePoint> oldestOutcomeAt_;
    TimePoint lastWriteAt_;
    std::uint64_t nextResultSequence_ = 0;
};

} // namespace poplardock
