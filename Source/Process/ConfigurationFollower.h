#pragma once

#include "Connection/HttpClient.h"
#include "Process/Store/KindWatch.h"
#include "Version/ServingVersion.h"

namespace poplardock {

/// Holds the configuration in force. Watches its object in the store, and can fetch it from another daemon while the
/// store does not answer. When a new configuration cannot be decoded, the previous one stays in force.
/// Thread safety: the loop's thread only.
class ConfigurationFollower
{
public:
    /// Path of the call between daemons that returns the configuration in force.
    static constexpr const char *PEER_PATH = "/configuration";

    /// All arguments must outlive the follower.
    ConfigurationFollower(EventLoop &loop, ObjectStore &store, const WireDialect &dialect, HttpClient &peers);

    auto start() -> void;
    /// Returns the configuration in force; null before the first one.
    [[nodiscard]] auto version() const -> const ServingVersionPointer &;
    /// Returns the store's revision of the configuration in force; 0 before the first one.
    [[nodiscard]] auto revision() const -> std::uint64_t;
    [[nodiscard]] auto watch() -> KindWatch &;
    /// Reads the object from the store and applies it. Calls back only if that configuration, or a newer one, is then
    /// in force; a failed read or a refused configuration gives no callback.
    auto read(std::function<void()> onRead) -> void;
    /// Fetches the configuration of the daemon at that address and applies it if it is newer.
    auto fetchFromPeer(const std::string &address) -> void;
    /// Returns the response to another daemon's fetchFromPeer().
    [[nodiscard]] auto responseForPeer() const -> HttpResult;

private:
    auto applyIfNewer(const StoredObject &object) -> void;

    ObjectStore &store_;
    const WireDialect &dialect_;
    HttpClient &peers_;
    ServingVersionPointer version_;
    /// The object that holds the configuration in force.
    StoredObject storedObject_;
    KindWatch watch_;
};

} // namespace poplardock
