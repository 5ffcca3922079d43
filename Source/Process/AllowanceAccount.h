#pragma once

#include "Process/AllowanceBucket.h"
#include "Process/AllowanceMessages.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace poplardock {

/// Name and incarnation of a daemon.
using DaemonId = std::pair<std::string, std::string>;

/// What the home keeps for one team: the bucket, and what it told the borrowers. Not thread-safe; time is
/// passed in.
class AllowanceAccount
{
public:
    explicit AllowanceAccount(AllowanceBucket bucket);

    /// Spends one token. LoanAnswer::granted is 1 or 0.
    auto acquire(TimePoint now) -> LoanResponse;
    /// Ends the borrower's earlier loan and makes the new one. A request whose number is not above the
    /// borrower's last is late or repeated and gets no loan.
    auto lend(const LoanRequest &request, TimePoint now) -> LoanResponse;
    /// Forgets the request numbers of all other daemons.
    auto retainBorrowers(const std::set<DaemonId> &members) -> void;
    [[nodiscard]] auto bucket() -> AllowanceBucket &;
    [[nodiscard]] auto bucket() const -> const AllowanceBucket &;

private:
    auto scheduleRetry(TimePoint now) -> Milliseconds;

    AllowanceBucket bucket_;
    std::map<DaemonId, std::int64_t> lastRequestNumbers_;
    /// The latest time that a refused borrower was told to come back at.
    TimePoint lastRetryAt_;
};

} // namespace poplardock
