#include "Process/AllowanceAccount.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Beyond the requests that wait, one loan takes at most this part of the level, so that the tokens of a burst are not stranded at a few
/// borrowers. Without it 5% of within-limit requests are refused under bursts (MeasureAllowances, seed 1).
constexpr std::int64_t LOAN_LEVEL_DIVISOR = 8;
/// Loans are not cut below this size.
constexpr std::int64_t SMALL_LOAN = 2;
/// Bounds of the time after which a refused borrower may ask again.
constexpr Milliseconds MINIMUM_RETRY { 100 };
constexpr Milliseconds MAXIMUM_RETRY { 1000 };

} // namespace

AllowanceAccount::AllowanceAccount(AllowanceBucket bucket)
    : bucket_(std::move(bucket))
{
}

auto AllowanceAccount::spend(TimePoint now) -> LoanAnswer
{
    if (bucket_.spend(now)) {
        return { 1, Milliseconds(0) };
    }
    return { 0, std::max(std::chrono::ceil<Milliseconds>(bucket_.nextTokenAt(now) - now), Milliseconds(1)) };
}

auto AllowanceAccount::lend(const LoanRequest &request, TimePoint now) -> LoanAnswer
{
    if (request.settles != 0) {
        bucket_.settle({ request.id.borrower, request.id.incarnation, request.settles }, request.spent, request.returned, now);
    }
    if (request.want <= 0) {
        return {};
    }
    std::int64_t &lastNumber = lastNumbers_[{ request.id.borrower, request.id.incarnation }];
    if (request.id.number <= lastNumber) {
        return {};
    }
    lastNumber = request.id.number;
    bucket_.advance(now);
    const std::int64_t share = std::max<std::int64_t>(bucket_.level() / UNITS_PER_TOKEN / LOAN_LEVEL_DIVISOR, SMALL_LOAN);
    const std::int64_t granted = bucket_.grant(request.id, std::min(request.want, std::max(share, request.need)), now);
    return { granted, granted == 0 ? nextRetry(now) : Milliseconds(0) };
}

auto AllowanceAccount::nextRetry(TimePoint now) -> Milliseconds
{
    // Refused borrowers are sent back one token apart, so that they do not all come for the same token.
    const std::int64_t rate = std::max<std::int64_t>(bucket_.limit().rate, 1);
    const auto tokenInterval = std::chrono::microseconds(UNITS_PER_TOKEN / rate);
    const TimePoint earliest
        = std::max(bucket_.nextTokenAt(now), lastRetryAt_ + std::min(tokenInterval, std::chrono::microseconds(MAXIMUM_RETRY)));
    lastRetryAt_ = std::clamp<TimePoint>(earliest, now + MINIMUM_RETRY, now + MAXIMUM_RETRY);
    return std::chrono::ceil<Milliseconds>(lastRetryAt_ - now);
}

auto AllowanceAccount::retainBorrowers(const std::set<ProcessName> &members) -> void
{
    std::erase_if(lastNumbers_, [&members](const auto &item) { return !members.contains(item.first); });
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
