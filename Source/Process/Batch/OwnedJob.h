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
    /// Has a result that is not committed yet.
    Finished,
    /// Its result is in the result log.
    Committed,
};

/// The progress of one item, as its owner tracks it.
struct ItemProgress
{
    JobItem item;
    ItemPhase phase = ItemPhase::Waiting;
    /// Id of the last event received; the next attempt resumes after it. The text holds the data of all events so far.
    std::optional<std::int64_t> lastEventId;
    std::string text;
    /// Bytes of the text as a JSON string, as the store keeps it.
    std::size_t storedTextBytes = 0;
    int eventCount = 0;
    /// Responses with a server error.
    int failures = 0;
    /// Attempts in a row that brought the item no further: they broke off before their first event, or brought no answer.
    int losses = 0;
    /// Earliest time of the next attempt.
    BootTime notBefore;
    /// Upstreams that lacked the version of the weights that the item names, until all others were tried.
    std::set<std::string> otherVersions;

    /// Appends the data of an event to the text.
    auto appendEvent(std::string_view data) -> void;
    /// Forgets the events received, and frees their memory: the next attempt starts from the first event.
    auto discardAnswer() -> void;
    auto operator==(const ItemProgress &) const -> bool = default;
};

/// A job that this daemon runs: its record, the progress of its items and its result log. Performs no I/O.
/// Thread safety: the loop's thread only.
class OwnedJob
{
public:
    /// Items with a result in the log start as committed.
    OwnedJob(JobRecord record, std::vector<JobItem> items, const JobRepository::ResultLog &log);

    [[nodiscard]] auto record() const -> const JobRecord &;
    /// Records that the store has shown this daemon to be the owner at that time: when a successful write of the record
    /// or the result log, or a read of the record, was sent. No other daemon had appended results by then.
    auto proveOwned(BootTime at) -> void;
    /// The latest time passed to proveOwned().
    [[nodiscard]] auto provenAt() const -> BootTime;
    /// Records that the store has shown the job to be open at that time: when a read of the record was sent.
    auto proveOpen(BootTime at) -> void;
    /// The latest time passed to proveOpen().
    [[nodiscard]] auto openAt() const -> BootTime;
    /// When this object was made, right after the job was accepted or taken over here.
    [[nodiscard]] auto ownedSince() const -> BootTime;
    auto setRecord(JobRecord record) -> void;
    /// Since when the configuration in force has no route for the job; unset while it has one.
    auto setRouteMissing(bool isMissing, BootTime now) -> void;
    [[nodiscard]] auto routeMissingSince() const -> std::optional<BootTime>;
    [[nodiscard]] auto items() -> std::vector<ItemProgress> &;
    [[nodiscard]] auto items() const -> const std::vector<ItemProgress> &;
    /// Null for an unknown item.
    [[nodiscard]] auto findItem(const std::string &itemId) -> ItemProgress *;
    /// Results in the result log, in its order. Only these are sent to the team.
    [[nodiscard]] auto committed() const -> const std::vector<JobResult> &;
    /// Whether all items have a committed result.
    [[nodiscard]] auto isComplete() const -> bool;

    /// Records the result of an item; ignored for an item that already has one. "isCompleted" is false when the item was
    /// abandoned without a response.
    auto finishItem(ItemProgress &item, bool isCompleted) -> void;
    /// Results that are still to be written to the result log.
    [[nodiscard]] auto uncommitted() const -> const std::vector<JobResult> &;
    /// Takes back the first uncommitted result, which the store refuses: its item runs again, not before "notBefore".
    auto withdrawResult(BootTime notBefore) -> void;
    /// Number of the next entry of the result log.
    [[nodiscard]] auto nextEntryNumber() const -> std::size_t;
    /// The first "count" uncommitted results have been written as the next log entry.
    auto markCommitted(std::size_t count) -> void;
    /// Replaces the result log with the stored one, to which another daemon may have appended. Uncommitted results of
    /// items that have a result in it are dropped.
    auto replaceResultLog(const JobRepository::ResultLog &log) -> void;

    /// Serializes the progress of items that have begun or finished but are not committed, as JSON, for the next owner. Texts are
    /// left out beyond 8 MiB in all; their items start again there.
    [[nodiscard]] auto progressText() const -> std::string;
    /// Applies the progressText() of the previous owner. Errors: InvalidArgument; the items before the malformed entry
    /// have been applied then.
    auto applyProgress(const std::string &text) -> absl::Status;

private:
    auto addCommitted(const JobResult &result) -> void;

    JobRecord record_;
    BootTime provenAt_;
    BootTime openAt_;
    BootTime ownedSince_;
    std::optional<BootTime> routeMissingSince_;
    std::vector<ItemProgress> items_;
    std::map<std::string, std::size_t> indexOf_;
    std::vector<JobResult> committed_;
    std::vector<JobResult> uncommitted_;
    std::size_t nextEntryNumber_ = 0;
};

} // namespace poplardock
