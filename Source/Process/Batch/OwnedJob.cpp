#include "Process/Batch/OwnedJob.h"

#include "Process/Json.h"
#include "Process/JsonFields.h"

#include <algorithm>

namespace poplardock {

namespace {

/// Most bytes of texts, as JSON strings, that are handed to the next owner. An item beyond them runs again from its first event.
constexpr std::size_t MAXIMUM_PROGRESS_BYTES = 8U << 20U;

} // namespace

auto ItemProgress::appendEvent(std::string_view data) -> void
{
    const std::string_view separator = eventCount > 0 ? "\n" : "";
    text.append(separator).append(data);
    storedTextBytes += Json::encodedBytes(separator) + Json::encodedBytes(data);
    ++eventCount;
}

auto ItemProgress::discardAnswer() -> void
{
    lastEventId.reset();
    std::string().swap(text);
    storedTextBytes = 0;
    eventCount = 0;
}

OwnedJob::OwnedJob(JobRecord record, std::vector<JobItem> items, const JobRepository::ResultLog &log)
    : record_(std::move(record))
    , ownedSince_(BootClock::now())
{
    items_.reserve(items.size());
    for (JobItem &item : items) {
        indexOf_.emplace(item.id, items_.size());
        ItemProgress progress;
        progress.item = std::move(item);
        items_.push_back(std::move(progress));
    }
    replaceResultLog(log);
}

auto OwnedJob::record() const -> const JobRecord &
{
    return record_;
}

auto OwnedJob::setRecord(JobRecord record) -> void
{
    record_ = std::move(record);
}

auto OwnedJob::proveOwned(BootTime at) -> void
{
    provenAt_ = std::max(provenAt_, at);
}

auto OwnedJob::provenAt() const -> BootTime
{
    return provenAt_;
}

auto OwnedJob::proveOpen(BootTime at) -> void
{
    openAt_ = std::max(openAt_, at);
}

auto OwnedJob::openAt() const -> BootTime
{
    return openAt_;
}

auto OwnedJob::ownedSince() const -> BootTime
{
    return ownedSince_;
}

auto OwnedJob::items() -> std::vector<ItemProgress> &
{
    return items_;
}

auto OwnedJob::items() const -> const std::vector<ItemProgress> &
{
    return items_;
}

auto OwnedJob::setRouteMissing(bool isMissing, BootTime now) -> void
{
    routeMissingSince_ = isMissing ? std::optional(routeMissingSince_.value_or(now)) : std::nullopt;
}

auto OwnedJob::routeMissingSince() const -> std::optional<BootTime>
{
    return routeMissingSince_;
}

auto OwnedJob::findItem(const std::string &itemId) -> ItemProgress *
{
    const auto found = indexOf_.find(itemId);
    return found == indexOf_.end() ? nullptr : &items_[found->second];
}

auto OwnedJob::committed() const -> const std::vector<JobResult> &
{
    return committed_;
}

auto OwnedJob::isComplete() const -> bool
{
    return committed_.size() >= items_.size();
}

auto OwnedJob::finishItem(ItemProgress &item, bool isCompleted) -> void
{
    if (item.phase == ItemPhase::Finished || item.phase == ItemPhase::Committed) {
        return;
    }
    item.phase = ItemPhase::Finished;
    uncommitted_.push_back({ item.item.id, isCompleted, isCompleted ? std::move(item.text) : std::string() });
    std::string().swap(item.text);
}

auto OwnedJob::withdrawResult(BootTime notBefore) -> void
{
    if (ItemProgress *item = findItem(uncommitted_.front().itemId)) {
        item->phase = ItemPhase::Waiting;
        item->discardAnswer();
        item->notBefore = notBefore;
    }
    uncommitted_.erase(uncommitted_.begin());
}

auto OwnedJob::uncommitted() const -> const std::vector<JobResult> &
{
    return uncommitted_;
}

auto OwnedJob::nextEntryNumber() const -> std::size_t
{
    return nextEntryNumber_;
}

auto OwnedJob::addCommitted(const JobResult &result) -> void
{
    if (ItemProgress *item = findItem(result.itemId)) {
        item->phase = ItemPhase::Committed;
        std::string().swap(item->text);
        std::string().swap(item->item.body);
    }
    committed_.push_back(result);
}

auto OwnedJob::markCommitted(std::size_t count) -> void
{
    for (std::size_t index = 0; index < count; ++index) {
        addCommitted(uncommitted_[index]);
    }
    uncommitted_.erase(uncommitted_.begin(), uncommitted_.begin() + static_cast<std::ptrdiff_t>(count));
    ++nextEntryNumber_;
}

auto OwnedJob::progressText() const -> std::string
{
    JsonArray::Ptr entries = new JsonArray;
    std::size_t bytes = 0;
    const auto hasRoomFor = [&bytes](const std::string &text) {
        const std::size_t textBytes = Json::encodedBytes(text);
        const bool fits = bytes + textBytes <= MAXIMUM_PROGRESS_BYTES;
        bytes += fits ? textBytes : 0;
        return fits;
    };
    const auto add = [&entries](const std::string &id, const std::string &text) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("id", id);
        entry->set("text", text);
        entries->add(entry);
        return entry;
    };
    for (const ItemProgress &item : items_) {
        if (item.phase == ItemPhase::Waiting && (item.lastEventId || item.failures > 0)) {
            const bool isWhole = hasRoomFor(item.text);
            JsonObject::Ptr entry = add(item.item.id, isWhole ? item.text : std::string());
            entry->set("events", isWhole ? item.eventCount : 0);
            entry->set("failures", item.failures);
            if (item.lastEventId && isWhole) {
                entry->set("last_event", *item.lastEventId);
            }
        }
    }
    for (const JobResult &result : uncommitted_) {
        if (!hasRoomFor(result.text)) {
            continue;
        }
        add(result.itemId, result.text)->set("completed", result.isCompleted);
    }
    JsonObject object;
    object.set("items", entries);
    return Json::toText(object);
}

