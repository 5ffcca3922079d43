#pragma once

#include "Process/Clock.h"
#include "Request/RegionAllowance.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace poplardock {

/// A borrower may spend the tokens of a loan for this long after it sent the request for the loan.
constexpr Milliseconds LOAN_TERM { 1000 };
/// The home counts the term from when it grants the loan and adds this margin, since the two clocks may run at
/// different speeds.
constexpr Milliseconds LOAN_DRIFT_MARGIN { 200 };

/// Identifies a loan by the request that asked for it.
struct LoanId
{
    std::string borrower;
    /// Incarnation of the borrower.
    std::string incarnation;
    /// Number of the request, unique within the incarnation.
    std::int64_t number = 0;

    auto operator<=>(const LoanId &) const = default;
};

/// Tokens that were lent to a borrower, which may have spent them or may still spend them.
struct Loan
{
    LoanId id;
    std::int64_t tokens = 0;
    TimePoint expiresAt;

    auto operator==(const Loan &) const -> bool = default;
};

/// The token bucket of one team at its home. Not thread-safe. Time is passed in; a time that lies before one passed
/// in earlier is treated as that earlier time.
///
/// Invariant: level + outstanding loans <= burst. The bucket does not refill while the sum equals the burst, and a
/// loan that expires unsettled counts as spent. A token that is spent within a window was in the bucket or in a loan
/// when the window began, or was refilled within it. Any window of t seconds therefore holds at most burst + rate x t
/// spent tokens, even when a borrower spends late in the term of its loan.
///
/// A changed limit applies at once: the level is reduced, so that level + outstanding loans is at most the larger of
/// the new burst and the loans granted before the change. Windows that begin after those loans have ended (at the
/// latest after LOAN_TERM plus the margin) obey the new limit. A window that contains the change holds at most the
/// larger burst plus each rate times the time for which it was in force.
class AllowanceBucket
{
public:
    /// "level" is in units and is clamped to the burst; the bucket refills from "refillFrom" on.
    AllowanceBucket(RegionAllowance limit, std::int64_t level, TimePoint refillFrom);

    auto setLimit(RegionAllowance limit, TimePoint now) -> void;
    /// Spends one token; false when there is none.
    [[nodiscard]] auto tryAcquire(TimePoint now) -> bool;
    /// Lends up to "want" whole tokens and returns how many; no loan is recorded when it returns 0.
    /// Precondition: no loan with this id is outstanding.
    [[nodiscard]] auto grant(const LoanId &id, std::int64_t want, TimePoint now) -> std::int64_t;
    /// Ends a loan and puts its returned tokens back into the bucket; all others count as spent. False, with no
    /// effect, when the loan has already ended, or when a count is negative or their sum exceeds the loan.
    auto settle(const LoanId &id, std::int64_t spent, std::int64_t returned, TimePoint now) -> bool;
    /// Refills the bucket and ends expired loans. The other methods that take a time do this first.
    auto advance(TimePoint now) -> void;
    /// Adds a loan that an earlier home granted, even if the outstanding loans then exceed the burst.
    auto restore(const Loan &loan) -> void;

    /// The earliest time at which a token is available if none is spent, lent or returned until then; at most a
    /// minute from now.
    [[nodiscard]] auto nextTokenAt(TimePoint now) const -> TimePoint;
    [[nodiscard]] auto limit() const -> const RegionAllowance &;
    /// Tokens in the bucket, in units, as of the last change.
    [[nodiscard]] auto level() const -> std::int64_t;
    /// Tokens in outstanding loans, in units, as of the last change.
    [[nodiscard]] auto outstanding() const -> std::int64_t;
    /// Outstanding loans, ordered by expiry.
    [[nodiscard]] auto loans() const -> const std::vector<Loan> &;

private:
    auto refill(TimePoint until) -> void;

    RegionAllowance limit_;
    std::int64_t level_;
    std::int64_t outstanding_ = 0;
    TimePoint refilledAt_;
    std::vector<Loan> loans_;
};

} // namespace poplardock
