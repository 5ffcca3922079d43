#pragma once

#include "Process/ClaimStore.h"
#include "Process/Clock.h"
#include "Process/CrashSuspects.h"
#include "Process/FleetState.h"
#include "Process/Metrics.h"
#include "Process/RetryBudget.h"
#include "Process/UpstreamTable.h"
#include "Request/AllowanceDecision.h"

#include <functional>
#include <string>

namespace poplardock {

/// The parts of the process that the online path works with. All of them outlive it.
struct OnlineParts
{
    const FleetState &state;
    UpstreamTable &upstreams;
    RetryBudget &retryBudget;
    CrashSuspects &crashes;
    ClaimStore &claims;
    Metrics &metrics;
    /// Spends one token of the team's allowance.
    std::function<AllowanceDecision(const std::string &team, TimePoint now)> acquireAllowance;
    /// Called with the name of an upstream at which an online request has to wait, so that batch work yields
    /// there. It must return at once and is called for each such request. May be empty.
    std::function<void(const std::string &upstream)> yieldBatch;
    /// Called after an upstream died during a request, so that the peers learn of the request before its
    /// caller sends it to one of them. It must return at once. May be empty.
    std::function<void()> spreadDeath = {};
};

} // namespace poplardock
