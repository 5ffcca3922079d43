#include "Process/BatchDispatcher.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds SCHEDULE_INTERVAL { 20 };
constexpr Milliseconds STORE_INTERVAL { 20 };
constexpr Milliseconds FIRST_BACKOFF { 250 };
constexpr Milliseconds MAXIMUM_BACKOFF { 10000 };
constexpr Milliseconds FIRST_STORE_BACKOFF { 100 };
constexpr Milliseconds MAXIMUM_STORE_BACKOFF { 2000 };
constexpr std::chrono::minutes REMOVAL_INTERVAL { 5 };
/// Enough that an upstream can run as many items as its limit allows while the last items of one chunk run.
constexpr int HELD_CHUNKS_PER_UPSTREAM = 3;
constexpr int MAXIMUM_READS_PER_LEASE = 4;
constexpr int MAXIMUM_RELEASE_ATTEMPTS = 5;
/// Consecutive failures after which chunks are not held for an upstream any longer, so that other daemons can run them.
constexpr int FAILURES_FOR_RELEASE = 3;
/// Items marked as started beyond those that can start now, so that one write serves several items. Kept small, since
/// all of them end as ItemMayHaveRun when this daemon is lost.
constexpr int STARTS_AHEAD = 3;
constexpr double DEFAULT_FIRST_TOKEN_TARGET_MS = 1000;
constexpr double INITIAL_ITEM_SECONDS = 1;
constexpr double ITEM_SECONDS_WEIGHT = 0.1;

auto poolOf(const BatchJob &job) -> const std::string &
{
    return job.model.empty() ? job.path : job.model;
}

auto contains(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto totalsOf(const BatchChunk &chunk) -> ChunkTotals
{
    return { chunk.count(ItemState::Done), chunk.count(ItemState::Failed) };
}

auto targetOf(const Configuration &configuration) -> double
{
    double target = 0;
    for (const ServiceClass &entry : configuration.data().classes) {
        if (entry.kind == WorkKind::Online && (target == 0 || static_cast<double>(entry.firstTokenMs) < target)) {
            target = static_cast<double>(entry.firstTokenMs);
        }
    }
    return target == 0 ? DEFAULT_FIRST_TOKEN_TARGET_MS : target;
}

auto currentWallTime() -> WallTime
{
    return std::chrono::time_point_cast<Milliseconds>(WallClock::now());
}

auto isStoreUnreachable(const absl::Status &status) -> bool
{
    return absl::IsUnavailable(status) || absl::IsUnknown(status) || absl::IsResourceExhausted(status);
}

} // namespace

BatchDispatcher::BatchDispatcher(JobStore &store, const FleetState &fleet, Metrics &metrics, Options options, Hooks hooks)
    : store_(store)
    , fleet_(fleet)
    , metrics_(metrics)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , random_(stableHash(fleet.memberName()))
{
}

BatchDispatcher::~BatchDispatcher()
{
    stop();
}

auto BatchDispatcher::start() -> void
{
    for (int index = 0; index < options_.threads; ++index) {
        workers_.emplace_back([this](const std::stop_token &stop) { workerLoop(stop); });
    }
    scheduler_ = std::jthread([this](const std::stop_token &stop) { scheduleLoop(stop); });
    storeThread_ = std::jthread([this](const std::stop_token &stop) { storeLoop(stop); });
}

auto BatchDispatcher::stop() -> void
{
    {
        std::unique_lock lock(mutex_);
        if (isStopping_) {
            return;
        }
        isStopping_ = true;
        for (auto &[name, state] : upstreams_) {
            abortAttempts(state, static_cast<int>(state.attempts.size()));
        }
        attemptsChanged_.wait_for(lock, options_.drainTimeout, [this] { return attemptCount_ == 0; });
        for (auto &[name, state] : upstreams_) {
            for (const AttemptPointer &attempt : state.attempts) {
                attempt->stop.request_stop();
            }
        }
        attemptsChanged_.wait(lock, [this] { return attemptCount_ == 0; });
    }
    for (std::jthread *thread : { &scheduler_, &storeThread_ }) {
        thread->request_stop();
    }
    for (std::jthread &worker : workers_) {
        worker.request_stop();
    }
    {
        const std::lock_guard lock(mutex_);
        scheduleChanged_.notify_all();
        queueChanged_.notify_all();
    }
    workers_.clear();
    scheduler_ = {};
    storeThread_ = {};
    for (const HeldChunkPointer &held : heldChunks()) {
        for (int attempt = 0; attempt < MAXIMUM_RELEASE_ATTEMPTS && !releaseChunk(held); ++attempt) {
            std::this_thread::sleep_for(FIRST_STORE_BACKOFF);
        }
    }
    recordEndedChunks();
}

