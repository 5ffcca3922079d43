#include "Process/Batch/JobLedger.h"

#include "Process/EventLog.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace poplardock {

namespace {

constexpr const char *PAYLOAD_KIND = "payloads";
constexpr const char *LOG_KIND_PREFIX = "results-";
/// Part of the store's largest value that the bodies of one payload may have before they are encoded: base64 takes a
/// third more, the rest is for headers.
constexpr double PAYLOAD_PART = 0.6;
constexpr Milliseconds RETRY_PAUSE { 100 };

auto payloadName(const std::string &id, std::size_t number) -> std::string
{
    return absl::StrCat(id, ".", number);
}

/// Names sort as their numbers.
auto entryName(std::size_t number) -> std::string
{
    return absl::StrFormat("%06d", number);
}

auto logKind(const std::string &id) -> std::string
{
    return absl::StrCat(LOG_KIND_PREFIX, id);
}

} // namespace

struct JobLedger::Submission
{
    std::vector<StoredObject> writes;
    std::size_t next = 0;
    JobRecord record;
    BootTime deadline;
    AcceptHandler onEnd;
    /// A write of the record may have been done without an answer.
    bool isUncertain = false;
    Timer retry;
};

JobLedger::JobLedger(EventLoop &loop, ObjectStore &store, const WireDialect &dialect, std::uint64_t valueBytes)
    : loop_(loop)
    , store_(store)
    , dialect_(dialect)
    , valueBytes_(valueBytes)
{
}

auto JobLedger::accept(const JobRecord &record, const std::vector<JobItem> &items, BootTime deadline, AcceptHandler handler) -> void
{
    auto submission = std::make_shared<Submission>();
    submission->deadline = deadline;
    submission->onEnd = std::move(handler);
    const auto bound = static_cast<std::size_t>(PAYLOAD_PART * static_cast<double>(valueBytes_));
    std::vector<JobItem> part;
    std::size_t bytes = 0;
    const auto addPayload = [&] {
        StoredObject payload;
        payload.kind = PAYLOAD_KIND;
        payload.name = payloadName(record.id, submission->writes.size());
        payload.spec = dialect_.encodeItems(part);
        submission->writes.push_back(std::move(payload));
        part.clear();
        bytes = 0;
    };
    for (const JobItem &item : items) {
        if (!part.empty() && bytes + item.body.size() > bound) {
            addPayload();
        }
        bytes += item.body.size();
        part.push_back(item);
    }
    addPayload();
    JobRecord complete = record;
    complete.itemCount = items.size();
    complete.payloadCount = submission->writes.size();
    submission->record = complete;
    submission->writes.push_back(toStored(complete));
    writeNext(submission);
}

auto JobLedger::writeNext(const std::shared_ptr<Submission> &submission) -> void
{
    const bool isRecord = submission->next + 1 == submission->writes.size();
    store_.create(submission->writes[submission->next], [this, submission, isRecord](const absl::StatusOr<StoredObject> &created) {
        const absl::Status &status = created.status();
        if (status.ok() || absl::IsAlreadyExists(status)) {
            ++submission->next;
            if (isRecord) {
                submission->record.version = created.ok() ? created->version : 0;
                submission->onEnd(Acceptance::Accepted, status.ok() || submission->isUncertain, submission->record);
            } else {
                writeNext(submission);
            }
            return;
        }
        // A lost create of the record may still be done seconds later, so only a definite answer ends the attempts.
        submission->isUncertain = submission->isUncertain || (isRecord && absl::IsUnknown(status));
        const bool isRefused = !absl::IsUnknown(status) && !submission->isUncertain;
        if (isRefused || BootClock::now() >= submission->deadline) {
            EventLog::write(
                "job_not_stored",
                { { "job", submission->writes.back().name }, { "uncertain", submission->isUncertain }, { "reason", status.message() } });
            submission->onEnd(submission->isUncertain ? Acceptance::Uncertain : Acceptance::Refused, false, submission->record);
            return;
        }
        submission->retry = loop_.at(BootClock::now() + RETRY_PAUSE, [this, submission] { writeNext(submission); });
    });
}

