#include "Process/Batch/ResultLogCache.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Parts of the account's bytes that the results and the indexes may take.
constexpr std::uint64_t RESULTS_DIVISOR = 16;
constexpr std::uint64_t INDEX_DIVISOR = 64;
/// Objects of one result beside its text.
constexpr std::uint64_t RESULT_BYTES = 256;
/// The same for an entry, and for an item's id, in an index.
constexpr std::uint64_t INDEX_OBJECT_BYTES = 128;

auto bytesOf(const std::vector<JobResult> &results) -> std::uint64_t
{
    std::uint64_t bytes = RESULT_BYTES;
    for (const JobResult &result : results) {
        bytes += RESULT_BYTES + result.text.capacity();
    }
    return bytes;
}

} // namespace

ResultLogCache::ResultLogCache(const std::shared_ptr<HeldBytes> &account)
    : account_(account)
    , resultsBound_(account->bounds().bytes / RESULTS_DIVISOR)
    , indexBound_(account->bounds().bytes / INDEX_DIVISOR)
    , indexCharge_(account)
{
    account->addHolders([this](BootTime /*now*/) -> std::optional<HeldBytes::Candidate> {
        if (results_.empty()) {
            return std::nullopt;
        }
        // Without progress since ever: it goes first, since nobody waits for it.
        return HeldBytes::Candidate { { resultsBytes_, BootTime() }, [this] {
                                         dropFirstResults();
                                     } };
    });
}

auto ResultLogCache::put(const std::string &log, const JobRepository::LogEntry &entry, BootTime now) -> void
{
    addToIndex(log, entry);
    if (!entry.results.empty()) {
        keepResults(log, entry, now);
    }
}

auto ResultLogCache::addToIndex(const std::string &log, const JobRepository::LogEntry &entry) -> void
{
    if (entry.number != endOf(log).entry) {
        return;
    }
    std::uint64_t bytes = INDEX_OBJECT_BYTES;
    for (const JobResult &result : entry.results) {
        bytes += INDEX_OBJECT_BYTES + result.itemId.size();
    }
    while (indexCharge_.bytes() + bytes > indexBound_) {
        if (indexOrder_.empty() || indexOrder_.front() == log) {
            return;
        }
        dropFirstIndex();
    }
    if (!indexes_.contains(log)) {
        indexOrder_.push_back(log);
    }
    Index &index = indexes_[log];
    index.firstPositions.push_back(index.resultCount);
    index.resultCount += entry.results.size();
    index.bytes += bytes;
    for (const JobResult &result : entry.results) {
        index.itemIds.insert(result.itemId);
    }
    indexCharge_.set(indexCharge_.bytes() + bytes);
}

auto ResultLogCache::keepResults(const std::string &log, const JobRepository::LogEntry &entry, BootTime now) -> void
{
    const std::uint64_t bytes = bytesOf(entry.results);
    const EntryKey key { log, entry.number };
    if (bytes > resultsBound_ || results_.contains(key)) {
        return;
    }
    while (resultsBytes_ + bytes > resultsBound_) {
        dropFirstResults();
    }
    auto charge = std::make_unique<HeldBytes::Charge>(account_);
    if (!charge->trySet(bytes, now)) {
        return;
    }
    resultsBytes_ += bytes;
    resultsOrder_.push_back(key);
    results_[key] = { entry.results, std::move(charge) };
}

auto ResultLogCache::startOf(const std::string &log, std::size_t position) const -> Start
{
    const auto found = indexes_.find(log);
    if (found == indexes_.end() || position >= found->second.resultCount) {
        return endOf(log);
    }
    const std::vector<std::size_t> &positions = found->second.firstPositions;
    const auto after = std::upper_bound(positions.begin(), positions.end(), position);
    return { static_cast<std::size_t>(after - positions.begin()) - 1, *std::prev(after) };
}

auto ResultLogCache::endOf(const std::string &log) const -> Start
{
    const auto found = indexes_.find(log);
    return found == indexes_.end() ? Start() : Start { found->second.firstPositions.size(), found->second.resultCount };
}

auto ResultLogCache::lists(const std::string &log, const std::string &itemId) const -> bool
{
    const auto found = indexes_.find(log);
    return found != indexes_.end() && found->second.itemIds.contains(itemId);
}

auto ResultLogCache::results(const std::string &log, std::size_t entry) const -> const std::vector<JobResult> *
{
    const auto found = results_.find({ log, entry });
    return found == results_.end() ? nullptr : &found->second.results;
}

auto ResultLogCache::bytes() const -> std::uint64_t
{
    return resultsBytes_ + indexCharge_.bytes();
}

auto ResultLogCache::dropFirstResults() -> void
{
    const auto found = results_.find(resultsOrder_.front());
    resultsBytes_ -= found->second.charge->bytes();
    results_.erase(found);
    resultsOrder_.pop_front();
}

auto ResultLogCache::dropFirstIndex() -> void
{
    const auto found = indexes_.find(indexOrder_.front());
    indexCharge_.set(indexCharge_.bytes() - found->second.bytes);
    indexes_.erase(found);
    indexOrder_.pop_front();
}

} // namespace poplardock
