#include "Process/UpstreamTable.h"

#include "Process/Log.h"
#include "Request/UpstreamChoice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds POLL_INTERVAL { 1000 };
/// Each poll interval varies by up to this fraction in both directions, so that daemons do not poll in step.
constexpr double POLL_JITTER = 0.2;
constexpr Milliseconds POLL_TIMEOUT { 1000 };
constexpr Milliseconds POLLER_TICK { 20 };
/// Several, so that upstreams that hang until the time-out do not delay the polls of the others.
constexpr int POLLER_COUNT = 4;
constexpr int FAILED_POLLS_FOR_UNREACHABLE = 2;

/// Longer than an upstream runs on after it has said that it leaves.
constexpr std::chrono::minutes LEAVING_RETENTION { 10 };

constexpr int FAILURES_FOR_EJECTION = 3;
constexpr Milliseconds FIRST_EJECTION { 1000 };
constexpr Milliseconds MAXIMUM_EJECTION { 30000 };
constexpr int MAXIMUM_EJECTION_DOUBLINGS = 5;

/// Weight of a new sample in the moving average of the service time.
constexpr double SERVICE_WEIGHT = 0.1;
/// The average of the time to the first token follows fast samples quickly and slow ones slowly, because a slow sample
/// often includes a wait for a slot, which is predicted separately.
constexpr double FASTER_FIRST_TOKEN_WEIGHT = 0.3;
constexpr double SLOWER_FIRST_TOKEN_WEIGHT = 0.05;
constexpr double FEWER_SLOTS_WEIGHT = 0.1;
/// Bounds of the samples that the 95th percentile of the time to the first token covers.
constexpr std::size_t MAXIMUM_FIRST_TOKEN_SAMPLES = 128;
constexpr Milliseconds FIRST_TOKEN_WINDOW { 2000 };

auto updateAverage(const std::optional<double> &average, double sample, double weight) -> double
{
    return average ? *average + weight * (sample - *average) : sample;
}

/// While requests wait, the running ones occupy all slots. A report may be taken between the arrival of a request and
/// its start, so the estimate follows lower counts only slowly.
auto updateSlotEstimate(UpstreamLoad &load) -> void
{
    const double running = std::max(1, load.report.running);
    if (load.slots && running >= *load.slots) {
        load.slots = running;
    } else if (load.report.waiting > 0) {
        load.slots = updateAverage(load.slots, running, FEWER_SLOTS_WEIGHT);
    }
}

} // namespace

UpstreamTable::UpstreamTable(const FleetState &state)
    : state_(state)
    , random_(std::random_device()())
{
}

UpstreamTable::~UpstreamTable()
{
    stopPolling();
}

auto UpstreamTable::entryOf(const std::string &name) -> Entry &
{
    const auto [entry, isNew] = entries_.try_emplace(name);
    if (isNew) {
        entry->second.load.name = name;
    }
    return entry->second;
}

auto UpstreamTable::isUnreachable(const Entry &entry) -> bool
{
    return entry.failedPolls >= FAILED_POLLS_FOR_UNREACHABLE;
}

auto UpstreamTable::firstTokenP95(const Entry &entry, TimePoint now) -> double
{
    std::vector<double> recent;
    for (const FirstTokenSample &sample : entry.firstTokens) {
        if (now - sample.at <= FIRST_TOKEN_WINDOW) {
            recent.push_back(sample.milliseconds);
        }
    }
    if (recent.empty()) {
        return 0;
    }
    const auto rank = recent.begin() + static_cast<std::ptrdiff_t>(recent.size() * 95 / 100);
    std::nth_element(recent.begin(), rank, recent.end());
    return *rank;
}

auto UpstreamTable::snapshotOf(const std::string &upstream) const -> UpstreamLoad
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        UpstreamLoad unknown;
        unknown.name = upstream;
        return unknown;
    }
    const TimePoint now = Clock::now();
    UpstreamLoad load = snapshotOfEntry(found->second, false, now);
    load.firstTokenP95Ms = firstTokenP95(found->second, now);
    return load;
}

auto UpstreamTable::isLeaving(const Entry &entry, TimePoint now) -> bool
{
    return entry.leaving && now < entry.leaving->until;
}

auto UpstreamTable::isLeaving(const std::string &upstream, TimePoint now) const -> bool
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(upstream);
    return found != entries_.end() && isLeaving(found->second, now);
}

auto UpstreamTable::snapshotOfEntry(const Entry &entry, bool isDraining, TimePoint now) -> UpstreamLoad
{
    UpstreamLoad load = entry.load;
    load.isDraining = isDraining || isLeaving(entry, now);
    if (isUnreachable(entry)) {
        load.ejectedUntil = TimePoint::max();
    }
    return load;
}

