#include "Process/Batch/JobAdoption.h"

#include "Process/EventLog.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Stale lists cost a tenth of a call; jobs are due in many seconds.
constexpr Milliseconds REVIEW_PERIOD { 2000 };
constexpr Milliseconds SOON { 150 };
/// Time after the start in which owners that were not heard yet count as alive.
constexpr Milliseconds SETTLE_TIME { 2500 };
constexpr Milliseconds STORE_SILENCE { 1000 };
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
}

auto JobAdoption::start() -> void
{
    review(false);
    next_ = parts_.loop.every(REVIEW_PERIOD, [this] { review(true); });
}

auto JobAdoption::drain() -> void
{
    isDraining_ = true;
}

auto JobAdoption::reviewSoon() -> void
{
    if (!soon_.isPending()) {
        soon_ = parts_.loop.at(BootClock::now() + SOON, [this] { review(false); });
    }
}

auto JobAdoption::hasStore(BootTime now) const -> bool
{
    const auto lostSince = parts_.store.lostSince();
    return !lostSince || now - *lostSince < STORE_SILENCE;
}

auto JobAdoption::isSureOf(const std::string &id) const -> bool
{
    return !doubted_.contains(id) && hasStore(BootClock::now());
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
        const bool isOwner = record.ok() && record->owner == parts_.settings.name && record->ownerIncarnation == parts_.peerLink.incarnation();
        if (!isOwner) {
            release(id);
        } else if (OwnedJob *job = book_.find(id)) {
            job->setRecord(*record);
            if (!record->isOpen()) {
                runner_.stopJob(id);
            }
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
    if (!isDraining_ && hasStore(now) && needsOwner(record, now) && parts_.peers.homeOf(record.id, now) == parts_.settings.name) {
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
    return !isSameStart || !parts_.peers.isAlive(*owner, now) || owner->report.isLeaving || !owner->report.hasStore;
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
    ledger_.replace(record, [this, id = found.id](const absl::StatusOr<JobRecord> &claimed) {
        if (!claimed.ok()) {
            endTakeOver(id, "claim", claimed.status());
            return;
        }
        load(*claimed);
    });
}

auto JobAdoption::load(const JobRecord &record) -> void
{
    ledger_.readItems(record, [this, record](const absl::StatusOr<std::vector<JobItem>> &items) {
        if (!items.ok()) {
            endTakeOver(record.id, "items", items.status());
            return;
        }
        ledger_.readLog(record.id, [this, record, items = *items](const absl::StatusOr<JobLedger::Log> &log) {
            if (log.ok()) {
                book_.add(OwnedJob(record, items, *log));
                parts_.metrics.count("jobs_taken_over");
            }
            endTakeOver(record.id, "log", log.status());
        });
    });
}

auto JobAdoption::endTakeOver(const std::string &id, const char *step, const absl::Status &status) -> void
{
    takingOver_.erase(id);
    if (!status.ok()) {
        EventLog::write("job_take_over_failed", { { "job", id }, { "step", step }, { "reason", status.message() } });
    }
}

} // namespace poplardock
