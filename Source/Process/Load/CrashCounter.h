#pragma once

#include "Process/Clock.h"

#include <map>
#include <string>

namespace poplardock {

/// Counts, for each request that was running when an upstream died, the deaths that this daemon saw. A request
/// that has caused two deaths in the fleet is refused. Deaths expire after ten minutes.
/// Times are given, so that tests need no clock. Thread safety: one thread.
class CrashCounter
{
public:
    auto record(const std::string &fingerprint, BootTime now) -> void;
    /// Deaths by fingerprint, expired ones left out.
    auto crashes(BootTime now) -> std::map<std::string, int>;
    [[nodiscard]] auto crashesOf(const std::string &fingerprint) const -> int;

private:
    struct Entry
    {
        int crashes = 0;
        BootTime lastCrashAt;
    };

    std::map<std::string, Entry> entries_;
};

/// Deaths after which a request is refused: one may be a coincidence.
inline constexpr int CRASH_LIMIT = 2;

} // namespace poplardock
