#include "Support/DirectoryFleet.h"

namespace poplardock {

DirectoryFleet::DirectoryFleet(const std::vector<std::string> &dataCentres, int perDataCentre, BootTime start)
    : now_(start)
{
    for (const std::string &dataCentre : dataCentres) {
        for (int index = 0; index < perDataCentre; ++index) {
            add(dataCentre + std::to_string(index), dataCentre, 1);
        }
    }
}

auto DirectoryFleet::add(const std::string &name, const std::string &dataCentre, int capacity) -> void
{
    views.emplace(name, PeerDirectory(name, dataCentre, capacity));
    DaemonReport &report = reports[name];
    report.name = name;
    report.dataCentre = dataCentre;
    report.incarnation = "i1";
    report.capacity = capacity;
    // The address of a daemon is its name.
    for (auto &[other, view] : views) {
        view.addMember(name, name, dataCentre, capacity, now_);
        views.at(name).addMember(other, other, reports[other].dataCentre, reports[other].capacity, now_);
    }
    views.at(name).recordMembersListed(now_);
}

auto DirectoryFleet::restart(const std::string &name) -> void
{
    restartWithoutStore(name);
    listMembers(name);
}

auto DirectoryFleet::restartWithoutStore(const std::string &name) -> void
{
    DaemonReport &report = reports.at(name);
    report.incarnation += "'";
    views.erase(name);
    views.emplace(name, PeerDirectory(name, report.dataCentre, report.capacity));
}

auto DirectoryFleet::listMembers(const std::string &name) -> void
{
    for (const auto &[other, view] : views) {
        views.at(name).addMember(other, other, reports[other].dataCentre, reports[other].capacity, now_);
    }
    views.at(name).recordMembersListed(now_);
}

auto DirectoryFleet::now() const -> BootTime
{
    return now_;
}

auto DirectoryFleet::run(Milliseconds time) -> void
{
    for (const BootTime end = now_ + time; now_ < end;) {
        now_ += PeerDirectory::DIGEST_PERIOD;
        step();
    }
}

auto DirectoryFleet::passes(const std::string &kind, const std::string &from, const std::string &to) -> bool
{
    ++messages[kind];
    ++traffic[from];
    if (!views.contains(to) || (isLost && isLost(from, to))) {
        return false;
    }
    ++traffic[to];
    return true;
}

auto DirectoryFleet::step() -> void
{
    ++tick_;
    for (const auto &[name, view] : views) {
        sendReports(name);
    }
    for (const auto &[name, view] : views) {
        sendDigest(name);
    }
    for (const auto &[name, view] : views) {
        sendSummaries(name);
    }
}

auto DirectoryFleet::sendReports(const std::string &name) -> void
{
    PeerDirectory &view = views.at(name);
    DaemonReport report = reports[name];
    report.sequence = tick_;
    report.cancelledJobs = view.ownCancellations(now_);
    report.crashSuspects = view.crashSuspects().states(now_);
    report.upstreamLimits = view.upstreamLimits().states(now_);
    report.coldStatements = view.upstreamLimits().cold().states(now_);
    view.upstreamLimits().cold().setDaemons(view.knownDaemons(now_), view.aliveDaemons(now_).size(), now_);
    view.upstreamLimits().setDaemons(view.aliveDaemons(now_), view.aliveFraction(now_), now_);
    view.recordOwnReport(report, now_);
    const std::vector<std::string> relays = view.relaysOf(report.dataCentre, now_);
    for (const Peer *peer : view.reportTargets(now_)) {
        report.isToBackup = peer->name != relays.front();
        if (passes("report", name, peer->name)) {
            views.at(peer->name).handleReport(report, name, now_);
        }
    }
}

auto DirectoryFleet::sendDigest(const std::string &name) -> void
{
    const PeerDirectory &view = views.at(name);
    const std::vector<std::string> targets = view.digestTargets(tick_, now_);
    if (targets.empty() || !view.isSettled(now_)) {
        return;
    }
    DataCentreDigest digest = view.makeDigest(reports[name], name, now_);
    digest.sequence = tick_;
    for (const std::string &target : targets) {
        if (passes("digest", name, target) && views.at(target).handleDigest(digest, now_)) {
            exchangeRosters(name, target);
        }
    }
}

auto DirectoryFleet::sendSummaries(const std::string &name) -> void
{
    PeerDirectory &view = views.at(name);
    const std::vector<PeerDirectory::Reporter> reporters = view.summaryTargets(tick_, now_);
    if (reporters.empty()) {
        return;
    }
    FleetSummary summary = view.makeSummary(reports[name], name, now_);
    summary.sequence = tick_;
    for (const PeerDirectory::Reporter &reporter : reporters) {
        summary.echoedReport = reporter.sequence;
        const std::string to = reporter.peer->name;
        if (passes("summary", name, to) && views.at(to).handleSummary(summary, now_)) {
            exchangeRosters(name, to);
        }
    }
}

auto DirectoryFleet::exchangeRosters(const std::string &from, const std::string &to) -> void
{
    for (const std::string &dataCentre : views.at(to).missingRosters(from)) {
        const auto roster = views.at(from).rosterOf(dataCentre, reports[from], from, now_);
        if (passes("roster request", to, from) && roster && passes("roster", from, to)) {
            views.at(to).handleRoster(*roster, now_);
        }
    }
}

} // namespace poplardock
