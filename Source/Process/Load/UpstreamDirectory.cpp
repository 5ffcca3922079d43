#include "Process/Load/UpstreamDirectory.h"

#include "Request/Slowdown.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Weight of a new sample in the moving averages of an upstream's response times.
constexpr double SAMPLE_WEIGHT = 0.2;
/// Assumed while the group has no samples: an engine's time to first token, and the duration of a stream of 35 events.
constexpr double DEFAULT_FIRST_EVENT_MS = 20;
constexpr double DEFAULT_SERVICE_MS = 500;
/// Duration of the ejection after the first failure, and how often it doubles at most. A crashed upstream is back after
/// some seconds.
constexpr Milliseconds INITIAL_EJECTION { 400 };
/// Covers the time in which the entry of an upstream that has ended is removed.
constexpr Milliseconds MISDIRECTED_EJECTION { 3000 };
constexpr int MAX_EJECTION_DOUBLINGS = 3;
/// For an upstream that does not state its slots.
constexpr int DEFAULT_SLOTS = 4;

auto movingAverage(std::optional<double> average, double sample) -> double
{
    return average ? *average + SAMPLE_WEIGHT * (sample - *average) : sample;
}

auto countOf(const WorkCounts &counts, const std::string &name) -> WorkCount
{
    const auto found = counts.find(name);
    return found == counts.end() ? WorkCount() : found->second;
}

} // namespace

UpstreamDirectory::UpstreamDirectory(std::string dataCentre, UpstreamLimits &limits, const LeavingUpstreams &leaving)
    : dataCentre_(std::move(dataCentre))
    , limits_(limits)
    , leaving_(leaving)
{
}

auto UpstreamDirectory::put(const Upstream &upstream) -> void
{
    Entry &entry = entries_[upstream.name];
    entry.upstream = upstream;
    entry.registeredSlots = upstream.slots;
    entry.usableUntil.reset();
}

auto UpstreamDirectory::recordColdEntry(const Upstream &upstream, std::optional<Milliseconds> remaining, bool isFirstList, BootTime now)
    -> void
{
    limits_.cold().recordEntry(upstream.name, upstream.group, upstream.startedAtMs, remaining, isFirstList || !hasTraffic_, now);
}

auto UpstreamDirectory::markDataCentreCold(const std::string &dataCentre, BootTime now) -> void
{
    for (const auto &[name, entry] : entries_) {
        if (entry.upstream.dataCentre == dataCentre) {
            limits_.cold().recordDoubt(name, "data centre", now);
        }
    }
}

auto UpstreamDirectory::markSuspect(const std::string &name, BootTime usableUntil) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.upstream.isDraining) {
        entries_.erase(found);
        return;
    }
    found->second.usableUntil = found->second.usableUntil.value_or(usableUntil);
}

auto UpstreamDirectory::remove(const std::string &name) -> void
{
    entries_.erase(name);
}

auto UpstreamDirectory::removeExpired(BootTime now) -> void
{
    std::erase_if(entries_, [now](const auto &each) { return each.second.usableUntil && *each.second.usableUntil <= now; });
    limits_.cold().recordRemovals([this](const std::string &name) { return entries_.contains(name); }, now);
}

auto UpstreamDirectory::find(const std::string &name) const -> const Upstream *
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second.upstream;
}

auto UpstreamDirectory::groupMean(const std::string &group, std::optional<double> Entry::*member, double fallback) const -> double
{
    double sum = 0;
    int count = 0;
    for (const auto &[name, entry] : entries_) {
        if (entry.upstream.group == group && entry.*member) {
            sum += *(entry.*member);
            ++count;
        }
    }
    return count == 0 ? fallback : sum / count;
}

auto UpstreamDirectory::setEvacuated(std::set<std::string> dataCentres) -> void
{
    evacuated_ = std::move(dataCentres);
}

auto UpstreamDirectory::isEvacuated(const std::string &dataCentre) const -> bool
{
    return evacuated_.contains(dataCentre);
}

auto UpstreamDirectory::knowsDataCentre(const std::string &dataCentre) const -> bool
{
    return std::any_of(
        entries_.begin(), entries_.end(), [&dataCentre](const auto &each) { return each.second.upstream.dataCentre == dataCentre; });
}

auto UpstreamDirectory::isUsable(const Entry &entry, BootTime now) const -> bool
{
    return !isEvacuated(entry.upstream.dataCentre) && isServing(entry, now);
}

auto UpstreamDirectory::isWholeGroupEvacuated(const std::string &group, BootTime now) const -> bool
{
    bool hasEvacuated = false;
    for (const auto &[name, entry] : entries_) {
        if (entry.upstream.group != group || !isServing(entry, now)) {
            continue;
        }
        if (!isEvacuated(entry.upstream.dataCentre)) {
            return false;
        }
        hasEvacuated = true;
    }
    return hasEvacuated;
}

auto UpstreamDirectory::isServing(const Entry &entry, BootTime now) const -> bool
{
    return !entry.upstream.isDraining && (!entry.usableUntil || now < *entry.usableUntil) && !leaving_.isLeaving(entry.upstream, now);
}

auto UpstreamDirectory::mayBeUsed(const std::string &name, const std::string &address, BootTime now) const -> bool
{
    const auto found = entries_.find(name);
    return found != entries_.end() && found->second.upstream.address == address && isUsable(found->second, now);
}

