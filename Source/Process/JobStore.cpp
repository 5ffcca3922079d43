#include "Process/JobStore.h"

#include "Connection/CallerAuthentication.h"
#include "Process/Clock.h"
#include "Process/JsonFields.h"
#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_CHUNK_ITEMS = 64;
constexpr std::size_t MAXIMUM_CHUNK_BYTES = 256UL * 1024;
constexpr int WRITE_TRIES = 4;
constexpr int CONFLICT_TRIES = 20;
constexpr Milliseconds RETRY_WAIT { 100 };
constexpr Milliseconds PACE_STEP { 10 };
constexpr Milliseconds PACE_LIMIT { 5000 };
constexpr Milliseconds CANCEL_LIMIT { 3000 };
/// A submission or a removal ends within this time, far below the time after which it counts as given up.
constexpr std::chrono::minutes SUBMISSION_LIMIT { 10 };
constexpr std::chrono::hours ABANDONED_AFTER { 1 };
constexpr std::int64_t PAGE_BYTES = 4LL * 1024 * 1024;

constexpr const char *JOBS = "jobs";
constexpr const char *CHUNKS = "chunks";
constexpr const char *RESULTS = "results";
constexpr const char *SUBMISSIONS = "submissions";

auto objectOf(const std::string &id, const BatchJob &job, std::uint64_t version) -> StoredObject
{
    return { JOBS, id, version, { { "state", toString(job.state) } }, Json::toText(*toJson(job)) };
}

auto objectOf(const BatchChunk &chunk, std::uint64_t version) -> StoredObject
{
    return { CHUNKS, chunkNameOf(chunk.job, chunk.number), version, { { "job", chunk.job } }, Json::toText(*toJson(chunk)) };
}

template<typename Value, typename Codec>
auto decodeSpec(const StoredObject &object, Codec codec) -> absl::StatusOr<Value>
{
    const auto spec = Json::parseObject(object.spec);
    auto value = spec.ok() ? codec(**spec) : absl::StatusOr<Value>(spec.status());
    if (!value.ok()) {
        return absl::InternalError(absl::StrCat(object.kind, "/", object.name, " is malformed: ", value.status().message()));
    }
    return value;
}

auto hashOf(const JobSubmission &submission) -> std::string
{
    JsonArray::Ptr items = new JsonArray;
    for (const JobSubmission::Item &item : submission.items) {
        items->add(item.id);
        items->add(item.body);
    }
    JsonObject content;
    content.set("class", submission.serviceClass);
    content.set("model", submission.model);
    content.set("path", submission.path);
    content.set("due", toText(submission.due));
    content.set("repeatable", submission.repeatable);
    content.set("items", items);
    return sha256Hex(Json::toText(content));
}

auto chunksOf(const std::string &id, const JobSubmission &submission) -> std::vector<BatchChunk>
{
    std::vector<BatchChunk> chunks;
    std::size_t bytes = 0;
    for (const JobSubmission::Item &item : submission.items) {
        const std::size_t itemBytes = item.id.size() + item.body.size();
        if (chunks.empty() || chunks.back().items.size() == MAXIMUM_CHUNK_ITEMS || bytes + itemBytes > MAXIMUM_CHUNK_BYTES) {
            BatchChunk chunk;
            chunk.job = id;
            chunk.number = static_cast<std::int64_t>(chunks.size());
            chunk.repeatable = submission.repeatable;
            chunks.push_back(std::move(chunk));
            bytes = 0;
        }
        BatchItem entry;
        entry.id = item.id;
        entry.body = item.body;
        chunks.back().items.push_back(std::move(entry));
        bytes += itemBytes;
    }
    return chunks;
}

