#pragma once

#include "Version/BatchJob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplardock {

/// One job with work that could start now.
struct JobCandidate
{
    std::string job;
    std::string team;
    WallTime due;
    /// Estimated time until the job's remaining items would end if it ran alone now.
    std::chrono::milliseconds remaining { 0 };

    auto operator==(const JobCandidate &) const -> bool = default;
};

/// Pure functions that decide whose batch work starts first. Thread-safe.
namespace BatchOrder {

/// Time that is left once the remaining work is done; negative when the job will be late.
auto slackOf(const JobCandidate &candidate, WallTime now) -> std::chrono::milliseconds;

/// Jobs in the order in which their work should start: less slack first, in steps that double from one minute
/// on; all jobs without slack are equal. Within a step the team with fewer running items goes first, then the
/// job with less slack. Steps keep fairness in force when many jobs are about equally urgent, above all when
/// the fleet is overloaded and all of them are late.
auto sorted(std::vector<JobCandidate> candidates, const std::map<std::string, std::int64_t> &runningByTeam, WallTime now)
    -> std::vector<JobCandidate>;

} // namespace BatchOrder

} // namespace poplardock
