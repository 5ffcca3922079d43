#pragma once

#include "Connection/HttpService.h"
#include "Connection/Router.h"
#include "Process/AllowanceClient.h"
#include "Process/AllowanceHome.h"
#include "Support/AdmissionWindows.h"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace poplardock {

/// A clock that only tests move. Thread-safe.
class ManualClock
{
public:
    [[nodiscard]] auto now() const -> TimePoint;
    auto advance(Duration by) -> void;

private:
    std::atomic<Duration> sinceStart_ { std::chrono::hours(1) };
};

/// The allowance components of several daemons in one process. They talk over real HTTP on the loopback address and
/// share one fleet version and a clock that only the test advances.
class AllowanceFleet
{
public:
    struct Daemon
    {
        Member member;
        FleetState state;
        PeerClients peers;
        AllowanceHome home;
        AllowanceClient client;
        Router router;
        /// The next so many loan requests are handled, but their responses are truncated.
        std::atomic<int> responsesToLose { 0 };
        /// Requests on the peers address block while this is true.
        std::atomic<bool> isStalled { false };
        std::atomic<int> loanRequests { 0 };
        std::unique_ptr<HttpService> service;
        /// A suspended daemon gets no versions, no confirmations and no maintenance.
        bool isSuspended = false;

        Daemon(
            Member record,
            const TimeSource &clock,
            const AdmissionRecorder &recorder,
            std::function<void(Milliseconds)> pause = [](Milliseconds) {});
        [[nodiscard]] auto acquire(const std::string &team) -> AllowanceDecision;
        /// True when acquire() returns Admitted.
        [[nodiscard]] auto admits(const std::string &team) -> bool;
        /// Simulates the end of the process: the daemon refuses connections and is suspended.
        auto kill() -> void;

    private:
        auto handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
    };

    /// Starts the daemons d0, d1, ..., one for each element of "regions", in that region; all are members.
    explicit AllowanceFleet(const std::vector<std::string> &regions, std::vector<Team> teams);
    ~AllowanceFleet();
    AllowanceFleet(const AllowanceFleet &) = delete;
    auto operator=(const AllowanceFleet &) -> AllowanceFleet & = delete;
    AllowanceFleet(AllowanceFleet &&) = delete;
    auto operator=(AllowanceFleet &&) -> AllowanceFleet & = delete;

    auto daemon(std::size_t index) -> Daemon &;
    auto homeOf(const std::string &team, const std::string &region = "r") -> Daemon &;
    auto size() const -> std::size_t;
    /// Starts a daemon that is not a member yet.
    auto addDaemon(const std::string &region = "r") -> Daemon &;
    /// Commits a version with the current teams and all daemons as members except "withoutMembers", and installs it
    /// at every daemon that is not suspended.
    auto commit(const std::vector<std::string> &withoutMembers = {}) -> void;
    /// Sets the teams of the next commit().
    auto setTeams(std::vector<Team> teams) -> void;
    /// Installs the newest version at one daemon, as after it was suspended.
    auto install(Daemon &target) -> void;
    /// At every daemon that is not suspended, confirms the version and records the other such daemons as seen.
    auto confirm() -> void;
    /// Advances the clock in steps of 100 ms, with confirmation and maintenance at each step.
    auto run(Duration time) -> void;
    /// As run(), with requests of the team at random times and at random daemons that are not suspended.
    /// Returns how many were sent.
    auto runUnderLoad(const std::string &team, double perSecond, Duration time, std::mt19937_64 &random) -> int;
    /// Number of loan requests that all daemons have received.
    auto loanRequests() const -> int;
    /// Runs until the takeover wait of the current table is over.
    auto runTakeoverWait() -> void;
    [[nodiscard]] auto now() const -> TimePoint;

    ManualClock clock;
    AdmissionCollector log;
    /// Called when a daemon waits before it asks a home again; the clock stands still meanwhile.
    std::function<void()> onPause;

private:
    std::vector<Team> teams_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    FleetVersionPointer version_;
};

} // namespace poplardock
