#include "Process/Load/CrashCounter.h"

namespace poplardock {

namespace {

/// Callers retry within seconds. After a longer time the request may well reach a repaired upstream.
constexpr std::chrono::minutes CRASH_RETENTION { 10 };

} // namespace

auto CrashCounter::record(const std::string &fingerprint, BootTime now) -> void
{
    Entry &entry = entries_[fingerprint];
    ++entry.crashes;
    entry.lastCrashAt = now;
}

auto CrashCounter::crashes(BootTime now) -> std::map<std::string, int>
{
    std::erase_if(entries_, [now](const auto &each) { return now - each.second.lastCrashAt > CRASH_RETENTION; });
    std::map<std::string, int> result;
    for (const auto &[fingerprint, entry] : entries_) {
        result.emplace(fingerprint, entry.crashes);
    }
    return result;
}

auto CrashCounter::crashesOf(const std::string &fingerprint) const -> int
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes;
}

} // namespace poplardock
