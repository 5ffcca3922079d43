#pragma once

#include "Fakes/FakeEngine.h"
#include "Fakes/FakeObjectStore.h"
#include "Support/ChildProcess.h"
#include "Support/LoopbackProxy.h"
#include "Support/PeerMesh.h"

#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// Front daemons as processes of their own, with the stand-ins of the platform's store and servers on the test's event
/// loop and a proxy on each path between them.
/// Thread safety: the loop's thread only.
class FrontProcesses
{
public:
    /// Id of the prompt part on which engines crash.
    static constexpr const char *CRASHING_PART = "bad";

    /// One daemon. It keeps its name and addresses over restarts.
    struct Daemon
    {
        std::string name;
        std::string dataCentre;
        std::string settingsFile;
        std::string outputFile;
        std::string readyAddress;
        std::size_t storeView = 0;
        std::unique_ptr<LoopbackProxy> store;
        std::unique_ptr<LoopbackProxy> callers;
        std::unique_ptr<ChildProcess> process;
    };
    struct Engine
    {
        std::unique_ptr<FakeEngine> server;
        std::unique_ptr<LoopbackProxy> proxy;
        /// When it announced its leave, or crashed; the epoch before.
        BootTime leftAt;
        bool hasCrashed = false;
    };

    /// The folder takes settings and logs; it must exist. "settings": further lines of each daemon's settings file.
    FrontProcesses(EventLoop &loop, std::string folder, std::size_t daemons, std::size_t engines, std::string settings = {});

    /// Writes a configuration; "key" is a key of team "weavers" beside "key1", empty for none.
    auto configure(const std::string &key) -> void;
    auto startDaemon(std::size_t daemon) -> void;
    /// Starts and registers a new engine.
    auto addEngine() -> void;
    /// The engine announces its leave.
    auto beginLeave(std::size_t engine) -> void;
    auto crashEngine(std::size_t engine) -> void;
    /// Ends all misbehaviour of the engine but its crashes on CRASHING_PART, and keeps its limit.
    auto resetBehaviour(std::size_t engine) -> void;
    /// Removes the engine's entry from the store; an engine that crashes while it leaves has none any more.
    auto removeEntry(std::size_t engine) -> void;
    /// Engines that have neither left nor crashed.
    [[nodiscard]] auto livingEngines() const -> std::vector<std::size_t>;
    /// All runs of a request at all engines.
    [[nodiscard]] auto runsOf(const std::string &requestId) const -> std::vector<FakeEngine::Run>;

    EventLoop &loop;
    FakeObjectStore store;
    std::vector<Daemon> daemons;
    std::vector<Engine> engines;
    std::unique_ptr<PeerMesh> peers;

private:
    auto writeSettings(Daemon &daemon, const std::string &peersPort, const std::string &callersAddress) -> void;
    auto registerEngine(const Engine &engine, const std::string &state) -> void;

    const std::string folder_;
    const std::string settings_;
    int version_ = 0;
};

} // namespace poplardock