auto BatchDispatcher::preempt(const std::string &upstream) -> void
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || !found->second.isServed) {
        return;
    }
    UpstreamState &state = found->second;
    abortAttempts(state, state.limiter.preempt(now, static_cast<int>(state.attempts.size())));
    metrics_.count("batch_yields");
}

auto BatchDispatcher::toJson() const -> JsonObject::Ptr
{
    const std::lock_guard lock(mutex_);
    JsonObject::Ptr upstreams = new JsonObject;
    for (const auto &[name, state] : upstreams_) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("limit", state.limiter.limit());
        entry->set("running", state.attempts.size());
        entry->set("served", state.isServed);
        upstreams->set(name, entry);
    }
    JsonObject::Ptr held = new JsonObject;
    for (const auto &[name, chunk] : held_) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("epoch", chunk->lease().epoch);
        entry->set("waiting", chunk->waitingCount());
        entry->set("running", chunk->runningCount());
        held->set(name, entry);
    }
    JsonObject::Ptr dump = new JsonObject;
    dump->set("upstreams", upstreams);
    dump->set("held_chunks", held);
    dump->set("open_jobs", jobs_.size());
    return dump;
}

auto BatchDispatcher::findServedUpstreams(TimePoint now) const -> ServedUpstreams
{
    ServedUpstreams served;
    served.version = fleet_.current();
    served.self = { fleet_.memberName(), hooks_.incarnation() };
    served.targetMs = targetOf(served.version->configuration);
    const Member *self = served.version->members.find(served.self.name);
    if (!fleet_.mayAct(now) || self == nullptr || self->incarnation != served.self.incarnation) {
        return served;
    }
    for (const Upstream &upstream : served.version->configuration.data().upstreams) {
        const Member *home = served.version->members.homeOf(absl::StrCat("upstream/", upstream.name), options_.region);
        if (isUsable(upstream) && home != nullptr && home->name == served.self.name) {
            served.upstreams.push_back(upstream);
        }
    }
    return served;
}

auto BatchDispatcher::upstreamsFor(const BatchJob &job, const Configuration &configuration) const -> std::vector<std::string>
{
    const Route *route = job.model.empty() ? configuration.findRoute(job.path) : nullptr;
    std::vector<const Upstream *> found;
    if (!job.model.empty()) {
        found = configuration.upstreamsOfModel(job.model);
    } else if (route != nullptr) {
        found = configuration.upstreamsOfGroup(route->group);
    }
    std::vector<std::string> names;
    for (const Upstream *upstream : found) {
        if (isUsable(*upstream)) {
            names.push_back(upstream->name);
        }
    }
    return names;
}

auto BatchDispatcher::isUsable(const Upstream &upstream) const -> bool
{
    return !upstream.isDraining && !hooks_.isLeaving(upstream.name);
}

auto BatchDispatcher::loadsOf(const ServedUpstreams &served) const -> std::map<std::string, ObservedLoad>
{
    std::map<std::string, ObservedLoad> loads;
    for (const Upstream &upstream : served.upstreams) {
        loads.emplace(upstream.name, hooks_.loadOf(upstream.name));
    }
    // Callers are spread over the daemons, so the requests of the whole fleet to a group are estimated from those of
    // this daemon.
    const auto memberCount = static_cast<double>(served.version->members.members().size());
    for (const Upstream &upstream : served.upstreams) {
        const auto group = served.version->configuration.upstreamsOfGroup(upstream.group);
        double own = 0;
        for (const Upstream *other : group) {
            const auto known = loads.find(other->name);
            own += known == loads.end() ? hooks_.loadOf(other->name).onlineInFlight : known->second.onlineInFlight;
        }
        loads.at(upstream.name).onlineExpected = own * memberCount / static_cast<double>(group.size());
    }
    return loads;
}

