#pragma once

#include "Process/Batch/OwnedJob.h"
#include "Process/FrontParts.h"

#include <functional>
#include <map>
#include <memory>

namespace poplardock {

/// The jobs that this daemon owns: writes their results to the log and wakes those who wait for them.
/// Thread safety: the loop's thread only.
class JobBook
{
public:
    using Wake = std::function<void()>;

    JobBook(FrontParts &parts, JobLedger &ledger);

    auto add(OwnedJob job) -> void;
    /// Forgets a job that another daemon owns now; those who wait are woken.
    auto drop(const std::string &id) -> void;
    /// Null for a job that this daemon does not own. The pointer lives until the job is dropped.
    [[nodiscard]] auto find(const std::string &id) -> OwnedJob *;
    [[nodiscard]] auto ids() const -> std::vector<std::string>;
    [[nodiscard]] auto size() const -> std::size_t;
    /// Calls "visit" for each owned job; it must neither add nor drop one.
    auto forEach(const std::function<void(const std::string &id, OwnedJob &job)> &visit) -> void;
    /// Called when there is an entry in the log of an owned job that this daemon does not know: its own, written with a
    /// lost answer, or another owner's. Nothing more is written until resume().
    auto setConflictHandler(std::function<void(const std::string &id)> onConflict) -> void;
    /// The daemon still owns the job: reads the log again and goes on writing, if a conflict has stopped it.
    auto resume(const std::string &id) -> void;
    /// An item has a result that waits for the log.
    auto resultReady(const std::string &id) -> void;
    /// Calls "wake" once, when the log is longer than "from", the job is dropped, or the deadline has passed.
    auto await(const std::string &id, std::size_t from, BootTime deadline, Wake wake) -> void;
    /// Ends a job for its team. The handler gets whether the store has it.
    auto cancel(const std::string &id, std::function<void(const absl::Status &)> handler) -> void;
    /// Writes all waiting results now, at shutdown.
    auto flush() -> void;
    /// Whether no result waits for the log.
    [[nodiscard]] auto isFlushed() const -> bool;

private:
    struct Reader
    {
        std::size_t from = 0;
        Wake wake;
        Timer timeout;
    };
    struct Entry
    {
        explicit Entry(OwnedJob owned)
            : job(std::move(owned))
        {
        }
        OwnedJob job;
        bool isCommitting = false;
        bool hasConflict = false;
        bool isMarking = false;
        Timer commit;
        std::map<std::uint64_t, Reader> readers;
    };

    auto commit(const std::string &id) -> void;
    auto takeCommit(const std::string &id, std::size_t count, const absl::Status &status) -> void;
    auto readLogAgain(const std::string &id) -> void;
    auto commitLater(Entry &entry, const std::string &id, Milliseconds pause) -> void;
    auto wakeReaders(Entry &entry) -> void;
    auto markDone(const std::string &id) -> void;
    static auto wakeAll(std::map<std::uint64_t, Reader> &&readers) -> void;

    FrontParts &parts_;
    JobLedger &ledger_;
    std::map<std::string, std::unique_ptr<Entry>> entries_;
    std::function<void(const std::string &)> onConflict_;
    std::uint64_t lastReader_ = 0;
};

} // namespace poplardock
