#include "Process/Batch/StoredJobReader.h"

#include "Process/Json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace poplardock {

namespace {

/// Reads that may wait; one more is refused at once.
constexpr std::size_t MAXIMUM_WAITING = 256;
constexpr std::uint64_t SMALL_VM_DIVISOR = 8;

/// The id of a removed job may come again.
auto logKey(const JobRecord &record) -> std::string
{
    return absl::StrCat(record.id, "@", record.submittedAt.time_since_epoch().count());
}

} // namespace

StoredJobReader::StoredJobReader(EventLoop &loop,
                                 JobRepository &repository,
                                 const std::shared_ptr<HeldBytes> &account,
                                 std::size_t pageBytes)
    : loop_(loop)
    , repository_(repository)
    , account_(account)
    , pageBytes_(pageBytes)
    , cache_(account)
{
}

auto StoredJobReader::newRead(const JobRecord &record, BootTime deadline) -> ReadPointer
{
    auto read = std::make_shared<Read>();
    read->record = record;
    read->log = logKey(record);
    read->deadline = deadline;
    return read;
}

auto StoredJobReader::readResults(const JobRecord &record, std::size_t from, BootTime deadline, ResultsHandler handler) -> void
{
    const ReadPointer read = newRead(record, deadline);
    read->from = from;
    read->onResults = std::move(handler);
    start(read);
}

auto StoredJobReader::readItem(const JobRecord &record, const std::string &itemId, BootTime deadline, ItemHandler handler) -> void
{
    const ReadPointer read = newRead(record, deadline);
    read->from = std::numeric_limits<std::size_t>::max();
    read->itemId = itemId;
    read->onItem = std::move(handler);
    start(read);
}

auto StoredJobReader::start(const ReadPointer &read) -> void
{
    if (read->hasEnded) {
        return;
    }
    takeKnown(*read);
    if (hasEnough(*read)) {
        end(read, read->onItem ? absl::NotFoundError("the item has a result, or is none of the job") : absl::OkStatus());
        return;
    }
    if (!read->hasTimeout) {
        read->hasTimeout = true;
        read->timeout = loop_.at(read->deadline, [read = std::weak_ptr<Read>(read)] {
            if (const ReadPointer unserved = read.lock()) {
                end(unserved, absl::UnavailableError("the read was not served in time"));
            }
        });
    }
    if (running_.size() < MAXIMUM_READS && !running_.contains(read->log)) {
        readStore(read);
        return;
    }
    // Results are held by a read that runs only.
    read->results = {};
    if (waiting_.size() >= MAXIMUM_WAITING) {
        end(read, absl::UnavailableError("too many reads of the store wait"));
        return;
    }
    waiting_.push_back(read);
}

auto StoredJobReader::takeKnown(Read &read) const -> void
{
    read.results = {};
    read.resultBytes = 0;
    read.next = cache_.startOf(read.log, read.from);
    while (!hasEnough(read)) {
        const std::vector<JobResult> *results = cache_.results(read.log, read.next.entry);
        if (results == nullptr) {
            return;
        }
        take(read, *results);
    }
}

auto StoredJobReader::take(Read &read, const std::vector<JobResult> &results) -> void
{
    for (const JobResult &result : results) {
        // The index may have no room for the entry.
        read.isListed = read.isListed || result.itemId == read.itemId;
        if (read.next.position >= read.from) {
            read.resultBytes += Json::encodedBytes(result.text);
            read.results.push_back(result);
        }
        ++read.next.position;
    }
    ++read.next.entry;
}

auto StoredJobReader::hasEnough(const Read &read) const -> bool
{
    return read.resultBytes >= pageBytes_ || read.next.position >= read.record.itemCount
           || (read.onItem != nullptr && (read.isListed || cache_.lists(read.log, read.itemId)));
}

auto StoredJobReader::readStore(const ReadPointer &read) -> void
{
    read->charge = std::make_unique<HeldBytes::Charge>(account_);
    // A VM with hardly any memory still serves some reads.
    const std::uint64_t bytes = std::min(READ_BYTES, account_->bounds().bytes / SMALL_VM_DIVISOR);
    if (!read->charge->trySet(bytes, BootClock::now())) {
        end(read, absl::UnavailableError("the memory is in use"));
        return;
    }
    running_.insert(read->log);
    repository_.readLogPages(read->record.id, read->next.entry, [this, read](const absl::StatusOr<JobRepository::LogPage> &page) {
        return takePage(read, page);
    });
}

auto StoredJobReader::takePage(const ReadPointer &read, const absl::StatusOr<JobRepository::LogPage> &page) -> bool
{
    if (!page.ok()) {
        end(read, page.status());
        release(read);
        return false;
    }
    for (const JobRepository::LogEntry &entry : page->entries) {
        cache_.put(read->log, entry, BootClock::now());
        if (!hasEnough(*read)) {
            take(*read, entry.results);
        }
    }
    if (read->hasEnded) {
        release(read);
        return false;
    }
    if (page->hasMore && !hasEnough(*read)) {
        return true;
    }
    if (read->onItem == nullptr) {
        end(read, absl::OkStatus());
        release(read);
    } else if (hasEnough(*read)) {
        end(read, absl::NotFoundError("the item has a result, or is none of the job"));
        release(read);
    } else {
        readPayload(read);
    }
    return false;
}

auto StoredJobReader::readPayload(const ReadPointer &read) -> void
{
    repository_.readItem(read->record, read->itemId, [this, read](const absl::StatusOr<JobItem> &item) {
        endWithItem(read, item);
        release(read);
    });
}

auto StoredJobReader::release(const ReadPointer &read) -> void
{
    running_.erase(read->log);
    read->charge.reset();
    std::deque<ReadPointer> waiting = std::exchange(waiting_, {});
    for (const ReadPointer &each : waiting) {
        if (running_.size() >= MAXIMUM_READS || running_.contains(each->log)) {
            waiting_.push_back(each);
        } else {
            start(each);
        }
    }
}

auto StoredJobReader::end(const ReadPointer &read, const absl::Status &status) -> void
{
    if (read->onItem != nullptr) {
        endWithItem(read, status);
        return;
    }
    if (!std::exchange(read->hasEnded, true)) {
        read->timeout.cancel();
        read->onResults(status.ok() ? absl::StatusOr<std::vector<JobResult>>(std::move(read->results)) : status);
    }
}

auto StoredJobReader::endWithItem(const ReadPointer &read, const absl::StatusOr<JobItem> &item) -> void
{
    if (!std::exchange(read->hasEnded, true)) {
        read->timeout.cancel();
        read->onItem(item);
    }
}

} // namespace poplardock