auto BatchDispatcher::scheduleLoop(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        schedule();
        std::unique_lock lock(mutex_);
        scheduleChanged_.wait_for(lock, SCHEDULE_INTERVAL, [this, &stop] { return isScheduleDue_ || stop.stop_requested(); });
        isScheduleDue_ = false;
    }
}

auto BatchDispatcher::schedule() -> void
{
    const TimePoint now = Clock::now();
    const ServedUpstreams served = findServedUpstreams(now);
    const std::map<std::string, ObservedLoad> loads = loadsOf(served);
    const std::lock_guard lock(mutex_);
    updateUpstreams(served, loads, now);
    if (!isStopping_) {
        startAttempts(served, now);
    }
}

auto BatchDispatcher::updateUpstreams(const ServedUpstreams &served, const std::map<std::string, ObservedLoad> &loads, TimePoint now)
    -> void
{
    for (auto &[name, state] : upstreams_) {
        state.isServed = false;
    }
    for (const Upstream &upstream : served.upstreams) {
        const auto entry = upstreams_.try_emplace(upstream.name, UpstreamState { upstream, BatchLimiter(options_.limiter) }).first;
        UpstreamState &state = entry->second;
        state.upstream = upstream;
        state.isServed = true;
        abortAttempts(state, state.limiter.update(now, loads.at(upstream.name), static_cast<int>(state.attempts.size()), served.targetMs));
    }
    std::erase_if(upstreams_, [](const auto &entry) { return !entry.second.isServed && entry.second.attempts.empty(); });
}

auto BatchDispatcher::startAttempts(const ServedUpstreams &served, TimePoint now) -> void
{
    for (auto &[name, state] : upstreams_) {
        const auto hasAvailableSlot = [&state = state, this] {
            return static_cast<int>(state.attempts.size()) < state.limiter.limit() && attemptCount_ < options_.threads;
        };
        while (state.isServed && now >= state.backoffUntil && hasAvailableSlot()) {
            if (!startNextItem(state, served.version->configuration, now)) {
                break;
            }
        }
    }
}

auto BatchDispatcher::startNextItem(UpstreamState &state, const Configuration &configuration, TimePoint now) -> bool
{
    std::vector<JobPointer> jobs;
    for (const auto &[name, held] : held_) {
        const JobPointer job = findJob(*held);
        const bool isNew = job && std::find(jobs.begin(), jobs.end(), job) == jobs.end();
        if (isNew && held->waitingCount() > 0 && contains(upstreamsFor(job->job, configuration), state.upstream.name)) {
            jobs.push_back(job);
        }
    }
    const bool hasCrashSuspect = std::any_of(state.attempts.begin(), state.attempts.end(), [](const AttemptPointer &attempt) {
        return attempt->held->isCrashSuspect(attempt->item);
    });
    for (const JobPointer &job : sortedJobs(jobs, configuration)) {
        std::vector<std::string> others = upstreamsFor(job->job, configuration);
        std::erase(others, state.upstream.name);
        for (const auto &[name, held] : held_) {
            if (held->stored().chunk.job != job->id) {
                continue;
            }
            // Crash suspects run one at a time at an upstream, so that a crash is not attributed to an innocent one.
            if (const auto item = held->nextRunnable(state.upstream.name, others, !hasCrashSuspect, now)) {
                beginAttempt(state, held, *item, job, now);
                return true;
            }
        }
    }
    return false;
}

auto BatchDispatcher::beginAttempt(
    UpstreamState &state, const HeldChunkPointer &held, std::size_t item, const JobPointer &job, TimePoint now) -> void
{
    held->beginAttempt(item);
    auto attempt = std::make_shared<Attempt>(Attempt { held, item, job, state.upstream, held->stored().chunk.items[item].body, now, {} });
    state.attempts.push_back(attempt);
    ++runningByTeam_[job->job.team];
    ++attemptCount_;
    queue_.push_back(std::move(attempt));
    queueChanged_.notify_one();
}

auto BatchDispatcher::abortAttempts(UpstreamState &state, int count) -> void
{
    // Aborting the youngest attempts loses the least work. An aborted non-repeatable item could not be run again.
    for (auto attempt = state.attempts.rbegin(); attempt != state.attempts.rend() && count > 0; ++attempt) {
        if ((*attempt)->held->stored().chunk.isRetryable && !(*attempt)->stop.stop_requested()) {
            (*attempt)->stop.request_stop();
            --count;
        }
    }
}