auto jobOf(const JobSubmission &submission, const std::vector<BatchChunk> &chunks) -> BatchJob
{
    BatchJob job;
    job.team = submission.team;
    job.jobKey = submission.jobKey;
    job.contentHash = hashOf(submission);
    job.serviceClass = submission.serviceClass;
    job.model = submission.model;
    job.path = submission.path;
    job.due = submission.due;
    job.repeatable = submission.repeatable;
    for (const BatchChunk &chunk : chunks) {
        job.chunkSizes.push_back(static_cast<std::int64_t>(chunk.items.size()));
    }
    job.endedChunks.assign(chunks.size(), false);
    return job;
}

auto haveSameContent(const BatchChunk &left, const BatchChunk &right) -> bool
{
    const auto isSame = [](const BatchItem &one, const BatchItem &other) {
        return one.id == other.id && one.body == other.body;
    };
    return left.job == right.job && left.number == right.number && left.repeatable == right.repeatable
           && std::equal(left.items.begin(), left.items.end(), right.items.begin(), right.items.end(), isSame);
}

auto isInconclusive(const absl::Status &status) -> bool
{
    return absl::IsUnavailable(status) || absl::IsUnknown(status) || absl::IsResourceExhausted(status);
}

auto conflict() -> RequestError
{
    return { ResultCode::JobConflict, {} };
}

auto notAccepted(const absl::Status &cause) -> RequestError
{
    return { ResultCode::JobNotAccepted,
             absl::StrCat("this submission was not accepted, send it again: ", std::string(cause.message())),
             1 };
}

auto storeError(const absl::Status &cause) -> RequestError
{
    if (absl::IsNotFound(cause)) {
        return { ResultCode::JobUnknown, {} };
    }
    return { ResultCode::StoreUnavailable, std::string(cause.message()), 1 };
}

auto currentWallTime() -> WallTime
{
    return std::chrono::time_point_cast<Milliseconds>(WallClock::now());
}

/// A submission that has begun and may not have its job object yet.
struct Announcement
{
    std::string contentHash;
    WallTime changedAt;
    std::int64_t chunkCount = 0;
    bool isBeingRemoved = false;
};

auto announcementFromJson(const JsonObject &object) -> absl::StatusOr<Announcement>
{
    Announcement announcement;
    std::string changedAt;
    absl::Status status;
    Json::assign(Json::requireString(object, "content_hash"), announcement.contentHash, status);
    Json::assign(Json::requireString(object, "changed_at"), changedAt, status);
    Json::assign(Json::requireInteger(object, "chunk_count"), announcement.chunkCount, status);
    Json::assign(Json::optionalBool(object, "removing", false), announcement.isBeingRemoved, status);
    Json::assign(parseWallTime(changedAt), announcement.changedAt, status);
    return status.ok() ? absl::StatusOr<Announcement>(std::move(announcement)) : status;
}

auto objectOf(const std::string &id, const Announcement &announcement, std::uint64_t version) -> StoredObject
{
    JsonObject spec;
    spec.set("content_hash", announcement.contentHash);
    spec.set("changed_at", toText(announcement.changedAt));
    spec.set("chunk_count", announcement.chunkCount);
    spec.set("removing", announcement.isBeingRemoved);
    return { SUBMISSIONS, id, version, {}, Json::toText(spec) };
}

auto answerFromJson(const JsonObject &object) -> absl::StatusOr<ChunkItemResponse>
{
    ChunkItemResponse answer;
    absl::Status status;
    Json::assign(Json::requireInteger(object, "index"), answer.index, status);
    Json::assign(Json::requireInteger(object, "status"), answer.status, status);
    Json::assign(Json::requireString(object, "body"), answer.body, status);
    return status.ok() ? absl::StatusOr<ChunkItemResponse>(std::move(answer)) : status;
}

auto answersFromJson(const JsonObject &object) -> absl::StatusOr<std::vector<ChunkItemResponse>>
{
    const auto entries = Json::optionalObjects(object, "items");
    if (!entries.ok()) {
        return entries.status();
    }
    std::vector<ChunkItemResponse> answers;
    for (const JsonObject::Ptr &entry : *entries) {
        auto answer = answerFromJson(*entry);
        if (!answer.ok()) {
            return answer.status();
        }
        answers.push_back(*std::move(answer));
    }
    return answers;
}

