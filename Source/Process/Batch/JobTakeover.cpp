#include "Process/Batch/JobTakeover.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Stale lists cost a tenth of a call, and jobs are due in many seconds. Jobs that a daemon's reports have named are
/// taken over by checkPeerReports(); the list only finds the others, so in a large fleet each daemon lists less often.
constexpr Milliseconds RECONCILE_PERIOD { 2000 };
constexpr Milliseconds RECONCILE_PERIOD_PER_DAEMON { 100 };
/// Time after the start during which owners that have not been seen yet count as alive.
constexpr Milliseconds STARTUP_GRACE { 2500 };
constexpr Milliseconds STARTUP_GRACE_MARGIN { 200 };
/// Timeout of the handover by the former owner; without it, the items restart from their first event.
constexpr Milliseconds HANDOVER_TIMEOUT { 500 };
/// Shortest time between two reads of the record of a job that another daemon reports as its own too.
constexpr Milliseconds VERIFY_INTERVAL { 1000 };
/// Attempts to append the fencing entry: each one fails if the former owner appends an entry first.
constexpr int FENCE_ATTEMPTS = 4;
/// Time without a response after which contact to the store counts as lost.
constexpr Milliseconds STORE_LIVENESS_TIMEOUT { 1000 };
/// Age of the proof of ownership up to which an owner may answer that a job has no further result. A result that another
/// daemon has listed must be shown everywhere a second after the first caller has read it; the rest is for the way.
constexpr Milliseconds OWNERSHIP_PROOF_TIME { 700 };
/// Age of the proof that a job is open up to which its items are started by a daemon that may not hear of a cancellation.
/// Nothing of a job may reach an upstream 3 s after its cancellation was confirmed.
constexpr Milliseconds OPEN_PROOF_TIME { 1500 };
constexpr Milliseconds HEARING_CHECK_INTERVAL { 50 };
/// Time between a failed read of the record of an unverified job and the next one.
constexpr Milliseconds VERIFY_RETRY_DELAY { 500 };
/// Time after a loss of contact to the store during which others may still act on a report that told of it.
constexpr std::chrono::seconds CONTACT_LOSS_MEMORY { 5 };
/// Delay of the retry of a takeover that failed when the record already named this daemon.
constexpr Milliseconds TAKEOVER_RETRY_DELAY { 500 };
/// Time for which a cancellation is remembered of a job that this daemon may be about to own: the longest time that a
/// submission or one attempt of a takeover spends between its write of the record and the registry, with slow answers.
constexpr std::chrono::seconds EARLY_NOTICE_TIME { 10 };
constexpr std::size_t MAXIMUM_EARLY_NOTICES = 1000;
/// Time between the end of a job's readable time and its removal, since the clocks of VMs differ a little.
constexpr std::chrono::seconds REMOVAL_MARGIN { 60 };

} // namespace

JobTakeover::JobTakeover(FrontParts &context, JobRepository &repository, JobRegistry &registry, JobRunner &runner)
    : context_(context)
    , repository_(repository)
    , registry_(registry)
    , runner_(runner)
    , startedAt_(BootClock::now())
{
    registry_.setConflictHandler([this](const std::string &id) { verifyAgain(id); });
    runner_.setStartCheck([this](const std::string &id) { return mayStartItems(id); });
}

auto JobTakeover::start() -> void
{
    reconcileTimer_ = context_.loop.at(startedAt_ + STARTUP_GRACE + STARTUP_GRACE_MARGIN, [this] {
        reconcile(true);
        scheduleReconciliation();
    });
}

