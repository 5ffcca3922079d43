#pragma once

#include "PagedStore.h"
#include "Record.h"
#include "Support/ChildProcess.h"

#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// The deploy file's roles as processes, with settings like those of a small deployment: front daemons, and one store daemon.
/// The platform's part of it ends a process whose memory exceeds "limits.memoryMb", and starts ended processes again.
/// Thread safety: the loop's thread only.
class FrontFleet
{
public:
    struct Machine
    {
        std::string name;
        std::string role;
        std::string zone;
        std::string settingsFile;
        std::string outputFile;
        std::string callersAddress;
        std::string readyAddress;
        std::unique_ptr<ChildProcess> process;
        /// Highest resident memory that was seen, in MB.
        double peakMb = 0;
        /// Times that the platform ended the process because of its memory.
        int memoryKills = 0;
        /// Time from the end of the process to its next start.
        Milliseconds downTime { 500 };
        Timer restart;
    };

    /// "program": target/poplardock. "folder" takes settings and logs; it must exist. A front machine for each of the zones.
    FrontFleet(EventLoop &loop,
               PagedStore &store,
               Record &record,
               std::string program,
               std::string folder,
               const std::vector<std::string> &zones,
               int memoryMb);

    auto start(std::size_t machine) -> void;
    /// SIGTERM, SIGKILL after "graceS" at the latest, and a new start half a second after the end.
    auto restart(std::size_t machine) -> void;
    /// SIGKILL, and a new start after the time.
    auto kill(std::size_t machine, Milliseconds downTime) -> void;
    /// Front machines; the store machine is the last one of all.
    [[nodiscard]] auto fronts() const -> std::size_t;
    [[nodiscard]] auto machine(std::size_t index) const -> const Machine &;

private:
    auto writeSettings(Machine &machine, int memoryMb) -> void;
    auto checkProcesses() -> void;

    EventLoop &loop_;
    PagedStore &store_;
    Record &record_;
    const std::string program_;
    const std::string folder_;
    const int memoryMb_;
    std::vector<Machine> machines_;
    Timer checkTimer_;
};

} // namespace poplardock::review
