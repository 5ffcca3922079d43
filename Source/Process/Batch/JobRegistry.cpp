#include "Process/Batch/JobRegistry.h"

#include "Process/EventLog.h"
#include "Request/ItemBackoff.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Results that arrive within this time share one write, unless the job is due soon.
constexpr Milliseconds COMMIT_WINDOW { 1000 };
/// Results this close to the due time are written at once, since callers poll only about twice a second.
constexpr Milliseconds DUE_MARGIN { 2500 };
constexpr Milliseconds RETRY_DELAY { 200 };
/// How often RETRY_DELAY is doubled while the mark of a job that is done cannot be written.
constexpr int MAXIMUM_MARK_DOUBLINGS = 7;
/// Most bytes of several results in one log entry. A single result may take as many as an entry holds. The function that encodes
/// entries also makes pages for readers, and leaves out what exceeds 900,000 bytes.
constexpr std::size_t MAXIMUM_GROUP_BYTES = 800U << 10U;

/// Objects of one item of a job, its headers included.
constexpr std::uint64_t ITEM_BYTES = 1024;

auto bytesOf(OwnedJob &job) -> std::uint64_t
{
    std::uint64_t bytes = 0;
    for (const ItemProgress &item : job.items()) {
        bytes += ITEM_BYTES + item.item.body.capacity() + item.text.capacity();
    }
    for (const JobResult &result : job.committed()) {
        bytes += result.text.capacity();
    }
    for (const JobResult &result : job.uncommitted()) {
        bytes += result.text.capacity();
    }
    return bytes;
}

auto countThatFits(const std::vector<JobResult> &results, std::size_t maximumBytes) -> std::size_t
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < results.size()) {
        bytes += JobRepository::entryBytes(results[count]);
        if (count > 0 && bytes > maximumBytes) {
            break;
        }
        ++count;
    }
    return count;
}

} // namespace

JobRegistry::JobRegistry(FrontParts &context, JobRepository &repository)
    : context_(context)
    , repository_(repository)
{
    context_.heldBytes->addHolders([this](BootTime /*now*/) -> std::optional<HeldBytes::Candidate> {
        const std::vector<std::string> ended = endedJobs();
        if (ended.empty()) {
            return std::nullopt;
        }
        // The store answers for it as well, so it goes before any connection.
        return HeldBytes::Candidate { { entries_.at(ended.front())->charge.bytes(), BootTime() }, [this, id = ended.front()] {
                                         drop(id);
                                     } };
    });
}

auto JobRegistry::add(OwnedJob job) -> bool
{
    const std::string id = job.record().id;
    if (entries_.contains(id)) {
        EventLog::write("job_owned_already", { { "job", id } });
        return false;
    }
    EventLog::write("job_owned",
                    { { "job", id },
                      { "items", static_cast<std::uint64_t>(job.items().size()) },
                      { "listed", static_cast<std::uint64_t>(job.committed().size()) } });
    entries_[id] = std::make_unique<Entry>(std::move(job), context_.heldBytes);
    entries_[id]->charge.set(bytesOf(entries_[id]->job));
    if (entries_[id]->job.isComplete()) {
        markDone(id);
    }
    return true;
}

auto JobRegistry::drop(const std::string &id) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    EventLog::write("job_dropped", { { "job", id } });
    const auto entry = std::move(found->second);
    entries_.erase(found);
    wakeAll(std::move(entry->readers));
}

auto JobRegistry::dropIfEnded(const std::string &id) -> bool
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !hasEnded(*found->second)) {
        return false;
    }
    drop(id);
    return true;
}

auto JobRegistry::find(const std::string &id) -> OwnedJob *
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second->job;
}

auto JobRegistry::ids() const -> std::vector<std::string>
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : entries_) {
        ids.push_back(id);
    }
    return ids;
}

auto JobRegistry::size() const -> std::size_t
{
    return entries_.size();
}

auto JobRegistry::heldBytes() const -> std::uint64_t
{
    std::uint64_t bytes = 0;
    for (const auto &[id, entry] : entries_) {
        bytes += entry->charge.bytes();
    }
    return bytes;
}

