#pragma once

#include "Process/Batch/OwnedJob.h"
#include "Process/FrontParts.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>

namespace poplardock {

/// The jobs that this daemon owns. Writes their results to the result logs and wakes the readers that wait for them.
/// Thread safety: the loop's thread only.
class JobRegistry
{
public:
    using WakeHandler = std::function<void()>;

    JobRegistry(FrontParts &context, JobRepository &repository);

    /// Returns false for a job that is owned already: attempts and readers refer to that one, which stays as it is.
    auto add(OwnedJob job) -> bool;
    /// Removes a job that another daemon owns now, and wakes its readers.
    auto drop(const std::string &id) -> void;
    /// Drops a job of which nothing is left to do or to write. Returns whether that was so.
    auto dropIfEnded(const std::string &id) -> bool;
    /// Null for a job that this daemon does not own. The pointer is valid until the job is dropped.
    [[nodiscard]] auto find(const std::string &id) -> OwnedJob *;
    [[nodiscard]] auto ids() const -> std::vector<std::string>;
    [[nodiscard]] auto size() const -> std::size_t;
    /// Bytes that the jobs take, a part of the account of held bytes.
    [[nodiscard]] auto heldBytes() const -> std::uint64_t;
    /// Makes room for that many bytes of the text of an item of an owned job, and charges it. Returns false, with the text as it
    /// was, when the account of held bytes has no room.
    [[nodiscard]] auto tryReserveText(const std::string &id, ItemProgress &item, std::size_t bytes) -> bool;
    /// Most bytes that the text of one item may take as a JSON string, so that the store can hold its result.
    [[nodiscard]] auto maximumStoredTextBytes() const -> std::size_t;
    /// Charges what a job takes now. Call after a text has been discarded; the functions that change results do so themselves.
    auto updateCharge(const std::string &id) -> void;
    /// Drops jobs that have ended, all of whose results are in the store, until the jobs take at most that many bytes. Jobs that only
    /// lack their mark in the store are marked again, and can be dropped later. Returns whether there is room.
    auto makeRoom(std::uint64_t bytes) -> bool;
    /// Calls "visit" for each owned job; it must neither add nor drop one.
    auto forEach(const std::function<void(const std::string &id, OwnedJob &job)> &visit) -> void;
    /// The handler is called when a commit finds an unknown entry in the result log: one of another owner, or one that
    /// this daemon wrote without receiving the response. Commits of the job stop until resumeCommits(). It is also called when the
    /// record of a job that is done names another owner or is gone.
    auto setConflictHandler(std::function<void(const std::string &id)> onConflict) -> void;
    /// Reloads the result log and continues the commits after a conflict; does nothing without one. Call when the
    /// ownership of the job has been verified.
    auto resumeCommits(const std::string &id) -> void;
    /// Schedules a commit of the uncommitted results unless one is pending: at once if all items have a result or the
    /// job is due soon, otherwise after a short delay, so that further results share the write. Call after each result.
    auto scheduleCommit(const std::string &id) -> void;
    /// Calls "wake" once: when more than "from" results are committed, the job is dropped, or the deadline has passed.
    auto awaitResults(const std::string &id, std::size_t from, BootTime deadline, WakeHandler wake) -> void;
    /// Cancels a job on behalf of its team. The handler receives whether the store has recorded the cancellation.
    /// Errors: NotFound for a job that this daemon does not own; those of ObjectStore::replace().
    auto cancel(const std::string &id, std::function<void(const absl::Status &)> handler) -> void;
    /// Whether a cancellation of a job waits for the store.
    [[nodiscard]] auto isCancelling(const std::string &id) const -> bool;
    /// Starts to write all uncommitted results without delay, for the shutdown.
    auto flush() -> void;
    /// Whether all results are committed.
    [[nodiscard]] auto isFlushed() const -> bool;

private:
    struct Reader
    {
        std::size_t from = 0;
        WakeHandler wake;
        Timer timeoutTimer;
    };
    struct Entry
    {
        Entry(OwnedJob owned, std::shared_ptr<HeldBytes> account)
            : job(std::move(owned))
            , charge(std::move(account))
        {
        }
        OwnedJob job;
        HeldBytes::Charge charge;
        /// A write to the result log is in flight, or blocked until the log has been reloaded after a conflict.
        bool isCommitting = false;
        /// Most results of the next write: fewer after the store has refused one, so that the one at fault is found.
        std::size_t commitLimit = std::numeric_limits<std::size_t>::max();
        bool hasConflict = false;
        bool isMarkingDone = false;
        int markFailures = 0;
        bool isCancelling = false;
        Timer commitTimer;
        Timer markTimer;
        std::map<std::uint64_t, Reader> readers;
    };

    /// Whether nothing of the job is left to do or to write, so that the store answers for it as well as this daemon.
    [[nodiscard]] static auto hasEnded(const Entry &entry) -> bool;
    /// The jobs that have ended, those that are owned for longest first.
    [[nodiscard]] auto endedJobs() const -> std::vector<std::string>;
    auto commit(const std::string &id) -> void;
    auto onCommitDone(const std::string &id, std::size_t count, BootTime sentAt, const absl::Status &status) -> void;
    /// The store refuses what was to be written, and would refuse it again.
    auto onCommitRefused(const std::string &id, Entry &entry, std::size_t count) -> void;
    auto reloadResultLog(const std::string &id) -> void;
    auto startCommitTimer(Entry &entry, const std::string &id, Milliseconds delay) -> void;
    auto wakeReaders(Entry &entry) -> void;
    auto markDone(const std::string &id) -> void;
    auto scheduleMarkCheck(const std::string &id, Entry &entry) -> void;
    /// Reads the record of a job whose mark was not confirmed, since the store may have it, and marks the job again if it does not.
    auto checkMark(const std::string &id) -> void;
    static auto wakeAll(std::map<std::uint64_t, Reader> &&readers) -> void;

    FrontParts &context_;
    JobRepository &repository_;
    std::map<std::string, std::unique_ptr<Entry>> entries_;
    std::function<void(const std::string &)> onConflict_;
    std::uint64_t lastReaderId_ = 0;
};

} // namespace poplardock
