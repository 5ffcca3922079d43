#pragma once

#include "Support/FrontProcesses.h"
#include "Support/SoakCallers.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// A time in which a part of the fleet was disturbed.
struct Disturbance
{
    std::string kind;
    /// The daemon concerned; unset for all of them.
    std::optional<std::size_t> daemon;
    BootTime begin;
    BootTime end;
    /// Daemons whose paths to others are cut.
    std::set<std::size_t> cutDaemons = {};
};

/// A time in which an engine names a limit in its answers.
struct NamedLimit
{
    std::size_t engine = 0;
    double perSecond = 0;
    BootTime begin;
    BootTime end;
};

/// Brings about faults at random: of the store, between daemons, on the paths of callers and engines, of engines, of
/// the daemons' processes by signals, and changes of the configuration. They come in series and overlap. The seed
/// decides on the order of kinds and their lengths.
/// Thread safety: the loop's thread only.
class SoakFaults
{
public:
    SoakFaults(FrontProcesses &fleet, SoakCallers &callers, std::uint64_t seed);

    auto start() -> void;
    /// Begins no more faults. Those under way end by themselves.
    auto stop() -> void;
    /// Whether no fault is under way and every daemon's process runs.
    [[nodiscard]] auto isQuiet() const -> bool;
    [[nodiscard]] auto disturbances() const -> const std::list<Disturbance> &;
    [[nodiscard]] auto limits() const -> const std::vector<NamedLimit> &;
    /// When the faults began; before, daemons may still be starting.
    [[nodiscard]] auto startedAt() const -> BootTime;
    /// When the third key was withdrawn.
    [[nodiscard]] auto withdrawnAt() const -> std::optional<BootTime>;
    /// What the processes did that they must not, in words.
    [[nodiscard]] auto processFaults() const -> const std::vector<std::string> &;

    /// The key that is withdrawn in the middle of the soak.
    static constexpr const char *THIRD_KEY = "key3";

private:
    using Action = void (SoakFaults::*)();

    auto next() -> void;
    auto storeFault() -> void;
    auto storeFaultOfOne() -> void;
    auto compactStore() -> void;
    auto cutPeers() -> void;
    auto isolateDaemon() -> void;
    auto callersPath() -> void;
    auto enginePath() -> void;
    auto engineFault() -> void;
    auto crashEngine() -> void;
    auto leaveEngine() -> void;
    auto freezeProcess() -> void;
    auto killProcess() -> void;
    auto terminateProcess() -> void;
    auto changeConfiguration() -> void;
    /// Has an engine name a limit, and another one when that crashes or leaves, until a fixed time. Call it periodically. It
    /// takes no draw, so that seeds keep their order of faults.
    auto limitEngine() -> void;
    /// Replaces engines that have crashed, after the time in which the platform misses them.
    auto replaceCrashed() -> void;

    /// Undoes a fault after a time, and notes it.
    auto later(Milliseconds time,
               const std::string &kind,
               std::optional<std::size_t> daemon,
               std::function<void()> undo,
               std::set<std::size_t> cutDaemons = {}) -> void;
    auto awaitTermination(std::size_t daemon, BootTime deadline) -> void;
    /// A daemon whose process runs undisturbed; unset when at most half of them do.
    [[nodiscard]] auto undisturbedProcess() -> std::optional<std::size_t>;
    [[nodiscard]] auto between(int first, int last) -> int;
    auto checkProcesses() -> void;

    FrontProcesses &fleet_;
    SoakCallers &callers_;
    std::mt19937_64 random_;
    std::list<Disturbance> disturbances_;
    std::vector<bool> isProcessDisturbed_;
    std::vector<std::string> processFaults_;
    std::vector<NamedLimit> limits_;
    std::set<std::size_t> replacedEngines_;
    std::optional<BootTime> withdrawnAt_;
    BootTime startedAt_;
    int pending_ = 0;
    Timer next_;
    Timer check_;
    std::vector<Timer> timers_;
};

} // namespace poplardock
