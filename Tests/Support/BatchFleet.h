#pragma once

#include "Fakes/FakePlatform.h"
#include "Fakes/FakeUpstream.h"
#include "Process/BatchDispatcher.h"
#include "Process/FleetState.h"
#include "Process/JobStore.h"
#include "Process/Metrics.h"
#include "Process/StoreClient.h"
#include "Process/UpstreamTable.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// The batch components of one daemon, inside the test process.
struct BatchDaemon
{
    BatchDaemon(const std::string &platformAddress, const std::string &name);

    StoreClient client;
    JobStore store;
    FleetState fleet;
    Metrics metrics;
    std::unique_ptr<BatchDispatcher> dispatcher;
};

/// A fleet of daemons, a platform and upstreams in one process. Daemons are named d0, d1, ... with incarnation "i",
/// upstreams u0, u1, ...; all upstreams serve the model "m" and the path prefixes /lookups (repeatable) and /holds.
class BatchFleet
{
public:
    BatchFleet(int daemons, int upstreams, const FakeUpstream::Options &options = {});
    ~BatchFleet();
    BatchFleet(const BatchFleet &) = delete;
    auto operator=(const BatchFleet &) -> BatchFleet & = delete;
    BatchFleet(BatchFleet &&) = delete;
    auto operator=(BatchFleet &&) -> BatchFleet & = delete;

    /// Time-outs short enough to pass within a test.
    static auto options() -> BatchDispatcher::Options;
    auto hooks() -> BatchDispatcher::Hooks;
    /// Creates and starts the dispatcher of a daemon.
    auto startDispatcher(std::size_t daemon) -> void;
    auto startAll() -> void;
    /// The first daemon's store.
    auto store() -> JobStore &;
    /// Number of request bodies with this text that the upstreams received, over all upstreams and jobs.
    auto receivedCount(const std::string &text) -> int;
    /// Waits up to a minute until the job is no longer open. Returns the job as last read.
    auto awaitEnd(const std::string &team, const std::string &jobKey) -> BatchJob;
    /// Waits up to a minute for the condition. Returns false when the time is up.
    static auto await(const std::function<bool()> &condition) -> bool;

    /// A job of team "t" for the model, with items "item-0", ... whose message is their own id.
    static auto modelJob(const std::string &jobKey, int items) -> JobSubmission;
    /// The same for a path; the body of an item is {"name": id}.
    static auto pathJob(const std::string &jobKey, const std::string &path, bool repeatable, int items) -> JobSubmission;

    std::unique_ptr<FakePlatform> platform;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<std::unique_ptr<BatchDaemon>> daemons;
    /// While set, the probe reports all upstreams as down.
    std::atomic<bool> areUpstreamsDown = false;
    /// What the items' answers have told of the upstreams; one table for all daemons. It does not poll.
    std::unique_ptr<UpstreamTable> table;
};

} // namespace poplardock