auto BatchDispatcher::sortedJobs(const std::vector<JobPointer> &jobs, const Configuration &configuration) const -> std::vector<JobPointer>
{
    std::vector<JobCandidate> candidates;
    std::map<std::string, JobPointer> byId;
    for (const JobPointer &job : jobs) {
        const std::vector<std::string> capable = upstreamsFor(job->job, configuration);
        double slots = 0;
        double served = 0;
        for (const auto &[name, state] : upstreams_) {
            if (contains(capable, name)) {
                slots += state.limiter.limit();
                served += 1;
            }
        }
        const double fleetSlots = std::max(1.0, served > 0 ? slots * static_cast<double>(capable.size()) / served : 0);
        const auto seconds = itemSeconds_.find(poolOf(job->job));
        const double itemSeconds = seconds == itemSeconds_.end() ? INITIAL_ITEM_SECONDS : seconds->second;
        const auto openItems = static_cast<double>(job->job.itemCount() - job->job.doneItems - job->job.failedItems);
        const Milliseconds remaining(static_cast<std::int64_t>(1000 * openItems * itemSeconds / fleetSlots));
        candidates.push_back({ job->id, job->job.team, job->job.due, remaining });
        byId.emplace(job->id, job);
    }
    std::vector<JobPointer> sorted;
    for (const JobCandidate &candidate : BatchOrder::sorted(std::move(candidates), runningByTeam_, currentWallTime())) {
        sorted.push_back(byId.at(candidate.job));
    }
    return sorted;
}

auto BatchDispatcher::workerLoop(const std::stop_token &stop) -> void
{
    while (true) {
        AttemptPointer attempt;
        {
            std::unique_lock lock(mutex_);
            queueChanged_.wait(lock, [this, &stop] { return !queue_.empty() || stop.stop_requested(); });
            if (queue_.empty()) {
                return;
            }
            attempt = std::move(queue_.front());
            queue_.pop_front();
        }
        finishAttempt(attempt, runItem(*attempt));
    }
}

auto BatchDispatcher::runItem(const Attempt &attempt) -> ItemAttemptResult
{
    const std::string &upstream = attempt.upstream.name;
    const TimePoint sentAt = Clock::now();
    BatchItemAttempt::Hooks hooks { hooks_.isAlive };
    hooks.mayStart = [this, &upstream] {
        return !hooks_.isLeaving(upstream);
    };
    hooks.onHead = [this, &upstream, sentAt](const UpstreamHead &head) {
        if (hooks_.onHead) {
            hooks_.onHead(upstream, head, sentAt);
        }
    };
    return BatchItemAttempt::run(
        attempt.upstream, attempt.job->job, attempt.body, sentAt + options_.attemptTimeout, attempt.stop.get_token(), hooks);
}

auto BatchDispatcher::finishAttempt(const AttemptPointer &attempt, const ItemAttemptResult &result) -> void
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    attempt->held->endAttempt(attempt->item, result, now);
    --runningByTeam_[attempt->job->job.team];
    --attemptCount_;
    const auto found = upstreams_.find(attempt->upstream.name);
    if (found != upstreams_.end()) {
        std::erase(found->second.attempts, attempt);
        recordHealth(found->second, result, now);
    }
    if (std::holds_alternative<ItemResponse>(result)) {
        const double seconds = std::chrono::duration<double>(now - attempt->startedAt).count();
        const auto entry = itemSeconds_.emplace(poolOf(attempt->job->job), seconds).first;
        entry->second += ITEM_SECONDS_WEIGHT * (seconds - entry->second);
    }
    metrics_.count(std::holds_alternative<ItemResponse>(result)   ? "batch_items_answered"
                   : std::holds_alternative<ItemReturned>(result) ? "batch_items_returned"
                                                                  : "batch_items_failed");
    isScheduleDue_ = true;
    scheduleChanged_.notify_one();
    attemptsChanged_.notify_all();
}

