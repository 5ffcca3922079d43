#include "Process/Batch/JobAdoption.h"

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

JobAdoption::JobAdoption(FrontParts &parts, JobLedger &ledger, JobBook &book, JobRunner &runner)
    : parts_(parts)
    , ledger_(ledger)
    , book_(book)
    , runner_(runner)
    , startedAt_(BootClock::now())
{
    book_.setConflictHandler([this](const std::string &id) {
        // A reading of the record that is under way may be older than the conflict.
        doubted_.insert(id);
        verify(id);
    });
}

auto JobAdoption::start() -> void
{
    review(false);
    next_ = parts_.loop.at(startedAt_ + SETTLE_TIME + SETTLE_MARGIN, [this] {
        review(true);
        scheduleReview();
    });
}

auto JobAdoption::scheduleReview() -> void
{
    const BootTime now = BootClock::now();
    const Milliseconds period = std::max(REVIEW_PERIOD, REVIEW_PERIOD_PER_DAEMON * parts_.peers.daemonCount(now));
    next_ = parts_.loop.at(now + period, [this] {
        review(true);
        scheduleReview();
    });
}

auto JobAdoption::stop() -> void
{
    drain();
    next_.cancel();
}

auto JobAdoption::drain() -> void
{
    isDraining_ = true;
}

auto JobAdoption::reviewPeers() -> void
{
    const BootTime now = BootClock::now();
    if (isDraining_ || !hasStore(now)) {
        return;
    }
    for (auto each = unfinished_.begin(); each != unfinished_.end();) {
        const auto next = std::next(each);
        if (each->second <= now) {
            const std::string id = each->first;
            unfinished_.erase(each);
            takeOver(id);
        }
        each = next;
    }
    std::erase_if(retryAt_, [now](const auto &each) { return each.second <= now; });
    for (const auto &[name, peer] : parts_.peers.peers()) {
        const bool isSound = parts_.peers.mayTakeWork(peer, now);
        for (const std::string &id : isSound ? peer.report.jobs : std::vector<std::string>()) {
            // Two daemons take themselves for the owner: the record decides.
            if (book_.find(id) != nullptr && retryAt_.emplace(id, now + DOUBT_PAUSE).second) {
                doubt(id);
            }
        }
        for (const std::string &id : isSound ? std::vector<std::string>() : peer.report.jobs) {
            const bool isMine = parts_.peers.homeOf(id, now) == parts_.settings.name;
            if (isMine && book_.find(id) == nullptr && retryAt_.emplace(id, now + REVIEW_PERIOD).second) {
                takeOver(id);
            }
        }
    }
}

auto JobAdoption::handOver(const std::string &id) -> std::string
{
    OwnedJob *job = book_.find(id);
    if (job == nullptr) {
        return {};
    }
    runner_.stopJob(id);
    std::string progress = job->progressText();
    EventLog::write("job_handed_over", { { "job", id }, { "bytes", static_cast<std::uint64_t>(progress.size()) } });
    book_.drop(id);
    return progress;
}

auto JobAdoption::hasStore(BootTime now) const -> bool
{
    const auto lostSince = parts_.store.lostSince();
    return !lostSince || now - *lostSince < STORE_SILENCE;
}

auto JobAdoption::isSureOf(const std::string &id) const -> bool
{
    // A daemon that shuts down has told the others to take its jobs over.
    return !isDraining_ && !doubted_.contains(id) && hasStore(BootClock::now());
}

auto JobAdoption::doubtOwnership() -> void
{
    for (const std::string &id : book_.ids()) {
        doubt(id);
    }
}

auto JobAdoption::doubt(const std::string &id) -> void
{
    if (doubted_.insert(id).second) {
        verify(id);
    }
}

auto JobAdoption::verify(const std::string &id) -> void
{
    ledger_.read(id, [this, id](const absl::StatusOr<JobRecord> &record) {
        if (!record.ok() && !absl::IsNotFound(record.status())) {
            // Tried again with the next review.
            return;
        }
        const bool isOwner
            = record.ok() && record->owner == parts_.settings.name && record->ownerIncarnation == parts_.peerLink.incarnation();
        if (!isOwner) {
            release(id);
        } else if (OwnedJob *job = book_.find(id)) {
            job->setRecord(*record);
            if (!record->isOpen()) {
                runner_.stopJob(id);
            }
            book_.resume(id);
        }
        doubted_.erase(id);
    });
}

auto JobAdoption::release(const std::string &id) -> void
{
    runner_.stopJob(id);
    book_.drop(id);
}

auto JobAdoption::review(bool allowsStale) -> void
{
    for (const std::string &id : std::set<std::string>(doubted_)) {
        verify(id);
    }
    ledger_.list(allowsStale, [this](const absl::StatusOr<std::vector<JobRecord>> &records) {
        if (!records.ok()) {
            return;
        }
        for (const JobRecord &record : *records) {
            reviewOne(record);
        }
    });
}

