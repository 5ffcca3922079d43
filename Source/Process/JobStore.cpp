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
constexpr int MAXIMUM_WRITE_ATTEMPTS = 4;
constexpr int MAXIMUM_CONFLICT_ATTEMPTS = 20;
constexpr Milliseconds RETRY_DELAY { 100 };
constexpr Milliseconds RATE_LIMIT_POLL_INTERVAL { 10 };
constexpr Milliseconds RATE_LIMIT_TIMEOUT { 5000 };
constexpr Milliseconds CHUNK_CANCEL_TIMEOUT { 3000 };
/// Time-out of a submission or of a removal, far below the age at which a submission counts as abandoned.
constexpr std::chrono::minutes SUBMISSION_TIMEOUT { 10 };
constexpr std::chrono::hours ABANDONED_AGE { 1 };
constexpr std::int64_t MAXIMUM_PAGE_BYTES = 4LL * 1024 * 1024;

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
            chunk.isRetryable = submission.repeatable;
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
    job.isRetryable = submission.repeatable;
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
    return left.job == right.job && left.number == right.number && left.isRetryable == right.isRetryable
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

/// Written before the chunks of a submission, so that the chunks can be found and removed when the submission does not
/// get as far as the job object.
struct SubmissionIntent
{
    std::string contentHash;
    WallTime changedAt;
    std::int64_t chunkCount = 0;
    bool isBeingRemoved = false;
};

auto intentFromJson(const JsonObject &object) -> absl::StatusOr<SubmissionIntent>
{
    SubmissionIntent intent;
    std::string changedAt;
    absl::Status status;
    Json::assign(Json::requireString(object, "content_hash"), intent.contentHash, status);
    Json::assign(Json::requireString(object, "changed_at"), changedAt, status);
    Json::assign(Json::requireInteger(object, "chunk_count"), intent.chunkCount, status);
    Json::assign(Json::optionalBool(object, "removing", false), intent.isBeingRemoved, status);
    Json::assign(parseWallTime(changedAt), intent.changedAt, status);
    return status.ok() ? absl::StatusOr<SubmissionIntent>(std::move(intent)) : status;
}

auto objectOf(const std::string &id, const SubmissionIntent &intent, std::uint64_t version) -> StoredObject
{
    JsonObject spec;
    spec.set("content_hash", intent.contentHash);
    spec.set("changed_at", toText(intent.changedAt));
    spec.set("chunk_count", intent.chunkCount);
    spec.set("removing", intent.isBeingRemoved);
    return { SUBMISSIONS, id, version, {}, Json::toText(spec) };
}

auto responseFromJson(const JsonObject &object) -> absl::StatusOr<ChunkItemResponse>
{
    ChunkItemResponse response;
    absl::Status status;
    Json::assign(Json::requireInteger(object, "index"), response.index, status);
    Json::assign(Json::requireInteger(object, "status"), response.status, status);
    Json::assign(Json::requireString(object, "body"), response.body, status);
    return status.ok() ? absl::StatusOr<ChunkItemResponse>(std::move(response)) : status;
}

auto responsesFromJson(const JsonObject &object) -> absl::StatusOr<std::vector<ChunkItemResponse>>
{
    const auto entries = Json::optionalObjects(object, "items");
    if (!entries.ok()) {
        return entries.status();
    }
    std::vector<ChunkItemResponse> responses;
    for (const JsonObject::Ptr &entry : *entries) {
        auto response = responseFromJson(*entry);
        if (!response.ok()) {
            return response.status();
        }
        responses.push_back(*std::move(response));
    }
    return responses;
}

auto toJson(const std::vector<ChunkItemResponse> &responses) -> JsonObject::Ptr
{
    JsonArray::Ptr items = new JsonArray;
    for (const ChunkItemResponse &response : responses) {
        JsonObject::Ptr entry = new JsonObject;
        entry->set("index", static_cast<std::int64_t>(response.index));
        entry->set("status", response.status);
        entry->set("body", response.body);
        items->add(entry);
    }
    JsonObject::Ptr object = new JsonObject;
    object->set("items", items);
    return object;
}

/// Location of an item of a job: its chunk and the index within the chunk.
struct ItemLocation
{
    std::int64_t chunk = 0;
    std::size_t index = 0;
};

auto locationOf(const BatchJob &job, std::int64_t position) -> ItemLocation
{
    ItemLocation location;
    for (const std::int64_t size : job.chunkSizes) {
        if (position < size) {
            break;
        }
        position -= size;
        ++location.chunk;
    }
    location.index = static_cast<std::size_t>(position);
    return location;
}

} // namespace

JobStore::JobStore(StoreClient &store, Limits limits)
    : store_(store)
    , callersBudget_(limits.callsPerSecond, limits.burst, Clock::now())
    , dispatcherBudget_(limits.callsPerSecond, limits.burst, Clock::now())
{
}

auto JobStore::resultNameOf(const BatchChunk &chunk, std::uint64_t epoch, std::uint64_t sequence) -> std::string
{
    return absl::StrCat(chunkNameOf(chunk.job, chunk.number), "-", epoch, "-", sequence);
}

