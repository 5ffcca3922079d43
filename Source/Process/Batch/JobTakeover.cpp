#include "Process/Batch/JobTakeover.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Stale lists cost a tenth of a call; jobs are due in many seconds. The jobs of a daemon that was heard are taken
/// over by its reports, so the list only finds the rest, and many daemons may look less often.
constexpr Milliseconds REVIEW_PERIOD { 2000 };
constexpr Milliseconds REVIEW_PERIOD_PER_DAEMON { 100 };
/// Time after the start in which owners that were not heard yet count as alive.
constexpr Milliseconds SETTLE_TIME { 2500 };
constexpr Milliseconds SETTLE_MARGIN { 200 };
/// Time in which a former owner has to hand over; the items start again without it.
constexpr Milliseconds HAND_OVER_TIME { 500 };
/// Time between two reads of a record that another daemon claims too.
constexpr Milliseconds DOUBT_PAUSE { 1000 };
/// Times that the log is read again when another entry stands where the closing one should.
constexpr int FENCE_ATTEMPTS = 4;
constexpr Milliseconds STORE_SILENCE { 1000 };
/// Time after which a take-over is tried again that failed when the record already named this daemon.
constexpr Milliseconds FINISH_PAUSE { 500 };
/// Time after the end of a job's readable time before it is removed; clocks of VMs differ a little.
constexpr std::chrono::seconds REMOVAL_MARGIN { 60 };

} // namespace

JobTakeover::JobTakeover(FrontParts &context, JobRepository &ledger, JobRegistry &book, JobRunner &runner)
    : context_(context)
    , repository_(ledger)
    , registry_(book)
    , runner_(runner)
    , startedAt_(BootClock::now())
{
    registry_.setConflictHandler([this](const std::string &id) {
        // A reading of the record that is under way may be older than the conflict.
        unverified_.insert(id);
        checkRecord(id);
    });
}

auto JobTakeover::start() -> void
{
    reconcile(false);
    reconcileTimer_ = context_.loop.at(startedAt_ + SETTLE_TIME + SETTLE_MARGIN, [this] {
        reconcile(true);
        scheduleReconciliation();
    });
}

auto JobTakeover::scheduleReconciliation() -> void
{
    const BootTime now = BootClock::now();
    const Milliseconds period = std::max(REVIEW_PERIOD, REVIEW_PERIOD_PER_DAEMON * context_.peers.daemonCount(now));
    reconcileTimer_ = context_.loop.at(now + period, [this] {
        reconcile(true);
        scheduleReconciliation();
    });
}

auto JobTakeover::stop() -> void
{
    drain();
    reconcileTimer_.cancel();
}

auto JobTakeover::drain() -> void
{
    isDraining_ = true;
}

auto JobTakeover::checkPeerReports() -> void
{
    const BootTime now = BootClock::now();
    if (isDraining_ || !hasStoreContact(now)) {
        return;
    }
    for (auto each = incompleteTakeovers_.begin(); each != incompleteTakeovers_.end();) {
        const auto next = std::next(each);
        if (each->second <= now) {
            const std::string id = each->first;
            incompleteTakeovers_.erase(each);
            takeOver(id);
        }
        each = next;
    }
    std::erase_if(nextCheckAt_, [now](const auto &each) { return each.second <= now; });
    for (const auto &[name, peer] : context_.peers.peers()) {
        const bool isSound = context_.peers.mayTakeWork(peer, now);
        for (const std::string &id : isSound ? peer.report.jobs : std::vector<std::string>()) {
            // Two daemons take themselves for the owner: the record decides.
            if (registry_.find(id) != nullptr && nextCheckAt_.emplace(id, now + DOUBT_PAUSE).second) {
                verifyJob(id);
            }
        }
        for (const std::string &id : isSound ? std::vector<std::string>() : peer.report.jobs) {
            const bool isMine = context_.peers.homeOf(id, now) == context_.settings.name;
            if (isMine && registry_.find(id) == nullptr && nextCheckAt_.emplace(id, now + REVIEW_PERIOD).second) {
                takeOver(id);
            }
        }
    }
}

