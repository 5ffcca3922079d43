#pragma once

#include "Process/Peers/PeerDirectory.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace poplardock {

/// The directories of a fleet of daemons that exchange reports, digests, summaries and rosters without a network. Each
/// step lasts one digest period; messages arrive at once.
/// Thread safety: one thread.
class DirectoryFleet
{
public:
    /// Daemons are named by data centre and number, "a0" for example, and have no capacity stated but 1.
    DirectoryFleet(const std::vector<std::string> &dataCentres, int perDataCentre, BootTime start);

    /// Adds a daemon that all others find in the store, and that finds all others.
    auto add(const std::string &name, const std::string &dataCentre, int capacity) -> void;
    /// Replaces a daemon by one of the same name that knows nothing but the others' records in the store.
    auto restart(const std::string &name) -> void;
    /// Replaces a daemon by one of the same name that knows nothing, until listMembers().
    auto restartWithoutStore(const std::string &name) -> void;
    /// The daemon reads the records of all daemons in the store.
    auto listMembers(const std::string &name) -> void;
    /// Runs steps until that time has passed.
    auto run(Milliseconds time) -> void;
    [[nodiscard]] auto now() const -> BootTime;

    std::map<std::string, PeerDirectory> views;
    /// What each daemon states; the fleet sets name, data centre, incarnation and sequence.
    std::map<std::string, DaemonReport> reports;
    /// Whether a message from one daemon to another is lost.
    std::function<bool(const std::string &from, const std::string &to)> isLost;
    /// Messages sent by kind, since the fleet was made.
    std::map<std::string, int> messages;
    /// Messages that each daemon has sent and received.
    std::map<std::string, int> traffic;

private:
    auto step() -> void;
    auto sendReports(const std::string &name) -> void;
    auto sendDigest(const std::string &name) -> void;
    auto sendSummaries(const std::string &name) -> void;
    /// The daemon "to" asks "from", which has just told it of rosters, for those that it does not have.
    auto exchangeRosters(const std::string &from, const std::string &to) -> void;
    auto passes(const std::string &kind, const std::string &from, const std::string &to) -> bool;

    BootTime now_;
    std::uint64_t tick_ = 0;
};

} // namespace poplardock
