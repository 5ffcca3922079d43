#pragma once

#include "Support/SoakFaults.h"

#include <string>
#include <vector>

namespace poplardock {

/// What the callers and engines of a soak saw that the promises forbid, in words. Pure functions of the records.
class SoakChecks
{
public:
    SoakChecks(const FrontProcesses &fleet, const SoakCallers &callers, const SoakFaults &faults);

    /// Answers that are not the engine's, a "not run" that is untrue, too many runs, and requests without an end.
    [[nodiscard]] auto requestFaults() const -> std::vector<std::string>;
    /// Runs under a key that was withdrawn longer ago than the bound.
    [[nodiscard]] auto withdrawalFaults() const -> std::vector<std::string>;
    /// Windows in which a team ran more than its allowance.
    [[nodiscard]] auto allowanceFaults() const -> std::vector<std::string>;
    /// Items lost, listed twice or changed, runs of refused or cancelled jobs.
    [[nodiscard]] auto jobFaults() const -> std::vector<std::string>;
    /// Requests beyond the limit that an engine has named.
    [[nodiscard]] auto limitFaults() const -> std::vector<std::string>;
    /// Requests that crash engines and were sent to one when the fleet had to know their common part.
    [[nodiscard]] auto crashFaults() const -> std::vector<std::string>;
    /// Work that began at an engine too long after its notice of leave.
    [[nodiscard]] auto leaveFaults() const -> std::vector<std::string>;
    /// Counts of outcomes, for the log.
    [[nodiscard]] auto summary() const -> std::string;

private:
    [[nodiscard]] auto isDisturbed(std::size_t daemon, BootTime begin, BootTime end) const -> bool;
    /// Whether the daemon need not know what the others know.
    [[nodiscard]] auto isExcused(std::size_t daemon, BootTime time) const -> bool;
    [[nodiscard]] auto isAnythingDisturbed(BootTime begin, BootTime end) const -> bool;
    /// The disturbances of that time in words, with times in milliseconds after its begin.
    [[nodiscard]] auto disturbancesBetween(BootTime begin, BootTime end) const -> std::string;
    auto checkRequest(const SoakRequest &request, std::vector<std::string> &faults) const -> void;
    auto checkJob(const SoakJob &job, std::vector<std::string> &faults) const -> void;

    const FrontProcesses &fleet_;
    const SoakCallers &callers_;
    const SoakFaults &faults_;
};

} // namespace poplardock
