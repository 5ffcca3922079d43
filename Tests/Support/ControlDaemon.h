#pragma once

#include "Connection/ControlRoutes.h"
#include "Fakes/FakePlatform.h"
#include "Process/Membership.h"

#include <memory>
#include <string>

namespace poplardock {

/// The control part of one daemon in this process, with real HTTP on loopback. Its threads run only after
/// run(); until then a test drives it step by step.
struct ControlDaemon
{
    ControlDaemon(const FakePlatform &platform, const std::string &name, std::uint64_t seed);
    ControlDaemon(const ControlDaemon &) = delete;
    auto operator=(const ControlDaemon &) -> ControlDaemon & = delete;
    ControlDaemon(ControlDaemon &&) = delete;
    auto operator=(ControlDaemon &&) -> ControlDaemon & = delete;
    ~ControlDaemon();

    /// Joins and starts all threads.
    auto run() -> absl::Status;
    auto stopThreads() -> void;
    /// Answers no more peers and calls none, as a lost VM.
    auto kill() -> void;
    [[nodiscard]] auto revision() const -> std::uint64_t;

    StoreClient store;
    FleetState state;
    PeerClients peers;
    VersionLoader loader;
    VersionWatcher watcher;
    RootCommitter committer;
    PeerExchange exchange;
    ConfigurationEditor editor;
    Router router;
    std::unique_ptr<HttpService> service;
    std::unique_ptr<Membership> membership;
};

/// Waits until the condition holds; false after a limit that is far above any expected duration.
auto eventually(const std::function<bool()> &condition) -> bool;

/// A valid configuration with one team, class, upstream and route; the team "bench" has the key "bench-1".
auto sampleConfiguration() -> Configuration::Data;

} // namespace poplardock