auto BatchDispatcher::recordHealth(UpstreamState &state, const ItemAttemptResult &result, TimePoint now) -> void
{
    if (std::holds_alternative<ItemResponse>(result)) {
        state.failures = 0;
        return;
    }
    const auto *returned = std::get_if<ItemReturned>(&result);
    const bool isUnreachable = returned != nullptr && !returned->mayHaveRun;
    if ((!isUnreachable && !std::holds_alternative<AttemptFailed>(result)) || now < state.backoffUntil) {
        return;
    }
    const Milliseconds backoff = FIRST_BACKOFF * (1 << std::min(state.failures, 6));
    state.backoffUntil = now + std::min(backoff, MAXIMUM_BACKOFF);
    ++state.failures;
}

auto BatchDispatcher::storeLoop(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        runStoreTick();
        std::this_thread::sleep_for(STORE_INTERVAL);
    }
}

auto BatchDispatcher::recordStoreStatus(const absl::Status &status) -> bool
{
    if (!isStoreUnreachable(status)) {
        storeFailures_ = 0;
        return true;
    }
    const Milliseconds backoff = std::min(FIRST_STORE_BACKOFF * (1 << std::min(storeFailures_, 5)), MAXIMUM_STORE_BACKOFF);
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
    storeRetryAt_ = Clock::now() + Milliseconds(jitter(random_));
    if (storeFailures_ == 0) {
        Log::warning(Part::Batch, absl::StrCat("Store calls fail; outcomes remain uncommitted: ", std::string(status.message())));
    }
    ++storeFailures_;
    return false;
}

auto BatchDispatcher::runStoreTick() -> void
{
    if (Clock::now() < storeRetryAt_ || (Clock::now() >= nextListAt_ && !listJobs())) {
        return;
    }
    for (const HeldChunkPointer &held : heldChunks()) {
        if (!writeChunk(held, false)) {
            return;
        }
    }
    const ServedUpstreams served = findServedUpstreams(Clock::now());
    if (!recordEndedChunks() || !releaseUnrunnable(served)) {
        return;
    }
    for (const Upstream &upstream : served.upstreams) {
        if (!leaseChunkFor(served, upstream.name)) {
            return;
        }
    }
    removeAbandoned(served);
}

auto BatchDispatcher::findJob(const HeldChunk &held) const -> JobPointer
{
    const auto found = jobs_.find(held.stored().chunk.job);
    return found == jobs_.end() ? nullptr : found->second.job;
}

auto BatchDispatcher::heldChunks() const -> std::vector<HeldChunkPointer>
{
    const std::lock_guard lock(mutex_);
    std::vector<HeldChunkPointer> list;
    for (const auto &[name, held] : held_) {
        list.push_back(held);
    }
    return list;
}

auto BatchDispatcher::listJobs() -> bool
{
    std::uniform_real_distribution<double> jitter(0.8, 1.0);
    nextListAt_
        = Clock::now() + Milliseconds(static_cast<std::int64_t>(jitter(random_) * static_cast<double>(options_.listInterval.count())));
    const auto listed = store_.openJobs();
    if (!recordStoreStatus(listed.status()) || !listed.ok()) {
        return false;
    }
    std::vector<std::string> missing;
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, TrackedJob> jobs;
        for (const StoredJob &stored : *listed) {
            const std::string id = jobIdOf(stored.job.team, stored.job.jobKey);
            TrackedJob tracked = jobs_.contains(id) ? std::move(jobs_[id]) : TrackedJob {};
            tracked.job = std::make_shared<const JobSnapshot>(JobSnapshot { id, stored.job });
            jobs.emplace(id, std::move(tracked));
        }
        for (const auto &[name, held] : held_) {
            if (!jobs.contains(held->stored().chunk.job) && !contains(missing, held->stored().chunk.job)) {
                missing.push_back(held->stored().chunk.job);
            }
        }
        jobs_ = std::move(jobs);
    }
    return std::all_of(missing.begin(), missing.end(), [this](const std::string &id) { return dropEndedJob(id); });
}

auto BatchDispatcher::dropEndedJob(const std::string &id) -> bool
{
    const auto job = store_.job(id);
    if (!recordStoreStatus(job.status())) {
        return false;
    }
    if (job.ok() && job->job.state == JobState::Open) {
        return true;
    }
    for (const HeldChunkPointer &held : heldChunks()) {
        if (held->stored().chunk.job != id) {
            continue;
        }
        dropChunk(held);
        // A failure here does no harm: chunks of a job that is not open are never leased.
        recordStoreStatus(store_.applyTransition(held->stored(), ChunkTransition::cancel).status());
    }
    return true;
}

