#pragma once

#include "Fakes/FakePlatform.h"
#include "Fakes/FakeUpstream.h"
#include "Process/BatchDispatcher.h"
#include "Process/FleetState.h"
#include "Process/JobStore.h"
#include "Process/Metrics.h"
#include "Process/StoreClient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// One daemon's batch part, inside the test process.
struct BatchDaemon
{
    BatchDaemon(const std::string &platformAddress, const std::string &name);

    StoreClient client;
    JobStore store;
    FleetState fleet;
    Metrics metrics;
    std::unique_ptr<BatchDispatcher> dispatcher;
};

/// A fleet of daemons, a platform and upstreams in one process. Daemons are named d0, d1, ... with incarnation
/// "i", upstreams u0, u1, ...; all serve the model "m" and the path prefixes /lookups (repeatable) and /holds.
class BatchFleet
{
public:
    BatchFleet(int daemons, int upstreams, const FakeUpstream::Options &options = {});
    ~BatchFleet();
    BatchFleet(const BatchFleet &) = delete;
    auto operator=(const BatchFleet &) -> BatchFleet & = delete;
    BatchFleet(BatchFleet &&) = delete;
    auto operator=(BatchFleet &&) -> BatchFleet & = delete;

    /// Short bounds, so that tests see them pass.
    static auto options() -> BatchDispatcher::Options;
    auto hooks() -> BatchDispatcher::Hooks;
    /// Creates and starts the dispatcher of a daemon.
    auto startDispatcher(std::size_t daemon) -> void;
    auto startAll() -> void;
    /// The first daemon's store.
    auto store() -> JobStore &;
    /// Bodies that an upstream received, over all upstreams and jobs, that contain the text.
    auto receivedCount(const std::string &text) -> int;
    /// Waits until the job is not open, up to a minute. Returns its last state.
    auto awaitEnd(const std::string &team, const std::string &jobKey) -> BatchJob;
    /// Waits for a condition up to a minute.
    static auto await(const std::function<bool()> &condition) -> bool;

    /// A job of team "t" for the model, with items "item-0", ... whose message is their own id.
    static auto modelJob(const std::string &jobKey, int items) -> JobSubmission;
    /// The same for a path; the body is {"name": id}.
    static auto pathJob(const std::string &jobKey, const std::string &path, bool repeatable, int items) -> JobSubmission;

    std::unique_ptr<FakePlatform> platform;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<std::unique_ptr<BatchDaemon>> daemons;
    /// While set, the probe reports upstreams as dead.
    std::atomic<bool> areUpstreamsDown = false;
    std::atomic<int> recordedCrashes = 0;
};

} // namespace poplardock
