#include "Process/Batch/JobRepository.h"

#include "Process/EventLog.h"
#include "Process/Json.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *PAYLOAD_KIND = "payloads";
constexpr const char *LOG_KIND_PREFIX = "results-";
/// Field of an entry of a result log: the claim of the owner that fenced the log with it.
constexpr const char *FENCE_FIELD = "fence";
/// Fraction of the store's largest value that the unencoded bodies of one payload may take. Base64 adds a third; the
/// rest is left for headers.
constexpr double PAYLOAD_FRACTION = 0.6;
constexpr Milliseconds RETRY_DELAY { 100 };
constexpr std::size_t ENTRY_DIGITS = 6;
/// Left of an object for what an entry holds beside its results; a sixteenth of it, if that is less.
constexpr std::uint64_t ENTRY_RESERVE_BYTES = 16U << 10U;
/// The id of an item, its state and the names of the fields.
constexpr std::size_t RESULT_OVERHEAD_BYTES = 256;
/// Entries of other writers that are remembered as logged.
constexpr std::size_t MAXIMUM_ODD_ENTRIES = 1000;

auto payloadName(const std::string &id, std::size_t number) -> std::string
{
    return absl::StrCat(id, ".", number);
}

/// Zero-padded, so that the entries of a log sort by name in the order of their numbers.
auto entryName(std::size_t number) -> std::string
{
    return absl::StrFormat("%0*d", static_cast<int>(ENTRY_DIGITS), number);
}

auto logKind(const std::string &id) -> std::string
{
    return absl::StrCat(LOG_KIND_PREFIX, id);
}

auto isEntryName(const std::string &name) -> bool
{
    return name.size() >= ENTRY_DIGITS && std::all_of(name.begin(), name.end(), [](unsigned char c) { return absl::ascii_isdigit(c); });
}

/// The fence of an entry; 0 for one that has none.
auto fenceOf(const std::string &spec) -> absl::StatusOr<std::int64_t>
{
    const auto json = Json::parseObject(spec);
    return json.ok() ? Json::optionalInteger(**json, FENCE_FIELD, 0) : json.status();
}

} // namespace

struct JobRepository::Submission
{
    JobRecord record;
    std::vector<JobItem> items;
    /// The payloads and, last, the record.
    std::vector<StoredObject> writes;
    std::size_t nextWrite = 0;
    BootTime deadline;
    AcceptHandler onDone;
    /// The response to a write of the record was lost, so it may have been stored.
    bool isUncertain = false;
    Timer retryTimer;
};

JobRepository::JobRepository(EventLoop &loop, ObjectStore &store, const WireDialect &adapter, std::uint64_t valueBytes)
    : loop_(loop)
    , store_(store)
    , adapter_(adapter)
    , valueBytes_(valueBytes)
{
}

auto JobRepository::accept(const JobRecord &record, const std::vector<JobItem> &items, BootTime deadline, AcceptHandler handler) -> void
{
    auto submission = std::make_shared<Submission>();
    submission->record = record;
    submission->items = items;
    submission->deadline = deadline;
    submission->onDone = std::move(handler);
    prepareWrites(*submission, record.id);
    writeNext(submission);
}

auto JobRepository::prepareWrites(Submission &submission, const std::string &name) const -> void
{
    submission.record.id = name;
    submission.writes.clear();
    submission.nextWrite = 0;
    submission.isUncertain = false;
    const auto maxBytes = static_cast<std::size_t>(PAYLOAD_FRACTION * static_cast<double>(valueBytes_));
    std::vector<JobItem> payloadItems;
    std::size_t bytes = 0;
    const auto addPayload = [&] {
        StoredObject payload;
        payload.kind = PAYLOAD_KIND;
        payload.name = payloadName(name, submission.writes.size());
        payload.spec = adapter_.encodeItems(payloadItems);
        submission.writes.push_back(std::move(payload));
        payloadItems.clear();
        bytes = 0;
    };
    for (const JobItem &item : submission.items) {
        if (!payloadItems.empty() && bytes + item.body.size() > maxBytes) {
            addPayload();
        }
        bytes += item.body.size();
        payloadItems.push_back(item);
    }
    addPayload();
    submission.record.itemCount = submission.items.size();
    submission.record.payloadCount = submission.writes.size();
    submission.writes.push_back(toStored(submission.record));
}