auto BatchDispatcher::dropChunk(const HeldChunkPointer &held) -> void
{
    const std::lock_guard lock(mutex_);
    held_.erase(held->name());
    for (auto &[name, state] : upstreams_) {
        for (const AttemptPointer &attempt : state.attempts) {
            if (attempt->held == held) {
                attempt->stop.request_stop();
            }
        }
    }
}

auto BatchDispatcher::maximumStartsFor(const HeldChunk &held, const Configuration &configuration) const -> int
{
    const JobPointer job = findJob(held);
    if (isStopping_ || !job) {
        return 0;
    }
    const std::vector<std::string> capable = upstreamsFor(job->job, configuration);
    int available = 0;
    for (const auto &[name, state] : upstreams_) {
        const int free = state.limiter.limit() - static_cast<int>(state.attempts.size());
        available += state.isServed && contains(capable, name) ? std::max(0, free) : 0;
    }
    for (const auto &[name, other] : held_) {
        available -= other->startedUnsentCount();
    }
    return available > 0 ? available + STARTS_AHEAD : 0;
}

auto BatchDispatcher::writeChunk(const HeldChunkPointer &held, bool flush) -> bool
{
    HeldChunk::Write write;
    StoredChunk stored;
    ChunkLease lease;
    const FleetVersionPointer version = fleet_.current();
    {
        const std::lock_guard lock(mutex_);
        const int maximumStarts = maximumStartsFor(*held, version->configuration);
        const HeldChunk::Write *due = held->dueWrite(options_.writeTiming, maximumStarts, flush, Clock::now());
        if (due == nullptr) {
            return true;
        }
        write = *due;
        stored = held->stored();
        lease = held->lease();
    }
    if (!write.responses.empty() && !write.areResponsesStored) {
        const absl::Status status = store_.writeResults(write.resultName, write.responses);
        if (!recordStoreStatus(status)) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        if (!status.ok()) {
            Log::error(Part::Batch, absl::StrCat("The store refused results of ", held->name(), ": ", std::string(status.message())));
            held->rejectResponses();
            return true;
        }
        held->markResponsesStored();
    }
    const auto changed = store_.applyTransition(stored, [&write, &lease](const BatchChunk &chunk) {
        auto committed = ChunkTransition::commit(chunk, lease, write.outcomes);
        return !committed.ok() || write.starts.empty() ? committed : ChunkTransition::start(*committed, lease, write.starts);
    });
    if (!recordStoreStatus(changed.status())) {
        return false;
    }
    if (!changed.ok()) {
        Log::info(Part::Batch, absl::StrCat("Lost the lease of ", held->name(), ": ", std::string(changed.status().message())));
        metrics_.count("batch_leases_lost");
        dropChunk(held);
        return true;
    }
    const std::lock_guard lock(mutex_);
    held->applyWrite(*changed, Clock::now());
    isScheduleDue_ = true;
    scheduleChanged_.notify_one();
    if (changed->chunk.hasEnded()) {
        held_.erase(held->name());
        TrackedJob &tracked = jobs_[changed->chunk.job];
        tracked.observations[changed->chunk.number].hasEnded = true;
        tracked.unrecordedChunks[changed->chunk.number] = totalsOf(changed->chunk);
    }
    return true;
}

auto BatchDispatcher::releaseChunk(const HeldChunkPointer &held) -> bool
{
    {
        const std::lock_guard lock(mutex_);
        held->returnStartedUnsent();
    }
    // The first write may have been planned earlier; the second one contains the remaining outcomes.
    for (int write = 0; write < 2; ++write) {
        if (!writeChunk(held, true)) {
            return false;
        }
    }
    StoredChunk stored;
    ChunkLease lease;
    {
        const std::lock_guard lock(mutex_);
        if (!held_.contains(held->name())) {
            return true;
        }
        stored = held->stored();
        lease = held->lease();
    }
    const auto changed
        = store_.applyTransition(stored, [&lease](const BatchChunk &chunk) { return ChunkTransition::release(chunk, lease); });
    if (!recordStoreStatus(changed.status())) {
        return false;
    }
    dropChunk(held);
    return true;
}