auto UpstreamTable::snapshot(const std::vector<const Upstream *> &upstreams) const -> std::vector<UpstreamLoad>
{
    std::vector<UpstreamLoad> loads;
    loads.reserve(upstreams.size());
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    for (const Upstream *upstream : upstreams) {
        const auto found = entries_.find(upstream->name);
        if (found != entries_.end()) {
            loads.push_back(snapshotOfEntry(found->second, upstream->isDraining, now));
            continue;
        }
        UpstreamLoad unknown;
        unknown.name = upstream->name;
        unknown.isDraining = upstream->isDraining;
        loads.push_back(std::move(unknown));
    }
    return loads;
}

auto UpstreamTable::choose(const std::vector<const Upstream *> &upstreams, const std::set<std::string> &excluded, TimePoint now)
    -> const Upstream *
{
    std::uint64_t random = 0;
    {
        const std::lock_guard lock(mutex_);
        random = random_();
    }
    const auto index = chooseUpstream(snapshot(upstreams), excluded, random, now);
    return index ? upstreams[*index] : nullptr;
}

auto UpstreamTable::recordStart(const std::string &upstream, WorkKind kind) -> void
{
    const std::lock_guard lock(mutex_);
    UpstreamLoad &load = entryOf(upstream).load;
    ++(kind == WorkKind::Online ? load.ownOnline : load.ownBatch);
}

auto UpstreamTable::recordFinish(const std::string &upstream, WorkKind kind, const RequestOutcome &outcome, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    Entry &entry = entryOf(upstream);
    --(kind == WorkKind::Online ? entry.load.ownOnline : entry.load.ownBatch);
    if (outcome.isFailure) {
        if (++entry.failures >= FAILURES_FOR_EJECTION && entry.load.ejectedUntil <= now) {
            const Milliseconds duration = FIRST_EJECTION * (1 << std::min(entry.ejections, MAXIMUM_EJECTION_DOUBLINGS));
            entry.load.ejectedUntil = now + std::min(duration, MAXIMUM_EJECTION);
            ++entry.ejections;
        }
        return;
    }
    if (outcome.serviceMs) {
        entry.failures = 0;
        entry.ejections = 0;
        entry.load.ejectedUntil = {};
        entry.load.serviceMs = updateAverage(entry.load.serviceMs, *outcome.serviceMs, SERVICE_WEIGHT);
        entry.load.lastSampleAt = now;
    }
    if (outcome.firstTokenMs) {
        entry.firstTokens.push_back({ now, *outcome.firstTokenMs + outcome.waitMs });
        if (entry.firstTokens.size() > MAXIMUM_FIRST_TOKEN_SAMPLES) {
            entry.firstTokens.pop_front();
        }
        const bool isFaster = entry.load.firstTokenMs && *outcome.firstTokenMs < *entry.load.firstTokenMs;
        const double weight = isFaster ? FASTER_FIRST_TOKEN_WEIGHT : SLOWER_FIRST_TOKEN_WEIGHT;
        entry.load.firstTokenMs = updateAverage(entry.load.firstTokenMs, *outcome.firstTokenMs, weight);
    }
}

auto UpstreamTable::recordReport(const std::string &upstream, const LoadReport &report, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    UpstreamLoad &load = entryOf(upstream).load;
    load.report = report;
    load.reportedAt = now;
    load.ownAtReport = load.ownOnline + load.ownBatch;
    updateSlotEstimate(load);
}

auto UpstreamTable::recordLeaving(const std::string &upstream, bool isLeaving, TimePoint sentAt, TimePoint now) -> bool
{
    {
        const std::lock_guard lock(mutex_);
        std::optional<LeavingMark> &mark = entryOf(upstream).leaving;
        const bool isMarked = mark && now < mark->until;
        if (isLeaving) {
            mark = LeavingMark { isMarked ? mark->since : now, now + LEAVING_RETENTION };
        }
        if (isLeaving == isMarked) {
            return false;
        }
        if (!isLeaving && sentAt <= mark->since) {
            return false;
        }
        if (!isLeaving) {
            mark.reset();
        }
    }
    Log::warning(Part::Upstream, absl::StrCat("upstream ", upstream, isLeaving ? " says that it leaves" : " runs again after it left"));
    return isLeaving;
}

auto UpstreamTable::toJson(TimePoint now) const -> JsonObject::Ptr
{
    JsonObject::Ptr upstreams = new JsonObject;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, entry] : entries_) {
        JsonObject::Ptr object = new JsonObject;
        object->set("online", entry.load.ownOnline);
        object->set("batch", entry.load.ownBatch);
        if (entry.load.reportedAt) {
            object->set("running", entry.load.report.running);
            object->set("waiting", entry.load.report.waiting);
            object->set("report_age_ms", std::chrono::duration_cast<Milliseconds>(now - *entry.load.reportedAt).count());
        }
        if (entry.load.serviceMs) {
            object->set("service_ms", *entry.load.serviceMs);
        }
        if (entry.load.firstTokenMs) {
            object->set("first_token_ms", *entry.load.firstTokenMs);
        }
        object->set("failures", entry.failures);
        object->set("ejected", entry.load.ejectedUntil > now);
        object->set("unreachable", isUnreachable(entry));
        object->set("leaving", isLeaving(entry, now));
        upstreams->set(name, object);
    }
    return upstreams;
}

