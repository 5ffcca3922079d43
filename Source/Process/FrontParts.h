#pragma once

#include "Connection/HttpClient.h"
#include "Connection/WireDialect.h"
#include "Process/CrashSuspects.h"
#include "Process/FrontSettings.h"
#include "Process/HeldBytes.h"
#include "Process/Load/UpstreamDirectory.h"
#include "Process/Metrics.h"
#include "Process/Peers/PeerDirectory.h"
#include "Process/Peers/PeerLink.h"
#include "Process/RetryBudget.h"
#include "Process/Store/ObjectStore.h"

#include <functional>
#include <random>

namespace poplardock {

/// What the parts of a front daemon share. All of it belongs to the loop's thread and outlives requests and jobs.
struct FrontParts
{
    EventLoop &loop;
    const WireDialect &dialect;
    const FrontSettings &settings;
    ObjectStore &store;
    UpstreamDirectory &directory;
    ClientPool &upstreams;
    PeerDirectory &peers;
    PeerLink &peerLink;
    /// Calls to the other daemons.
    HttpClient &peerClient;
    CrashSuspects &crashes;
    UpstreamLimits &limits;
    LeavingUpstreams &leaving;
    RetryBudget &retries;
    Metrics &metrics;
    std::mt19937_64 &random;
    /// The configuration in force; null before the first one.
    std::function<ServingVersionPointer()> version;
    /// When the configuration was last confirmed by the store.
    std::function<BootTime()> versionConfirmedAt;
    /// Breaks off one of this daemon's batch runs at the upstream; false when there is none.
    std::function<bool(const std::string &upstream)> yieldOwnBatch;
    /// Never null.
    std::shared_ptr<HeldBytes> heldBytes;
    /// Late in a shutdown, when this daemon ends: a request that may take longer is refused. Unset otherwise.
    std::function<std::optional<BootTime>()> endsAt;
};

} // namespace poplardock
