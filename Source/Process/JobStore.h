#pragma once

#include "Process/CallBudget.h"
#include "Process/StoreClient.h"
#include "Request/ChunkTransition.h"
#include "Version/BatchChunk.h"
#include "Version/BatchJob.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplardock {

/// A job as a caller submits it.
struct JobSubmission
{
    struct Item
    {
        std::string id;
        /// JSON text.
        std::string body;

        auto operator==(const Item &) const -> bool = default;
    };

    std::string team;
    std::string jobKey;
    std::string serviceClass;
    std::string model;
    std::string path;
    WallTime due;
    bool repeatable = true;
    std::vector<Item> items;

    auto operator==(const JobSubmission &) const -> bool = default;
};

struct StoredJob
{
    BatchJob job;
    std::uint64_t version = 0;

    auto operator==(const StoredJob &) const -> bool = default;
};

struct StoredChunk
{
    BatchChunk chunk;
    std::uint64_t version = 0;

    auto operator==(const StoredChunk &) const -> bool = default;
};

/// The answer to one item, as an upstream gave it.
struct ChunkItemResponse
{
    /// Index of the item in its chunk.
    std::size_t index = 0;
    int status = 200;
    std::string body;

    auto operator==(const ChunkItemResponse &) const -> bool = default;
};

/// The outcome of one item, for the job's owner.
struct ItemResult
{
    /// Position of the item in the job.
    std::int64_t position = 0;
    std::string id;
    ItemState state = ItemState::Done;
    /// Set when done.
    int status = 0;
    std::string body;
    /// Set when failed.
    ResultCode error = ResultCode::Ok;
    std::string reason;

    auto operator==(const ItemResult &) const -> bool = default;
};

struct ResultPage
{
    /// Items of the page that have ended, in the order of the job.
    std::vector<ItemResult> items;
    /// Position at which the next page starts; the item count after the last page.
    std::int64_t next = 0;
    JobState state = JobState::Open;

    auto operator==(const ResultPage &) const -> bool = default;
};

/// The items of one ended chunk by outcome.
struct ChunkTotals
{
    std::int64_t done = 0;
    std::int64_t failed = 0;

    auto operator==(const ChunkTotals &) const -> bool = default;
};

/// Jobs, chunks and results in the platform's store. Every change is a create or a conditional update, so any
/// number of daemons may use the same objects. Calls for callers and calls of the dispatcher are paced
/// separately, below the budget of the store client, so that neither starves the other or the version watch.
/// Thread safety: all methods may be called from any thread; each blocks on store calls and on the pace.
class JobStore
{
public:
    /// Store calls per second and burst, for callers and for the dispatcher each.
    struct Limits
    {
        double callsPerSecond = 8;
        double burst = 30;
    };

    explicit JobStore(StoreClient &store, Limits limits);

    /// Writes the chunks and then the job. The create of the job object is the acceptance. The same job again
    /// gives the existing one. Errors: JobConflict for other content under the key; JobUncertain when the
    /// create of the job object may have taken effect; JobNotAccepted when this call did not create it.
    auto accept(const JobSubmission &submission) -> std::variant<BatchJob, RequestError>;
    /// Errors: JobUnknown, StoreUnavailable.
    auto status(const std::string &team, const std::string &jobKey) -> std::variant<BatchJob, RequestError>;
    /// At most "limit" items from a position on; fewer when the answers are large. Errors: as status().
    auto results(const std::string &team, const std::string &jobKey, std::int64_t from, std::int64_t limit)
        -> std::variant<ResultPage, RequestError>;
    /// Cancels an open job and then, for at most 3 s, its chunks. Chunks that this leaves open get no new
    /// holder, and their present holders cancel them. Returns the job unchanged when it has ended.
    /// Errors: as status().
    auto cancel(const std::string &team, const std::string &jobKey) -> std::variant<BatchJob, RequestError>;

    auto openJobs() -> absl::StatusOr<std::vector<StoredJob>>;
    auto job(const std::string &id) -> absl::StatusOr<StoredJob>;
    auto readChunk(const std::string &job, std::int64_t number) -> absl::StatusOr<StoredChunk>;

    /// Makes one transition with a conditional update on the version that was read. Errors:
    /// FailedPrecondition when the transition is not allowed; Aborted when another change came first;
    /// Unavailable, Unknown and ResourceExhausted when it is open whether the change took effect: the same
    /// call may be made again with the same argument.
    auto applyTransition(const StoredChunk &stored, const std::function<absl::StatusOr<BatchChunk>(const BatchChunk &)> &transition)
        -> absl::StatusOr<StoredChunk>;
    /// Stores the answers of some items of a chunk as an immutable object. Returns once it is stored; the same
    /// call may be made again after an error. Precondition: at most MAXIMUM_RESULT_BYTES of bodies.
    auto writeResults(const std::string &name, const std::vector<ChunkItemResponse> &answers) -> absl::Status;
    /// Records ended chunks in the job, each once, and ends the job with the last one. Returns the job.
    auto recordEndedChunks(const std::string &job, const std::map<std::int64_t, ChunkTotals> &chunks) -> absl::StatusOr<BatchJob>;
    /// Removes the chunks of submissions that were given up more than an hour ago. To be called by one daemon
    /// at a time, every few minutes.
    auto removeAbandoned(WallTime now) -> absl::Status;

    /// Name of a results object.
    static auto resultNameOf(const BatchChunk &chunk, std::uint64_t epoch, std::uint64_t part) -> std::string;

    /// Bytes of answer bodies in one results object. Escaping may double them, and the store takes 1 MB.
    static constexpr std::size_t MAXIMUM_RESULT_BYTES = 400UL * 1024;

private:
    enum class CallOrigin
    {
        Callers,
        Dispatcher,
    };

    auto awaitRateLimit(CallOrigin origin) -> absl::Status;
    auto readJob(const std::string &id, CallOrigin origin) -> absl::StatusOr<StoredJob>;
    auto readChunkFor(const std::string &job, std::int64_t number, CallOrigin origin) -> absl::StatusOr<StoredChunk>;
    auto applyTransitionFor(const StoredChunk &stored,
                            const std::function<absl::StatusOr<BatchChunk>(const BatchChunk &)> &transition,
                            CallOrigin origin) -> absl::StatusOr<StoredChunk>;
    auto updateJob(const std::string &id, const StoredJob &changed, CallOrigin origin) -> absl::StatusOr<StoredJob>;
    auto recordIntent(const std::string &id, const BatchJob &job) -> std::optional<RequestError>;
    auto writeChunk(const BatchChunk &chunk) -> std::optional<RequestError>;
    auto createJob(const std::string &id, const BatchJob &job) -> std::variant<BatchJob, RequestError>;
    auto removeSubmission(const StoredObject &submission, WallTime now) -> absl::Status;
    auto readResponses(const std::string &name) -> absl::StatusOr<std::vector<ChunkItemResponse>>;

    StoreClient &store_;
    CallBudget callersBudget_;
    CallBudget dispatcherBudget_;
};

} // namespace poplardock
