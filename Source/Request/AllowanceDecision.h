#pragma once

#include "Version/Member.h"

#include <string>
#include <variant>

namespace poplardock {

/// The request is admitted; one token was spent.
struct Admitted
{
    auto operator==(const Admitted &) const -> bool = default;
};

/// The request is refused: the team has used up its allowance.
struct OverAllowance
{
    int retryAfterSeconds = 1;

    auto operator==(const OverAllowance &) const -> bool = default;
};

/// The request must be forwarded to the home of the team, which admits and runs it, or refuses it.
struct ForwardToHome
{
    Member home;

    auto operator==(const ForwardToHome &) const -> bool = default;
};

/// The allowance could not be checked: the home is unreachable, or is not permitted to act.
struct AllowanceUnavailable
{
    std::string reason;

    auto operator==(const AllowanceUnavailable &) const -> bool = default;
};

using AllowanceDecision = std::variant<Admitted, OverAllowance, ForwardToHome, AllowanceUnavailable>;

} // namespace poplardock
