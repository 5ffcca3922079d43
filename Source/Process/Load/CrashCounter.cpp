#include "Process/Load/CrashCounter.h"

namespace poplardock {

namespace {

/// Callers send a request again within seconds; later it may well be a repaired upstream that it reaches.
constexpr std::chrono::minutes DEATH_MEMORY { 10 };

} // namespace

auto CrashCounter::record(const std::string &fingerprint, BootTime now) -> void
{
    Entry &entry = entries_[fingerprint];
    ++entry.crashes;
    entry.lastCrashAt = now;
}

auto CrashCounter::crashes(BootTime now) -> std::map<std::string, int>
{
    std::erase_if(entries_, [now](const auto &each) { return now - each.second.lastCrashAt > DEATH_MEMORY; });
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