auto toJson(const std::vector<ChunkItemResponse> &answers) -> JsonObject::Ptr
{
    JsonArray::Ptr items = new JsonArray;
    for (const ChunkItemResponse &answer : answers) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("index", static_cast<std::int64_t>(answer.index));
        entry->set("status", answer.status);
        entry->set("body", answer.body);
        items->add(entry);
    }
    JsonObject::Ptr object = new JsonObject;
    object->set("items", items);
    return object;
}

/// The chunk and the index within it of an item of the job.
struct ItemPlace
{
    std::int64_t chunk = 0;
    std::size_t index = 0;
};

auto placeOf(const BatchJob &job, std::int64_t position) -> ItemPlace
{
    ItemPlace place;
    for (const std::int64_t size : job.chunkSizes) {
        if (position < size) {
            break;
        }
        position -= size;
        ++place.chunk;
    }
    place.index = static_cast<std::size_t>(position);
    return place;
}

} // namespace

JobStore::JobStore(StoreClient &store, Limits limits)
    : store_(store)
    , callersBudget_(limits.callsPerSecond, limits.burst, Clock::now())
    , dispatcherBudget_(limits.callsPerSecond, limits.burst, Clock::now())
{
}

auto JobStore::resultNameOf(const BatchChunk &chunk, std::uint64_t epoch, std::uint64_t part) -> std::string
{
    return absl::StrCat(chunkNameOf(chunk.job, chunk.number), "-", epoch, "-", part);
}

auto JobStore::awaitRateLimit(CallOrigin origin) -> absl::Status
{
    CallBudget &pace = origin == CallOrigin::Callers ? callersBudget_ : dispatcherBudget_;
    const TimePoint deadline = Clock::now() + PACE_LIMIT;
    while (!pace.tryAcquire(Clock::now())) {
        if (Clock::now() >= deadline) {
            return absl::ResourceExhaustedError("too many store calls of this daemon are waiting");
        }
        std::this_thread::sleep_for(PACE_STEP);
    }
    return absl::OkStatus();
}

auto JobStore::readJob(const std::string &id, CallOrigin origin) -> absl::StatusOr<StoredJob>
{
    if (absl::Status paced = awaitRateLimit(origin); !paced.ok()) {
        return paced;
    }
    const auto object = store_.get(JOBS, id);
    if (!object.ok()) {
        return object.status();
    }
    auto job = decodeSpec<BatchJob>(*object, batchJobFromJson);
    return job.ok() ? absl::StatusOr<StoredJob>(StoredJob { *std::move(job), object->version }) : job.status();
}

auto JobStore::readChunkFor(const std::string &job, std::int64_t number, CallOrigin origin) -> absl::StatusOr<StoredChunk>
{
    if (absl::Status paced = awaitRateLimit(origin); !paced.ok()) {
        return paced;
    }
    const auto object = store_.get(CHUNKS, chunkNameOf(job, number));
    if (!object.ok()) {
        return object.status();
    }
    auto chunk = decodeSpec<BatchChunk>(*object, batchChunkFromJson);
    return chunk.ok() ? absl::StatusOr<StoredChunk>(StoredChunk { *std::move(chunk), object->version }) : chunk.status();
}

auto JobStore::readChunk(const std::string &job, std::int64_t number) -> absl::StatusOr<StoredChunk>
{
    return readChunkFor(job, number, CallOrigin::Dispatcher);
}

