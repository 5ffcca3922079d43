#include "Process/Batch/FinishedLogCache.h"

namespace poplardock {

namespace {

/// Part of the account's bytes that the cache may take.
constexpr std::uint64_t BOUND_DIVISOR = 16;
/// Objects of one result beside its text.
constexpr std::uint64_t RESULT_BYTES = 256;

auto bytesOf(const JobRepository::ResultLog &log) -> std::uint64_t
{
    std::uint64_t bytes = RESULT_BYTES;
    for (const JobResult &result : log.results) {
        bytes += RESULT_BYTES + result.text.capacity();
    }
    return bytes;
}

} // namespace

FinishedLogCache::FinishedLogCache(const std::shared_ptr<HeldBytes> &account)
    : account_(account)
    , bound_(account->bounds().bytes / BOUND_DIVISOR)
{
    account->addHolders([this](BootTime /*now*/) -> std::optional<HeldBytes::Candidate> {
        if (entries_.empty()) {
            return std::nullopt;
        }
        // Without progress since ever: it goes first, since nobody waits for it.
        return HeldBytes::Candidate { { bytes_, BootTime() }, [this] {
                                         dropFirst();
                                     } };
    });
}

auto FinishedLogCache::find(const std::string &job) const -> const JobRepository::ResultLog *
{
    const auto found = entries_.find(job);
    return found == entries_.end() ? nullptr : &found->second.log;
}

auto FinishedLogCache::put(const std::string &job, const JobRepository::ResultLog &log, BootTime now) -> void
{
    const std::uint64_t bytes = bytesOf(log);
    if (bytes > bound_ || entries_.contains(job)) {
        return;
    }
    while (bytes_ + bytes > bound_) {
        dropFirst();
    }
    auto charge = std::make_unique<HeldBytes::Charge>(account_);
    if (!charge->trySet(bytes, now)) {
        return;
    }
    bytes_ += bytes;
    entries_[job] = { log, std::move(charge), order_.insert(order_.end(), job) };
}

auto FinishedLogCache::bytes() const -> std::uint64_t
{
    return bytes_;
}

auto FinishedLogCache::dropFirst() -> void
{
    const auto found = entries_.find(order_.front());
    bytes_ -= found->second.charge->bytes();
    entries_.erase(found);
    order_.pop_front();
}

} // namespace poplardock
