#pragma once

#include "Process/FrontSettings.h"
#include "Process/Store/KindWatch.h"

#include <map>

namespace poplardock {

/// A daemon on a VM with a disk. It keeps nothing on the disk, since the platform's store holds what must last, so a
/// VM that is to be emptied is empty at once: the daemon says so.
/// Thread safety: one thread.
class StoreVmDaemon
{
public:
    StoreVmDaemon(FrontSettings settings, WireDialect dialect);

    /// Runs until a signal ends it.
    auto run() -> void;

private:
    auto answer(const std::string &vm) -> void;

    const FrontSettings settings_;
    const WireDialect dialect_;
    EventLoop loop_;
    ObjectStore store_;
    KindWatch retirements_;
    std::map<std::string, Timer> pending_;
    Timer logTimer_;
};

} // namespace poplardock
