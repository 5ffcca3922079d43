#include "Process/Load/CrashTally.h"

namespace poplardock {

namespace {

/// Callers send a request again within seconds; later it may well be a repaired upstream that it reaches.
constexpr std::chrono::minutes DEATH_MEMORY { 10 };

} // namespace

auto CrashTally::record(const std::string &fingerprint, BootTime now) -> void
{
    Entry &entry = entries_[fingerprint];
    ++entry.deaths;
    entry.lastAt = now;
}

auto CrashTally::deaths(BootTime now) -> std::map<std::string, int>
{
    std::erase_if(entries_, [now](const auto &each) { return now - each.second.lastAt > DEATH_MEMORY; });
    std::map<std::string, int> result;
    for (const auto &[fingerprint, entry] : entries_) {
        result.emplace(fingerprint, entry.deaths);
    }
    return result;
}

auto CrashTally::deathsOf(const std::string &fingerprint) const -> int
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.deaths;
}

} // namespace poplardock