auto UpstreamDirectory::isWholeGroupLeaving(const std::string &group, BootTime now) const -> bool
{
    bool hasLeaving = false;
    for (const auto &[name, entry] : entries_) {
        if (entry.upstream.group != group) {
            continue;
        }
        if (!entry.upstream.isDraining && !leaving_.isLeaving(entry.upstream, now)) {
            return false;
        }
        hasLeaving = true;
    }
    return hasLeaving;
}

auto UpstreamDirectory::candidates(const std::string &group, BootTime now, const RegionFilter &regions) const -> std::vector<UpstreamView>
{
    const double groupFirstEventMs = groupMean(group, &Entry::firstEventMs, DEFAULT_FIRST_EVENT_MS);
    const double groupServiceMs = groupMean(group, &Entry::serviceMs, DEFAULT_SERVICE_MS);
    std::vector<UpstreamView> views;
    for (const auto &[name, entry] : entries_) {
        if (entry.upstream.group != group || !isUsable(entry, now) || !regions.allows(entry.upstream.dataCentre)) {
            continue;
        }
        const WorkCount own = countOf(ownWork_, name);
        const WorkCount peers = countOf(peerWork_, name);
        UpstreamView view;
        view.name = name;
        view.slots = entry.upstream.slots > 0 ? entry.upstream.slots : DEFAULT_SLOTS;
        view.online = own.online + peers.online;
        view.batch = own.batch + peers.batch;
        view.ownBatch = own.batch;
        view.firstEventMs = entry.firstEventMs.value_or(groupFirstEventMs);
        view.serviceMs = entry.serviceMs.value_or(groupServiceMs);
        view.slowdown = Slowdown::expectedAfter(entry.slowdown, entry.meanSlowdown, millisecondsBetween(entry.slowdownAt, now));
        view.meanSlowdown = entry.meanSlowdown;
        view.isLocal = entry.upstream.dataCentre == dataCentre_;
        view.isSuspect = entry.usableUntil.has_value();
        view.ejectedUntil = entry.ejectedUntil;
        updateLimits(view, now);
        views.push_back(std::move(view));
    }
    return views;
}

auto UpstreamDirectory::updateLimits(UpstreamView &view, BootTime now) const -> void
{
    const ColdUpstreams::Use cold = limits_.cold().useOf(view.name, now);
    view.isCold = cold.isCold;
    view.usableAt = std::max(limits_.usableAt(view.name), cold.usableAt);
    view.spareAt = std::max(limits_.spareAt(view.name), cold.spareAt);
    view.warmUpAt = cold.warmUpAt;
}

auto UpstreamDirectory::size() const -> std::size_t
{
    return entries_.size();
}

auto UpstreamDirectory::recordStart(const std::string &name, Work work) -> void
{
    hasTraffic_ = true;
    WorkCount &count = ownWork_[name];
    ++(work == Work::Online ? count.online : count.batch);
}

auto UpstreamDirectory::recordEnd(const std::string &name, Work work) -> void
{
    const auto found = ownWork_.find(name);
    if (found == ownWork_.end()) {
        return;
    }
    --(work == Work::Online ? found->second.online : found->second.batch);
    if (found->second == WorkCount()) {
        ownWork_.erase(found);
    }
}

auto UpstreamDirectory::ownWork() const -> const WorkCounts &
{
    return ownWork_;
}

auto UpstreamDirectory::setPeerWork(WorkCounts counts) -> void
{
    peerWork_ = std::move(counts);
    hasTraffic_ = hasTraffic_ || !peerWork_.empty();
}

auto UpstreamDirectory::recordSlots(const std::string &name, int slots) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end() || slots <= 0) {
        return;
    }
    Entry &entry = found->second;
    // A spoilt figure must not make this daemon send far more than the upstream has registered slots for.
    entry.upstream.slots = entry.registeredSlots > 0 ? std::min(slots, entry.registeredSlots) : slots;
}

auto UpstreamDirectory::recordSlowdown(const std::string &name, double slowdown, BootTime now) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        Entry &entry = found->second;
        entry.meanSlowdown = Slowdown::meanAfter(entry.meanSlowdown, slowdown, millisecondsBetween(entry.slowdownAt, now));
        entry.slowdown = slowdown;
        entry.slowdownAt = now;
    }
}

auto UpstreamDirectory::recordFirstEvent(const std::string &name, double milliseconds, double slowdown) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        Entry &entry = found->second;
        entry.firstEventMs = movingAverage(entry.firstEventMs, milliseconds / slowdown);
    }
}

auto UpstreamDirectory::recordServiceTime(const std::string &name, double milliseconds, double slowdown) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        Entry &entry = found->second;
        entry.serviceMs = movingAverage(entry.serviceMs, Slowdown::usualTimeOf(milliseconds, slowdown, entry.meanSlowdown));
    }
}

auto UpstreamDirectory::recordSuccess(const std::string &name) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        found->second.failures = 0;
        found->second.ejectedUntil = {};
    }
}

auto UpstreamDirectory::recordFailure(const std::string &name, BootTime now) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        Entry &entry = found->second;
        entry.ejectedUntil = now + INITIAL_EJECTION * (1 << std::min(entry.failures, MAX_EJECTION_DOUBLINGS));
        ++entry.failures;
    }
}

auto UpstreamDirectory::recordMisdirected(const std::string &name, BootTime now) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        found->second.ejectedUntil = std::max(found->second.ejectedUntil, now + MISDIRECTED_EJECTION);
    }
}

} // namespace poplardock