auto BatchDispatcher::releaseUnrunnable(const ServedUpstreams &served) -> bool
{
    std::vector<HeldChunkPointer> blocked;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &entry : held_) {
            const HeldChunkPointer &held = entry.second;
            const JobPointer job = findJob(*held);
            if (!job || held->runningCount() > 0 || held->waitingCount() == 0) {
                continue;
            }
            const auto capable = upstreamsFor(job->job, served.version->configuration);
            held->allowStarts(true);
            const bool canRun = std::any_of(served.upstreams.begin(), served.upstreams.end(), [&](const Upstream &upstream) {
                std::vector<std::string> others = capable;
                std::erase(others, upstream.name);
                const bool hasRunnable
                    = !held->stored().chunk.isRetryable || held->nextRunnable(upstream.name, others, true, TimePoint::max());
                const auto state = upstreams_.find(upstream.name);
                const bool isFailing = state != upstreams_.end() && state->second.failures >= FAILURES_FOR_RELEASE;
                return contains(capable, upstream.name) && hasRunnable && !isFailing;
            });
            // The release takes several calls to the store, and an attempt that starts meanwhile would be aborted uncounted.
            held->allowStarts(canRun);
            if (!canRun) {
                blocked.push_back(held);
                ChunkObservation &observation = jobs_[job->id].observations[held->stored().chunk.number];
                observation.nextReadAt = Clock::now() + options_.absenceTimeout;
                observation.wasUnrunnable = true;
            }
        }
    }
    return std::all_of(blocked.begin(), blocked.end(), [this](const HeldChunkPointer &held) { return releaseChunk(held); });
}

auto BatchDispatcher::leaseChunkFor(const ServedUpstreams &served, const std::string &upstream) -> bool
{
    const TimePoint now = Clock::now();
    const Configuration &configuration = served.version->configuration;
    std::vector<std::pair<JobPointer, std::int64_t>> picks;
    {
        const std::lock_guard lock(mutex_);
        const auto found = upstreams_.find(upstream);
        if (isStopping_ || found == upstreams_.end() || now < found->second.backoffUntil) {
            return true;
        }
        const int free = found->second.limiter.limit() - static_cast<int>(found->second.attempts.size());
        int waiting = 0;
        int heldHere = 0;
        std::vector<JobPointer> fitting;
        for (const auto &[id, tracked] : jobs_) {
            if (!tracked.job || !contains(upstreamsFor(tracked.job->job, configuration), upstream)) {
                continue;
            }
            fitting.push_back(tracked.job);
            for (const auto &[name, held] : held_) {
                heldHere += held->stored().chunk.job == id ? 1 : 0;
                waiting += held->stored().chunk.job == id ? held->waitingCount() : 0;
            }
        }
        const int servedCount = std::max<int>(1, static_cast<int>(served.upstreams.size()));
        if (free <= 0 || waiting > free || heldHere >= HELD_CHUNKS_PER_UPSTREAM * servedCount) {
            return true;
        }
        for (const JobPointer &job : sortedJobs(fitting, configuration)) {
            TrackedJob &tracked = jobs_[job->id];
            while (picks.size() < MAXIMUM_READS_PER_LEASE) {
                const auto number = pickChunk(tracked, now);
                if (!number) {
                    break;
                }
                // Keeps the chunk from being picked again in this tick; tryLease() sets the actual time.
                tracked.observations[*number].nextReadAt = now + options_.listInterval;
                picks.emplace_back(job, *number);
            }
        }
    }
    for (const auto &[job, number] : picks) {
        const bool isLeased = tryLease(served, job, number);
        if (Clock::now() < storeRetryAt_) {
            return false;
        }
        if (isLeased) {
            break;
        }
    }
    return true;
}

auto BatchDispatcher::pickChunk(TrackedJob &tracked, TimePoint now) const -> std::optional<std::int64_t>
{
    const std::int64_t count = tracked.job->job.chunkCount();
    // Each daemon starts at a different chunk, so that daemons seldom compete for the same one.
    const auto first = static_cast<std::int64_t>(stableHash(fleet_.memberName()) % static_cast<std::uint64_t>(count));
    for (std::int64_t offset = 0; offset < count; ++offset) {
        const std::int64_t number = (first + offset) % count;
        const auto observation = tracked.observations.find(number);
        const bool isSkipped
            = observation != tracked.observations.end() && (observation->second.hasEnded || now < observation->second.nextReadAt);
        if (!isSkipped && !tracked.job->job.endedChunks[static_cast<std::size_t>(number)]
            && !held_.contains(chunkNameOf(tracked.job->id, number))) {
            return number;
        }
    }
    return std::nullopt;
}

