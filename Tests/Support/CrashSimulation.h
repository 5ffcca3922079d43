#pragma once

#include "Support/DirectoryFleet.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace poplardock {

/// A fleet of daemons before upstreams that crash whenever they begin an answer to a request with one prompt part, among
/// sound requests that share its other parts. Requests come at any daemon, no two alike; the part stands before, between
/// or behind the shared ones. Simulated without a network; crashed upstreams are back after some seconds.
/// Thread safety: one thread.
class CrashSimulation
{
public:
    /// The platform's stableWindowMs.
    static constexpr Milliseconds STABLE_WINDOW { 3000 };

    explicit CrashSimulation(unsigned seed);

    /// Sound requests, and with them, if wanted, requests with the part.
    auto run(Milliseconds time, bool withBad) -> void;
    /// Restarts any daemon, which does not count for a while.
    auto restartAny() -> void;
    /// Cuts off a data centre, or ends the cut; none of its daemons counts meanwhile and for a while afterwards.
    auto setCut(bool isCut) -> void;
    /// Crashes all upstreams at the same moment, whatever they run.
    auto crashAll() -> void;

    DirectoryFleet fleet;
    /// Crashes under the part.
    std::vector<BootTime> crashes;
    /// Requests with the part that were sent to an upstream by a daemon that counts.
    std::vector<BootTime> badSends;
    int soundArrived = 0;
    int soundRefused = 0;

private:
    static constexpr int UPSTREAMS = 24;
    static constexpr int SOUND_PER_STEP = 30;
    static constexpr int ATTEMPTS = 2;
    static constexpr Milliseconds DOWN_TIME { 3000 };
    /// Time from the start of a run to its first event, at which the part crashes the upstream, and to its end.
    static constexpr Milliseconds FIRST_EVENT { 25 };
    static constexpr Milliseconds RUN_TIME { 110 };

    struct Run
    {
        std::string daemon;
        CrashSubject subject;
        bool isBad = false;
        BootTime startedAt;
        int attempts = 0;
    };
    struct SimulatedUpstream
    {
        std::string name;
        BootTime downUntil;
        std::map<int, Run> runs;
    };
    struct Event
    {
        BootTime at;
        std::function<void()> act;

        auto operator<(const Event &other) const -> bool
        {
            return at > other.at;
        }
    };

    auto anyTime(Milliseconds limit) -> Milliseconds;
    auto suspectsOf(const std::string &daemon) -> CrashSuspects &;
    auto arrive(BootTime at, bool isBad) -> void;
    auto send(Run run, BootTime now) -> void;
    auto finish(SimulatedUpstream &upstream, int id, BootTime now) -> void;
    auto crash(SimulatedUpstream &upstream, int id, BootTime now) -> void;
    auto endAllRuns(SimulatedUpstream &upstream, BootTime now) -> void;
    auto processUntil(BootTime end) -> void;

    std::mt19937 random_;
    /// Position of the part among those of its requests.
    const std::ptrdiff_t badPosition_;
    /// Whether a crashed upstream comes back under the same name.
    const bool keepsName_;
    std::vector<std::string> daemons_;
    std::vector<SimulatedUpstream> upstreams_;
    std::priority_queue<Event> events_;
    std::map<std::string, BootTime> excusedUntil_;
    int lastId_ = 0;
};

} // namespace poplardock
