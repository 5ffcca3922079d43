#include "Request/BatchOrder.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace poplardock::BatchOrder {

namespace {

constexpr std::chrono::milliseconds FIRST_LEVEL_SPAN = std::chrono::minutes(1);

/// 0 without slack, 1 below one minute, 2 below two minutes, 3 below four, and so on.
auto urgencyLevelOf(std::chrono::milliseconds slack) -> int
{
    if (slack.count() <= 0) {
        return 0;
    }
    return 1 + static_cast<int>(std::bit_width(static_cast<std::uint64_t>(slack / FIRST_LEVEL_SPAN)));
}

} // namespace

auto slackOf(const JobCandidate &candidate, WallTime now) -> std::chrono::milliseconds
{
    return candidate.due - now - candidate.remaining;
}

auto sorted(std::vector<JobCandidate> candidates, const std::map<std::string, std::int64_t> &runningByTeam, WallTime now)
    -> std::vector<JobCandidate>
{
    const auto runningOf = [&runningByTeam](const std::string &team) {
        const auto found = runningByTeam.find(team);
        return found == runningByTeam.end() ? std::int64_t { 0 } : found->second;
    };
    const auto rankOf = [&](const JobCandidate &candidate) {
        const auto slack = slackOf(candidate, now);
        return std::make_tuple(urgencyLevelOf(slack), runningOf(candidate.team), slack, candidate.job);
    };
    std::sort(candidates.begin(), candidates.end(), [&rankOf](const JobCandidate &left, const JobCandidate &right) {
        return rankOf(left) < rankOf(right);
    });
    return candidates;
}

} // namespace poplardock::BatchOrder
