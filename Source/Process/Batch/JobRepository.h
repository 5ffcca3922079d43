#pragma once

#include "Process/Batch/JobRecord.h"
#include "Process/Store/ObjectStore.h"
#include "Request/JobItem.h"

#include <functional>
#include <set>
#include <vector>

namespace poplardock {

/// The jobs in the store: payloads, records and result logs.
///
/// The result log of a job is a sequence of numbered entries, each an object that is created only if it does not exist
/// yet. A daemon appends only after it has read all earlier entries, so each item is committed once and keeps its
/// position, even while two daemons consider themselves the owner.
/// Thread safety: the loop's thread only.
class JobRepository
{
public:
    enum class Acceptance
    {
        /// The job is in the store and will be run.
        Accepted,
        /// The record is not in the store and never will be, so the job cannot run.
        Refused,
        /// The store did not confirm the record before the deadline: the job may have been stored.
        Uncertain,
    };
    /// The results of all entries in order, and the number of the next entry.
    struct ResultLog
    {
        std::vector<JobResult> results;
        std::size_t nextEntryNumber = 0;
        /// The highest record version of the owners that have fenced the log; 0 before the first takeover.
        std::uint64_t fence = 0;

        auto operator==(const ResultLog &) const -> bool = default;
    };
    /// One entry of a result log. An entry never changes, and its number is that of the entries before it.
    struct LogEntry
    {
        std::size_t number = 0;
        std::vector<JobResult> results;
        /// As in a ResultLog; 0 for an entry that fences nothing.
        std::uint64_t fence = 0;

        auto operator==(const LogEntry &) const -> bool = default;
    };
    /// Entries that follow one another, and whether the log goes on after them.
    struct LogPage
    {
        std::vector<LogEntry> entries;
        bool hasMore = false;

        auto operator==(const LogPage &) const -> bool = default;
    };
    /// Receives the record with its item and payload counts. "isOwn": the stored record is the one written by this
    /// call, not one that existed before; its version is 0 when the store's response was lost.
    using AcceptHandler = std::function<void(Acceptance, bool isOwn, const JobRecord &)>;
    using RecordHandler = std::function<void(const absl::StatusOr<JobRecord> &)>;
    using RecordsHandler = std::function<void(const absl::StatusOr<std::vector<JobRecord>> &)>;
    using ItemsHandler = std::function<void(const absl::StatusOr<std::vector<JobItem>> &)>;
    using ItemHandler = std::function<void(const absl::StatusOr<JobItem> &)>;
    /// Receives a page, or the error that ends the reading; returns whether the next page is wanted.
    using LogPageHandler = std::function<bool(const absl::StatusOr<LogPage> &)>;
    using ResultLogHandler = std::function<void(const absl::StatusOr<ResultLog> &)>;
    /// AlreadyExists: the number is taken by another daemon's entry, or by this daemon's own after a lost response.
    using AppendHandler = std::function<void(const absl::Status &)>;

    /// "valueBytes": size of the largest object that the store accepts. The adapter and the store must outlive the
    /// repository.
    JobRepository(EventLoop &loop, ObjectStore &store, const WireDialect &adapter, std::uint64_t valueBytes);

    /// Writes the items and then the record. Calls whose response is lost are retried until the deadline. That is safe
    /// since all writes create objects under fixed names: a retry finds the object that an earlier call has created.
    ///
    /// A repeat of a submission is the same job. Where another team has the id, or has left payloads under it, the job is stored under
    /// jobNameOf() instead, and the record that the handler receives has that name. Precondition: no record has that name while none has
    /// the id, or a repeat would be stored a second time; see remove().
    auto accept(const JobRecord &record, const std::vector<JobItem> &items, BootTime deadline, AcceptHandler handler) -> void;
    auto read(const std::string &id, RecordHandler handler) -> void;
    /// Reads all records, leaving out those that cannot be decoded; may be seconds old when "allowsStale".
    auto list(bool allowsStale, RecordsHandler handler) -> void;
    /// Replaces the record if its version is still that of the argument.
    auto replace(const JobRecord &record, RecordHandler handler) -> void;
    auto readItems(const JobRecord &record, ItemsHandler handler) -> void;
    /// Reads one item; holds one payload at a time. Errors: NotFound for an item that the job does not have.
    auto readItem(const JobRecord &record, const std::string &itemId, ItemHandler handler) -> void;
    /// Reads the log from that entry on, a page of the store at a time. Entries of other writers are left out: those whose name is no
    /// number of the log are skipped, and those that cannot be decoded have no results. Errors: Internal for a log with a gap.
    auto readLogPages(const std::string &id, std::size_t firstEntry, LogPageHandler handler) -> void;
    /// As readLogPages(), the whole log at once.
    auto readResultLog(const std::string &id, ResultLogHandler handler) -> void;
    /// Creates an entry without results, after which appends of former owners fail. "claimVersion" is the version of the
    /// record that made the caller the owner.
    auto appendFence(const std::string &id, std::size_t entryNumber, std::uint64_t claimVersion, AppendHandler handler) -> void;
    /// Most bytes that the results of one entry may take, by entryBytes(), so that the store takes it.
    [[nodiscard]] auto maximumEntryBytes() const -> std::size_t;
    /// Bytes that a result takes in an entry, at most. Thread-safe.
    static auto entryBytes(const JobResult &result) -> std::size_t;
    /// Creates one entry of the result log.
    auto append(const std::string &id, std::size_t entryNumber, const std::vector<JobResult> &results, AppendHandler handler) -> void;
    /// Removes all objects of a job, the record last. Precondition: no other record has the job's id as the id that its caller chose.
    auto remove(const JobRecord &record) -> void;

private:
    struct Submission;

    auto createEntry(const std::string &id, std::size_t entryNumber, const std::string &spec, AppendHandler handler) -> void;
    /// Logs an entry that is left out of a log, once.
    auto recordOddEntry(const StoredObject &entry, absl::string_view reason) -> void;
    /// Makes the objects of a submission whose job has that name in the store.
    auto prepareWrites(Submission &submission, const std::string &name) const -> void;
    auto writeNext(const std::shared_ptr<Submission> &submission) -> void;
    /// Called when an object exists already: whose it is.
    auto compareWithRecord(const std::shared_ptr<Submission> &submission) -> void;
    auto compareWithPayload(const std::shared_ptr<Submission> &submission) -> void;
    auto useOtherName(const std::shared_ptr<Submission> &submission) -> void;
    /// Retries after a response that was lost; ends the submission after a refusal or at its deadline.
    auto retryOrGiveUp(const std::shared_ptr<Submission> &submission, const absl::Status &status, std::function<void()> retry) -> void;
    /// Receives the items of one payload, or the error that ends the reading; returns whether the next payload is wanted.
    using PayloadHandler = std::function<bool(const absl::StatusOr<std::vector<JobItem>> &)>;

    /// Reads the payloads one after the other from that number on. Precondition: the record has the number.
    auto readPayloads(const JobRecord &record, std::size_t number, PayloadHandler handler) -> void;
    /// Decodes one entry of a log.
    auto entryFrom(const StoredObject &object, std::size_t number) -> LogEntry;

    EventLoop &loop_;
    ObjectStore &store_;
    const WireDialect &adapter_;
    const std::uint64_t valueBytes_;
    std::set<std::string> oddEntries_;
};

} // namespace poplardock
