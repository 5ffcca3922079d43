#pragma once

#include "Process/Batch/JobRepository.h"
#include "Process/HeldBytes.h"

#include <list>
#include <map>
#include <memory>
#include <set>

namespace poplardock {

/// What was read of the result logs of jobs that other daemons own, or nobody. An entry of a log never changes, so what is kept stays
/// valid while the log grows: an index of each log (at which position each entry begins, and which items it lists) and, while there is
/// room, the results of single entries.
///
/// Charged to the account of held bytes, of which both take a small part at most. The results are dropped before anything else is refused
/// for want of room.
/// Thread safety: the loop's thread only.
class ResultLogCache
{
public:
    /// Where a read of a log begins: the number of an entry, and the position of its first result.
    struct Start
    {
        std::size_t entry = 0;
        std::size_t position = 0;

        auto operator==(const Start &) const -> bool = default;
    };

    /// Precondition: the account is not asked for room any more once the cache is destroyed.
    explicit ResultLogCache(const std::shared_ptr<HeldBytes> &account);
    ResultLogCache(const ResultLogCache &) = delete;
    auto operator=(const ResultLogCache &) -> ResultLogCache & = delete;
    ResultLogCache(ResultLogCache &&) = delete;
    auto operator=(ResultLogCache &&) -> ResultLogCache & = delete;
    ~ResultLogCache() = default;

    /// Records an entry of the log with that key. An entry whose number does not follow those known is not indexed.
    auto put(const std::string &log, const JobRepository::LogEntry &entry, BootTime now) -> void;
    /// The last known entry that begins at the position or before; the end of what is known for a later position.
    [[nodiscard]] auto startOf(const std::string &log, std::size_t position) const -> Start;
    /// The entry after the last known one.
    [[nodiscard]] auto endOf(const std::string &log) const -> Start;
    /// Whether a known entry has a result of the item.
    [[nodiscard]] auto lists(const std::string &log, const std::string &itemId) const -> bool;
    /// Null for results that are not kept. The pointer is valid until the next call of put() or the next request for room.
    [[nodiscard]] auto results(const std::string &log, std::size_t entry) const -> const std::vector<JobResult> *;
    /// Bytes that all takes, as charged.
    [[nodiscard]] auto bytes() const -> std::uint64_t;

private:
    using EntryKey = std::pair<std::string, std::size_t>;
    struct Index
    {
        /// Position of the first result of each entry.
        std::vector<std::size_t> firstPositions;
        std::size_t resultCount = 0;
        std::set<std::string> itemIds;
        std::uint64_t bytes = 0;
    };
    struct KeptResults
    {
        std::vector<JobResult> results;
        /// Of its own, since others may be dropped to make room for this one.
        std::unique_ptr<HeldBytes::Charge> charge;
    };

    auto addToIndex(const std::string &log, const JobRepository::LogEntry &entry) -> void;
    auto keepResults(const std::string &log, const JobRepository::LogEntry &entry, BootTime now) -> void;
    auto dropFirstResults() -> void;
    auto dropFirstIndex() -> void;

    const std::shared_ptr<HeldBytes> account_;
    const std::uint64_t resultsBound_;
    const std::uint64_t indexBound_;
    std::uint64_t resultsBytes_ = 0;
    HeldBytes::Charge indexCharge_;
    /// In the order in which they were first put.
    std::list<EntryKey> resultsOrder_;
    std::list<std::string> indexOrder_;
    std::map<EntryKey, KeptResults> results_;
    std::map<std::string, Index> indexes_;
};

} // namespace poplardock
