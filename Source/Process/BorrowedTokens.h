#pragma once

#include "Process/AllowanceMessages.h"
#include "Request/AllowanceDecision.h"
#include "Request/AllowancePolicy.h"

#include <optional>

namespace poplardock {

/// A borrower's state for one team: the open loan, the recent demand and the last refusal. Not thread-safe; time is
/// passed in.
class BorrowedTokens
{
public:
    auto recordDemand(TimePoint now) -> void;
    /// Recent requests per second, those that got no token included.
    [[nodiscard]] auto demandPerSecond(TimePoint now) const -> double;

    /// Spends one token of the loan. False when there is no loan, no token is left or the term is over.
    [[nodiscard]] auto tryAcquire(TimePoint now) -> bool;
    /// Tokens that may be spent now.
    [[nodiscard]] auto remaining(TimePoint now) const -> std::int64_t;
    /// During the backoff after a refusal, the decision for all requests that get no token; otherwise unset.
    [[nodiscard]] auto refusal(TimePoint now) const -> std::optional<AllowanceDecision>;

    /// Returns the unspent tokens of the loan, which can no longer be spent here, and adds the settlement to the
    /// request. The next request repeats the settlement if the response is lost; the home counts it once.
    auto addSettlement(LoanRequest &request) -> void;
    /// Drops the loan that the request settled, opens the granted one, and records a refusal if the home gave a retry
    /// delay. The term of the loan starts at "sentAt", when the request was sent.
    auto handleResponse(const LoanRequest &request, const LoanResponse &response, TimePoint sentAt, TimePoint now) -> void;
    /// Refuses requests that get no token with this decision until the given time, instead of borrowing again.
    auto recordRefusal(AllowanceDecision decision, TimePoint until) -> void;
    /// True when unused tokens are about to expire and should be returned. Drops a loan that has expired at the home
    /// too.
    [[nodiscard]] auto isReturnDue(TimePoint now) -> bool;

private:
    /// The last loan, until the home has acknowledged its settlement.
    struct OpenLoan
    {
        std::int64_t number = 0;
        std::int64_t granted = 0;
        std::int64_t returned = 0;
        std::int64_t remaining = 0;
        TimePoint deadline;
    };

    struct Refusal
    {
        AllowanceDecision decision;
        TimePoint until;
    };

    DemandEstimate demand_;
    std::optional<OpenLoan> loan_;
    std::optional<Refusal> refusal_;
};

/// Value of a Retry-After header: the delay rounded up to whole seconds, at least 1.
auto toRetryAfterSeconds(Milliseconds wait) -> int;

} // namespace poplardock