auto JobAdoption::reviewOne(const JobRecord &record) -> void
{
    const BootTime now = BootClock::now();
    const bool isOwnName = record.owner == parts_.settings.name && record.ownerIncarnation == parts_.peerLink.incarnation();
    if (OwnedJob *job = book_.find(record.id)) {
        // A stale list may show an owner before this one; the record itself decides.
        if (record.version > job->record().version && (!isOwnName || record.isCancelled)) {
            doubt(record.id);
        }
        return;
    }
    if (!record.isOpen()) {
        const auto end = std::max(record.giveUpAt, record.submittedAt + parts_.settings.bounds.jobReadable) + REMOVAL_MARGIN;
        if (WallClock::now() > end && parts_.peers.homeOf(record.id, now) == parts_.settings.name && !isDraining_) {
            ledger_.remove(record);
        }
        return;
    }
    // A record that names this daemon is taken over here whoever the home is: no other daemon would.
    const bool isMine = record.owner == parts_.settings.name || parts_.peers.homeOf(record.id, now) == parts_.settings.name;
    if (!isDraining_ && hasStore(now) && isMine && needsOwner(record, now)) {
        takeOver(record.id);
    }
}

auto JobAdoption::needsOwner(const JobRecord &record, BootTime now) const -> bool
{
    if (record.owner == parts_.settings.name) {
        return true;
    }
    const Peer *owner = parts_.peers.find(record.owner);
    if (owner == nullptr || owner->report.incarnation.empty()) {
        return now - startedAt_ > SETTLE_TIME;
    }
    const bool isSameStart = owner->report.incarnation == record.ownerIncarnation;
    return !isSameStart || !parts_.peers.mayTakeWork(*owner, now);
}

auto JobAdoption::takeOver(const std::string &id) -> void
{
    if (!takingOver_.insert(id).second) {
        return;
    }
    ledger_.read(id, [this, id](const absl::StatusOr<JobRecord> &record) {
        if (!record.ok() || !record->isOpen() || !needsOwner(*record, BootClock::now())) {
            endTakeOver(id, "read", record.status());
            return;
        }
        claim(*record);
    });
}

auto JobAdoption::claim(const JobRecord &found) -> void
{
    JobRecord record = found;
    record.owner = parts_.settings.name;
    record.ownerIncarnation = parts_.peerLink.incarnation();
    record.ownerAddress = parts_.settings.peersAddress;
    EventLog::write("job_take_over", { { "job", found.id }, { "from", found.owner }, { "revision", found.version } });
    ledger_.replace(record, [this, id = found.id, former = found.owner](const absl::StatusOr<JobRecord> &claimed) {
        if (!claimed.ok()) {
            endTakeOver(id, "claim", claimed.status());
            return;
        }
        fetchProgress(*claimed, former);
    });
}

auto JobAdoption::fetchProgress(const JobRecord &record, const std::string &formerOwner) -> void
{
    const Peer *former = parts_.peers.find(formerOwner);
    const BootTime now = BootClock::now();
    if (former == nullptr || !parts_.peers.isAlive(*former, now)) {
        load(record, {});
        return;
    }
    const HttpCall call { "POST", std::string(HAND_OVER_PATH) + record.id, {}, {} };
    parts_.peerClient.call(former->address, call, now + HAND_OVER_TIME, [this, record](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        load(record, result != nullptr && result->status == HttpStatus::OK ? result->body : std::string());
    });
}

auto JobAdoption::load(const JobRecord &record, const std::string &progress) -> void
{
    ledger_.readItems(record, [this, record, progress](const absl::StatusOr<std::vector<JobItem>> &items) {
        if (!items.ok()) {
            endTakeOver(record.id, "items", items.status());
            finishLater(record.id);
            return;
        }
        fenceLog(record, *items, progress, FENCE_ATTEMPTS);
    });
}

auto JobAdoption::fenceLog(const JobRecord &record, const std::vector<JobItem> &items, const std::string &progress, int attempts) -> void
{
    ledger_.readLog(record.id, [this, record, items, progress, attempts](const absl::StatusOr<JobLedger::Log> &found) {
        if (!found.ok() || attempts == 0) {
            endTakeOver(record.id, "log", found.ok() ? absl::AbortedError("the log grows") : found.status());
            finishLater(record.id);
            return;
        }
        JobLedger::Log log = *found;
        if (log.results.size() >= items.size()) {
            adopt(record, items, log, progress);
            return;
        }
        ledger_.append(record.id, log.nextNumber, {}, [this, record, items, log, progress, attempts](const absl::Status &status) {
            if (status.ok()) {
                JobLedger::Log fenced = log;
                ++fenced.nextNumber;
                adopt(record, items, fenced, progress);
                return;
            }
            // The owner before was faster, or the answer was lost: what stands there is read again.
            fenceLog(record, items, progress, attempts - 1);
        });
    });
}

auto JobAdoption::adopt(const JobRecord &record, const std::vector<JobItem> &items, const JobLedger::Log &log, const std::string &progress)
    -> void
{
    OwnedJob job(record, items, log);
    if (!progress.empty()) {
        const absl::Status status = job.applyProgress(progress);
        EventLog::write("job_progress_taken", { { "job", record.id }, { "ok", status.ok() }, { "reason", status.message() } });
    }
    book_.add(std::move(job));
    book_.resultReady(record.id);
    parts_.metrics.count("jobs_taken_over");
    endTakeOver(record.id, "done", absl::OkStatus());
}

auto JobAdoption::finishLater(const std::string &id) -> void
{
    // The record names this daemon now, which others see alive, so that none of them takes the job over.
    unfinished_[id] = BootClock::now() + FINISH_PAUSE;
}

auto JobAdoption::endTakeOver(const std::string &id, const char *step, const absl::Status &status) -> void
{
    takingOver_.erase(id);
    if (!status.ok()) {
        EventLog::write("job_take_over_failed", { { "job", id }, { "step", step }, { "reason", status.message() } });
    }
}

} // namespace poplardock
