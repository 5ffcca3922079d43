#pragma once

#include "Version/Team.h"

#include <cstdint>
#include <set>
#include <string>

namespace poplardock {

/// Tokens are counted in integer units, so that rounding never creates a token: a rate in millionths of a token per
/// second is a whole number of units per microsecond.
constexpr std::int64_t UNITS_PER_TOKEN = 1'000'000'000'000;

/// Rate and burst that the home of one region enforces for a team.
struct RegionAllowance
{
    /// Units per microsecond, which equals millionths of a token per second.
    std::int64_t rate = 0;
    /// Units.
    std::int64_t burst = 0;

    auto operator==(const RegionAllowance &) const -> bool = default;
};

/// Returns the allowance of a team in one region. The allowances of all regions add up exactly to the team's rate and
/// burst, both rounded down to a millionth of a token. The burst is split into whole tokens, since a home cannot spend
/// a fraction of a token. If the burst is smaller than the number of regions, some regions get no allowance.
/// An unknown region gets none. Pure function.
auto regionAllowance(const Team &team, const std::set<std::string> &regions, const std::string &region) -> RegionAllowance;

} // namespace poplardock
