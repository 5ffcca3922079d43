#pragma once

#include "Version/Member.h"

#include <string>
#include <variant>

namespace poplardock {

/// The request may run; one token was spent.
struct Admitted
{
    auto operator==(const Admitted &) const -> bool = default;
};

/// The team is over its allowance.
struct OverAllowance
{
    int retryAfterSeconds = 1;

    auto operator==(const OverAllowance &) const -> bool = default;
};

/// The request is to be relayed to the home of the team, which decides and runs it.
struct ForwardToHome
{
    Member home;

    auto operator==(const ForwardToHome &) const -> bool = default;
};

/// No decision could be had: the home cannot be reached, or it may not act.
struct AllowanceUnavailable
{
    std::string reason;

    auto operator==(const AllowanceUnavailable &) const -> bool = default;
};

using AllowanceDecision = std::variant<Admitted, OverAllowance, ForwardToHome, AllowanceUnavailable>;

} // namespace poplardock
