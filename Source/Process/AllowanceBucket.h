#pragma once

#include "Process/Clock.h"
#include "Request/RegionAllowance.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace poplardock {

/// Time for which a borrower may spend the tokens of a loan, from when it sent its request.
constexpr Milliseconds LOAN_TERM { 1000 };
/// Added by the lender, which counts from when it granted the loan: covers clocks that run at different speeds.
constexpr Milliseconds LOAN_DRIFT_MARGIN { 200 };

/// Names a loan: the request that asked for it.
struct LoanId
{
    std::string borrower;
    /// Incarnation of the borrower.
    std::string incarnation;
    /// Number of the request, unique within the incarnation.
    std::int64_t number = 0;

    auto operator<=>(const LoanId &) const = default;
};

/// Tokens that a borrower may have spent or may still spend.
struct Loan
{
    LoanId id;
    std::int64_t tokens = 0;
    TimePoint lapsesAt;

    auto operator==(const Loan &) const -> bool = default;
};

/// The token bucket of one team at its home. Not thread-safe; time is passed in, and a time before an earlier
/// one counts as the earlier one.
///
/// Invariant: level + outstanding loans <= burst. Refill stops while the sum is at the burst, and a loan that
/// lapses without a report counts as spent. A token that is spent within a window was in the bucket or in a
/// loan when the window began, or was refilled within it, so any window of t seconds holds at most
/// burst + rate x t spends, also when a borrower spends late in the term of its loan.
///
/// A changed limit applies at once: the level is cut, so that level + outstanding loans is at most the larger
/// of the new burst and the loans granted before the change. Windows that begin after those loans have ended
/// (LOAN_TERM plus the margin at the latest) hold the new limit; windows that contain the change hold the
/// larger burst plus each rate over the time it was in force.
class AllowanceBucket
{
public:
    /// A bucket with the given level in units, cut to the burst, that refills from the given time.
    AllowanceBucket(RegionAllowance limit, std::int64_t level, TimePoint refillFrom);

    auto setLimit(RegionAllowance limit, TimePoint now) -> void;
    /// Takes one token. False when there is none.
    [[nodiscard]] auto spend(TimePoint now) -> bool;
    /// Lends up to "want" whole tokens and returns how many. 0 makes no loan.
    /// Precondition: no loan of this name is outstanding.
    [[nodiscard]] auto grant(const LoanId &id, std::int64_t want, TimePoint now) -> std::int64_t;
    /// Ends a loan: its tokens are spent, but for those returned to the bucket. False, with no effect, when the
    /// loan has ended already or the counts are negative or exceed the loan.
    auto settle(const LoanId &id, std::int64_t spent, std::int64_t returned, TimePoint now) -> bool;
    /// Refills and ends the loans whose time is over. The other methods do this first.
    auto advance(TimePoint now) -> void;
    /// Restores a loan granted by an earlier home. Tokens above the burst are kept outstanding.
    auto restore(const Loan &loan) -> void;

    /// The earliest time at which a token can be taken if nothing else happens; at most a minute from now.
    [[nodiscard]] auto nextTokenAt(TimePoint now) const -> TimePoint;
    [[nodiscard]] auto limit() const -> const RegionAllowance &;
    /// Units, as of the last change.
    [[nodiscard]] auto level() const -> std::int64_t;
    /// Units in loans, as of the last change.
    [[nodiscard]] auto outstanding() const -> std::int64_t;
    /// In the order in which they lapse.
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