auto JobStore::accept(const JobSubmission &submission) -> std::variant<BatchJob, RequestError>
{
    const TimePoint deadline = Clock::now() + SUBMISSION_LIMIT;
    const std::string id = jobIdOf(submission.team, submission.jobKey);
    const std::vector<BatchChunk> chunks = chunksOf(id, submission);
    const BatchJob job = jobOf(submission, chunks);
    const auto existing = readJob(id, CallOrigin::Callers);
    if (existing.ok()) {
        if (existing->job.contentHash != job.contentHash) {
            return conflict();
        }
        return existing->job;
    }
    if (!absl::IsNotFound(existing.status())) {
        return notAccepted(existing.status());
    }
    if (const auto error = recordIntent(id, job)) {
        return *error;
    }
    for (const BatchChunk &chunk : chunks) {
        if (const auto error = writeChunk(chunk)) {
            return *error;
        }
    }
    if (Clock::now() >= deadline) {
        return notAccepted(absl::DeadlineExceededError("writing its items took too long"));
    }
    return createJob(id, job);
}

auto JobStore::recordIntent(const std::string &id, const BatchJob &job) -> std::optional<RequestError>
{
    const Announcement wanted { job.contentHash, currentWallTime(), job.chunkCount(), false };
    absl::Status last;
    for (int attempt = 0; attempt < WRITE_TRIES; ++attempt) {
        if (absl::Status paced = awaitRateLimit(CallOrigin::Callers); !paced.ok()) {
            return notAccepted(paced);
        }
        const auto created = store_.create(objectOf(id, wanted, 0));
        if (created.ok()) {
            return std::nullopt;
        }
        last = created.status();
        if (absl::IsUnknown(last)) {
            continue;
        }
        if (!absl::IsAlreadyExists(last)) {
            return notAccepted(last);
        }
        const auto object = store_.get(SUBMISSIONS, id);
        const auto found = object.ok() ? decodeSpec<Announcement>(*object, announcementFromJson) : object.status();
        if (!found.ok()) {
            last = found.status();
            continue;
        }
        if (found->contentHash != job.contentHash) {
            return conflict();
        }
        if (found->isBeingRemoved && wanted.changedAt - found->changedAt < SUBMISSION_LIMIT) {
            return notAccepted(absl::UnavailableError("the remains of an earlier submission are being removed"));
        }
        const auto renewed = store_.update(objectOf(id, wanted, object->version));
        if (renewed.ok()) {
            return std::nullopt;
        }
        last = renewed.status();
    }
    return notAccepted(last);
}

auto JobStore::writeChunk(const BatchChunk &chunk) -> std::optional<RequestError>
{
    absl::Status last;
    for (int attempt = 0; attempt < WRITE_TRIES; ++attempt) {
        if (absl::Status paced = awaitRateLimit(CallOrigin::Callers); !paced.ok()) {
            return notAccepted(paced);
        }
        const auto created = store_.create(objectOf(chunk, 0));
        if (created.ok()) {
            return std::nullopt;
        }
        last = created.status();
        if (absl::IsAlreadyExists(last)) {
            const auto found = readChunkFor(chunk.job, chunk.number, CallOrigin::Callers);
            if (found.ok()) {
                return haveSameContent(found->chunk, chunk) ? std::nullopt : std::optional<RequestError>(conflict());
            }
            last = found.status();
        }
        if (!isInconclusive(last)) {
            return notAccepted(last);
        }
        std::this_thread::sleep_for(RETRY_WAIT);
    }
    return notAccepted(last);
}

auto JobStore::createJob(const std::string &id, const BatchJob &job) -> std::variant<BatchJob, RequestError>
{
    if (absl::Status paced = awaitRateLimit(CallOrigin::Callers); !paced.ok()) {
        return notAccepted(paced);
    }
    const auto created = store_.create(objectOf(id, job, 0));
    if (created.ok()) {
        // Failing to remove the announcement is harmless: removeAbandoned() keeps chunks that have a job.
        const auto announcement = store_.get(SUBMISSIONS, id);
        if (announcement.ok()) {
            static_cast<void>(store_.remove(SUBMISSIONS, id, announcement->version));
        }
        return job;
    }
    if (!absl::IsAlreadyExists(created.status()) && !absl::IsUnknown(created.status())) {
        return notAccepted(created.status());
    }
    const auto found = readJob(id, CallOrigin::Callers);
    if (!found.ok()) {
        return RequestError { ResultCode::JobUncertain, {}, 1 };
    }
    if (found->job.contentHash != job.contentHash) {
        return conflict();
    }
    return found->job;
}

