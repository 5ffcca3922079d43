#pragma once

#include "Process/BatchLimiter.h"
#include "Process/FleetState.h"
#include "Process/HeldChunk.h"
#include "Process/JobStore.h"
#include "Process/Metrics.h"
#include "Request/BatchItemAttempt.h"
#include "Request/BatchOrder.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace poplardock {

/// Runs batch items at the upstreams whose home is this daemon. It leases chunks of open jobs, runs their items
/// within the concurrency limit of each upstream, and commits the outcomes.
///
/// Threads: a scheduler, which starts and aborts attempts and never waits for the network, one thread for all store
/// calls, and a pool of workers that each run one item at a time. One mutex guards all tables; it is not held during
/// calls of hooks, the store or an upstream.
/// Thread safety: all methods may be called from any thread; start() and stop() once each.
class BatchDispatcher
{
public:
    /// Functions of other components that the dispatcher uses. Called from many threads.
    struct Hooks
    {
        /// Incarnation of this process in the member table.
        std::function<std::string()> incarnation;
        /// Load of an upstream of the configuration. The dispatcher computes "onlineExpected" itself.
        std::function<ObservedLoad(const std::string &upstream)> loadOf;
        /// Probes whether an upstream still responds after it closed a connection during a request.
        std::function<bool(const Upstream &upstream)> isAlive = BatchItemAttempt::probe;
        /// Whether an upstream has said that it leaves; it gets no further items. Must not call the dispatcher.
        std::function<bool(const std::string &upstream)> isLeaving = [](const std::string &) {
            return false;
        };
        /// Receives the head of each answer to an item that was sent at that time. May be empty.
        std::function<void(const std::string &upstream, const UpstreamHead &head, TimePoint sentAt)> onHead = {};
    };

    struct Options
    {
        /// Region of this daemon.
        std::string region;
        /// Worker threads, and so the number of items that run at the same time.
        int threads = 64;
        BatchLimiter::Tuning limiter;
        HeldChunk::WriteTiming writeTiming;
        /// A holder that makes no progress for this long loses its chunk.
        Milliseconds leaseTimeout { 30000 };
        /// A holder that is missing from the member table for this long loses its chunk. Above the freshness bound, so
        /// that a member that has just joined does not count as lost.
        Milliseconds absenceTimeout { 5000 };
        /// Interval at which the open jobs are listed.
        Milliseconds listInterval { 1000 };
        /// Time-out of one attempt of an item.
        Milliseconds attemptTimeout { 300000 };
        /// Time for which stop() waits for non-repeatable items.
        Milliseconds drainTimeout { 60000 };
    };

    BatchDispatcher(JobStore &store, const FleetState &fleet, Metrics &metrics, Options options, Hooks hooks);
    BatchDispatcher(const BatchDispatcher &) = delete;
    auto operator=(const BatchDispatcher &) -> BatchDispatcher & = delete;
    BatchDispatcher(BatchDispatcher &&) = delete;
    auto operator=(BatchDispatcher &&) -> BatchDispatcher & = delete;
    ~BatchDispatcher();

    auto start() -> void;
    /// Starts no further items, aborts the repeatable ones, waits for the others, commits, and releases all chunks.
    auto stop() -> void;
    /// Aborts running items at the upstream, since an online request waits there. Does nothing when this daemon does
    /// not serve the upstream.
    auto preempt(const std::string &upstream) -> void;
    /// Concurrency limits, running items and held chunks, for the state dump.
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;

private:
    /// A job as last read from the store.
    struct JobSnapshot
    {
        std::string id;
        BatchJob job;
    };
    using JobPointer = std::shared_ptr<const JobSnapshot>;
    using HeldChunkPointer = std::shared_ptr<HeldChunk>;

    /// One run of an item at an upstream.
    struct Attempt
    {
        HeldChunkPointer held;
        std::size_t item = 0;
        JobPointer job;
        Upstream upstream;
        std::string body;
        TimePoint startedAt;
        std::stop_source stop;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    struct UpstreamState
    {
        Upstream upstream;
        BatchLimiter limiter;
        /// Oldest first.
        std::vector<AttemptPointer> attempts;
        int failures = 0;
        TimePoint backoffUntil;
        /// False once this daemon is no longer the home of the upstream, or the upstream is draining.
        bool isServed = true;
    };

    /// This daemon's last view of a chunk that it does not hold.
    struct ChunkObservation
    {
        bool hasEnded = false;
        std::uint64_t progress = 0;
        TimePoint progressSeenAt;
        TimePoint nextReadAt;
        /// This daemon released the chunk because none of its upstreams could run the waiting items. When it leases the
        /// chunk again, it ignores the exclusion of upstreams.
        bool wasUnrunnable = false;
    };

    struct TrackedJob
    {
        /// Null for a job that is no longer listed as open.
        JobPointer job;
        std::map<std::int64_t, ChunkObservation> observations;
        /// Ended chunks that are not yet recorded in the job object.
        std::map<std::int64_t, ChunkTotals> unrecordedChunks;
    };

