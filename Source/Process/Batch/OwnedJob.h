#pragma once

#include "Process/Batch/JobRepository.h"

#include <map>
#include <optional>
#include <set>

namespace poplardock {

enum class ItemPhase
{
    Waiting,
    Running,
    /// Has a result that is not in the log yet.
    Finished,
    /// Its result is in the log.
    Committed,
};

/// The progress of one item at its owner.
struct ItemProgress
{
    JobItem item;
    ItemPhase phase = ItemPhase::Waiting;
    /// The last event that came, and the data of all so far. A run that is broken off goes on after it.
    std::optional<std::int64_t> lastEventId;
    std::string text;
    int eventCount = 0;
    /// Answers with a server error.
    int failures = 0;
    /// Broken runs after which the upstream was gone.
    int crashes = 0;
    BootTime notBefore;

    auto operator==(const ItemProgress &) const -> bool = default;
};

/// A job that this daemon runs: its record, the progress of its items and its log. No input or output of its own.
/// Thread safety: the loop's thread only.
class OwnedJob
{
public:
    /// Items that the log lists already are marked so.
    OwnedJob(JobRecord record, std::vector<JobItem> items, const JobRepository::ResultLog &log);

    [[nodiscard]] auto record() const -> const JobRecord &;
    auto setRecord(JobRecord record) -> void;
    [[nodiscard]] auto items() -> std::vector<ItemProgress> &;
    /// Null for an unknown item.
    [[nodiscard]] auto findItem(const std::string &itemId) -> ItemProgress *;
    /// Results in the log: what readers may see.
    [[nodiscard]] auto committed() const -> const std::vector<JobResult> &;
    [[nodiscard]] auto isComplete() const -> bool;

    /// Sets the result of an item; ignored for one that has a result.
    auto finishItem(ItemProgress &item, bool isCompleted) -> void;
    /// Results that wait for the log.
    [[nodiscard]] auto uncommitted() const -> const std::vector<JobResult> &;
    [[nodiscard]] auto nextEntryNumber() const -> std::size_t;
    /// The first "count" waiting results are in the log now.
    auto markCommitted(std::size_t count) -> void;
    /// Takes the log as another daemon has continued it; waiting results of items that it lists are dropped.
    auto replaceResultLog(const JobRepository::ResultLog &log) -> void;

    /// The progress of items that have begun and are not listed, for the next owner. JSON text.
    [[nodiscard]] auto progressText() const -> std::string;
    /// Takes the progress that another owner gave out. Errors: InvalidArgument; items before the fault are taken.
    auto applyProgress(const std::string &text) -> absl::Status;

private:
    auto addCommitted(const JobResult &result) -> void;

    JobRecord record_;
    std::vector<ItemProgress> items_;
    std::map<std::string, std::size_t> indexOf_;
    std::vector<JobResult> committed_;
    std::vector<JobResult> uncommitted_;
    std::size_t nextEntryNumber_ = 0;
};

} // namespace poplardock