auto JobTakeover::handOver(const std::string &id) -> std::string
{
    OwnedJob *job = registry_.find(id);
    if (job == nullptr) {
        return {};
    }
    runner_.stopJob(id);
    std::string progress = job->progressText();
    EventLog::write("job_handed_over", { { "job", id }, { "bytes", static_cast<std::uint64_t>(progress.size()) } });
    registry_.drop(id);
    return progress;
}

auto JobTakeover::hasStoreContact(BootTime now) const -> bool
{
    const auto lostSince = context_.store.lostSince();
    return !lostSince || now - *lostSince < STORE_SILENCE;
}

auto JobTakeover::isOwnershipVerified(const std::string &id) const -> bool
{
    // A daemon that shuts down has told the others to take its jobs over.
    return !isDraining_ && !unverified_.contains(id) && hasStoreContact(BootClock::now());
}

auto JobTakeover::verifyOwnership() -> void
{
    for (const std::string &id : registry_.ids()) {
        verifyJob(id);
    }
}

auto JobTakeover::verifyJob(const std::string &id) -> void
{
    if (unverified_.insert(id).second) {
        checkRecord(id);
    }
}

auto JobTakeover::checkRecord(const std::string &id) -> void
{
    repository_.read(id, [this, id](const absl::StatusOr<JobRecord> &record) {
        if (!record.ok() && !absl::IsNotFound(record.status())) {
            // Tried again with the next review.
            return;
        }
        const bool isOwner
            = record.ok() && record->owner == context_.settings.name && record->ownerIncarnation == context_.peerLink.incarnation();
        if (!isOwner) {
            release(id);
        } else if (OwnedJob *job = registry_.find(id)) {
            job->setRecord(*record);
            if (!record->isOpen()) {
                runner_.stopJob(id);
            }
            registry_.resumeCommits(id);
        }
        unverified_.erase(id);
    });
}

auto JobTakeover::release(const std::string &id) -> void
{
    runner_.stopJob(id);
    registry_.drop(id);
}

auto JobTakeover::reconcile(bool allowsStale) -> void
{
    for (const std::string &id : std::set<std::string>(unverified_)) {
        checkRecord(id);
    }
    repository_.list(allowsStale, [this](const absl::StatusOr<std::vector<JobRecord>> &records) {
        if (!records.ok()) {
            return;
        }
        for (const JobRecord &record : *records) {
            reconcileJob(record);
        }
    });
}

auto JobTakeover::reconcileJob(const JobRecord &record) -> void
{
    const BootTime now = BootClock::now();
    const bool isOwnName = record.owner == context_.settings.name && record.ownerIncarnation == context_.peerLink.incarnation();
    if (OwnedJob *job = registry_.find(record.id)) {
        // A stale list may show an owner before this one; the record itself decides.
        if (record.version > job->record().version && (!isOwnName || record.isCancelled)) {
            verifyJob(record.id);
        }
        return;
    }
    if (!record.isOpen()) {
        const auto end = std::max(record.giveUpAt, record.submittedAt + context_.settings.bounds.jobReadable) + REMOVAL_MARGIN;
        if (WallClock::now() > end && context_.peers.homeOf(record.id, now) == context_.settings.name && !isDraining_) {
            repository_.remove(record);
        }
        return;
    }
    // A record that names this daemon is taken over here whoever the home is: no other daemon would.
    const bool isMine = record.owner == context_.settings.name || context_.peers.homeOf(record.id, now) == context_.settings.name;
    if (!isDraining_ && hasStoreContact(now) && isMine && needsTakeover(record, now)) {
        takeOver(record.id);
    }
}

auto JobTakeover::needsTakeover(const JobRecord &record, BootTime now) const -> bool
{
    if (record.owner == context_.settings.name) {
        return true;
    }
    const Peer *owner = context_.peers.find(record.owner);
    if (owner == nullptr || owner->report.incarnation.empty()) {
        return now - startedAt_ > SETTLE_TIME;
    }
    const bool isSameStart = owner->report.incarnation == record.ownerIncarnation;
    return !isSameStart || !context_.peers.mayTakeWork(*owner, now);
}

auto JobTakeover::takeOver(const std::string &id) -> void
{
    if (!takingOver_.insert(id).second) {
        return;
    }
    repository_.read(id, [this, id](const absl::StatusOr<JobRecord> &record) {
        if (!record.ok() || !record->isOpen() || !needsTakeover(*record, BootClock::now())) {
            endTakeover(id, "read", record.status());
            return;
        }
        claim(*record);
    });
}

