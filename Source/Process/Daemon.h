#pragma once

#include "Process/Settings.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace poplardock {

/// Builds the parts of one daemon, starts them in order and stops them in reverse.
///
/// Start: store client and fleet state; HTTP servers; version watcher; member record; peer exchange; batch
/// dispatch. Shutdown: the health check turns negative, the member leaves and hands its duties over, running
/// requests end, the servers stop.
/// Thread safety: start(), drain() and stop() are called from one thread; stateDump() from any.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;
    Daemon(Daemon &&) = delete;
    auto operator=(Daemon &&) -> Daemon & = delete;
    ~Daemon();

    /// Errors: Unavailable when an address cannot be bound.
    auto start() -> absl::Status;
    /// Leaves the fleet and returns when the running requests have ended or the drain limit has passed.
    auto drain() -> void;
    auto stop() -> void;

    /// "callers=IP:port peers=IP:port operators=IP:port" with the real ports. Precondition: started.
    [[nodiscard]] auto addresses() const -> std::string;
    /// JSON text with the state of all parts; holds no key and no credential.
    [[nodiscard]] auto stateDump() const -> std::string;

private:
    struct Parts;

    std::unique_ptr<Parts> parts_;
};

/// Runs a daemon until SIGTERM or SIGINT and returns the exit code. Prints "ready ADDRESSES" to standard
/// output once it serves. Precondition: the daemon's signals are blocked in this thread.
auto runDaemon(const Settings &settings) -> int;

} // namespace poplardock
