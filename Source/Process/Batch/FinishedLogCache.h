#pragma once

#include "Process/Batch/JobRepository.h"
#include "Process/HeldBytes.h"

#include <list>
#include <map>
#include <memory>

namespace poplardock {

/// Result logs of finished jobs that were read from the store, so that the next pages of a reader need no further read. Charged to the
/// account of held bytes, of which it takes a small part at most, and emptied before anything else is refused for want of room.
/// Thread safety: the loop's thread only.
class FinishedLogCache
{
public:
    /// Precondition: the account is not asked for room any more once the cache is destroyed.
    explicit FinishedLogCache(const std::shared_ptr<HeldBytes> &account);
    FinishedLogCache(const FinishedLogCache &) = delete;
    auto operator=(const FinishedLogCache &) -> FinishedLogCache & = delete;
    FinishedLogCache(FinishedLogCache &&) = delete;
    auto operator=(FinishedLogCache &&) -> FinishedLogCache & = delete;
    ~FinishedLogCache() = default;

    /// Null for a job whose log is not kept. The pointer is valid until the next call of put() or the next request for room.
    [[nodiscard]] auto find(const std::string &job) const -> const JobRepository::ResultLog *;
    /// Keeps a log unless it is too large, and drops those that were put first if there is no room for all.
    auto put(const std::string &job, const JobRepository::ResultLog &log, BootTime now) -> void;
    /// Bytes that the logs take, as charged.
    [[nodiscard]] auto bytes() const -> std::uint64_t;

private:
    struct Entry
    {
        JobRepository::ResultLog log;
        /// Of its own, since other entries may be dropped to make room for this one.
        std::unique_ptr<HeldBytes::Charge> charge;
        std::list<std::string>::iterator position;
    };

    auto dropFirst() -> void;

    const std::shared_ptr<HeldBytes> account_;
    const std::uint64_t bound_;
    std::uint64_t bytes_ = 0;
    /// Jobs in the order of put().
    std::list<std::string> order_;
    std::map<std::string, Entry> entries_;
};

} // namespace poplardock
