#pragma once

#include "Version/BatchJob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplardock {

/// A job that has work which could start now.
struct JobCandidate
{
    std::string job;
    std::string team;
    WallTime due;
    /// Estimated time to complete the remaining items if the job ran alone from now on.
    std::chrono::milliseconds remaining { 0 };

    auto operator==(const JobCandidate &) const -> bool = default;
};

/// Pure functions that decide which job's items start first. Thread-safe.
namespace BatchOrder {

/// Estimated time between the completion of the job and its due time; negative when the job will be late.
auto slackOf(const JobCandidate &candidate, WallTime now) -> std::chrono::milliseconds;

/// Returns the jobs in the order in which their items should start. Jobs are grouped by slack into urgency levels:
/// level 0 holds all jobs without slack, level 1 those below one minute, and the upper bound doubles with each further
/// level. Within a level, jobs of the team with fewer running items come first, then jobs with less slack. The levels
/// keep the order fair between teams when many jobs are about equally urgent, in particular when the fleet is
/// overloaded and all jobs are late.
auto sorted(std::vector<JobCandidate> candidates, const std::map<std::string, std::int64_t> &runningByTeam, WallTime now)
    -> std::vector<JobCandidate>;

} // namespace BatchOrder

} // namespace poplardock