auto JobRegistry::tryReserveText(const std::string &id, ItemProgress &item, std::size_t bytes) -> bool
{
    const auto found = entries_.find(id);
    const std::size_t held = item.text.capacity();
    if (found == entries_.end() || bytes <= held) {
        return true;
    }
    const std::size_t wanted = std::max(bytes, 2 * held);
    HeldBytes::Charge &charge = found->second->charge;
    if (!charge.trySet(charge.bytes() + wanted - held, BootClock::now())) {
        return false;
    }
    item.text.reserve(wanted);
    return true;
}

auto JobRegistry::maximumStoredTextBytes() const -> std::size_t
{
    return repository_.maximumEntryBytes() - std::min(repository_.maximumEntryBytes(), JobRepository::entryBytes({}));
}

auto JobRegistry::updateCharge(const std::string &id) -> void
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second->charge.set(bytesOf(found->second->job));
    }
}

auto JobRegistry::makeRoom(std::uint64_t bytes) -> bool
{
    std::uint64_t held = heldBytes();
    if (held <= bytes) {
        return true;
    }
    for (const std::string &id : ids()) {
        if (find(id)->isComplete()) {
            markDone(id);
        }
    }
    // Down to half of what is allowed, so that not every submission looks through all jobs.
    for (const std::string &id : endedJobs()) {
        if (held <= bytes / 2) {
            break;
        }
        held -= entries_.at(id)->charge.bytes();
        context_.metrics.count("ended_jobs_dropped");
        drop(id);
    }
    return held <= bytes;
}

auto JobRegistry::endedJobs() const -> std::vector<std::string>
{
    std::vector<std::pair<BootTime, std::string>> ended;
    for (const auto &[id, entry] : entries_) {
        if (hasEnded(*entry)) {
            ended.emplace_back(entry->job.ownedSince(), id);
        }
    }
    std::sort(ended.begin(), ended.end());
    std::vector<std::string> ids;
    std::transform(ended.begin(), ended.end(), std::back_inserter(ids), [](const auto &each) { return each.second; });
    return ids;
}

auto JobRegistry::hasEnded(const Entry &entry) -> bool
{
    const bool isRunning = std::any_of(
        entry.job.items().begin(), entry.job.items().end(), [](const ItemProgress &item) { return item.phase == ItemPhase::Running; });
    return !entry.job.record().isOpen() && entry.job.uncommitted().empty() && !entry.isCommitting && !entry.isMarkingDone
           && !entry.isCancelling && entry.readers.empty() && !isRunning;
}

auto JobRegistry::forEach(const std::function<void(const std::string &id, OwnedJob &job)> &visit) -> void
{
    for (const auto &[id, entry] : entries_) {
        visit(id, entry->job);
    }
}

auto JobRegistry::setConflictHandler(std::function<void(const std::string &id)> onConflict) -> void
{
    onConflict_ = std::move(onConflict);
}

auto JobRegistry::resumeCommits(const std::string &id) -> void
{
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second->hasConflict) {
        found->second->hasConflict = false;
        reloadResultLog(id);
    }
}

auto JobRegistry::scheduleCommit(const std::string &id) -> void
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second->charge.set(bytesOf(found->second->job));
    }
    if (found == entries_.end() || found->second->isCommitting || found->second->commitTimer.isPending()
        || found->second->job.uncommitted().empty()) {
        return;
    }
    const JobRecord &record = found->second->job.record();
    const bool isLast
        = found->second->job.committed().size() + found->second->job.uncommitted().size() >= found->second->job.items().size();
    const bool isDueSoon = WallClock::now() + DUE_MARGIN > record.dueAt;
    startCommitTimer(*found->second, id, isLast || isDueSoon ? Milliseconds(0) : COMMIT_WINDOW);
}

auto JobRegistry::startCommitTimer(Entry &entry, const std::string &id, Milliseconds delay) -> void
{
    entry.commitTimer = context_.loop.at(BootClock::now() + delay, [this, id] { commit(id); });
}