auto UpstreamTable::startPolling() -> void
{
    for (int index = 0; index < POLLER_COUNT; ++index) {
        pollers_.emplace_back([this](const std::stop_token &stop) { runPoller(stop); });
    }
}

auto UpstreamTable::stopPolling() -> void
{
    for (std::jthread &poller : pollers_) {
        poller.request_stop();
    }
    pollers_.clear();
}

auto UpstreamTable::runPoller(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        if (const auto due = beginDuePoll(Clock::now())) {
            poll(*due);
            continue;
        }
        std::unique_lock lock(mutex_);
        stopping_.wait_for(lock, stop, POLLER_TICK, [] { return false; });
    }
}

auto UpstreamTable::evictRemoved(const Configuration &configuration) -> void
{
    std::erase_if(entries_, [&configuration](const auto &item) {
        const Entry &entry = item.second;
        const bool isInUse = entry.isPolling || entry.load.ownOnline + entry.load.ownBatch > 0;
        return !isInUse && configuration.findUpstream(item.first) == nullptr;
    });
}

auto UpstreamTable::closeRemovedClients(const FleetVersion &version) -> void
{
    if (clientsRevision_.exchange(version.revision) == version.revision) {
        return;
    }
    std::vector<std::string> addresses;
    for (const Upstream &upstream : version.configuration.data().upstreams) {
        addresses.push_back(upstream.address);
    }
    clients_.retain(addresses);
}

auto UpstreamTable::beginDuePoll(TimePoint now) -> std::optional<Poll>
{
    const FleetVersionPointer version = state_.current();
    closeRemovedClients(*version);
    const std::lock_guard lock(mutex_);
    evictRemoved(version->configuration);
    for (const Upstream &upstream : version->configuration.data().upstreams) {
        Entry &entry = entryOf(upstream.name);
        if (entry.isPolling || entry.nextPollAt > now) {
            continue;
        }
        entry.isPolling = true;
        std::uniform_real_distribution<double> spread(1 - POLL_JITTER, 1 + POLL_JITTER);
        entry.nextPollAt = now + std::chrono::duration_cast<Duration>(POLL_INTERVAL * spread(random_));
        return Poll { upstream.name, upstream.address, upstream.credential };
    }
    return std::nullopt;
}

auto UpstreamTable::poll(const Poll &due) -> void
{
    JsonClient::Call call { "GET", "/load", {}, {}, POLL_TIMEOUT };
    if (!due.credential.empty()) {
        call.headers["Authorization"] = absl::StrCat("Bearer ", due.credential);
    }
    const TimePoint sentAt = Clock::now();
    const CallResult result = clients_.clientFor(due.address)->call(call);
    const auto *response = std::get_if<HttpResponse>(&result);
    const auto report = response != nullptr && response->status == 200 ? parseLoadReport(response->body) : std::nullopt;
    if (report) {
        const TimePoint now = Clock::now();
        recordReport(due.name, *report, now);
        recordLeaving(due.name, report->isLeaving, sentAt, now);
    }
    bool wasUnreachable = false;
    bool isNowUnreachable = false;
    {
        const std::lock_guard lock(mutex_);
        Entry &entry = entryOf(due.name);
        wasUnreachable = isUnreachable(entry);
        entry.isPolling = false;
        // An upstream that responds without a valid report is reachable; it is chosen without up-to-date load.
        entry.failedPolls = response != nullptr ? 0 : entry.failedPolls + 1;
        isNowUnreachable = isUnreachable(entry);
    }
    if (wasUnreachable != isNowUnreachable) {
        const char *change = isNowUnreachable ? " cannot be reached" : " is reachable again";
        Log::warning(Part::Upstream, absl::StrCat("upstream ", due.name, change));
    }
}

InFlightRequest::InFlightRequest(UpstreamTable &table, std::string upstream, WorkKind kind)
    : table_(table)
    , upstream_(std::move(upstream))
    , kind_(kind)
{
    table_.recordStart(upstream_, kind_);
}

InFlightRequest::~InFlightRequest()
{
    table_.recordFinish(upstream_, kind_, outcome_, Clock::now());
}

auto InFlightRequest::setOutcome(const RequestOutcome &outcome) -> void
{
    outcome_ = outcome;
}

} // namespace poplardock
