#include "Process/Load/AllowanceTable.h"

namespace poplardock {

namespace {

/// Requests that all daemons together may keep above the burst: half of the platform's slack for a count that is
/// kept by many daemons.
constexpr double GRAIN = 10;
/// Demand below this is not worth a line in each report.
constexpr double SMALLEST_DEMAND = 0.01;

} // namespace

auto AllowanceTable::take(const Team &team, BootTime now) -> std::optional<Milliseconds>
{
    const AllowanceLimits limits { team.ratePerSecond, team.burst };
    const auto [entry, isNew] = shares_.try_emplace(team.name, limits, GRAIN, now);
    entry->second.setLimits(limits, now);
    return entry->second.take(now);
}

auto AllowanceTable::demand(BootTime now) -> std::map<std::string, double>
{
    std::map<std::string, double> result;
    for (auto &[team, share] : shares_) {
        const double demand = share.demand(now);
        if (demand >= SMALLEST_DEMAND) {
            result.emplace(team, demand);
        }
    }
    return result;
}

auto AllowanceTable::update(const PeerDirectory &peers, BootTime now) -> void
{
    const int daemons = peers.daemonCount(now);
    for (auto &[team, share] : shares_) {
        share.setOthers(peers.demand(team, now), daemons, now);
    }
}

} // namespace poplardock
