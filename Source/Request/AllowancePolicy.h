#pragma once

#include "Process/Clock.h"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace poplardock {

/// What is known about one team at one daemon that is not its home.
struct AllowanceDemand
{
    /// Recent requests per second of the team at this daemon.
    double perSecond = 0;
    /// The team's rate and burst.
    double ratePerSecond = 0;
    double burst = 0;
    std::size_t memberCount = 0;

    auto operator==(const AllowanceDemand &) const -> bool = default;
};

/// Ask the home for a loan of this many tokens.
struct RequestLoan
{
    std::int64_t tokens = 1;

    auto operator==(const RequestLoan &) const -> bool = default;
};

/// Send the request itself to the home.
struct ForwardRequest
{
    auto operator==(const ForwardRequest &) const -> bool = default;
};

using AllowanceSource = std::variant<RequestLoan, ForwardRequest>;

/// Pure function. A loan covers the demand of its term, within the member's share of the burst; at least one
/// token. In a large fleet a request is relayed when a loan would seldom be used twice within its term.
auto chooseAllowanceSource(const AllowanceDemand &demand) -> AllowanceSource;

/// Tokens to ask for when a loan is about to lapse with unused tokens; 0 when demand has ceased and the tokens
/// are only to be returned. Pure function.
auto renewalTokens(const AllowanceDemand &demand) -> std::int64_t;

/// Estimate of a rate from the times of events, with exponential decay. Not thread-safe.
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
