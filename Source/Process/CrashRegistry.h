#pragma once

#include "Process/Clock.h"
#include "Process/Json.h"

#include <map>
#include <mutex>
#include <string>

namespace poplardock {

/// SHA-256 over team, path and body. Equal in every daemon.
auto crashFingerprint(const std::string &team, const std::string &path, const std::string &body) -> std::string;

/// Remembers which requests were running when an upstream died, so that a request that crashes each upstream
/// that runs it is refused after two deaths. Deaths expire after 10 minutes.
/// Peer exchange spreads the deaths; each has an id of its own, so a death that arrives twice counts once.
/// Thread-safe.
class CrashRegistry
{
public:
    /// The member name and incarnation of this daemon make the ids of deaths unique in the fleet.
    explicit CrashRegistry(std::string origin);

    /// Records one death. Call it only when the connection was lost during the run and the upstream then
    /// refused a new connection.
    auto recordCrash(const std::string &fingerprint, TimePoint now) -> void;
    [[nodiscard]] auto crashCount(const std::string &fingerprint, TimePoint now) const -> int;
    /// True after two deaths.
    [[nodiscard]] auto isRefused(const std::string &fingerprint, TimePoint now) const -> bool;

    /// {FINGERPRINT:{DEATH_ID:age in milliseconds}}, without expired deaths.
    [[nodiscard]] auto toJson(TimePoint now) const -> JsonObject::Ptr;
    /// Adds the deaths that a peer knows. Malformed entries are skipped.
    auto merge(const JsonObject &object, TimePoint now) -> void;

private:
    using Crashes = std::map<std::string, TimePoint>;

    auto add(const std::string &fingerprint, const std::string &id, TimePoint at, TimePoint now) -> void;
    auto evictExpired(TimePoint now) -> void;

    const std::string origin_;
    mutable std::mutex mutex_;
    std::uint64_t lastId_ = 0;
    /// Time of each death by fingerprint and id.
    std::map<std::string, Crashes> crashes_;
};

} // namespace poplardock
