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

/// Runs batch items at the upstreams whose home this daemon is. It leases chunks of open jobs, runs their items
/// within the share of each upstream, and commits the outcomes.
///
/// Threads: one that starts and drops runs and never waits for the network, one for all store calls, and a
/// pool of workers that each run one item. One mutex guards all tables; it is not held across a call of a
/// hook, the store or an upstream.
/// Thread safety: all methods may be called from any thread; start() and stop() once each.
class BatchDispatcher
{
public:
    /// The other parts of the daemon, as far as the dispatcher needs them. Called from many threads.
    struct Hooks
    {
        /// Incarnation under which this process is a member.
        std::function<std::string()> incarnation;
        /// Load of any upstream of the configuration. The dispatcher sets "onlineExpected" itself.
        std::function<ObservedLoad(const std::string &upstream)> loadOf;
        /// True for a request that has killed upstreams.
        std::function<bool(const std::string &team, const std::string &path, const std::string &body)> isRefused;
        std::function<void(const std::string &team, const std::string &path, const std::string &body)> recordCrash;
        /// Tells whether an upstream that broke a connection still answers.
        std::function<bool(const Upstream &upstream)> isAlive = BatchItemAttempt::probe;
    };

    struct Options
    {
        /// Region of this daemon.
        std::string region;
        /// Items that run at the same time.
        int threads = 64;
        BatchLimiter::Tuning limiter;
        HeldChunk::WriteTiming writeTiming;
        /// A holder without progress for this long is replaced.
        Milliseconds leaseTimeout { 30000 };
        /// Time for which a holder must be missing from the member table, above the freshness bound, so that
        /// a member that has just joined is not taken for a lost one.
        Milliseconds absenceTimeout { 5000 };
        Milliseconds listInterval { 1000 };
        /// Limit for one run of an item.
        Milliseconds attemptTimeout { 300000 };
        /// Time for which stop() waits for items that may not be repeated.
        Milliseconds drainTimeout { 60000 };
    };

    BatchDispatcher(JobStore &store, const FleetState &fleet, Metrics &metrics, Options options, Hooks hooks);
    BatchDispatcher(const BatchDispatcher &) = delete;
    auto operator=(const BatchDispatcher &) -> BatchDispatcher & = delete;
    BatchDispatcher(BatchDispatcher &&) = delete;
    auto operator=(BatchDispatcher &&) -> BatchDispatcher & = delete;
    ~BatchDispatcher();

    auto start() -> void;
    /// Starts nothing more, drops repeatable items, waits for the others, commits, and gives all chunks back.
    auto stop() -> void;
    /// Online work waits at the upstream: drops running items at once. Does nothing for other upstreams.
    auto preempt(const std::string &upstream) -> void;
    /// Shares, running items and held chunks, for the state dump.
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;

private:
    struct JobSnapshot
    {
        std::string id;
        BatchJob job;
    };
    using JobPointer = std::shared_ptr<const JobSnapshot>;
    using HeldChunkPointer = std::shared_ptr<HeldChunk>;

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
        /// False once this daemon is not its home any more or it is leaving.
        bool isServed = true;
    };

    /// What this daemon saw of a chunk that it does not hold.
    struct ChunkObservation
    {
        bool hasEnded = false;
        std::uint64_t progress = 0;
        TimePoint progressSeenAt;
        TimePoint nextReadAt;
        /// This daemon gave the chunk back because its upstreams were excluded.
        bool wasUnrunnable = false;
    };

    struct TrackedJob
    {
        /// Null for a job that is not on the list any more.
        JobPointer job;
        std::map<std::int64_t, ChunkObservation> observations;
        /// Ended chunks that the job does not record yet.
        std::map<std::int64_t, ChunkTotals> unrecordedChunks;
    };

    struct ServedUpstreams
    {
        ChunkHolder self;
        FleetVersionPointer version;
        std::vector<Upstream> upstreams;
        double targetMs = 0;
    };

    auto findServedUpstreams(TimePoint now) const -> ServedUpstreams;
    auto loadsOf(const ServedUpstreams &served) const -> std::map<std::string, ObservedLoad>;
    auto scheduleLoop(const std::stop_token &stop) -> void;
    auto schedule() -> void;
    auto updateUpstreams(const ServedUpstreams &served, const std::map<std::string, ObservedLoad> &loads, TimePoint now) -> void;
    auto startAttempts(const ServedUpstreams &served, TimePoint now) -> void;
    auto startNextItem(UpstreamState &work, const Configuration &configuration, TimePoint now) -> bool;
    auto beginAttempt(UpstreamState &work, const HeldChunkPointer &held, std::size_t item, const JobPointer &job, TimePoint now) -> void;
    auto abortAttempts(UpstreamState &work, int count) -> void;
    auto sortedJobs(const std::vector<JobPointer> &jobs, const Configuration &configuration) const -> std::vector<JobPointer>;

    auto workerLoop(const std::stop_token &stop) -> void;
    auto runItem(const Attempt &run) -> ItemAttemptResult;
    auto finishAttempt(const AttemptPointer &run, const ItemAttemptResult &result) -> void;
    auto recordHealth(UpstreamState &work, const ItemAttemptResult &result, TimePoint now) -> void;

    auto storeLoop(const std::stop_token &stop) -> void;
    auto runStoreTick() -> void;
    /// False when the store could not be reached; no further call is made then for a while.
    auto recordStoreStatus(const absl::Status &status) -> bool;
    auto listJobs() -> bool;
    auto dropEndedJob(const std::string &id) -> bool;
    auto writeChunk(const HeldChunkPointer &held, bool atOnce) -> bool;
    auto maximumStartsFor(const HeldChunk &held, const Configuration &configuration) const -> int;
    auto dropChunk(const HeldChunkPointer &held) -> void;
    auto releaseChunk(const HeldChunkPointer &held) -> bool;
    auto releaseUnrunnable(const ServedUpstreams &served) -> bool;
    auto leaseChunkFor(const ServedUpstreams &served, const std::string &upstream) -> bool;
    auto pickChunk(TrackedJob &work, TimePoint now) const -> std::optional<std::int64_t>;
    auto tryLease(const ServedUpstreams &served, const JobPointer &job, std::int64_t number) -> bool;
    auto mayLease(ChunkObservation &note, const BatchChunk &chunk, const ServedUpstreams &served, TimePoint now) const -> bool;
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
    /// Smoothed seconds of an item by model or path.
    std::map<std::string, double> itemSeconds_;

    /// Used by the store thread only, and by stop() after that has ended.
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