auto JobStore::job(const std::string &id) -> absl::StatusOr<StoredJob>
{
    return readJob(id, CallOrigin::Dispatcher);
}

auto JobStore::status(const std::string &team, const std::string &jobKey) -> std::variant<BatchJob, RequestError>
{
    auto found = readJob(jobIdOf(team, jobKey), CallOrigin::Callers);
    if (!found.ok()) {
        return storeError(found.status());
    }
    return std::move(found->job);
}

auto JobStore::readResponses(const std::string &name) -> absl::StatusOr<std::vector<ChunkItemResponse>>
{
    if (absl::Status paced = awaitRateLimit(CallOrigin::Callers); !paced.ok()) {
        return paced;
    }
    const auto object = store_.get(RESULTS, name);
    if (!object.ok()) {
        return object.status();
    }
    return decodeSpec<std::vector<ChunkItemResponse>>(*object, answersFromJson);
}

auto JobStore::results(const std::string &team, const std::string &jobKey, std::int64_t from, std::int64_t limit)
    -> std::variant<ResultPage, RequestError>
{
    const std::string id = jobIdOf(team, jobKey);
    const auto found = readJob(id, CallOrigin::Callers);
    if (!found.ok()) {
        return storeError(found.status());
    }
    ResultPage page;
    page.state = found->job.state;
    page.next = std::max<std::int64_t>(0, from);
    const std::int64_t end = std::min(found->job.itemCount(), page.next + limit);
    std::int64_t bytes = 0;
    while (page.next < end && bytes < PAGE_BYTES) {
        const ItemPlace place = placeOf(found->job, page.next);
        const auto chunk = readChunkFor(id, place.chunk, CallOrigin::Callers);
        if (!chunk.ok()) {
            return RequestError { ResultCode::StoreUnavailable, std::string(chunk.status().message()), 1 };
        }
        std::map<std::string, std::vector<ChunkItemResponse>> parts;
        for (std::size_t index = place.index; index < chunk->chunk.items.size() && page.next < end; ++index, ++page.next) {
            const BatchItem &item = chunk->chunk.items[index];
            if (!item.hasEnded()) {
                continue;
            }
            ItemResult report { page.next, item.id, item.state, 0, {}, item.error, item.reason };
            if (item.state == ItemState::Done) {
                if (!parts.contains(item.result)) {
                    auto answers = readResponses(item.result);
                    if (!answers.ok()) {
                        return RequestError { ResultCode::StoreUnavailable, std::string(answers.status().message()), 1 };
                    }
                    parts.emplace(item.result, *std::move(answers));
                }
                for (const ChunkItemResponse &answer : parts[item.result]) {
                    if (answer.index == index) {
                        report.status = answer.status;
                        report.body = answer.body;
                    }
                }
            }
            bytes += static_cast<std::int64_t>(report.body.size());
            page.items.push_back(std::move(report));
        }
    }
    return page;
}

auto JobStore::updateJob(const std::string &id, const StoredJob &changed, CallOrigin origin) -> absl::StatusOr<StoredJob>
{
    if (absl::Status paced = awaitRateLimit(origin); !paced.ok()) {
        return paced;
    }
    const auto updated = store_.update(objectOf(id, changed.job, changed.version));
    if (!updated.ok()) {
        return updated.status();
    }
    return StoredJob { changed.job, updated->version };
}

