#include "Version/BatchJob.h"

#include "Process/JsonFields.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <numeric>

namespace poplardock {

namespace {

constexpr std::size_t JOB_ID_HEX_LENGTH = 40;

auto parseJobState(const std::string &text) -> absl::StatusOr<JobState>
{
    for (const JobState state : { JobState::Open, JobState::Cancelled, JobState::Done }) {
        if (toString(state) == text) {
            return state;
        }
    }
    return absl::InvalidArgumentError("\"state\" must be open, cancelled or done");
}

auto parseChunkSizes(const JsonObject &object) -> absl::StatusOr<std::vector<std::int64_t>>
{
    const auto array = Json::requireArray(object, "chunk_sizes");
    if (!array.ok()) {
        return array.status();
    }
    std::vector<std::int64_t> sizes;
    for (const Poco::Dynamic::Var &value : **array) {
        if (!value.isInteger() || value.convert<std::int64_t>() <= 0) {
            return absl::InvalidArgumentError("\"chunk_sizes\" must be an array of integers above 0");
        }
        sizes.push_back(value.convert<std::int64_t>());
    }
    return sizes;
}

auto toBitText(const std::vector<bool> &bits) -> std::string
{
    std::string text;
    for (const bool bit : bits) {
        text += bit ? '1' : '0';
    }
    return text;
}

auto fromBitText(const std::string &text) -> std::vector<bool>
{
    std::vector<bool> bits;
    for (const char c : text) {
        bits.push_back(c == '1');
    }
    return bits;
}

} // namespace

auto parseWallTime(const std::string &text) -> absl::StatusOr<WallTime>
{
    absl::Time time;
    std::string error;
    // ParseTime also accepts "infinite-future".
    const bool startsWithDigit = !text.empty() && absl::ascii_isdigit(static_cast<unsigned char>(text.front()));
    if (!startsWithDigit || !absl::ParseTime(absl::RFC3339_full, text, &time, &error)) {
        return absl::InvalidArgumentError("expected an RFC 3339 time such as 2026-05-01T08:00:00Z");
    }
    return WallTime(std::chrono::milliseconds(absl::ToUnixMillis(time)));
}

auto toText(WallTime time) -> std::string
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::FromUnixMillis(time.time_since_epoch().count()), absl::UTCTimeZone());
}

auto toString(JobState state) -> std::string
{
    switch (state) {
    case JobState::Open:
        return "open";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Done:
        return "done";
    }
    return "open";
}

auto BatchJob::chunkCount() const -> std::int64_t
{
    return static_cast<std::int64_t>(chunkSizes.size());
}

auto BatchJob::itemCount() const -> std::int64_t
{
    return std::accumulate(chunkSizes.begin(), chunkSizes.end(), std::int64_t { 0 });
}

auto BatchJob::hasEnded() const -> bool
{
    return std::all_of(endedChunks.begin(), endedChunks.end(), [](bool ended) { return ended; });
}

auto jobIdOf(const std::string &team, const std::string &jobKey) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    // The length prefix makes the hash input unambiguous: ("a", "bc") and ("ab", "c") give different IDs.
    engine.update(absl::StrCat(team.size(), ":", team, jobKey));
    return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, JOB_ID_HEX_LENGTH);
}

auto batchJobFromJson(const JsonObject &object) -> absl::StatusOr<BatchJob>
{
    BatchJob job;
    std::string due;
    std::string state;
    std::string ended;
    absl::Status status;
    Json::assign(Json::requireString(object, "team"), job.team, status);
    Json::assign(Json::requireString(object, "job_key"), job.jobKey, status);
    Json::assign(Json::requireString(object, "content_hash"), job.contentHash, status);
    Json::assign(Json::requireString(object, "class"), job.serviceClass, status);
    Json::assign(Json::optionalString(object, "model", ""), job.model, status);
    Json::assign(Json::optionalString(object, "path", ""), job.path, status);
    Json::assign(Json::requireString(object, "due"), due, status);
    Json::assign(Json::optionalBool(object, "repeatable", true), job.isRetryable, status);
    Json::assign(parseChunkSizes(object), job.chunkSizes, status);
    Json::assign(Json::requireString(object, "state"), state, status);
    Json::assign(Json::requireString(object, "ended_chunks"), ended, status);
    Json::assign(Json::optionalInteger(object, "done_items", 0), job.doneItems, status);
    Json::assign(Json::optionalInteger(object, "failed_items", 0), job.failedItems, status);
    if (!status.ok()) {
        return status;
    }
    Json::assign(parseWallTime(due), job.due, status);
    Json::assign(parseJobState(state), job.state, status);
    job.endedChunks = fromBitText(ended);
    if (status.ok() && job.endedChunks.size() != job.chunkSizes.size()) {
        status = absl::InvalidArgumentError("\"ended_chunks\" must have one digit for each chunk");
    }
    return status.ok() ? absl::StatusOr<BatchJob>(std::move(job)) : status;
}

auto toJson(const BatchJob &job) -> JsonObject::Ptr
{
    JsonArray::Ptr sizes = new JsonArray;
    for (const std::int64_t size : job.chunkSizes) {
        sizes->add(size);
    }
    JsonObject::Ptr object = new JsonObject;
    object->set("team", job.team);
    object->set("job_key", job.jobKey);
    object->set("content_hash", job.contentHash);
    object->set("class", job.serviceClass);
    object->set("model", job.model);
    object->set("path", job.path);
    object->set("due", toText(job.due));
    object->set("repeatable", job.isRetryable);
    object->set("chunk_sizes", sizes);
    object->set("state", toString(job.state));
    object->set("ended_chunks", toBitText(job.endedChunks));
    object->set("done_items", job.doneItems);
    object->set("failed_items", job.failedItems);
    return object;
}

} // namespace poplardock
