#include "Process/AllowanceBucket.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Upper bound of nextTokenAt() for low rates.
constexpr std::chrono::seconds MAXIMUM_WAIT { 60 };

} // namespace

AllowanceBucket::AllowanceBucket(RegionAllowance limit, std::int64_t level, TimePoint refillFrom)
    : limit_(limit)
    , level_(std::clamp<std::int64_t>(level, 0, limit.burst))
    , refilledAt_(refillFrom)
{
}

auto AllowanceBucket::refill(TimePoint until) -> void
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(until - refilledAt_);
    if (elapsed.count() <= 0) {
        return;
    }
    const std::int64_t headroom = limit_.burst - level_ - outstanding_;
    if (headroom <= 0 || limit_.rate == 0) {
        refilledAt_ = until;
        return;
    }
    if (elapsed.count() > headroom / limit_.rate) {
        level_ += headroom;
        refilledAt_ = until;
        return;
    }
    level_ += limit_.rate * elapsed.count();
    // Whole microseconds only; the fraction counts towards the next refill.
    refilledAt_ += elapsed;
}

auto AllowanceBucket::advance(TimePoint now) -> void
{
    while (!loans_.empty() && loans_.front().expiresAt <= now) {
        refill(loans_.front().expiresAt);
        outstanding_ -= loans_.front().tokens * UNITS_PER_TOKEN;
        loans_.erase(loans_.begin());
    }
    refill(now);
}

auto AllowanceBucket::setLimit(RegionAllowance limit, TimePoint now) -> void
{
    if (limit == limit_) {
        return;
    }
    advance(now);
    limit_ = limit;
    level_ = std::clamp<std::int64_t>(limit_.burst - outstanding_, 0, level_);
}

auto AllowanceBucket::tryAcquire(TimePoint now) -> bool
{
    advance(now);
    if (level_ < UNITS_PER_TOKEN) {
        return false;
    }
    level_ -= UNITS_PER_TOKEN;
    return true;
}

auto AllowanceBucket::grant(const LoanId &id, std::int64_t want, TimePoint now) -> std::int64_t
{
    advance(now);
    const std::int64_t tokens = std::min(want, level_ / UNITS_PER_TOKEN);
    if (tokens <= 0) {
        return 0;
    }
    level_ -= tokens * UNITS_PER_TOKEN;
    restore({ id, tokens, std::max(now, refilledAt_) + LOAN_TERM + LOAN_DRIFT_MARGIN });
    return tokens;
}

auto AllowanceBucket::restore(const Loan &loan) -> void
{
    outstanding_ += loan.tokens * UNITS_PER_TOKEN;
    const auto position = std::upper_bound(
        loans_.begin(), loans_.end(), loan, [](const Loan &left, const Loan &right) { return left.expiresAt < right.expiresAt; });
    loans_.insert(position, loan);
}

auto AllowanceBucket::settle(const LoanId &id, std::int64_t spent, std::int64_t returned, TimePoint now) -> bool
{
    advance(now);
    const auto found = std::find_if(loans_.begin(), loans_.end(), [&id](const Loan &loan) { return loan.id == id; });
    if (found == loans_.end() || spent < 0 || returned < 0 || returned > found->tokens - spent) {
        return false;
    }
    outstanding_ -= found->tokens * UNITS_PER_TOKEN;
    // If the limit was lowered since the grant, not all returned tokens may fit.
    const std::int64_t headroom = std::max<std::int64_t>(limit_.burst - level_ - outstanding_, 0);
    level_ += std::min(returned * UNITS_PER_TOKEN, headroom);
    loans_.erase(found);
    return true;
}

auto AllowanceBucket::nextTokenAt(TimePoint now) const -> TimePoint
{
    AllowanceBucket copy = *this;
    copy.advance(now);
    const TimePoint latest = now + MAXIMUM_WAIT;
    for (;;) {
        const std::int64_t missing = UNITS_PER_TOKEN - copy.level_;
        if (missing <= 0) {
            return std::clamp(copy.refilledAt_, now, latest);
        }
        const bool canRefill = copy.limit_.burst - copy.outstanding_ >= UNITS_PER_TOKEN && copy.limit_.rate > 0;
        const TimePoint nextExpiry = copy.loans_.empty() ? latest : std::min(copy.loans_.front().expiresAt, latest);
        if (canRefill) {
            const std::chrono::microseconds wait((missing + copy.limit_.rate - 1) / copy.limit_.rate);
            const TimePoint refilled = wait > MAXIMUM_WAIT ? latest : copy.refilledAt_ + wait;
            if (refilled <= nextExpiry) {
                return refilled;
            }
        }
        if (nextExpiry >= latest) {
            return latest;
        }
        copy.advance(nextExpiry);
    }
}

auto AllowanceBucket::limit() const -> const RegionAllowance &
{
    return limit_;
}

auto AllowanceBucket::level() const -> std::int64_t
{
    return level_;
}

auto AllowanceBucket::outstanding() const -> std::int64_t
{
    return outstanding_;
}

auto AllowanceBucket::loans() const -> const std::vector<Loan> &
{
    return loans_;
}

} // namespace poplardock