auto JobTakeover::scheduleReconciliation() -> void
{
    const BootTime now = BootClock::now();
    const Milliseconds period = std::max(RECONCILE_PERIOD, RECONCILE_PERIOD_PER_DAEMON * context_.peers.daemonCount(now));
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
    const bool hasContact = hasStoreContact(now);
    if (!hasContact) {
        contactLostAt_ = now;
    } else if (!hadContact_) {
        // The others were told that this daemon had no contact, and may have taken over its jobs.
        verifyOwnership();
    }
    hadContact_ = hasContact;
    std::erase_if(nextCheckAt_, [now](const auto &each) { return each.second <= now; });
    const auto isCheckDue = [this, now](const std::string &id, Milliseconds interval) {
        return nextCheckAt_.emplace(id, now + interval).second;
    };
    for (const std::string &id : context_.peers.cancelledJobs()) {
        const OwnedJob *job = registry_.find(id);
        if (job != nullptr && job->record().isOpen() && isCheckDue(id, VERIFY_INTERVAL)) {
            verifyAgain(id);
        }
    }
    std::vector<std::string> contested;
    std::vector<std::string> orphans;
    context_.peers.forEachJob([this, now, &orphans, &contested](const std::string &id, const Peer &owner, bool hasRestarted) {
        const bool isOwned = registry_.find(id) != nullptr;
        if (isOwned && !hasRestarted && context_.peers.mayTakeWork(owner, now)) {
            contested.push_back(id);
        } else if (!isOwned && (hasRestarted || hasLeft(owner, now)) && mayBeResponsible(id, now)) {
            orphans.push_back(id);
        }
    });
    for (const std::string &id : contested) {
        // Both daemons consider themselves the owner: the record decides.
        if (isCheckDue(id, VERIFY_INTERVAL)) {
            verifyJob(id);
        }
    }
    if (!hasContact) {
        return;
    }
    retryVerifications(now);
    if (isDraining_) {
        return;
    }
    std::vector<std::string> due;
    for (const auto &[id, retryAt] : incompleteTakeovers_) {
        if (retryAt <= now) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        takeOver(id);
    }
    for (const std::string &id : orphans) {
        if (isCheckDue(id, RECONCILE_PERIOD)) {
            takeOver(id);
        }
    }
}