auto OwnedJob::applyProgress(const std::string &text) -> absl::Status
{
    const auto object = Json::parseObject(text);
    const auto entries = object.ok() ? Json::optionalObjects(**object, "items") : object.status();
    if (!entries.ok()) {
        return entries.status();
    }
    for (const JsonObject::Ptr &entry : *entries) {
        std::string id;
        ItemProgress progress;
        std::int64_t lastEvent = 0;
        absl::Status status;
        Json::assign(Json::requireString(*entry, "id"), id, status);
        Json::assign(Json::requireString(*entry, "text"), progress.text, status);
        Json::assign(Json::optionalInteger(*entry, "events", 0), progress.eventCount, status);
        Json::assign(Json::optionalInteger(*entry, "failures", 0), progress.failures, status);
        Json::assign(Json::optionalInteger(*entry, "last_event", 0), lastEvent, status);
        if (!status.ok()) {
            return status;
        }
        ItemProgress *item = findItem(id);
        if (item == nullptr || item->phase != ItemPhase::Waiting) {
            continue;
        }
        item->text = std::move(progress.text);
        item->storedTextBytes = Json::encodedBytes(item->text);
        item->eventCount = progress.eventCount;
        item->failures = progress.failures;
        if (entry->has("last_event")) {
            item->lastEventId = lastEvent;
        }
        if (entry->has("completed")) {
            finishItem(*item, Json::optionalBool(*entry, "completed", false).value_or(false));
        }
    }
    return absl::OkStatus();
}

auto OwnedJob::replaceResultLog(const JobRepository::ResultLog &log) -> void
{
    committed_.clear();
    nextEntryNumber_ = log.nextEntryNumber;
    for (const JobResult &result : log.results) {
        addCommitted(result);
    }
    std::erase_if(uncommitted_, [this](const JobResult &result) {
        const ItemProgress *item = findItem(result.itemId);
        return item == nullptr || item->phase == ItemPhase::Committed;
    });
}

} // namespace poplardock
