#include "Process/Batch/JobRecord.h"

#include "Process/Json.h"

namespace poplardock {

namespace {

auto millisecondsOf(WallClock::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

auto timeOf(std::int64_t milliseconds) -> WallClock::time_point
{
    return WallClock::time_point(Milliseconds(milliseconds));
}

/// Reads required fields and remembers the first fault.
class Reader
{
public:
    explicit Reader(const JsonObject &object)
        : object_(object)
    {
    }

    auto text(const char *key) -> std::string
    {
        auto value = Json::requireString(object_, key);
        status_.Update(value.status());
        return value.value_or(std::string());
    }
    auto integer(const char *key) -> std::int64_t
    {
        const auto value = Json::requireInteger(object_, key);
        status_.Update(value.status());
        return value.value_or(0);
    }
    auto flag(const char *key) -> bool
    {
        const auto value = Json::optionalBool(object_, key, false);
        status_.Update(value.status());
        return value.value_or(false);
    }
    [[nodiscard]] auto status() const -> const absl::Status &
    {
        return status_;
    }

private:
    const JsonObject &object_;
    absl::Status status_;
};

} // namespace

auto JobRecord::isOpen() const -> bool
{
    return !isCancelled && !isDone;
}

auto toStored(const JobRecord &record) -> StoredObject
{
    JsonObject spec;
    spec.set("team", record.team);
    spec.set("host", record.host);
    spec.set("prefix", record.prefix);
    spec.set("owner", record.owner);
    spec.set("owner_incarnation", record.ownerIncarnation);
    spec.set("owner_address", record.ownerAddress);
    spec.set("items", record.itemCount);
    spec.set("payloads", record.payloadCount);
    spec.set("submitted_ms", millisecondsOf(record.submittedAt));
    spec.set("due_ms", millisecondsOf(record.dueAt));
    spec.set("give_up_ms", millisecondsOf(record.giveUpAt));
    spec.set("cancelled", record.isCancelled);
    spec.set("done", record.isDone);
    StoredObject object;
    object.kind = JOB_KIND;
    object.name = record.id;
    object.version = record.version;
    object.spec = Json::toText(spec);
    return object;
}

auto jobRecordFrom(const StoredObject &object) -> absl::StatusOr<JobRecord>
{
    const auto json = Json::parseObject(object.spec);
    if (!json.ok()) {
        return json.status();
    }
    Reader reader(**json);
    JobRecord record;
    record.id = object.name;
    record.version = object.version;
    record.team = reader.text("team");
    record.host = reader.text("host");
    record.prefix = reader.text("prefix");
    record.owner = reader.text("owner");
    record.ownerIncarnation = reader.text("owner_incarnation");
    record.ownerAddress = reader.text("owner_address");
    record.itemCount = static_cast<std::size_t>(reader.integer("items"));
    record.payloadCount = static_cast<std::size_t>(reader.integer("payloads"));
    record.submittedAt = timeOf(reader.integer("submitted_ms"));
    record.dueAt = timeOf(reader.integer("due_ms"));
    record.giveUpAt = timeOf(reader.integer("give_up_ms"));
    record.isCancelled = reader.flag("cancelled");
    record.isDone = reader.flag("done");
    return reader.status().ok() ? absl::StatusOr<JobRecord>(record) : reader.status();
}

} // namespace poplardock