auto JobLedger::read(const std::string &id, RecordHandler handler) -> void
{
    store_.read(JOB_KIND, id, [handler = std::move(handler)](const absl::StatusOr<StoredObject> &object) {
        handler(object.ok() ? jobRecordFrom(*object) : object.status());
    });
}

auto JobLedger::list(bool allowsStale, RecordsHandler handler) -> void
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

auto JobLedger::replace(const JobRecord &record, RecordHandler handler) -> void
{
    store_.replace(toStored(record), [handler = std::move(handler)](const absl::StatusOr<StoredObject> &object) {
        handler(object.ok() ? jobRecordFrom(*object) : object.status());
    });
}

auto JobLedger::readItems(const JobRecord &record, ItemsHandler handler) -> void
{
    readPayload(record, 0, std::make_shared<std::vector<JobItem>>(), std::move(handler));
}

auto JobLedger::readPayload(const JobRecord &record,
                            std::size_t number,
                            const std::shared_ptr<std::vector<JobItem>> &found,
                            ItemsHandler handler) -> void
{
    if (number >= record.payloadCount) {
        handler(*found);
        return;
    }
    store_.read(
        PAYLOAD_KIND, payloadName(record.id, number), [this, record, number, found, handler = std::move(handler)](const auto &object) {
            const auto items = object.ok() ? dialect_.decodeItems(object->spec) : object.status();
            if (!items.ok()) {
                handler(items.status());
                return;
            }
            found->insert(found->end(), items->begin(), items->end());
            readPayload(record, number + 1, found, handler);
        });
}

auto JobLedger::readLog(const std::string &id, LogHandler handler) -> void
{
    store_.listAll(logKind(id), false, [this, handler = std::move(handler)](const absl::StatusOr<StoreList> &list) {
        if (!list.ok() && !absl::IsNotFound(list.status())) {
            handler(list.status());
            return;
        }
        Log log;
        for (const StoredObject &object : list.ok() ? list->objects : std::vector<StoredObject>()) {
            // The page may come in any order; numbers without a gap are the log.
            if (object.name != entryName(log.nextNumber)) {
                handler(absl::InternalError(absl::StrCat("log entry ", object.name, " where ", log.nextNumber, " is due")));
                return;
            }
            const auto results = dialect_.decodeResults(object.spec);
            if (!results.ok()) {
                handler(results.status());
                return;
            }
            log.results.insert(log.results.end(), results->begin(), results->end());
            ++log.nextNumber;
        }
        handler(log);
    });
}

auto JobLedger::append(const std::string &id, std::size_t number, const std::vector<JobResult> &results, AppendHandler handler) -> void
{
    StoredObject entry;
    entry.kind = logKind(id);
    entry.name = entryName(number);
    entry.spec = dialect_.encodeResults(results.size(), 0, results);
    store_.create(entry, [handler = std::move(handler)](const absl::StatusOr<StoredObject> &created) { handler(created.status()); });
}

auto JobLedger::remove(const JobRecord &record) -> void
{
    const auto removeRecord = [this, record] {
        for (std::size_t number = 0; number < record.payloadCount; ++number) {
            store_.remove(PAYLOAD_KIND, payloadName(record.id, number), [](const absl::Status &) {});
        }
        store_.remove(JOB_KIND, record.id, [id = record.id](const absl::Status &status) {
            EventLog::write("job_removed", { { "job", id }, { "ok", status.ok() } });
        });
    };
    readLog(record.id, [this, record, removeRecord](const absl::StatusOr<Log> &log) {
        if (!log.ok()) {
            return;
        }
        for (std::size_t number = 0; number < log->nextNumber; ++number) {
            store_.remove(logKind(record.id), entryName(number), [](const absl::Status &) {});
        }
        removeRecord();
    });
}

} // namespace poplardock
