#pragma once

#include "Process/Batch/ResultLogCache.h"

#include <deque>
#include <set>

namespace poplardock {

/// Reads results and items of jobs from the store for callers. A read takes as much memory as one answer, however long the log of the
/// job is: it passes over the log a page of the store at a time and keeps only what the answer holds.
///
/// At most MAXIMUM_READS reads of the store run at once, one for each job, each charged to the account of held bytes; further ones wait
/// for their turn until their deadline. A read that waits finds what the one before it has read in the cache.
/// Thread safety: the loop's thread only.
class StoredJobReader
{
public:
    static constexpr std::size_t MAXIMUM_READS = 4;
    /// Bytes that one read takes at most: a page of the store, what is decoded of it, and the results of the answer.
    static constexpr std::uint64_t READ_BYTES = 4U << 20U;

    using ResultsHandler = std::function<void(const absl::StatusOr<std::vector<JobResult>> &)>;
    using ItemHandler = JobRepository::ItemHandler;

    /// "pageBytes": the texts of one answer, as JSON, have at most that many bytes, unless it has a single result. The loop and the
    /// repository must outlive the reader.
    StoredJobReader(EventLoop &loop, JobRepository &repository, const std::shared_ptr<HeldBytes> &account, std::size_t pageBytes);

    /// Reads the results at the position and after it, as many as one answer holds; at least one if there is one.
    /// Errors: Unavailable when neither the store nor the memory served the read before the deadline.
    auto readResults(const JobRecord &record, std::size_t from, BootTime deadline, ResultsHandler handler) -> void;
    /// Reads an item without a result. Errors: NotFound for an item that has one or that the job does not have; Unavailable as for
    /// readResults().
    auto readItem(const JobRecord &record, const std::string &itemId, BootTime deadline, ItemHandler handler) -> void;

private:
    struct Read
    {
        JobRecord record;
        /// Key of the job's log in the cache.
        std::string log;
        /// For a read of an item later than any result, so that none is kept.
        std::size_t from = 0;
        std::string itemId;
        BootTime deadline;
        /// Exactly one of the two is set.
        ResultsHandler onResults;
        ItemHandler onItem;
        /// Where the next entry stands, and what was found in those before it.
        ResultLogCache::Start next;
        std::vector<JobResult> results;
        std::size_t resultBytes = 0;
        /// The item has a result.
        bool isListed = false;
        std::unique_ptr<HeldBytes::Charge> charge;
        Timer timeout;
        bool hasTimeout = false;
        bool hasEnded = false;
    };
    using ReadPointer = std::shared_ptr<Read>;

    [[nodiscard]] static auto newRead(const JobRecord &record, BootTime deadline) -> ReadPointer;
    /// Answers from the cache if it suffices, else reads the store or waits.
    auto start(const ReadPointer &read) -> void;
    /// Passes over the entries that the cache has.
    auto takeKnown(Read &read) const -> void;
    static auto take(Read &read, const std::vector<JobResult> &results) -> void;
    /// Whether no further entry is needed.
    [[nodiscard]] auto hasEnough(const Read &read) const -> bool;
    auto readStore(const ReadPointer &read) -> void;
    auto readPayload(const ReadPointer &read) -> void;
    /// Returns whether the next page is wanted.
    auto takePage(const ReadPointer &read, const absl::StatusOr<JobRepository::LogPage> &page) -> bool;
    /// Ends the reading of the store for a read, and begins that of those that wait.
    auto release(const ReadPointer &read) -> void;
    /// Calls the handler unless that was done.
    static auto end(const ReadPointer &read, const absl::Status &status) -> void;
    static auto endWithItem(const ReadPointer &read, const absl::StatusOr<JobItem> &item) -> void;

    EventLoop &loop_;
    JobRepository &repository_;
    const std::shared_ptr<HeldBytes> account_;
    const std::size_t pageBytes_;
    ResultLogCache cache_;
    /// Logs that are being read.
    std::set<std::string> running_;
    std::deque<ReadPointer> waiting_;
};

} // namespace poplardock