auto JobStore::cancel(const std::string &team, const std::string &jobKey) -> std::variant<BatchJob, RequestError>
{
    const std::string id = jobIdOf(team, jobKey);
    absl::StatusOr<StoredJob> stored = readJob(id, CallOrigin::Callers);
    for (int attempt = 0; stored.ok() && stored->job.state == JobState::Open; ++attempt) {
        StoredJob changed = *stored;
        changed.job.state = JobState::Cancelled;
        const auto updated = updateJob(id, changed, CallOrigin::Callers);
        if (updated.ok()) {
            stored = updated;
            break;
        }
        if (attempt == CONFLICT_TRIES || (!absl::IsAborted(updated.status()) && !isInconclusive(updated.status()))) {
            return storeError(updated.status());
        }
        if (isInconclusive(updated.status()) && attempt >= WRITE_TRIES) {
            return storeError(updated.status());
        }
        std::this_thread::sleep_for(RETRY_WAIT / 10);
        stored = readJob(id, CallOrigin::Callers);
    }
    if (!stored.ok()) {
        return storeError(stored.status());
    }
    const TimePoint deadline = Clock::now() + CANCEL_LIMIT;
    const bool isCancelled = stored->job.state == JobState::Cancelled;
    for (std::int64_t number = 0; isCancelled && number < stored->job.chunkCount() && Clock::now() < deadline; ++number) {
        if (stored->job.endedChunks[static_cast<std::size_t>(number)]) {
            continue;
        }
        for (int attempt = 0; attempt < CONFLICT_TRIES && Clock::now() < deadline; ++attempt) {
            const auto chunk = readChunkFor(id, number, CallOrigin::Callers);
            const auto cancelled = chunk.ok() ? applyTransitionFor(*chunk, ChunkTransition::cancel, CallOrigin::Callers) : chunk;
            if (cancelled.ok() || absl::IsFailedPrecondition(cancelled.status())) {
                break;
            }
        }
    }
    return stored->job;
}

auto JobStore::openJobs() -> absl::StatusOr<std::vector<StoredJob>>
{
    if (absl::Status paced = awaitRateLimit(CallOrigin::Dispatcher); !paced.ok()) {
        return paced;
    }
    const auto objects = store_.list(JOBS, { { "state", "open" } });
    if (!objects.ok()) {
        return objects.status();
    }
    std::vector<StoredJob> jobs;
    for (const StoredObject &object : *objects) {
        auto job = decodeSpec<BatchJob>(object, batchJobFromJson);
        if (!job.ok()) {
            Log::error(Part::Batch, job.status().ToString());
            continue;
        }
        jobs.push_back({ *std::move(job), object.version });
    }
    return jobs;
}

auto JobStore::applyTransition(const StoredChunk &stored, const std::function<absl::StatusOr<BatchChunk>(const BatchChunk &)> &transition)
    -> absl::StatusOr<StoredChunk>
{
    return applyTransitionFor(stored, transition, CallOrigin::Dispatcher);
}

auto JobStore::applyTransitionFor(const StoredChunk &stored,
                                  const std::function<absl::StatusOr<BatchChunk>(const BatchChunk &)> &transition,
                                  CallOrigin origin) -> absl::StatusOr<StoredChunk>
{
    auto changed = transition(stored.chunk);
    if (!changed.ok()) {
        return changed.status();
    }
    if (absl::Status paced = awaitRateLimit(origin); !paced.ok()) {
        return paced;
    }
    const auto updated = store_.update(objectOf(*changed, stored.version));
    if (updated.ok()) {
        return StoredChunk { *std::move(changed), updated->version };
    }
    if (!absl::IsAborted(updated.status()) && !absl::IsUnknown(updated.status())) {
        return updated.status();
    }
    // An earlier try whose answer was lost may have made this very change; epoch, holder and progress tell.
    auto found = readChunkFor(stored.chunk.job, stored.chunk.number, origin);
    if (!found.ok()) {
        return absl::UnknownError("the change of the chunk may have taken effect");
    }
    if (found->chunk == *changed) {
        return found;
    }
    if (found->version == stored.version) {
        return absl::UnknownError("the change of the chunk may still take effect");
    }
    return absl::AbortedError("the chunk was changed by another daemon");
}

