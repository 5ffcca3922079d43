#pragma once

#include "Support/PlatformFleet.h"

namespace poplardock {

/// Time in which a small job of a test ends.
inline constexpr Milliseconds RUN_TIME { 8000 };

/// Runs of an item at all engines.
inline auto totalRuns(const PlatformFleet &fleet, const std::string &itemId) -> int
{
    int total = 0;
    for (const auto &engine : fleet.engines) {
        total += engine->runsOf(itemId);
    }
    return total;
}

/// Waits until the daemon lists that many results of a job of the team with "key1", for RUN_TIME at most.
inline auto awaitResults(PlatformFleet &fleet, std::size_t daemon, const std::string &job, std::size_t count) -> std::vector<JobResult>
{
    std::vector<JobResult> results;
    const BootTime deadline = BootClock::now() + RUN_TIME;
    while (results.size() < count && BootClock::now() < deadline) {
        results = fleet.results(daemon, job, "key1");
        fleet.runFor(Milliseconds(50));
    }
    return results;
}

} // namespace poplardock
