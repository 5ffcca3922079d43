#pragma once

#include "Process/AllowanceBucket.h"
#include "Process/AllowanceMessages.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace poplardock {

/// Name and incarnation of a daemon; unique for each process.
using DaemonId = std::pair<std::string, std::string>;

/// The home's state for one team: the token bucket, the last request number of each borrower, and the retry time that
/// was last given to a refused borrower. Not thread-safe; time is passed in.
class AllowanceAccount
{
public:
    explicit AllowanceAccount(AllowanceBucket bucket);

    /// Spends one token for a request that arrived at the home itself. LoanResponse::granted is 1, or 0 when the
    /// bucket is empty.
    auto acquire(TimePoint now) -> LoanResponse;
    /// Settles the borrower's earlier loan and grants a new one. A request whose number is not above the borrower's
    /// last one is delayed or a duplicate; its settlement still counts, but it gets no loan.
    auto lend(const LoanRequest &request, TimePoint now) -> LoanResponse;
    /// Forgets the request numbers of daemons that are not in "members".
    auto retainBorrowers(const std::set<DaemonId> &members) -> void;
    [[nodiscard]] auto bucket() -> AllowanceBucket &;
    [[nodiscard]] auto bucket() const -> const AllowanceBucket &;

private:
    /// Reserves the next retry time for a refused borrower and returns the delay until then.
    auto scheduleRetry(TimePoint now) -> Milliseconds;

    AllowanceBucket bucket_;
    std::map<DaemonId, std::int64_t> lastRequestNumbers_;
    /// The retry time that was last given to a refused borrower.
    TimePoint lastRetryAt_;
};

} // namespace poplardock