auto JobRegistry::commit(const std::string &id) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second->isCommitting || found->second->job.uncommitted().empty()) {
        return;
    }
    Entry &entry = *found->second;
    entry.isCommitting = true;
    const std::size_t groupBytes = std::min(MAXIMUM_GROUP_BYTES, repository_.maximumEntryBytes());
    const std::size_t count = std::min(countThatFits(entry.job.uncommitted(), groupBytes), entry.commitLimit);
    const std::vector<JobResult> results(entry.job.uncommitted().begin(),
                                         entry.job.uncommitted().begin() + static_cast<std::ptrdiff_t>(count));
    repository_.append(id, entry.job.nextEntryNumber(), results, [this, id, count, sentAt = BootClock::now()](const absl::Status &status) {
        onCommitDone(id, count, sentAt, status);
    });
}

auto JobRegistry::onCommitDone(const std::string &id, std::size_t count, BootTime sentAt, const absl::Status &status) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = *found->second;
    entry.isCommitting = false;
    if (absl::IsAlreadyExists(status)) {
        entry.isCommitting = true;
        entry.hasConflict = true;
        onConflict_(id);
        return;
    }
    if (absl::IsInvalidArgument(status)) {
        onCommitRefused(id, entry, count);
        return;
    }
    if (!status.ok()) {
        EventLog::write("results_not_written", { { "job", id }, { "reason", status.message() } });
        startCommitTimer(entry, id, RETRY_DELAY);
        return;
    }
    entry.commitLimit = std::numeric_limits<std::size_t>::max();
    entry.job.markCommitted(count);
    entry.charge.set(bytesOf(entry.job));
    entry.job.proveOwned(sentAt);
    EventLog::write("results_listed",
                    { { "job", id },
                      { "count", static_cast<std::uint64_t>(count) },
                      { "listed", static_cast<std::uint64_t>(entry.job.committed().size()) } });
    wakeReaders(entry);
    if (!entry.job.uncommitted().empty()) {
        startCommitTimer(entry, id, Milliseconds(0));
    }
    if (entry.job.isComplete()) {
        markDone(id);
    }
}

auto JobRegistry::onCommitRefused(const std::string &id, Entry &entry, std::size_t count) -> void
{
    const std::string &itemId = entry.job.uncommitted().front().itemId;
    EventLog::write("results_refused", { { "job", id }, { "count", static_cast<std::uint64_t>(count) }, { "first_item", itemId } });
    context_.metrics.count("result_writes_refused");
    if (count > 1) {
        entry.commitLimit = (count + 1) / 2;
    } else {
        ItemProgress *item = entry.job.findItem(itemId);
        const int losses = item == nullptr ? 1 : ++item->losses;
        entry.job.withdrawResult(BootClock::now() + ItemBackoff::afterUnusableAnswer(losses));
        entry.commitLimit = std::numeric_limits<std::size_t>::max();
        entry.charge.set(bytesOf(entry.job));
    }
    if (!entry.job.uncommitted().empty()) {
        startCommitTimer(entry, id, Milliseconds(0));
    }
}

auto JobRegistry::reloadResultLog(const std::string &id) -> void
{
    repository_.readResultLog(id, [this, id](const absl::StatusOr<JobRepository::ResultLog> &log) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            return;
        }
        Entry &entry = *found->second;
        if (!log.ok()) {
            entry.commitTimer = context_.loop.at(BootClock::now() + RETRY_DELAY, [this, id] { reloadResultLog(id); });
            return;
        }
        entry.isCommitting = false;
        entry.job.replaceResultLog(*log);
        wakeReaders(entry);
        if (entry.job.isComplete()) {
            markDone(id);
        } else if (!entry.job.uncommitted().empty()) {
            startCommitTimer(entry, id, Milliseconds(0));
        }
    });
}

auto JobRegistry::markDone(const std::string &id) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second->isMarkingDone || !found->second->job.record().isOpen()) {
        return;
    }
    found->second->isMarkingDone = true;
    JobRecord record = found->second->job.record();
    record.isDone = true;
    repository_.replace(record, [this, id](const absl::StatusOr<JobRecord> &result) {
        const auto entry = entries_.find(id);
        if (entry == entries_.end()) {
            return;
        }
        entry->second->isMarkingDone = false;
        if (result.ok()) {
            entry->second->job.setRecord(*result);
            return;
        }
        EventLog::write("job_not_marked_done", { { "job", id }, { "reason", result.status().message() } });
        scheduleMarkCheck(id, *entry->second);
    });
}

