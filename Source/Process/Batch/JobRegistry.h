#pragma once

#include "Process/Batch/OwnedJob.h"
#include "Process/FrontParts.h"

#include <functional>
#include <map>
#include <memory>

namespace poplardock {

/// The jobs that this daemon owns: writes their results to the log and wakes those who wait for them.
/// Thread safety: the loop's thread only.
class JobRegistry
{
public:
    using WakeHandler = std::function<void()>;

    JobRegistry(FrontParts &parts, JobRepository &ledger);

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
    auto resumeCommits(const std::string &id) -> void;
    /// An item has a result that waits for the log.
    auto scheduleCommit(const std::string &id) -> void;
    /// Calls "wake" once, when the log is longer than "from", the job is dropped, or the deadline has passed.
    auto awaitResults(const std::string &id, std::size_t from, BootTime deadline, WakeHandler wake) -> void;
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
        WakeHandler wake;
        Timer timeoutTimer;
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
        bool isMarkingDone = false;
        Timer commitTimer;
        std::map<std::uint64_t, Reader> readers;
    };

    auto commit(const std::string &id) -> void;
    auto onCommitDone(const std::string &id, std::size_t count, const absl::Status &status) -> void;
    auto reloadResultLog(const std::string &id) -> void;
    auto startCommitTimer(Entry &entry, const std::string &id, Milliseconds pause) -> void;
    auto wakeReaders(Entry &entry) -> void;
    auto markDone(const std::string &id) -> void;
    static auto wakeAll(std::map<std::uint64_t, Reader> &&readers) -> void;

    FrontParts &context_;
    JobRepository &repository_;
    std::map<std::string, std::unique_ptr<Entry>> entries_;
    std::function<void(const std::string &)> onConflict_;
    std::uint64_t lastReaderId_ = 0;
};

} // namespace poplardock