auto JobStore::awaitRateLimit(CallOrigin origin) -> absl::Status
{
    CallBudget &budget = origin == CallOrigin::Callers ? callersBudget_ : dispatcherBudget_;
    const TimePoint deadline = Clock::now() + RATE_LIMIT_TIMEOUT;
    while (!budget.tryAcquire(Clock::now())) {
        if (Clock::now() >= deadline) {
            return absl::ResourceExhaustedError("timed out: too many store calls of this daemon are waiting");
        }
        std::this_thread::sleep_for(RATE_LIMIT_POLL_INTERVAL);
    }
    return absl::OkStatus();
}

auto JobStore::readJob(const std::string &id, CallOrigin origin) -> absl::StatusOr<StoredJob>
{
    if (absl::Status acquired = awaitRateLimit(origin); !acquired.ok()) {
        return acquired;
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
    if (absl::Status acquired = awaitRateLimit(origin); !acquired.ok()) {
        return acquired;
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
    const TimePoint deadline = Clock::now() + SUBMISSION_TIMEOUT;
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
        return notAccepted(absl::DeadlineExceededError("writing its items exceeded the time-out of a submission"));
    }
    return createJob(id, job);
}

auto JobStore::recordIntent(const std::string &id, const BatchJob &job) -> std::optional<RequestError>
{
    const SubmissionIntent own { job.contentHash, currentWallTime(), job.chunkCount(), false };
    absl::Status last;
    for (int attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; ++attempt) {
        if (absl::Status acquired = awaitRateLimit(CallOrigin::Callers); !acquired.ok()) {
            return notAccepted(acquired);
        }
        const auto created = store_.create(objectOf(id, own, 0));
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
        const auto found = object.ok() ? decodeSpec<SubmissionIntent>(*object, intentFromJson) : object.status();
        if (!found.ok()) {
            last = found.status();
            continue;
        }
        if (found->contentHash != job.contentHash) {
            return conflict();
        }
        if (found->isBeingRemoved && own.changedAt - found->changedAt < SUBMISSION_TIMEOUT) {
            return notAccepted(absl::UnavailableError("an earlier, abandoned submission is still being removed"));
        }
        const auto renewed = store_.update(objectOf(id, own, object->version));
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
    for (int attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; ++attempt) {
        if (absl::Status acquired = awaitRateLimit(CallOrigin::Callers); !acquired.ok()) {
            return notAccepted(acquired);
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
        std::this_thread::sleep_for(RETRY_DELAY);
    }
    return notAccepted(last);
}

auto JobStore::createJob(const std::string &id, const BatchJob &job) -> std::variant<BatchJob, RequestError>
{
    if (absl::Status acquired = awaitRateLimit(CallOrigin::Callers); !acquired.ok()) {
        return notAccepted(acquired);
    }
    const auto created = store_.create(objectOf(id, job, 0));
    if (created.ok()) {
        // An intent that is not removed here does no harm: removeAbandoned() keeps the chunks of an accepted job.
        const auto intent = store_.get(SUBMISSIONS, id);
        if (intent.ok()) {
            static_cast<void>(store_.remove(SUBMISSIONS, id, intent->version));
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
    if (absl::Status acquired = awaitRateLimit(CallOrigin::Callers); !acquired.ok()) {
        return acquired;
    }
    const auto object = store_.get(RESULTS, name);
    if (!object.ok()) {
        return object.status();
    }
    return decodeSpec<std::vector<ChunkItemResponse>>(*object, responsesFromJson);
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
    while (page.next < end && bytes < MAXIMUM_PAGE_BYTES) {
        const ItemLocation location = locationOf(found->job, page.next);
        const auto chunk = readChunkFor(id, location.chunk, CallOrigin::Callers);
        if (!chunk.ok()) {
            return RequestError { ResultCode::StoreUnavailable, std::string(chunk.status().message()), 1 };
        }
        std::map<std::string, std::vector<ChunkItemResponse>> responsesByObject;
        for (std::size_t index = location.index; index < chunk->chunk.items.size() && page.next < end; ++index, ++page.next) {
            const BatchItem &item = chunk->chunk.items[index];
            if (!item.hasEnded()) {
                continue;
            }
            ItemResult result { page.next, item.id, item.state, 0, {}, item.error, item.reason };
            if (item.state == ItemState::Done) {
                if (!responsesByObject.contains(item.result)) {
                    auto responses = readResponses(item.result);
                    if (!responses.ok()) {
                        return RequestError { ResultCode::StoreUnavailable, std::string(responses.status().message()), 1 };
                    }
                    responsesByObject.emplace(item.result, *std::move(responses));
                }
                for (const ChunkItemResponse &response : responsesByObject[item.result]) {
                    if (response.index == index) {
                        result.status = response.status;
                        result.body = response.body;
                    }
                }
            }
            bytes += static_cast<std::int64_t>(result.body.size());
            page.items.push_back(std::move(result));
        }
    }
    return page;
}

auto JobStore::updateJob(const std::string &id, const StoredJob &changed, CallOrigin origin) -> absl::StatusOr<StoredJob>
{
    if (absl::Status acquired = awaitRateLimit(origin); !acquired.ok()) {
        return acquired;
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
        if (attempt == MAXIMUM_CONFLICT_ATTEMPTS || (!absl::IsAborted(updated.status()) && !isInconclusive(updated.status()))) {
            return storeError(updated.status());
        }
        if (isInconclusive(updated.status()) && attempt >= MAXIMUM_WRITE_ATTEMPTS) {
            return storeError(updated.status());
        }
        std::this_thread::sleep_for(RETRY_DELAY / 10);
        stored = readJob(id, CallOrigin::Callers);
    }
    if (!stored.ok()) {
        return storeError(stored.status());
    }
    const TimePoint deadline = Clock::now() + CHUNK_CANCEL_TIMEOUT;
    const bool isCancelled = stored->job.state == JobState::Cancelled;
    for (std::int64_t number = 0; isCancelled && number < stored->job.chunkCount() && Clock::now() < deadline; ++number) {
        if (stored->job.endedChunks[static_cast<std::size_t>(number)]) {
            continue;
        }
        for (int attempt = 0; attempt < MAXIMUM_CONFLICT_ATTEMPTS && Clock::now() < deadline; ++attempt) {
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
    if (absl::Status acquired = awaitRateLimit(CallOrigin::Dispatcher); !acquired.ok()) {
        return acquired;
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
    if (absl::Status acquired = awaitRateLimit(origin); !acquired.ok()) {
        return acquired;
    }
    const auto updated = store_.update(objectOf(*changed, stored.version));
    if (updated.ok()) {
        return StoredChunk { *std::move(changed), updated->version };
    }
    if (!absl::IsAborted(updated.status()) && !absl::IsUnknown(updated.status())) {
        return updated.status();
    }
    // An earlier attempt whose response was lost may have made this change. Epoch, holder and progress tell it from
    // changes of other daemons.
    auto found = readChunkFor(stored.chunk.job, stored.chunk.number, origin);
    if (!found.ok()) {
        return absl::UnknownError("it is not known whether the change of the chunk took effect");
    }
    if (found->chunk == *changed) {
        return found;
    }
    if (found->version == stored.version) {
        return absl::UnknownError("the change of the chunk may still take effect");
    }
    return absl::AbortedError("the chunk was changed by another daemon");
}

auto JobStore::writeResults(const std::string &name, const std::vector<ChunkItemResponse> &responses) -> absl::Status
{
    if (absl::Status acquired = awaitRateLimit(CallOrigin::Dispatcher); !acquired.ok()) {
        return acquired;
    }
    const auto created = store_.create({ RESULTS, name, 0, {}, Json::toText(*toJson(responses)) });
    // The name contains the epoch of the lease, so only an earlier attempt of the same call can have stored it.
    return absl::IsAlreadyExists(created.status()) ? absl::OkStatus() : created.status();
}

auto JobStore::recordEndedChunks(const std::string &job, const std::map<std::int64_t, ChunkTotals> &chunks) -> absl::StatusOr<BatchJob>
{
    absl::Status last;
    for (int attempt = 0; attempt < MAXIMUM_CONFLICT_ATTEMPTS; ++attempt) {
        auto stored = readJob(job, CallOrigin::Dispatcher);
        if (!stored.ok()) {
            return stored.status();
        }
        const BatchJob before = stored->job;
        for (const auto &[number, totals] : chunks) {
            auto hasEnded = stored->job.endedChunks.at(static_cast<std::size_t>(number));
            if (!hasEnded) {
                hasEnded = true;
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
    if (absl::Status acquired = awaitRateLimit(CallOrigin::Dispatcher); !acquired.ok()) {
        return acquired;
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
    auto intent = decodeSpec<SubmissionIntent>(submission, intentFromJson);
    if (!intent.ok() || now - intent->changedAt < ABANDONED_AGE) {
        return intent.status();
    }
    // A new submission under this key is refused while the mark is recent, so no job can be created for these chunks.
    intent->changedAt = now;
    intent->isBeingRemoved = true;
    const auto marked = store_.update(objectOf(submission.name, *intent, submission.version));
    if (!marked.ok()) {
        return absl::IsAborted(marked.status()) ? absl::OkStatus() : marked.status();
    }
    const TimePoint deadline = Clock::now() + SUBMISSION_TIMEOUT / 2;
    const auto job = readJob(submission.name, CallOrigin::Dispatcher);
    if (!job.ok() && !absl::IsNotFound(job.status())) {
        return job.status();
    }
    for (std::int64_t number = 0; !job.ok() && number < intent->chunkCount; ++number) {
        const auto chunk = readChunk(submission.name, number);
        if (absl::IsNotFound(chunk.status())) {
            continue;
        }
        if (!chunk.ok() || Clock::now() >= deadline) {
            return chunk.ok() ? absl::DeadlineExceededError("removing the chunks of an abandoned submission timed out") : chunk.status();
        }
        if (absl::Status removed = store_.remove(CHUNKS, chunkNameOf(submission.name, number), chunk->version); !removed.ok()) {
            return removed;
        }
    }
    return store_.remove(SUBMISSIONS, submission.name, marked->version);
}

} // namespace poplardock
