#pragma once

#include "Connection/HttpClient.h"
#include "Process/Store/KindWatch.h"
#include "Version/ServingVersion.h"

namespace poplardock {

/// The configuration in force: follows its object in the store, and takes it from another daemon while the store does
/// not answer. A configuration that cannot be read leaves the one before it in force.
/// Thread safety: the loop's thread only.
class ConfigurationFollower
{
public:
    /// Path of the daemons' own call that gives out the configuration in force.
    static constexpr const char *PEER_PATH = "/configuration";

    /// All arguments must outlive the follower.
    ConfigurationFollower(EventLoop &loop, ObjectStore &store, const WireDialect &dialect, HttpClient &peers);

    auto start() -> void;
    /// Null before the first configuration.
    [[nodiscard]] auto version() const -> const ServingVersionPointer &;
    /// The store's revision of the configuration in force; 0 before the first one.
    [[nodiscard]] auto revision() const -> std::uint64_t;
    [[nodiscard]] auto watch() -> KindWatch &;
    /// Reads the object and takes it; calls back only when the store's configuration is in force.
    auto read(std::function<void()> onRead) -> void;
    /// Takes the configuration of the daemon at that address, if it is newer.
    auto fetchFromPeer(const std::string &address) -> void;
    /// The answer to another daemon's fetchFromPeer().
    [[nodiscard]] auto responseForPeer() const -> HttpResult;

private:
    auto applyIfNewer(const StoredObject &object) -> void;

    ObjectStore &store_;
    const WireDialect &dialect_;
    HttpClient &peers_;
    ServingVersionPointer version_;
    /// The object that holds the configuration in force.
    StoredObject object_;
    KindWatch watch_;
};

} // namespace poplardock
