#pragma once

#include "Process/Peers/DaemonReport.h"

#include <deque>
#include <optional>

namespace poplardock {

/// Work and demand at the other daemons. The first relay adds up the reports of its data centre and the digests of the
/// others; any other daemon takes the sums from its relay's summaries and subtracts its own part.
/// Times are passed in, so that tests need no clock. Thread safety: one thread.
class FleetLoad
{
public:
    /// A daemon, data centre or relay that was silent for this time is not counted as alive.
    static constexpr Milliseconds LIVENESS_TIMEOUT { 1500 };
    /// The demand of a silent daemon counts longer, since it may only be partitioned and still admit requests.
    static constexpr Milliseconds DEMAND_RETENTION { 15000 };

    /// Remembers a report that this daemon has sent, to subtract it from summaries that include it.
    auto recordOwnReport(const DaemonReport &report, BootTime now) -> void;
    /// When the report with that sequence was sent; unset if it is unknown or too old.
    [[nodiscard]] auto reportSentAt(std::uint64_t sequence) const -> std::optional<BootTime>;
    /// Precondition for these three: the message is newer than the last one of its sender.
    auto applyReport(const DaemonReport &report, BootTime now) -> void;
    auto applyDigest(const DataCentreDigest &digest, BootTime now) -> void;
    auto applySummary(const FleetSummary &summary, BootTime now) -> void;
    /// Drops the reports and digests that do not count any more.
    auto removeExpired(BootTime now) -> void;

    /// Sums over the live daemons of this data centre, "own" included.
    [[nodiscard]] auto dataCentreSums(const DaemonReport &own, BootTime now) const -> LoadSums;
    /// Sums over the whole fleet, "own" included, as a relay knows them.
    [[nodiscard]] auto fleetSums(const DaemonReport &own, BootTime now) const -> LoadSums;

    /// Work in flight at all daemons but this one. Pass whether this daemon is the first relay of its data centre.
    [[nodiscard]] auto work(bool isFirstRelay, BootTime now) const -> WorkCounts;
    /// Requests per second at all daemons but this one, by team.
    [[nodiscard]] auto demand(bool isFirstRelay, BootTime now) const -> std::map<std::string, double>;
    /// Daemons of this data centre that report batch work at an upstream.
    [[nodiscard]] auto localBatchHolders(const std::string &upstream, BootTime now) const -> std::vector<std::string>;
    /// Data centres whose digest has batch work at an upstream.
    [[nodiscard]] auto batchDataCentres(const std::string &upstream, BootTime now) const -> std::vector<std::string>;

private:
    template<typename Message>
    struct Received
    {
        Message message;
        BootTime at;
    };
    struct SentReport
    {
        DaemonReport report;
        BootTime at;
    };

    /// The digest that speaks for each data centre: the one of the relay that sent last.
    [[nodiscard]] auto recentDigests(Milliseconds maximumAge, BootTime now) const -> std::vector<const DataCentreDigest *>;
    /// The own report that is included in the last summary.
    [[nodiscard]] auto includedOwnReport() const -> const DaemonReport *;

    std::deque<SentReport> sent_;
    /// The last report of each daemon of this data centre that reports here.
    std::map<std::string, Received<DaemonReport>> reports_;
    /// The last digest of each data centre.
    std::map<std::string, Received<DataCentreDigest>> digests_;
    std::optional<Received<FleetSummary>> summary_;
};

} // namespace poplardock
