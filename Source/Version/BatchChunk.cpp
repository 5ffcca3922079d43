#include "Version/BatchChunk.h"

#include "Process/JsonFields.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

auto parseItemState(const std::string &text) -> absl::StatusOr<ItemState>
{
    for (const ItemState state : { ItemState::Waiting, ItemState::Started, ItemState::Done, ItemState::Failed }) {
        if (toString(state) == text) {
            return state;
        }
    }
    return absl::InvalidArgumentError("\"state\" of an item must be waiting, started, done or failed");
}

auto itemFromJson(const JsonObject &object) -> absl::StatusOr<BatchItem>
{
    BatchItem item;
    std::string state;
    absl::Status status;
    Json::assign(Json::requireString(object, "id"), item.id, status);
    Json::assign(Json::requireString(object, "body"), item.body, status);
    Json::assign(Json::optionalString(object, "state", "waiting"), state, status);
    Json::assign(Json::optionalInteger(object, "attempts", 0), item.attempts, status);
    Json::assign(Json::optionalInteger(object, "deaths", 0), item.crashes, status);
    Json::assign(Json::optionalStrings(object, "excluded"), item.excluded, status);
    Json::assign(Json::optionalString(object, "result", ""), item.result, status);
    Json::assign(Json::optionalInteger(object, "error", 0), item.error, status);
    Json::assign(Json::optionalString(object, "reason", ""), item.reason, status);
    if (status.ok()) {
        Json::assign(parseItemState(state), item.state, status);
    }
    return status.ok() ? absl::StatusOr<BatchItem>(std::move(item)) : status;
}

auto toJson(const BatchItem &item) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("id", item.id);
    object->set("body", item.body);
    object->set("state", toString(item.state));
    if (item.attempts > 0) {
        object->set("attempts", item.attempts);
    }
    if (item.crashes > 0) {
        object->set("deaths", item.crashes);
    }
    if (!item.excluded.empty()) {
        object->set("excluded", Json::fromStrings(item.excluded));
    }
    if (!item.result.empty()) {
        object->set("result", item.result);
    }
    if (item.error != ResultCode::Ok) {
        object->set("error", static_cast<int>(item.error));
        object->set("reason", item.reason);
    }
    return object;
}

} // namespace

auto toString(ItemState state) -> std::string
{
    switch (state) {
    case ItemState::Waiting:
        return "waiting";
    case ItemState::Started:
        return "started";
    case ItemState::Done:
        return "done";
    case ItemState::Failed:
        return "failed";
    }
    return "waiting";
}

auto BatchItem::hasEnded() const -> bool
{
    return state == ItemState::Done || state == ItemState::Failed;
}

auto BatchChunk::hasEnded() const -> bool
{
    return std::all_of(items.begin(), items.end(), [](const BatchItem &item) { return item.hasEnded(); });
}

auto BatchChunk::count(ItemState state) const -> std::int64_t
{
    return std::count_if(items.begin(), items.end(), [state](const BatchItem &item) { return item.state == state; });
}

auto chunkNameOf(const std::string &job, std::int64_t number) -> std::string
{
    return absl::StrCat(job, "-", number);
}

auto batchChunkFromJson(const JsonObject &object) -> absl::StatusOr<BatchChunk>
{
    BatchChunk chunk;
    std::vector<JsonObject::Ptr> items;
    absl::Status status;
    Json::assign(Json::requireString(object, "job"), chunk.job, status);
    Json::assign(Json::requireInteger(object, "number"), chunk.number, status);
    Json::assign(Json::optionalBool(object, "repeatable", true), chunk.isRetryable, status);
    Json::assign(Json::requireInteger(object, "epoch"), chunk.epoch, status);
    Json::assign(Json::optionalString(object, "holder", ""), chunk.holder.name, status);
    Json::assign(Json::optionalString(object, "incarnation", ""), chunk.holder.incarnation, status);
    Json::assign(Json::optionalInteger(object, "progress", 0), chunk.progress, status);
    Json::assign(Json::optionalBool(object, "cancelled", false), chunk.cancelled, status);
    Json::assign(Json::optionalObjects(object, "items"), items, status);
    for (const JsonObject::Ptr &entry : items) {
        BatchItem item;
        Json::assign(itemFromJson(*entry), item, status);
        chunk.items.push_back(std::move(item));
    }
    return status.ok() ? absl::StatusOr<BatchChunk>(std::move(chunk)) : status;
}

auto toJson(const BatchChunk &chunk) -> JsonObject::Ptr
{
    JsonArray::Ptr items = new JsonArray;
    for (const BatchItem &item : chunk.items) {
        items->add(toJson(item));
    }
    JsonObject::Ptr object = new JsonObject;
    object->set("job", chunk.job);
    object->set("number", chunk.number);
    object->set("repeatable", chunk.isRetryable);
    object->set("epoch", chunk.epoch);
    object->set("holder", chunk.holder.name);
    object->set("incarnation", chunk.holder.incarnation);
    object->set("progress", chunk.progress);
    object->set("cancelled", chunk.cancelled);
    object->set("items", items);
    return object;
}

} // namespace poplardock
