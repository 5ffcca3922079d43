#include "Process/BorrowedTokens.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Unused tokens are returned this long before they expire: one period of AllowanceClient::maintain(), plus time for
/// a slow message.
constexpr Milliseconds RETURN_LEAD { 250 };

} // namespace

auto toRetryAfterSeconds(Milliseconds wait) -> int
{
    return std::max<int>(1, static_cast<int>(std::chrono::ceil<std::chrono::seconds>(wait).count()));
}

auto BorrowedTokens::recordDemand(TimePoint now) -> void
{
    demand_.record(now);
}

auto BorrowedTokens::demandPerSecond(TimePoint now) const -> double
{
    return demand_.perSecond(now);
}

auto BorrowedTokens::tryAcquire(TimePoint now) -> bool
{
    if (remaining(now) == 0) {
        return false;
    }
    --loan_->remaining;
    return true;
}

auto BorrowedTokens::remaining(TimePoint now) const -> std::int64_t
{
    return loan_ && now < loan_->deadline ? loan_->remaining : 0;
}

auto BorrowedTokens::refusal(TimePoint now) const -> std::optional<AllowanceDecision>
{
    return refusal_ && now < refusal_->until ? std::optional(refusal_->decision) : std::nullopt;
}

auto BorrowedTokens::addSettlement(LoanRequest &request) -> void
{
    if (!loan_) {
        return;
    }
    loan_->returned += loan_->remaining;
    loan_->remaining = 0;
    request.settledLoan = loan_->number;
    request.returned = loan_->returned;
    request.spent = loan_->granted - loan_->returned;
}

auto BorrowedTokens::handleResponse(const LoanRequest &request, const LoanResponse &response, TimePoint sentAt, TimePoint now) -> void
{
    if (loan_ && loan_->number == request.settledLoan) {
        loan_.reset();
    }
    const std::int64_t granted = std::min(response.granted, request.want);
    if (granted > 0) {
        loan_ = OpenLoan { request.id.number, granted, 0, granted, sentAt + LOAN_TERM };
    }
    if (granted < request.want && response.retryAfter > Milliseconds(0)) {
        recordRefusal(OverAllowance { toRetryAfterSeconds(response.retryAfter) }, now + response.retryAfter);
    }
}

auto BorrowedTokens::recordRefusal(AllowanceDecision decision, TimePoint until) -> void
{
    refusal_ = Refusal { std::move(decision), until };
}

auto BorrowedTokens::isReturnDue(TimePoint now) -> bool
{
    if (loan_ && now >= loan_->deadline + LOAN_DRIFT_MARGIN) {
        loan_.reset();
    }
    return loan_ && loan_->remaining > 0 && now >= loan_->deadline - RETURN_LEAD;
}

} // namespace poplardock