auto JobTakeover::claim(const JobRecord &found) -> void
{
    JobRecord record = found;
    record.owner = context_.settings.name;
    record.ownerIncarnation = context_.peerLink.incarnation();
    record.ownerAddress = context_.settings.peersAddress;
    EventLog::write("job_take_over", { { "job", found.id }, { "from", found.owner }, { "revision", found.version } });
    repository_.replace(record, [this, id = found.id, former = found.owner](const absl::StatusOr<JobRecord> &claimed) {
        if (!claimed.ok()) {
            endTakeover(id, "claim", claimed.status());
            return;
        }
        fetchProgress(*claimed, former);
    });
}

auto JobTakeover::fetchProgress(const JobRecord &record, const std::string &formerOwner) -> void
{
    const Peer *former = context_.peers.find(formerOwner);
    const BootTime now = BootClock::now();
    if (former == nullptr || !context_.peers.isAlive(*former, now)) {
        loadItems(record, {});
        return;
    }
    const HttpCall call { "POST", std::string(HANDOVER_PATH) + record.id, {}, {} };
    context_.peerClient.call(former->address, call, now + HAND_OVER_TIME, [this, record](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        loadItems(record, result != nullptr && result->status == HttpStatus::OK ? result->body : std::string());
    });
}

auto JobTakeover::loadItems(const JobRecord &record, const std::string &progress) -> void
{
    repository_.readItems(record, [this, record, progress](const absl::StatusOr<std::vector<JobItem>> &items) {
        if (!items.ok()) {
            endTakeover(record.id, "items", items.status());
            scheduleRetry(record.id);
            return;
        }
        fenceResultLog(record, *items, progress, FENCE_ATTEMPTS);
    });
}

auto JobTakeover::fenceResultLog(const JobRecord &record, const std::vector<JobItem> &items, const std::string &progress, int attempts)
    -> void
{
    repository_.readResultLog(record.id, [this, record, items, progress, attempts](const absl::StatusOr<JobRepository::ResultLog> &found) {
        if (!found.ok() || attempts == 0) {
            endTakeover(record.id, "log", found.ok() ? absl::AbortedError("the log grows") : found.status());
            scheduleRetry(record.id);
            return;
        }
        JobRepository::ResultLog log = *found;
        if (log.results.size() >= items.size()) {
            completeTakeover(record, items, log, progress);
            return;
        }
        repository_.append(record.id, log.nextEntryNumber, {}, [this, record, items, log, progress, attempts](const absl::Status &status) {
            if (status.ok()) {
                JobRepository::ResultLog fenced = log;
                ++fenced.nextEntryNumber;
                completeTakeover(record, items, fenced, progress);
                return;
            }
            // The owner before was faster, or the answer was lost: what stands there is read again.
            fenceResultLog(record, items, progress, attempts - 1);
        });
    });
}

auto JobTakeover::completeTakeover(const JobRecord &record,
                                   const std::vector<JobItem> &items,
                                   const JobRepository::ResultLog &log,
                                   const std::string &progress) -> void
{
    OwnedJob job(record, items, log);
    if (!progress.empty()) {
        const absl::Status status = job.applyProgress(progress);
        EventLog::write("job_progress_taken", { { "job", record.id }, { "ok", status.ok() }, { "reason", status.message() } });
    }
    registry_.add(std::move(job));
    registry_.scheduleCommit(record.id);
    context_.metrics.count("jobs_taken_over");
    endTakeover(record.id, "done", absl::OkStatus());
}

auto JobTakeover::scheduleRetry(const std::string &id) -> void
{
    // The record names this daemon now, which others see alive, so that none of them takes the job over.
    incompleteTakeovers_[id] = BootClock::now() + FINISH_PAUSE;
}

auto JobTakeover::endTakeover(const std::string &id, const char *step, const absl::Status &status) -> void
{
    takingOver_.erase(id);
    if (!status.ok()) {
        EventLog::write("job_take_over_failed", { { "job", id }, { "step", step }, { "reason", status.message() } });
    }
}

} // namespace poplardock
