#pragma once

#include "Process/AllowanceMessages.h"
#include "Request/AllowanceDecision.h"
#include "Request/AllowancePolicy.h"

#include <optional>

namespace poplardock {

/// What a daemon that is not the home keeps for one team: the loan, recent demand and the last refusal.
/// Not thread-safe; time is passed in.
class BorrowedTokens
{
public:
    auto recordDemand(TimePoint now) -> void;
    /// Requests per second.
    [[nodiscard]] auto demandPerSecond(TimePoint now) const -> double;

    /// Spends one token of the loan. False when it has none or its term is over.
    [[nodiscard]] auto tryAcquire(TimePoint now) -> bool;
    /// Tokens that may be spent now.
    [[nodiscard]] auto remaining(TimePoint now) const -> std::int64_t;
    /// The decision for requests without a token while borrows are held back.
    [[nodiscard]] auto refusal(TimePoint now) const -> std::optional<AllowanceDecision>;

    /// Makes the loan's other tokens unspendable and puts the report of the loan into the request. A report
    /// whose answer is lost is repeated by the next request, and the home counts it once.
    auto addSettlement(LoanRequest &request) -> void;
    /// Records the answer to a request sent at the given time; the term of the loan starts there.
    auto handleResponse(const LoanRequest &request, const LoanResponse &answer, TimePoint sentAt, TimePoint now) -> void;
    /// Holds back borrows until the given time.
    auto recordRefusal(AllowanceDecision decision, TimePoint until) -> void;
    /// True when unused tokens are about to lapse and should be returned. Forgets a loan that has lapsed at
    /// the home as well.
    [[nodiscard]] auto isReturnDue(TimePoint now) -> bool;

private:
    /// The last loan until the home has answered its report.
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

/// The value of a Retry-After header: whole seconds, at least 1.
auto toRetryAfterSeconds(Milliseconds wait) -> int;

} // namespace poplardock