auto JobRepository::retryOrGiveUp(const std::shared_ptr<Submission> &submission, const absl::Status &status, std::function<void()> retry)
    -> void
{
    const bool isRefused = !absl::IsUnknown(status) && !submission->isUncertain;
    if (isRefused || BootClock::now() >= submission->deadline) {
        EventLog::write("job_not_stored",
                        { { "job", submission->record.id }, { "uncertain", submission->isUncertain }, { "reason", status.message() } });
        submission->onDone(submission->isUncertain ? Acceptance::Uncertain : Acceptance::Refused, false, submission->record);
        return;
    }
    submission->retryTimer = loop_.at(BootClock::now() + RETRY_DELAY, std::move(retry));
}

auto JobRepository::writeNext(const std::shared_ptr<Submission> &submission) -> void
{
    const bool isRecord = submission->nextWrite + 1 == submission->writes.size();
    store_.create(submission->writes[submission->nextWrite], [this, submission, isRecord](const absl::StatusOr<StoredObject> &created) {
        const absl::Status &status = created.status();
        if (absl::IsAlreadyExists(status)) {
            compareWithRecord(submission);
            return;
        }
        if (status.ok()) {
            ++submission->nextWrite;
            if (isRecord) {
                submission->record.version = created->version;
                submission->onDone(Acceptance::Accepted, true, submission->record);
            } else {
                writeNext(submission);
            }
            return;
        }
        // A create whose response was lost may still take effect seconds later. Once that happened to the record, only
        // a success or an existing record ends the retries before the deadline.
        submission->isUncertain = submission->isUncertain || (isRecord && absl::IsUnknown(status));
        retryOrGiveUp(submission, status, [this, submission] { writeNext(submission); });
    });
}

auto JobRepository::compareWithRecord(const std::shared_ptr<Submission> &submission) -> void
{
    read(submission->record.id, [this, submission](const absl::StatusOr<JobRecord> &found) {
        const JobRecord &record = submission->record;
        if (found.ok() && found->isJobOf(record.team, record.chosenId())) {
            // An earlier call of this submission, or a repeat of it, has stored it.
            const bool isOwn
                = submission->isUncertain && found->owner == record.owner && found->ownerIncarnation == record.ownerIncarnation;
            submission->record.version = 0;
            submission->onDone(Acceptance::Accepted, isOwn, submission->record);
        } else if (found.ok() || absl::IsInvalidArgument(found.status())) {
            useOtherName(submission);
        } else if (absl::IsNotFound(found.status())) {
            compareWithPayload(submission);
        } else {
            retryOrGiveUp(submission, found.status(), [this, submission] { compareWithRecord(submission); });
        }
    });
}

auto JobRepository::compareWithPayload(const std::shared_ptr<Submission> &submission) -> void
{
    const StoredObject &write = submission->writes[submission->nextWrite];
    if (write.kind != PAYLOAD_KIND) {
        // The record existed a moment ago.
        retryOrGiveUp(submission, absl::UnknownError("the record was removed"), [this, submission] { writeNext(submission); });
        return;
    }
    store_.read(PAYLOAD_KIND, write.name, [this, submission, expected = write.spec](const absl::StatusOr<StoredObject> &found) {
        if (found.ok()) {
            // Left by a submission that was not finished: of this one or, with other items, of another team.
            const auto items = adapter_.decodeItems(found->spec);
            if (items.ok() && adapter_.encodeItems(*items) == expected) {
                ++submission->nextWrite;
                writeNext(submission);
            } else {
                useOtherName(submission);
            }
        } else {
            const auto status = absl::IsNotFound(found.status()) ? absl::UnknownError("the payload was removed") : found.status();
            retryOrGiveUp(submission, status, [this, submission] { writeNext(submission); });
        }
    });
}

auto JobRepository::useOtherName(const std::shared_ptr<Submission> &submission) -> void
{
    JobRecord &record = submission->record;
    if (!record.callerId.empty()) {
        if (submission->nextWrite + 1 == submission->writes.size()) {
            EventLog::write("job_not_stored", { { "job", record.id }, { "reason", "the record has another writer" } });
            submission->onDone(submission->isUncertain ? Acceptance::Uncertain : Acceptance::Refused, false, record);
            return;
        }
        // Only submissions of this team write payloads of the name.
        ++submission->nextWrite;
        writeNext(submission);
        return;
    }
    record.callerId = record.id;
    EventLog::write("job_id_of_other_team", { { "job", record.id }, { "team", record.team } });
    prepareWrites(*submission, jobNameOf(record.team, record.callerId));
    writeNext(submission);
}

