#include "Process/Batch/JobRecord.h"

#include "Process/BoundedTime.h"
#include "Process/Json.h"
#include "Process/JsonFields.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

auto millisecondsOf(WallClock::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

auto timeOf(std::int64_t milliseconds) -> WallClock::time_point
{
    // Later than any job's time, and small enough for a clock that counts nanoseconds.
    constexpr Milliseconds LATEST = std::chrono::hours(24 * 365 * 200);
    return WallClock::time_point(std::clamp(Milliseconds(milliseconds), -LATEST, LATEST));
}

} // namespace

auto JobRecord::chosenId() const -> const std::string &
{
    return callerId.empty() ? id : callerId;
}

auto JobRecord::isJobOf(std::string_view submitter, std::string_view submittedId) const -> bool
{
    return team == submitter && chosenId() == submittedId;
}

auto JobRecord::isOpen() const -> bool
{
    return !isCancelled && !isDone;
}

auto regionFilterOf(const ServingVersion &version, const JobRecord &record, const std::map<std::string, std::string> &regions)
    -> RegionFilter
{
    if (!version.hasRegions()) {
        return {};
    }
    const ServiceRoute *route = version.findRoute(record.host, record.prefix);
    const ServedTeam *team = record.team.empty() ? nullptr : version.findTeam(record.team);
    const std::vector<std::string> all;
    return { route == nullptr ? all : route->allowedRegions, team == nullptr ? all : team->allowedRegions, regions };
}

auto jobNameOf(const std::string &team, const std::string &callerId) -> std::string
{
    // Half of the digest: names stay short, and two teams still do not meet.
    constexpr std::size_t DIGITS = 32;
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(team);
    return absl::StrCat(callerId, ".", Poco::DigestEngine::digestToHex(engine.digest()).substr(0, DIGITS));
}

auto toStored(const JobRecord &record) -> StoredObject
{
    JsonObject spec;
    if (!record.callerId.empty()) {
        spec.set("caller_id", record.callerId);
    }
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
    const JsonObject &spec = **json;
    absl::Status status;
    JobRecord record;
    std::int64_t submittedMs = 0;
    std::int64_t dueMs = 0;
    std::int64_t giveUpMs = 0;
    record.id = object.name;
    record.version = object.version;
    Json::assign(Json::optionalString(spec, "caller_id", {}), record.callerId, status);
    Json::assign(Json::requireString(spec, "team"), record.team, status);
    Json::assign(Json::requireString(spec, "host"), record.host, status);
    Json::assign(Json::requireString(spec, "prefix"), record.prefix, status);
    Json::assign(Json::requireString(spec, "owner"), record.owner, status);
    Json::assign(Json::requireString(spec, "owner_incarnation"), record.ownerIncarnation, status);
    Json::assign(Json::requireString(spec, "owner_address"), record.ownerAddress, status);
    Json::assign(Json::requireInteger(spec, "items"), record.itemCount, status);
    Json::assign(Json::requireInteger(spec, "payloads"), record.payloadCount, status);
    Json::assign(Json::requireInteger(spec, "submitted_ms"), submittedMs, status);
    Json::assign(Json::requireInteger(spec, "due_ms"), dueMs, status);
    Json::assign(Json::requireInteger(spec, "give_up_ms"), giveUpMs, status);
    // toStored() always writes both flags; a missing one counts as false.
    Json::assign(Json::optionalBool(spec, "cancelled", false), record.isCancelled, status);
    Json::assign(Json::optionalBool(spec, "done", false), record.isDone, status);
    if (!status.ok()) {
        return status;
    }
    record.submittedAt = timeOf(submittedMs);
    record.dueAt = timeOf(dueMs);
    record.giveUpAt = timeOf(giveUpMs);
    return record;
}

} // namespace poplardock
