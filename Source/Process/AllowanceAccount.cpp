#include "Process/AllowanceAccount.h"

#include <algorithm>

namespace poplardock {

namespace {

/// A loan for expected demand is at most the bucket's level divided by this, so that a few borrowers do not hold all
/// tokens of a burst. Without it, 5% of the requests within the limit are refused under bursts (see
/// MeasureAllowances).
constexpr std::int64_t LOAN_LEVEL_DIVISOR = 8;
/// LOAN_LEVEL_DIVISOR does not reduce a loan below this many tokens.
constexpr std::int64_t MINIMUM_LOAN_CAP = 2;
/// Bounds of the retry delay of a refused borrower.
constexpr Milliseconds MINIMUM_RETRY_DELAY { 100 };
constexpr Milliseconds MAXIMUM_RETRY_DELAY { 1000 };

} // namespace

AllowanceAccount::AllowanceAccount(AllowanceBucket bucket)
    : bucket_(std::move(bucket))
{
}

auto AllowanceAccount::acquire(TimePoint now) -> LoanResponse
{
    if (bucket_.tryAcquire(now)) {
        return { 1, Milliseconds(0) };
    }
    return { 0, std::max(std::chrono::ceil<Milliseconds>(bucket_.nextTokenAt(now) - now), Milliseconds(1)) };
}

auto AllowanceAccount::lend(const LoanRequest &request, TimePoint now) -> LoanResponse
{
    if (request.settledLoan != 0) {
        bucket_.settle({ request.id.borrower, request.id.incarnation, request.settledLoan }, request.spent, request.returned, now);
    }
    if (request.want <= 0) {
        return {};
    }
    std::int64_t &lastNumber = lastRequestNumbers_[{ request.id.borrower, request.id.incarnation }];
    if (request.id.number <= lastNumber) {
        return {};
    }
    lastNumber = request.id.number;
    bucket_.advance(now);
    const std::int64_t cap = std::max<std::int64_t>(bucket_.level() / UNITS_PER_TOKEN / LOAN_LEVEL_DIVISOR, MINIMUM_LOAN_CAP);
    const std::int64_t granted = bucket_.grant(request.id, std::min(request.want, std::max(cap, request.need)), now);
    return { granted, granted == 0 ? scheduleRetry(now) : Milliseconds(0) };
}

auto AllowanceAccount::scheduleRetry(TimePoint now) -> Milliseconds
{
    // Spaces the retries of refused borrowers by the time of one token, so that they do not compete for the same token.
    const std::int64_t rate = std::max<std::int64_t>(bucket_.limit().rate, 1);
    const auto tokenInterval = std::chrono::microseconds(UNITS_PER_TOKEN / rate);
    const TimePoint earliest
        = std::max(bucket_.nextTokenAt(now), lastRetryAt_ + std::min(tokenInterval, std::chrono::microseconds(MAXIMUM_RETRY_DELAY)));
    lastRetryAt_ = std::clamp<TimePoint>(earliest, now + MINIMUM_RETRY_DELAY, now + MAXIMUM_RETRY_DELAY);
    return std::chrono::ceil<Milliseconds>(lastRetryAt_ - now);
}

auto AllowanceAccount::retainBorrowers(const std::set<DaemonId> &members) -> void
{
    std::erase_if(lastRequestNumbers_, [&members](const auto &entry) { return !members.contains(entry.first); });
}

auto AllowanceAccount::bucket() -> AllowanceBucket &
{
    return bucket_;
}

auto AllowanceAccount::bucket() const -> const AllowanceBucket &
{
    return bucket_;
}

} // namespace poplardock
