#include "Process/Peers/FleetLoad.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Own reports that are kept: those of some seconds.
constexpr std::size_t MAXIMUM_SENT_REPORTS = 64;

auto addWork(WorkCounts &total, const WorkCounts &work) -> void
{
    for (const auto &[upstream, count] : work) {
        WorkCount &sum = total[upstream];
        sum.online += count.online;
        sum.batch += count.batch;
    }
}

template<typename Value>
auto addValues(std::map<std::string, Value> &total, const std::map<std::string, Value> &values) -> void
{
    for (const auto &[key, value] : values) {
        total[key] += value;
    }
}

template<typename Value>
auto subtract(Value total, const std::map<std::string, Value> &values, const std::string &key) -> Value
{
    const auto found = values.find(key);
    return found == values.end() ? total : std::max<Value>(0, total - found->second);
}

} // namespace

auto FleetLoad::recordOwnReport(const DaemonReport &report, BootTime now) -> void
{
    sent_.push_back({ report, now });
    if (sent_.size() > MAXIMUM_SENT_REPORTS) {
        sent_.pop_front();
    }
}

auto FleetLoad::reportSentAt(std::uint64_t sequence) const -> std::optional<BootTime>
{
    const auto found
        = std::find_if(sent_.rbegin(), sent_.rend(), [sequence](const SentReport &each) { return each.report.sequence == sequence; });
    return found == sent_.rend() ? std::nullopt : std::optional(found->at);
}

auto FleetLoad::applyReport(const DaemonReport &report, BootTime now) -> void
{
    reports_[report.name] = { report, now };
}

auto FleetLoad::applyDigest(const DataCentreDigest &digest, BootTime now) -> void
{
    digests_[digest.dataCentre] = { digest, now };
}

auto FleetLoad::applySummary(const FleetSummary &summary, BootTime now) -> void
{
    summary_ = { summary, now };
}

auto FleetLoad::removeExpired(BootTime now) -> void
{
    std::erase_if(reports_, [now](const auto &each) { return now - each.second.at > DEMAND_RETENTION; });
    std::erase_if(digests_, [now](const auto &each) { return now - each.second.at > DEMAND_RETENTION; });
}

auto FleetLoad::recentDigests(Milliseconds maximumAge, BootTime now) const -> std::vector<const DataCentreDigest *>
{
    std::vector<const DataCentreDigest *> recent;
    for (const auto &[dataCentre, received] : digests_) {
        if (now - received.at < maximumAge) {
            recent.push_back(&received.message);
        }
    }
    return recent;
}

auto FleetLoad::dataCentreSums(const DaemonReport &own, BootTime now) const -> LoadSums
{
    LoadSums sums = own;
    for (const auto &[name, received] : reports_) {
        if (now - received.at < LIVENESS_TIMEOUT) {
            addWork(sums.work, received.message.work);
        }
        if (now - received.at < DEMAND_RETENTION) {
            addValues(sums.demand, received.message.demand);
        }
    }
    return sums;
}

auto FleetLoad::fleetSums(const DaemonReport &own, BootTime now) const -> LoadSums
{
    LoadSums sums = dataCentreSums(own, now);
    for (const DataCentreDigest *digest : recentDigests(LIVENESS_TIMEOUT, now)) {
        addWork(sums.work, digest->work);
    }
    for (const DataCentreDigest *digest : recentDigests(DEMAND_RETENTION, now)) {
        addValues(sums.demand, digest->demand);
    }
    return sums;
}

auto FleetLoad::includedOwnReport() const -> const DaemonReport *
{
    const auto found = std::find_if(
        sent_.rbegin(), sent_.rend(), [this](const SentReport &each) { return each.report.sequence <= summary_->message.echoedReport; });
    return found == sent_.rend() ? nullptr : &found->report;
}

auto FleetLoad::work(bool isFirstRelay, BootTime now) const -> WorkCounts
{
    if (isFirstRelay) {
        return fleetSums({}, now).work;
    }
    if (!summary_ || now - summary_->at >= LIVENESS_TIMEOUT) {
        return {};
    }
    WorkCounts work = summary_->message.work;
    if (const DaemonReport *own = includedOwnReport()) {
        for (const auto &[upstream, count] : own->work) {
            const auto found = work.find(upstream);
            if (found != work.end()) {
                found->second.online = std::max(0, found->second.online - count.online);
                found->second.batch = std::max(0, found->second.batch - count.batch);
            }
        }
    }
    return work;
}

auto FleetLoad::demand(bool isFirstRelay, BootTime now) const -> std::map<std::string, double>
{
    if (isFirstRelay) {
        return fleetSums({}, now).demand;
    }
    if (!summary_ || now - summary_->at >= DEMAND_RETENTION) {
        return {};
    }
    std::map<std::string, double> demand = summary_->message.demand;
    if (const DaemonReport *own = includedOwnReport()) {
        for (auto &[team, requests] : demand) {
            requests = subtract(requests, own->demand, team);
        }
    }
    return demand;
}

auto FleetLoad::localBatchHolders(const std::string &upstream, BootTime now) const -> std::vector<std::string>
{
    std::vector<std::string> holders;
    for (const auto &[name, received] : reports_) {
        const auto found = received.message.work.find(upstream);
        if (now - received.at < LIVENESS_TIMEOUT && found != received.message.work.end() && found->second.batch > 0) {
            holders.push_back(name);
        }
    }
    return holders;
}

auto FleetLoad::batchDataCentres(const std::string &upstream, BootTime now) const -> std::vector<std::string>
{
    std::vector<std::string> dataCentres;
    for (const DataCentreDigest *digest : recentDigests(LIVENESS_TIMEOUT, now)) {
        const auto found = digest->work.find(upstream);
        if (found != digest->work.end() && found->second.batch > 0) {
            dataCentres.push_back(digest->dataCentre);
        }
    }
    return dataCentres;
}

} // namespace poplardock