auto BatchDispatcher::tryLease(const ServedUpstreams &served, const JobPointer &job, std::int64_t number) -> bool
{
    const std::string &id = job->id;
    const auto stored = store_.readChunk(id, number);
    if (!recordStoreStatus(stored.status()) || !stored.ok()) {
        return false;
    }
    bool wasUnrunnable = false;
    {
        const std::lock_guard lock(mutex_);
        if (!jobs_.contains(id)) {
            return false;
        }
        TrackedJob &tracked = jobs_[id];
        ChunkObservation &observation = tracked.observations[number];
        wasUnrunnable = observation.wasUnrunnable;
        if (stored->chunk.hasEnded() || stored->chunk.cancelled) {
            observation.hasEnded = true;
            if (stored->chunk.hasEnded()) {
                tracked.unrecordedChunks[number] = totalsOf(stored->chunk);
            }
            return false;
        }
        if (!mayLease(observation, stored->chunk, served, Clock::now())) {
            return false;
        }
    }
    const auto leased
        = store_.applyTransition(*stored, [&served](const BatchChunk &chunk) { return ChunkTransition::lease(chunk, served.self); });
    if (!recordStoreStatus(leased.status()) || !leased.ok()) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    const ChunkLease lease { served.self, leased->chunk.epoch };
    auto held = std::make_shared<HeldChunk>(*leased, lease, wasUnrunnable || !leased->chunk.isRetryable, Clock::now());
    held_.emplace(held->name(), std::move(held));
    metrics_.count("batch_leases");
    isScheduleDue_ = true;
    scheduleChanged_.notify_one();
    return true;
}

auto BatchDispatcher::mayLease(ChunkObservation &observation, const BatchChunk &chunk, const ServedUpstreams &served, TimePoint now) const
    -> bool
{
    if (chunk.holder.name.empty() || chunk.holder == served.self) {
        return true;
    }
    if (observation.progressSeenAt == TimePoint() || observation.progress != chunk.progress) {
        observation.progress = chunk.progress;
        observation.progressSeenAt = now;
    }
    const Member *member = served.version->members.find(chunk.holder.name);
    const bool isMember = member != nullptr && member->incarnation == chunk.holder.incarnation;
    const Milliseconds timeout = isMember ? options_.leaseTimeout : options_.absenceTimeout;
    if (now - observation.progressSeenAt > timeout) {
        return true;
    }
    observation.nextReadAt = now + timeout / 5;
    return false;
}

auto BatchDispatcher::recordEndedChunks() -> bool
{
    std::map<std::string, std::map<std::int64_t, ChunkTotals>> ended;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, tracked] : jobs_) {
            if (!tracked.unrecordedChunks.empty()) {
                ended.emplace(id, tracked.unrecordedChunks);
            }
        }
    }
    for (const auto &[id, chunks] : ended) {
        const auto recorded = store_.recordEndedChunks(id, chunks);
        if (!recordStoreStatus(recorded.status())) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            continue;
        }
        for (const auto &[number, totals] : chunks) {
            found->second.unrecordedChunks.erase(number);
        }
        if (recorded.ok()) {
            found->second.job = std::make_shared<const JobSnapshot>(JobSnapshot { id, *recorded });
        }
        if (!recorded.ok() || recorded->state != JobState::Open) {
            jobs_.erase(found);
        }
    }
    return true;
}

auto BatchDispatcher::removeAbandoned(const ServedUpstreams &served) -> bool
{
    const Member *home = served.version->members.homeOf("abandoned-submissions", {});
    const TimePoint now = Clock::now();
    if (home == nullptr || home->name != served.self.name || served.upstreams.empty() || now < nextRemovalAt_) {
        return true;
    }
    nextRemovalAt_ = now + REMOVAL_INTERVAL;
    return recordStoreStatus(store_.removeAbandoned(currentWallTime()));
}

} // namespace poplardock