auto JobTakeover::retryVerifications(BootTime now) -> void
{
    std::vector<std::string> due;
    for (auto &[id, verification] : unverified_) {
        if (verification.retryAt && *verification.retryAt <= now) {
            verification.retryAt.reset();
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        checkRecord(id);
    }
}

auto JobTakeover::hearsOthers(BootTime now) -> bool
{
    if (now >= hearsOthersCheckAt_) {
        hearsOthers_ = context_.peers.isHeard(now) && context_.peers.hasFullView(now);
        hearsOthersCheckAt_ = now + HEARING_CHECK_INTERVAL;
    }
    return hearsOthers_;
}

auto JobTakeover::mayStartItems(const std::string &id) -> bool
{
    const BootTime now = BootClock::now();
    const OwnedJob *job = registry_.find(id);
    if (job == nullptr || unverified_.contains(id)) {
        return false;
    }
    if (hearsOthers(now) || now - job->openAt() < OPEN_PROOF_TIME) {
        return true;
    }
    if (!awaitingProof_.contains(id)) {
        readProof(id, [] {});
    }
    return false;
}

auto JobTakeover::hasLeft(const Peer &owner, BootTime now) const -> bool
{
    return context_.peers.isGone(owner, now) || owner.isDraining || !owner.hasStoreContact;
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
    return !lostSince || now - *lostSince < STORE_LIVENESS_TIMEOUT;
}

auto JobTakeover::mayActAsOwner(const std::string &id) const -> bool
{
    // A draining daemon has notified the others to take over its jobs.
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
    if (!unverified_.contains(id)) {
        verifyAgain(id);
    }
}

auto JobTakeover::verifyAgain(const std::string &id) -> void
{
    if (registry_.find(id) != nullptr) {
        unverified_[id] = { BootClock::now(), std::nullopt };
        checkRecord(id);
    }
}

auto JobTakeover::noteCancellation(const std::string &id) -> void
{
    if (registry_.find(id) != nullptr) {
        verifyAgain(id);
        return;
    }
    const BootTime now = BootClock::now();
    std::erase_if(earlyNotices_, [now](const auto &each) { return each.second <= now; });
    if (earlyNotices_.size() < MAXIMUM_EARLY_NOTICES) {
        earlyNotices_[id] = now + EARLY_NOTICE_TIME;
    }
}

auto JobTakeover::checkEarlyNotice(const std::string &id) -> void
{
    const auto notice = earlyNotices_.find(id);
    if (notice != earlyNotices_.end() && notice->second > BootClock::now()) {
        verifyAgain(id);
    }
}

auto JobTakeover::checkRecord(const std::string &id) -> void
{
    repository_.read(id, [this, id, sentAt = BootClock::now()](const absl::StatusOr<JobRecord> &record) {
        if (!record.ok() && !absl::IsNotFound(record.status())) {
            const auto failed = unverified_.find(id);
            if (failed != unverified_.end()) {
                failed->second.retryAt = BootClock::now() + VERIFY_RETRY_DELAY;
            }
            return;
        }
        if (!record.ok() || !isOwnRecord(*record)) {
            release(id);
        } else if (registry_.find(id) != nullptr) {
            applyOwnRecord(*record, sentAt);
            registry_.resumeCommits(id);
        }
        const auto verification = unverified_.find(id);
        if (verification != unverified_.end() && verification->second.since <= sentAt) {
            unverified_.erase(verification);
        }
    });
}

auto JobTakeover::applyOwnRecord(const JobRecord &record, BootTime sentAt) -> void
{
    OwnedJob *job = registry_.find(record.id);
    job->proveOwned(sentAt);
    // A read that was sent before this daemon's own cancellation shows the job open.
    if (record.version >= job->record().version && !registry_.isCancelling(record.id)) {
        job->setRecord(record);
    }
    if (job->record().isOpen()) {
        job->proveOpen(sentAt);
    } else {
        runner_.stopJob(record.id);
    }
}

auto JobTakeover::proveOwnership(const std::string &id, std::function<void()> onEnd) -> void
{
    OwnedJob *job = registry_.find(id);
    const BootTime now = BootClock::now();
    const bool hasKeptContact = now - contactLostAt_ > CONTACT_LOSS_MEMORY;
    const bool isProven
        = job != nullptr && ((hasKeptContact && context_.peers.isHeard(now)) || now - job->provenAt() < OWNERSHIP_PROOF_TIME);
    if (job == nullptr || !mayActAsOwner(id) || isProven) {
        onEnd();
        return;
    }
    readProof(id, std::move(onEnd));
}

auto JobTakeover::readProof(const std::string &id, std::function<void()> onEnd) -> void
{
    auto &waiting = awaitingProof_[id];
    waiting.push_back(std::move(onEnd));
    if (waiting.size() > 1) {
        return;
    }
    repository_.read(id, [this, id, sentAt = BootClock::now()](const absl::StatusOr<JobRecord> &record) {
        OwnedJob *owned = registry_.find(id);
        if (owned != nullptr && record.ok() && isOwnRecord(*record)) {
            applyOwnRecord(*record, sentAt);
        } else if (owned != nullptr) {
            EventLog::write("job_ownership_unproven", { { "job", id }, { "reason", record.status().message() } });
            verifyJob(id);
        }
        const auto handlers = std::move(awaitingProof_[id]);
        awaitingProof_.erase(id);
        for (const auto &handler : handlers) {
            handler();
        }
    });
}

auto JobTakeover::isOwnRecord(const JobRecord &record) const -> bool
{
    return record.owner == context_.settings.name && record.ownerIncarnation == context_.peerLink.incarnation();
}

auto JobTakeover::release(const std::string &id) -> void
{
    runner_.stopJob(id);
    registry_.drop(id);
}

auto JobTakeover::reconcile(bool allowsStale) -> void
{
    repository_.list(allowsStale, [this](const absl::StatusOr<std::vector<JobRecord>> &records) {
        if (!records.ok()) {
            return;
        }
        std::set<std::string> sharedIds;
        for (const JobRecord &record : *records) {
            if (!record.callerId.empty()) {
                sharedIds.insert(record.callerId);
            }
        }
        for (const JobRecord &record : *records) {
            reconcileJob(record, sharedIds.contains(record.id));
        }
    });
}

auto JobTakeover::reconcileJob(const JobRecord &record, bool isIdShared) -> void
{
    const BootTime now = BootClock::now();
    const bool isOwner = isOwnRecord(record);
    const auto readableUntil = std::max(record.giveUpAt, record.submittedAt + context_.settings.bounds.resultRetention);
    const bool isToBeRemoved = !record.isOpen() && WallClock::now() > readableUntil + REMOVAL_MARGIN && !isIdShared && !isDraining_;
    if (OwnedJob *job = registry_.find(record.id)) {
        // A stale list may show a former owner, so the current record decides.
        if (record.version > job->record().version && (!isOwner || record.isCancelled)) {
            verifyJob(record.id);
            return;
        }
        if (!isToBeRemoved || !registry_.dropIfEnded(record.id)) {
            return;
        }
    }
    if (!record.isOpen()) {
        if (isToBeRemoved && context_.peers.homeOf(record.id, now) == context_.settings.name) {
            repository_.remove(record);
        }
        return;
    }
    if (!isDraining_ && hasStoreContact(now) && isResponsible(record, now) && needsTakeover(record, now)) {
        takeOver(record.id);
    }
}

auto JobTakeover::isResponsible(const JobRecord &record, BootTime now) const -> bool
{
    const ServingVersionPointer version = context_.version();
    // A record that names this daemon is taken over here whichever daemon is its home: no other daemon would do it.
    if (record.owner == context_.settings.name) {
        return true;
    }
    return version != nullptr && context_.peers.isHomeAmong(record.id, regionFilterOf(*version, record, context_.settings.regions), now);
}

auto JobTakeover::mayHold(const JobRecord &record, BootTime now) const -> bool
{
    const ServingVersionPointer version = context_.version();
    const bool hasRegions = version == nullptr || version->hasRegions();
    return !hasRegions || isResponsible(record, now);
}

auto JobTakeover::mayBeResponsible(const std::string &id, BootTime now) const -> bool
{
    const ServingVersionPointer version = context_.version();
    if (version == nullptr || !version->hasRegions()) {
        return context_.peers.homeOf(id, now) == context_.settings.name;
    }
    // The home among the daemons of all allowed regions is also the home in its own region.
    const auto own = context_.settings.regions.find(context_.settings.dataCentre);
    const bool isRegional = own != context_.settings.regions.end()
                            && context_.peers.isHomeAmong(id, RegionFilter({ own->second }, {}, context_.settings.regions), now);
    return isRegional || context_.peers.homeOf(id, now) == context_.settings.name;
}

auto JobTakeover::needsTakeover(const JobRecord &record, BootTime now) const -> bool
{
    if (record.owner == context_.settings.name) {
        return true;
    }
    const Peer *owner = context_.peers.find(record.owner);
    if (owner == nullptr || owner->incarnation.empty()) {
        return now - startedAt_ > STARTUP_GRACE && context_.peers.isUnheardGone(now);
    }
    return owner->incarnation != record.ownerIncarnation || hasLeft(*owner, now);
}

auto JobTakeover::takeOver(const std::string &id) -> void
{
    // A retry may come due after another takeover of the job has succeeded, or its submission has.
    incompleteTakeovers_.erase(id);
    if (registry_.find(id) != nullptr || !takingOver_.insert(id).second) {
        return;
    }
    repository_.read(id, [this, id](const absl::StatusOr<JobRecord> &record) {
        const bool isOwned = registry_.find(id) != nullptr;
        const BootTime now = BootClock::now();
        if (isOwned || !record.ok() || !record->isOpen() || !needsTakeover(*record, now) || !mayHold(*record, now)) {
            endTakeover(id, "read", record.status());
            return;
        }
        claim(*record);
    });
}

auto JobTakeover::claim(const JobRecord &record) -> void
{
    JobRecord claimed = record;
    claimed.owner = context_.settings.name;
    claimed.ownerIncarnation = context_.peerLink.incarnation();
    claimed.ownerAddress = context_.settings.peersAddress;
    EventLog::write("job_take_over", { { "job", record.id }, { "from", record.owner }, { "revision", record.version } });
    repository_.replace(claimed, [this, id = record.id, former = record.owner](const absl::StatusOr<JobRecord> &stored) {
        if (!stored.ok()) {
            endTakeover(id, "claim", stored.status());
            return;
        }
        fetchProgress(*stored, former);
    });
}

auto JobTakeover::fetchProgress(const JobRecord &record, const std::string &formerOwner) -> void
{
    // A daemon that no relay hears may still live, and hands the job over when asked.
    const Peer *former = context_.peers.find(formerOwner);
    const BootTime now = BootClock::now();
    if (former == nullptr) {
        loadItems(record, {});
        return;
    }
    const HttpCall call { "POST", std::string(HANDOVER_PATH) + record.id, {}, {} };
    context_.peerClient.call(former->address, call, now + HANDOVER_TIMEOUT, [this, record](const HttpCallOutcome &outcome) {
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

auto JobTakeover::fenceResultLog(const JobRecord &record, const std::vector<JobItem> &items, const std::string &progress, int attemptsLeft)
    -> void
{
    repository_.readResultLog(
        record.id, [this, record, items, progress, attemptsLeft](const absl::StatusOr<JobRepository::ResultLog> &found) {
            if (!found.ok() || attemptsLeft == 0) {
                endTakeover(record.id, "log", found.ok() ? absl::AbortedError("the log could not be fenced") : found.status());
                scheduleRetry(record.id);
                return;
            }
            if (found->fence > record.version) {
                // Another daemon has replaced this one in the record and closed the log to it.
                endTakeover(record.id, "log", absl::AbortedError("another daemon has taken the job over meanwhile"));
                return;
            }
            JobRepository::ResultLog log = *found;
            if (log.results.size() >= items.size()) {
                completeTakeover(record, items, log, progress);
                return;
            }
            repository_.appendFence(record.id,
                                    log.nextEntryNumber,
                                    record.version,
                                    [this, record, items, log, progress, attemptsLeft](const absl::Status &status) {
                                        if (status.ok()) {
                                            JobRepository::ResultLog fenced = log;
                                            ++fenced.nextEntryNumber;
                                            completeTakeover(record, items, fenced, progress);
                                            return;
                                        }
                                        // The former owner appended first, or the response was lost: reads the log again to find out.
                                        fenceResultLog(record, items, progress, attemptsLeft - 1);
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
    if (!registry_.add(std::move(job))) {
        // The claim and the fence are newer than what the owned job holds of the record and the log.
        endTakeover(record.id, "done", absl::AlreadyExistsError("the job is owned already"));
        verifyAgain(record.id);
        return;
    }
    // The job may have been cancelled since it was claimed. Its items start when the record has been read again.
    verifyAgain(record.id);
    registry_.scheduleCommit(record.id);
    context_.metrics.count("jobs_taken_over");
    endTakeover(record.id, "done", absl::OkStatus());
}

auto JobTakeover::scheduleRetry(const std::string &id) -> void
{
    // The record names this daemon now, and the others see it alive, so none of them would take over the job.
    incompleteTakeovers_[id] = BootClock::now() + TAKEOVER_RETRY_DELAY;
}

auto JobTakeover::endTakeover(const std::string &id, const char *step, const absl::Status &status) -> void
{
    takingOver_.erase(id);
    if (!status.ok()) {
        EventLog::write("job_take_over_failed", { { "job", id }, { "step", step }, { "reason", status.message() } });
    }
}

} // namespace poplardock
