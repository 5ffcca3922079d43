#pragma once

#include "Process/Clock.h"
#include "Process/Json.h"

#include <map>
#include <mutex>
#include <string>

namespace poplardock {

/// SHA-256 over team, path and body. Equal in every daemon.
auto crashFingerprint(const std::string &team, const std::string &path, const std::string &body) -> std::string;

/// Records which requests were running when an upstream crashed, so that a request that crashes every upstream it
/// runs on is refused after two crashes. Crashes expire after 10 minutes.
/// The peer exchange replicates the crashes; each has a unique id, so one that arrives twice counts once.
/// Thread-safe.
class CrashRegistry
{
public:
    /// The member name and incarnation of this daemon make the ids of crashes unique in the fleet.
    explicit CrashRegistry(std::string origin);

    /// Records one crash. Call it only when the connection was lost during the request and the upstream then
    /// refused a new connection.
    auto recordCrash(const std::string &fingerprint, TimePoint now) -> void;
    [[nodiscard]] auto crashCount(const std::string &fingerprint, TimePoint now) const -> int;
    /// True after two crashes.
    [[nodiscard]] auto isRefused(const std::string &fingerprint, TimePoint now) const -> bool;

    /// {FINGERPRINT:{CRASH_ID:age in milliseconds}}, without expired crashes.
    [[nodiscard]] auto toJson(TimePoint now) const -> JsonObject::Ptr;
    /// Merges the crashes that a peer holds. Malformed entries are skipped.
    auto merge(const JsonObject &object, TimePoint now) -> void;

private:
    using Crashes = std::map<std::string, TimePoint>;

    auto add(const std::string &fingerprint, const std::string &id, TimePoint at, TimePoint now) -> void;
    auto evictExpired(TimePoint now) -> void;

    const std::string origin_;
    mutable std::mutex mutex_;
    std::uint64_t lastId_ = 0;
    /// Time of each crash by fingerprint and id.
    std::map<std::string, Crashes> crashes_;
};

} // namespace poplardock
