#pragma once

#include "Process/Clock.h"

#include <string>

namespace poplardock {

/// What a daemon believes of one upstream at one moment.
struct UpstreamView
{
    std::string name;
    /// Requests that run there at the same time.
    int slots = 1;
    /// Work in flight there, of all daemons.
    int online = 0;
    int batch = 0;
    /// Batch work there that this daemon can break off itself.
    int ownBatch = 0;
    /// Time of one request from its start to its end, in milliseconds.
    double serviceMs = 0;
    /// Time from the start of a request to its first event or answer, without any wait, in milliseconds.
    double firstEventMs = 0;
    /// In this daemon's data centre.
    bool isLocal = false;
    /// Its entry is missing from the store; used only when nothing else is.
    bool isSuspect = false;
    /// Recent failures speak against it until this time.
    BootTime ejectedUntil;

    auto operator==(const UpstreamView &) const -> bool = default;
};

} // namespace poplardock
