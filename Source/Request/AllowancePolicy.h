#pragma once

#include "Process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace poplardock {

/// Demand and limits of one team, as known to a daemon that is not the team's home, the daemon that keeps the token
/// bucket of the team's whole allowance.
struct AllowanceDemand
{
    /// The team's recent requests per second at this daemon.
    double perSecond = 0;
    /// Rate and burst of the team over all daemons.
    double ratePerSecond = 0;
    double burst = 0;
    std::size_t memberCount = 0;

    auto operator==(const AllowanceDemand &) const -> bool = default;
};

/// Request a loan of this many tokens from the home.
struct RequestLoan
{
    std::int64_t tokens = 1;

    auto operator==(const RequestLoan &) const -> bool = default;
};

/// Forward the request itself to the home.
struct ForwardRequest
{
    auto operator==(const ForwardRequest &) const -> bool = default;
};

using AllowanceSource = std::variant<RequestLoan, ForwardRequest>;

/// Decides how AllowanceClient obtains allowance for a request: by a loan of tokens or by forwarding the request. A loan
/// covers the expected demand during its term, up to an equal share of the burst for each member, and has at least one
/// token. In a large fleet the request is forwarded when demand is so low that a loan would be for a single token.
/// AllowanceTable, the counterpart in FrontDaemon, uses AllowanceShare and no loans. Pure function.
auto chooseAllowanceSource(const AllowanceDemand &demand) -> AllowanceSource;

/// Tokens to request when a loan is about to expire with unused tokens. Returns 0 when demand is too low for another
/// loan or the request would be forwarded anyway; the unused tokens are then only returned. Pure function.
auto renewalTokens(const AllowanceDemand &demand) -> std::int64_t;

/// Estimates the rate of events with exponential decay. Not thread-safe.
class DemandEstimate
{
public:
    auto record(TimePoint now) -> void;
    /// Events per second.
    [[nodiscard]] auto perSecond(TimePoint now) const -> double;

private:
    double perSecond_ = 0;
    TimePoint updatedAt_;
};

} // namespace poplardock
