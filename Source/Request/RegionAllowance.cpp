#include "Request/RegionAllowance.h"

#include "Version/MemberTable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace poplardock {

namespace {

constexpr std::int64_t MILLIONTHS = 1'000'000;

/// Rounds down to millionths. The factor compensates for the representation error of decimal fractions such as 0.3,
/// whose product can be slightly below a whole number.
auto toMillionths(double value) -> std::int64_t
{
    constexpr double REPRESENTATION_ERROR = 1e-14;
    return static_cast<std::int64_t>(std::floor(value * MILLIONTHS * (1 + REPRESENTATION_ERROR)));
}

auto evenShare(std::int64_t total, std::int64_t count, std::int64_t position) -> std::int64_t
{
    return total / count + (position < total % count ? 1 : 0);
}

} // namespace

auto regionAllowance(const Team &team, const std::set<std::string> &regions, const std::string &region) -> RegionAllowance
{
    // The hash includes the team, so that the larger shares of different teams fall into different regions.
    std::vector<std::pair<std::uint64_t, std::string>> regionsByHash;
    regionsByHash.reserve(regions.size());
    for (const std::string &name : regions) {
        regionsByHash.emplace_back(stableHash(absl::StrCat(team.name, "/", name)), name);
    }
    std::sort(regionsByHash.begin(), regionsByHash.end());
    const auto found
        = std::find_if(regionsByHash.begin(), regionsByHash.end(), [&region](const auto &entry) { return entry.second == region; });
    const std::int64_t position = found - regionsByHash.begin();
    const std::int64_t burst = toMillionths(team.burst);
    const std::int64_t wholeTokens = burst / MILLIONTHS;
    const std::int64_t shareCount = std::min<std::int64_t>(static_cast<std::int64_t>(regionsByHash.size()), wholeTokens);
    if (position >= shareCount) {
        return {};
    }
    const std::int64_t fraction = position == 0 ? burst % MILLIONTHS : 0;
    return { evenShare(toMillionths(team.ratePerSecond), shareCount, position),
             evenShare(wholeTokens, shareCount, position) * UNITS_PER_TOKEN + fraction * (UNITS_PER_TOKEN / MILLIONTHS) };
}

} // namespace poplardock