auto JobRepository::read(const std::string &id, RecordHandler handler) -> void
{
    store_.read(JOB_KIND, id, [handler = std::move(handler)](const absl::StatusOr<StoredObject> &object) {
        handler(object.ok() ? jobRecordFrom(*object) : object.status());
    });
}

auto JobRepository::list(bool allowsStale, RecordsHandler handler) -> void
{
    store_.listAll(JOB_KIND, allowsStale, [handler = std::move(handler)](const absl::StatusOr<StoreList> &list) {
        if (!list.ok()) {
            handler(list.status());
            return;
        }
        std::vector<JobRecord> records;
        for (const StoredObject &object : list->objects) {
            auto record = jobRecordFrom(object);
            if (record.ok()) {
                records.push_back(*std::move(record));
            } else {
                EventLog::write("job_record_unreadable", { { "job", object.name }, { "reason", record.status().message() } });
            }
        }
        handler(records);
    });
}

auto JobRepository::replace(const JobRecord &record, RecordHandler handler) -> void
{
    store_.replace(toStored(record), [handler = std::move(handler)](const absl::StatusOr<StoredObject> &object) {
        handler(object.ok() ? jobRecordFrom(*object) : object.status());
    });
}

auto JobRepository::readItems(const JobRecord &record, ItemsHandler handler) -> void
{
    const auto found = std::make_shared<std::vector<JobItem>>();
    std::size_t left = record.payloadCount;
    if (left == 0) {
        handler(*found);
        return;
    }
    readPayloads(record, 0, [found, left, handler = std::move(handler)](const absl::StatusOr<std::vector<JobItem>> &items) mutable {
        if (!items.ok()) {
            handler(items.status());
            return false;
        }
        found->insert(found->end(), items->begin(), items->end());
        if (--left == 0) {
            handler(*found);
        }
        return left > 0;
    });
}

auto JobRepository::readItem(const JobRecord &record, const std::string &itemId, ItemHandler handler) -> void
{
    std::size_t left = record.payloadCount;
    if (left == 0) {
        handler(absl::NotFoundError("the job has no items"));
        return;
    }
    readPayloads(record, 0, [itemId, left, handler = std::move(handler)](const absl::StatusOr<std::vector<JobItem>> &items) mutable {
        if (!items.ok()) {
            handler(items.status());
            return false;
        }
        const auto item = std::find_if(items->begin(), items->end(), [&itemId](const JobItem &each) { return each.id == itemId; });
        if (item != items->end()) {
            handler(*item);
            return false;
        }
        if (--left == 0) {
            handler(absl::NotFoundError("the job has no such item"));
        }
        return left > 0;
    });
}

auto JobRepository::readPayloads(const JobRecord &record, std::size_t number, PayloadHandler handler) -> void
{
    store_.read(PAYLOAD_KIND, payloadName(record.id, number), [this, record, number, handler = std::move(handler)](const auto &object) {
        if (handler(object.ok() ? adapter_.decodeItems(object->spec) : object.status())) {
            readPayloads(record, number + 1, handler);
        }
    });
}

auto JobRepository::readLogPages(const std::string &id, std::size_t firstEntry, LogPageHandler handler) -> void
{
    const std::string after = firstEntry == 0 ? std::string() : entryName(firstEntry - 1);
    store_.listPages(
        logKind(id), false, after, [this, next = firstEntry, handler = std::move(handler)](const absl::StatusOr<StoreList> &list) mutable {
            if (!list.ok()) {
                return absl::IsNotFound(list.status()) ? handler(LogPage()) : handler(list.status());
            }
            LogPage page;
            page.hasMore = list->hasMore;
            for (const StoredObject &object : list->objects) {
                if (!isEntryName(object.name)) {
                    recordOddEntry(object, "its name is no number of the log");
                    continue;
                }
                // The log has no gaps. The store may list its entries in any order, so the names are checked.
                if (object.name != entryName(next)) {
                    return handler(
                        absl::InternalError(absl::StrCat("log out of sequence: entry ", object.name, " where ", next, " is due")));
                }
                page.entries.push_back(entryFrom(object, next));
                ++next;
            }
            return handler(page);
        });
}

