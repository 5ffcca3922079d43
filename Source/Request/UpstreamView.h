#pragma once

#include "Process/Clock.h"

#include <string>

namespace poplardock {

/// Snapshot of one upstream as a daemon sees it.
struct UpstreamView
{
    std::string name;
    /// Number of requests that the upstream runs concurrently, at least 1.
    int slots = 1;
    /// Requests of all daemons in flight at the upstream.
    int online = 0;
    int batch = 0;
    /// Batch runs of this daemon at the upstream, which it can preempt itself.
    int ownBatch = 0;
    /// Duration of one request from start to end, in milliseconds, when work takes as long as usual.
    double serviceMs = 0;
    /// Time from the start of a request to its first event or response, without waiting for a slot, in milliseconds, when work
    /// takes as long as usual.
    double firstEventMs = 0;
    /// Factor by which work there takes longer than usual, as expected now, and its mean over some seconds.
    double slowdown = 1;
    double meanSlowdown = 1;
    /// Whether the upstream is in the data centre of this daemon.
    bool isLocal = false;
    /// Its entry has disappeared from the store; used only when no other upstream is usable.
    bool isSuspect = false;
    /// Avoided until this time because of recent failures.
    BootTime ejectedUntil;
    /// For an upstream that has named a limit: from when on this daemon may send it a request, and one that leaves enough for
    /// others that come soon.
    BootTime usableAt;
    BootTime spareAt;
    /// Has started a short time ago: gets warm-up requests from this time on, and more only when the warm ones are full.
    bool isCold = false;
    BootTime warmUpAt;

    auto operator==(const UpstreamView &) const -> bool = default;
};

} // namespace poplardock
