#pragma once

#include "Process/FrontSettings.h"
#include "Process/Store/KindWatch.h"

#include <map>

namespace poplardock {

/// Daemon of a VM with a disk. All durable state is in the platform's store and none on the disk, so a VM that is to be
/// retired has no data to move: the daemon reports each retirement to the platform as done without further work.
/// Thread safety: one thread.
class StoreVmDaemon
{
public:
    StoreVmDaemon(FrontSettings settings, WireDialect adapter);

    /// Runs until SIGTERM or SIGINT.
    auto run() -> void;

private:
    auto handleList(const StoreList &list) -> void;
    auto handleEvents(const StoreEvents &events) -> void;
    /// Reports the retirement of a VM as done; retries until the store accepts it or no longer has the retirement.
    auto completeRetirement(const std::string &vm) -> void;

    const FrontSettings settings_;
    const WireDialect adapter_;
    EventLoop loop_;
    ObjectStore store_;
    KindWatch retirements_;
    /// The timer of the next report, by VM. An entry stays after the report until the retirement is removed, so that each one is
    /// handled once.
    std::map<std::string, Timer> reportTimers_;
    Timer logFlushTimer_;
};

} // namespace poplardock