auto JobRegistry::scheduleMarkCheck(const std::string &id, Entry &entry) -> void
{
    if (!entry.markTimer.isPending()) {
        const Milliseconds delay = RETRY_DELAY * (1 << std::min(entry.markFailures++, MAXIMUM_MARK_DOUBLINGS));
        entry.markTimer = context_.loop.at(BootClock::now() + delay, [this, id] { checkMark(id); });
    }
}

auto JobRegistry::checkMark(const std::string &id) -> void
{
    repository_.read(id, [this, id](const absl::StatusOr<JobRecord> &record) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            return;
        }
        Entry &entry = *found->second;
        const JobRecord &known = entry.job.record();
        if (!record.ok() && !absl::IsNotFound(record.status())) {
            scheduleMarkCheck(id, entry);
            return;
        }
        if (!record.ok() || record->owner != known.owner || record->ownerIncarnation != known.ownerIncarnation) {
            onConflict_(id);
            return;
        }
        if (record->version > known.version && !entry.isCancelling) {
            entry.job.setRecord(*record);
        }
        markDone(id);
    });
}

auto JobRegistry::awaitResults(const std::string &id, std::size_t from, BootTime deadline, WakeHandler wake) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second->job.committed().size() > from || deadline <= BootClock::now()) {
        wake();
        return;
    }
    const std::uint64_t key = ++lastReaderId_;
    Reader reader { from, std::move(wake), context_.loop.at(deadline, [this, id, key] {
                       const auto entry = entries_.find(id);
                       if (entry == entries_.end()) {
                           return;
                       }
                       const auto waiting = entry->second->readers.find(key);
                       if (waiting != entry->second->readers.end()) {
                           const WakeHandler call = std::move(waiting->second.wake);
                           entry->second->readers.erase(waiting);
                           call();
                       }
                   }) };
    found->second->readers.emplace(key, std::move(reader));
}

auto JobRegistry::wakeReaders(Entry &entry) -> void
{
    std::map<std::uint64_t, Reader> ready;
    for (auto reader = entry.readers.begin(); reader != entry.readers.end();) {
        const auto next = std::next(reader);
        if (entry.job.committed().size() > reader->second.from) {
            ready.insert(entry.readers.extract(reader));
        }
        reader = next;
    }
    wakeAll(std::move(ready));
}

auto JobRegistry::wakeAll(std::map<std::uint64_t, Reader> &&readers) -> void
{
    for (auto &[key, reader] : readers) {
        reader.timeoutTimer.cancel();
        reader.wake();
    }
}

auto JobRegistry::cancel(const std::string &id, std::function<void(const absl::Status &)> handler) -> void
{
    OwnedJob *job = find(id);
    if (job == nullptr) {
        handler(absl::NotFoundError("the job is not owned here"));
        return;
    }
    JobRecord record = job->record();
    record.isCancelled = true;
    // No further items start from now on; the stored record makes the cancellation permanent.
    job->setRecord(record);
    entries_[id]->isCancelling = true;
    repository_.replace(record, [this, id, handler = std::move(handler)](const absl::StatusOr<JobRecord> &result) {
        const auto entry = entries_.find(id);
        if (entry != entries_.end()) {
            entry->second->isCancelling = false;
            if (result.ok()) {
                entry->second->job.setRecord(*result);
            }
        }
        handler(result.status());
    });
}

auto JobRegistry::isCancelling(const std::string &id) const -> bool
{
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second->isCancelling;
}

auto JobRegistry::flush() -> void
{
    for (auto &[id, entry] : entries_) {
        entry->commitTimer.cancel();
        commit(id);
    }
}

auto JobRegistry::isFlushed() const -> bool
{
    return std::all_of(entries_.begin(), entries_.end(), [](const auto &each) { return each.second->job.uncommitted().empty(); });
}

} // namespace poplardock
