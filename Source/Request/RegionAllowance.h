#pragma once

#include "Version/Team.h"

#include <cstdint>
#include <set>
#include <string>

namespace poplardock {

/// Units of one token. Tokens are counted in integers, so that no rounding ever adds one: a rate in
/// millionths of a token per second is a whole number of units per microsecond.
constexpr std::int64_t UNITS_PER_TOKEN = 1'000'000'000'000;

/// The part of a team's allowance that one home applies.
struct RegionAllowance
{
    /// Units per microsecond, that is millionths of a token per second.
    std::int64_t rate = 0;
    /// Units.
    std::int64_t burst = 0;

    auto operator==(const RegionAllowance &) const -> bool = default;
};

/// The share of one region. The shares of all regions add up exactly to the team's rate and burst, both
/// rounded down to a millionth of a token. The burst is split in whole tokens, since a home cannot spend
/// part of a token; a team whose burst is below the number of regions has no share in some of them.
/// Pure function.
auto regionAllowance(const Team &team, const std::set<std::string> &regions, const std::string &region) -> RegionAllowance;

} // namespace poplardock
