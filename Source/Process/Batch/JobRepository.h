#pragma once

#include "Process/Batch/JobRecord.h"
#include "Process/Store/ObjectStore.h"
#include "Request/JobItem.h"

#include <functional>
#include <vector>

namespace poplardock {

/// The jobs in the store: payloads, records and logs of results.
///
/// The log of a job is a row of numbered objects, each created on the condition that it does not exist. Whoever
/// appends has read all earlier numbers, so an item is listed once and a position never changes, even while two
/// daemons take themselves for the owner.
/// Thread safety: the loop's thread only.
class JobRepository
{
public:
    enum class Acceptance
    {
        /// The job is in the store and will be run.
        Accepted,
        /// Nothing of the job is in the store that could ever be run.
        Refused,
        /// The store did not answer until the deadline: the job may be there.
        Uncertain,
    };
    /// The results so far, and the number of the next object.
    struct ResultLog
    {
        std::vector<JobResult> results;
        std::size_t nextEntryNumber = 0;

        auto operator==(const ResultLog &) const -> bool = default;
    };
    /// Gets the record with its counts. "isOwn": the stored record is this one, not one that was there before; its
    /// version is 0 when the store's answer was lost.
    using AcceptHandler = std::function<void(Acceptance, bool isOwn, const JobRecord &)>;
    using RecordHandler = std::function<void(const absl::StatusOr<JobRecord> &)>;
    using RecordsHandler = std::function<void(const absl::StatusOr<std::vector<JobRecord>> &)>;
    using ItemsHandler = std::function<void(const absl::StatusOr<std::vector<JobItem>> &)>;
    using ResultLogHandler = std::function<void(const absl::StatusOr<ResultLog> &)>;
    /// AlreadyExists: another daemon has appended that number.
    using AppendHandler = std::function<void(const absl::Status &)>;

    /// "valueBytes": largest object of the store. The dialect and the store must outlive the ledger.
    JobRepository(EventLoop &loop, ObjectStore &store, const WireDialect &dialect, std::uint64_t valueBytes);

    /// Writes the items and then the record. Calls whose answer is lost are repeated until the deadline; both writes
    /// are creates under fixed names, so a repeat finds what an earlier one has done.
    auto accept(const JobRecord &record, const std::vector<JobItem> &items, BootTime deadline, AcceptHandler handler) -> void;
    auto read(const std::string &id, RecordHandler handler) -> void;
    /// All records; may be seconds old when "allowsStale".
    auto list(bool allowsStale, RecordsHandler handler) -> void;
    /// Replaces the record on the condition that it has not changed.
    auto replace(const JobRecord &record, RecordHandler handler) -> void;
    auto readItems(const JobRecord &record, ItemsHandler handler) -> void;
    auto readResultLog(const std::string &id, ResultLogHandler handler) -> void;
    auto append(const std::string &id, std::size_t number, const std::vector<JobResult> &results, AppendHandler handler) -> void;
    /// Removes all objects of a job, the record last.
    auto remove(const JobRecord &record) -> void;

private:
    struct Submission;

    auto writeNext(const std::shared_ptr<Submission> &submission) -> void;
    auto readPayload(const JobRecord &record, std::size_t number, const std::shared_ptr<std::vector<JobItem>> &found, ItemsHandler handler)
        -> void;

    EventLoop &loop_;
    ObjectStore &store_;
    const WireDialect &adapter_;
    const std::uint64_t valueBytes_;
};

} // namespace poplardock