    /// The upstreams whose home is this daemon in the version in force; none while it may not act or is no member.
    struct ServedUpstreams
    {
        ChunkHolder self;
        FleetVersionPointer version;
        std::vector<Upstream> upstreams;
        double targetMs = 0;
    };

    /// All upstreams of the fleet that can run the job's items and are neither draining nor leaving.
    auto upstreamsFor(const BatchJob &job, const Configuration &configuration) const -> std::vector<std::string>;
    auto isUsable(const Upstream &upstream) const -> bool;
    auto findServedUpstreams(TimePoint now) const -> ServedUpstreams;
    auto loadsOf(const ServedUpstreams &served) const -> std::map<std::string, ObservedLoad>;
    auto scheduleLoop(const std::stop_token &stop) -> void;
    auto schedule() -> void;
    auto updateUpstreams(const ServedUpstreams &served, const std::map<std::string, ObservedLoad> &loads, TimePoint now) -> void;
    auto startAttempts(const ServedUpstreams &served, TimePoint now) -> void;
    auto startNextItem(UpstreamState &state, const Configuration &configuration, TimePoint now) -> bool;
    auto beginAttempt(UpstreamState &state, const HeldChunkPointer &held, std::size_t item, const JobPointer &job, TimePoint now) -> void;
    auto abortAttempts(UpstreamState &state, int count) -> void;
    auto sortedJobs(const std::vector<JobPointer> &jobs, const Configuration &configuration) const -> std::vector<JobPointer>;

    auto workerLoop(const std::stop_token &stop) -> void;
    auto runItem(const Attempt &attempt) -> ItemAttemptResult;
    auto finishAttempt(const AttemptPointer &attempt, const ItemAttemptResult &result) -> void;
    auto recordHealth(UpstreamState &state, const ItemAttemptResult &result, TimePoint now) -> void;

    auto storeLoop(const std::stop_token &stop) -> void;
    auto runStoreTick() -> void;
    /// Returns false and starts a backoff when the store could not be reached.
    auto recordStoreStatus(const absl::Status &status) -> bool;
    auto listJobs() -> bool;
    /// Cancels and drops the held chunks of a job that is no longer listed as open, unless a read shows it open.
    auto dropEndedJob(const std::string &id) -> bool;
    auto writeChunk(const HeldChunkPointer &held, bool flush) -> bool;
    auto maximumStartsFor(const HeldChunk &held, const Configuration &configuration) const -> int;
    /// Stops holding the chunk and aborts its attempts.
    auto dropChunk(const HeldChunkPointer &held) -> void;
    /// Writes the outcomes and ends the lease, so that another daemon can lease the chunk.
    auto releaseChunk(const HeldChunkPointer &held) -> bool;
    auto releaseUnrunnable(const ServedUpstreams &served) -> bool;
    auto leaseChunkFor(const ServedUpstreams &served, const std::string &upstream) -> bool;
    auto pickChunk(TrackedJob &tracked, TimePoint now) const -> std::optional<std::int64_t>;
    auto tryLease(const ServedUpstreams &served, const JobPointer &job, std::int64_t number) -> bool;
    /// True when nobody holds the chunk or its holder counts as lost.
    auto mayLease(ChunkObservation &observation, const BatchChunk &chunk, const ServedUpstreams &served, TimePoint now) const -> bool;
    auto recordEndedChunks() -> bool;
    auto removeAbandoned(const ServedUpstreams &served) -> bool;
    auto findJob(const HeldChunk &held) const -> JobPointer;
    auto heldChunks() const -> std::vector<HeldChunkPointer>;

    JobStore &store_;
    const FleetState &fleet_;
    Metrics &metrics_;
    const Options options_;
    const Hooks hooks_;

    mutable std::mutex mutex_;
    std::condition_variable scheduleChanged_;
    std::condition_variable queueChanged_;
    std::condition_variable attemptsChanged_;
    bool isScheduleDue_ = false;
    bool isStopping_ = false;
    std::map<std::string, UpstreamState> upstreams_;
    std::map<std::string, TrackedJob> jobs_;
    std::map<std::string, HeldChunkPointer> held_;
    std::map<std::string, std::int64_t> runningByTeam_;
    std::deque<AttemptPointer> queue_;
    int attemptCount_ = 0;
    /// Moving average of the seconds of an item, by model or path.
    std::map<std::string, double> itemSeconds_;

    /// The members from here to storeFailures_ are used by the store thread only, and by stop() after it has ended.
    std::mt19937_64 random_;
    TimePoint nextListAt_;
    TimePoint nextRemovalAt_;
    TimePoint storeRetryAt_;
    int storeFailures_ = 0;

    std::vector<std::jthread> workers_;
    std::jthread scheduler_;
    std::jthread storeThread_;
};

} // namespace poplardock
