#pragma once

#include "Process/Clock.h"

#include <map>
#include <string>

namespace poplardock {

/// Counts the upstream crashes that this daemon has observed, by the fingerprint of the requests that were running when
/// the upstream crashed. A request with two crashes in the whole fleet is refused. A count expires ten minutes after
/// its last crash.
/// Times are passed in, so that tests need no clock. Thread safety: one thread.
class CrashCounter
{
public:
    auto record(const std::string &fingerprint, BootTime now) -> void;
    /// Crashes by fingerprint; removes expired counts.
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

/// Crashes in the fleet after which a request is refused; a single one may be a coincidence.
inline constexpr int CRASH_LIMIT = 2;

} // namespace poplardock