auto JobStore::writeResults(const std::string &name, const std::vector<ChunkItemResponse> &answers) -> absl::Status
{
    if (absl::Status paced = awaitRateLimit(CallOrigin::Dispatcher); !paced.ok()) {
        return paced;
    }
    const auto created = store_.create({ RESULTS, name, 0, {}, Json::toText(*toJson(answers)) });
    // The name holds the epoch of the lease, so only an earlier try of the same call can have stored it.
    return absl::IsAlreadyExists(created.status()) ? absl::OkStatus() : created.status();
}

auto JobStore::recordEndedChunks(const std::string &job, const std::map<std::int64_t, ChunkTotals> &chunks) -> absl::StatusOr<BatchJob>
{
    absl::Status last;
    for (int attempt = 0; attempt < CONFLICT_TRIES; ++attempt) {
        auto stored = readJob(job, CallOrigin::Dispatcher);
        if (!stored.ok()) {
            return stored.status();
        }
        const BatchJob before = stored->job;
        for (const auto &[number, totals] : chunks) {
            auto bit = stored->job.endedChunks.at(static_cast<std::size_t>(number));
            if (!bit) {
                bit = true;
                stored->job.doneItems += totals.done;
                stored->job.failedItems += totals.failed;
            }
        }
        if (before.state != JobState::Open || stored->job == before) {
            return before;
        }
        stored->job.state = stored->job.hasEnded() ? JobState::Done : JobState::Open;
        const auto updated = updateJob(job, *stored, CallOrigin::Dispatcher);
        if (updated.ok()) {
            return updated->job;
        }
        last = updated.status();
        if (!absl::IsAborted(last)) {
            return last;
        }
    }
    return last;
}

auto JobStore::removeAbandoned(WallTime now) -> absl::Status
{
    if (absl::Status paced = awaitRateLimit(CallOrigin::Dispatcher); !paced.ok()) {
        return paced;
    }
    const auto submissions = store_.list(SUBMISSIONS, {});
    if (!submissions.ok()) {
        return submissions.status();
    }
    absl::Status status;
    for (const StoredObject &submission : *submissions) {
        status.Update(removeSubmission(submission, now));
    }
    return status;
}

auto JobStore::removeSubmission(const StoredObject &submission, WallTime now) -> absl::Status
{
    auto announcement = decodeSpec<Announcement>(submission, announcementFromJson);
    if (!announcement.ok() || now - announcement->changedAt < ABANDONED_AFTER) {
        return announcement.status();
    }
    // A submission that finds this mark does not begin, so the chunks below are not about to get a job.
    announcement->changedAt = now;
    announcement->isBeingRemoved = true;
    const auto marked = store_.update(objectOf(submission.name, *announcement, submission.version));
    if (!marked.ok()) {
        return absl::IsAborted(marked.status()) ? absl::OkStatus() : marked.status();
    }
    const TimePoint deadline = Clock::now() + SUBMISSION_LIMIT / 2;
    const auto job = readJob(submission.name, CallOrigin::Dispatcher);
    if (!job.ok() && !absl::IsNotFound(job.status())) {
        return job.status();
    }
    for (std::int64_t number = 0; !job.ok() && number < announcement->chunkCount; ++number) {
        const auto chunk = readChunk(submission.name, number);
        if (absl::IsNotFound(chunk.status())) {
            continue;
        }
        if (!chunk.ok() || Clock::now() >= deadline) {
            return chunk.ok() ? absl::DeadlineExceededError("removing chunks took too long") : chunk.status();
        }
        if (absl::Status removed = store_.remove(CHUNKS, chunkNameOf(submission.name, number), chunk->version); !removed.ok()) {
            return removed;
        }
    }
    return store_.remove(SUBMISSIONS, submission.name, marked->version);
}

} // namespace poplardock