auto JobRepository::entryFrom(const StoredObject &object, std::size_t number) -> LogEntry
{
    // An entry of another writer takes its number and adds nothing: the daemons' own entries can all be read.
    auto results = adapter_.decodeResults(object.spec);
    const auto fence = results.ok() && results->empty() ? fenceOf(object.spec) : 0;
    if (!results.ok() || !fence.ok()) {
        recordOddEntry(object, results.ok() ? fence.status().message() : results.status().message());
        return { number, {}, 0 };
    }
    return { number, *std::move(results), static_cast<std::uint64_t>(*fence) };
}

auto JobRepository::readResultLog(const std::string &id, ResultLogHandler handler) -> void
{
    const auto log = std::make_shared<ResultLog>();
    readLogPages(id, 0, [log, handler = std::move(handler)](const absl::StatusOr<LogPage> &page) {
        if (!page.ok()) {
            handler(page.status());
            return false;
        }
        for (const LogEntry &entry : page->entries) {
            log->nextEntryNumber = entry.number + 1;
            log->fence = std::max(log->fence, entry.fence);
            log->results.insert(log->results.end(), entry.results.begin(), entry.results.end());
        }
        if (!page->hasMore) {
            handler(*log);
        }
        return page->hasMore;
    });
}

auto JobRepository::recordOddEntry(const StoredObject &entry, absl::string_view reason) -> void
{
    if (oddEntries_.size() >= MAXIMUM_ODD_ENTRIES) {
        oddEntries_.clear();
    }
    if (oddEntries_.insert(absl::StrCat(entry.kind, "/", entry.name)).second) {
        EventLog::write("result_entry_skipped", { { "log", entry.kind }, { "entry", entry.name }, { "reason", reason } });
    }
}

auto JobRepository::maximumEntryBytes() const -> std::size_t
{
    constexpr std::uint64_t SIXTEENTH = 16;
    return static_cast<std::size_t>(valueBytes_ - std::min(valueBytes_ / SIXTEENTH, ENTRY_RESERVE_BYTES));
}

auto JobRepository::entryBytes(const JobResult &result) -> std::size_t
{
    return RESULT_OVERHEAD_BYTES + Json::encodedBytes(result.text);
}

auto JobRepository::append(const std::string &id, std::size_t entryNumber, const std::vector<JobResult> &results, AppendHandler handler)
    -> void
{
    createEntry(id, entryNumber, adapter_.encodeResults(results.size(), 0, results), std::move(handler));
}

auto JobRepository::appendFence(const std::string &id, std::size_t entryNumber, std::uint64_t claimVersion, AppendHandler handler) -> void
{
    JsonObject spec;
    spec.set(FENCE_FIELD, claimVersion);
    createEntry(id, entryNumber, Json::toText(spec), std::move(handler));
}

auto JobRepository::createEntry(const std::string &id, std::size_t entryNumber, const std::string &spec, AppendHandler handler) -> void
{
    StoredObject entry;
    entry.kind = logKind(id);
    entry.name = entryName(entryNumber);
    entry.spec = spec;
    store_.create(entry, [handler = std::move(handler)](const absl::StatusOr<StoredObject> &created) { handler(created.status()); });
}

auto JobRepository::remove(const JobRecord &record) -> void
{
    const auto removeRecord = [this, record] {
        for (std::size_t number = 0; number < record.payloadCount; ++number) {
            store_.remove(PAYLOAD_KIND, payloadName(record.id, number), [](const absl::Status &) {});
        }
        store_.remove(JOB_KIND, record.id, [id = record.id](const absl::Status &status) {
            EventLog::write("job_removed", { { "job", id }, { "ok", status.ok() } });
        });
    };
    // By the names that are there: a removal that was cut short has left a gap.
    const std::string kind = logKind(record.id);
    store_.listPages(kind, false, {}, [this, kind, removeRecord](const absl::StatusOr<StoreList> &page) {
        if (!page.ok() && !absl::IsNotFound(page.status())) {
            return false;
        }
        if (page.ok()) {
            for (const StoredObject &entry : page->objects) {
                store_.remove(kind, entry.name, [](const absl::Status &) {});
            }
        }
        const bool hasMore = page.ok() && page->hasMore;
        if (!hasMore) {
            removeRecord();
        }
        return hasMore;
    });
}

} // namespace poplardock
