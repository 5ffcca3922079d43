#pragma once

#include "Process/Load/AllowanceTable.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// Long enough for a team with a rate of 5 to accrue its first tokens.
inline constexpr Milliseconds UPTIME { 2000 };

/// The allowance tables of several daemons that receive each other's reports and summaries. Messages are delivered immediately.
class DaemonTables
{
public:
    /// "uptime": time for which the daemons run, and know each other from the store, before the first request.
    DaemonTables(int count, Milliseconds uptime)
        : DaemonTables(count)
    {
        listMembers();
        loop.runUntil(BootClock::now() + uptime);
        exchangeReports();
    }

    /// Daemons that have just started and have not heard of each other.
    explicit DaemonTables(int count)
    {
        directories.resize(static_cast<std::size_t>(count));
        tables.resize(static_cast<std::size_t>(count));
        incarnations_.resize(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            start(static_cast<std::size_t>(index));
        }
    }

    /// Replaces a daemon by one that knows nobody. Until listMembers(), it does not reach others that have restarted so.
    auto restartWithoutStore(std::size_t daemon) -> void
    {
        start(daemon);
        unlisted_.insert(daemon);
    }

    /// All daemons find all others in the store, as after a restart of the whole fleet.
    auto listMembers() -> void
    {
        for (const auto &directory : directories) {
            for (std::size_t index = 0; index < directories.size(); ++index) {
                const std::string name = "d" + std::to_string(index);
                directory->addMember(name, name, {}, 1, BootClock::now());
            }
            directory->recordMembersListed(BootClock::now());
        }
        unlisted_.clear();
    }

    /// Delivers each daemon's demand to all daemons.
    auto exchangeReports() -> void
    {
        const BootTime now = BootClock::now();
        ++sequence_;
        for (std::size_t from = 0; from < tables.size(); ++from) {
            DaemonReport report;
            report.name = "d" + std::to_string(from);
            report.incarnation = incarnations_[from];
            report.sequence = sequence_;
            report.demand = tables[from]->demand(now);
            directories[from]->recordOwnReport(report, now);
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (isConnected(from, to)) {
                    directories[to]->handleReport(report, report.name, now);
                }
            }
        }
        for (std::size_t from = 0; from < tables.size(); ++from) {
            if (!directories[from]->isRelay(now)) {
                continue;
            }
            DaemonReport own;
            own.name = "d" + std::to_string(from);
            own.incarnation = incarnations_[from];
            own.demand = tables[from]->demand(now);
            FleetSummary summary = directories[from]->makeSummary(own, own.name, now);
            summary.sequence = sequence_;
            summary.echoedReport = sequence_;
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (isConnected(from, to)) {
                    directories[to]->handleSummary(summary, now);
                }
            }
        }
        for (const auto &table : tables) {
            table->updatePeerDemand(now);
        }
    }

    EventLoop loop;
    std::vector<std::unique_ptr<PeerDirectory>> directories;
    std::vector<std::unique_ptr<AllowanceTable>> tables;
    Team team { "team", 5, 5, {} };
    /// Drops all requests for tokens and their answers.
    bool isPartitioned = false;
    /// Drops everything between the daemons with even and with odd numbers.
    bool isSplit = false;
    int messages = 0;

    /// Sends requests of the team to all daemons in turn. Returns the number of admitted requests.
    auto sendRequests(int count) -> int
    {
        int admitted = 0;
        for (int index = 0; index < count; ++index) {
            if (static_cast<std::size_t>(index) % tables.size() == 0) {
                exchangeReports();
            }
            tables[static_cast<std::size_t>(index) % tables.size()]->tryAcquire(
                team, [&admitted](std::optional<Milliseconds> wait) { admitted += wait ? 0 : 1; });
        }
        loop.runUntil(BootClock::now() + Milliseconds(80));
        return admitted;
    }

    /// Sends three requests of the team to each daemon and appends the times of those admitted.
    auto sendToAll(std::vector<BootTime> &admitted) -> void
    {
        for (const auto &table : tables) {
            for (int request = 0; request < 3; ++request) {
                table->tryAcquire(team, [&admitted](std::optional<Milliseconds> wait) {
                    if (!wait) {
                        admitted.push_back(BootClock::now());
                    }
                });
            }
        }
    }

private:
    std::uint64_t sequence_ = 0;
    std::vector<std::string> incarnations_;
    std::set<std::size_t> unlisted_;

    auto start(std::size_t daemon) -> void
    {
        const std::string name = "d" + std::to_string(daemon);
        incarnations_[daemon] += "i";
        tables[daemon] = nullptr;
        directories[daemon] = std::make_unique<PeerDirectory>(name);
        tables[daemon] = std::make_unique<AllowanceTable>(
            loop, *directories[daemon], name, [this, name](const std::string &address, const PeerMessage &message) {
                deliver(name, address, message);
            });
    }

    [[nodiscard]] auto isConnected(std::size_t from, std::size_t to) const -> bool
    {
        const bool areStrangers = from != to && unlisted_.contains(from) && unlisted_.contains(to);
        return !areStrangers && (!isSplit || from % 2 == to % 2);
    }

    auto deliver(const std::string &from, const std::string &to, const PeerMessage &message) -> void
    {
        ++messages;
        const auto sender = static_cast<std::size_t>(std::stoi(from.substr(1)));
        const auto receiver = static_cast<std::size_t>(std::stoi(to.substr(1)));
        if (isPartitioned || !isConnected(sender, receiver)) {
            return;
        }
        AllowanceTable &table = *tables[receiver];
        if (const auto *request = std::get_if<TokenRequest>(&message)) {
            table.handleRequest(&team, *request, from);
        } else if (const auto *response = std::get_if<TokenResponse>(&message)) {
            table.handleResponse(*response);
        }
    }
};

inline constexpr double WINDOW_SECONDS = 5;

/// The most requests that the platform allows a team in a window.
inline auto boundOf(const Team &team) -> double
{
    return (team.ratePerSecond * WINDOW_SECONDS + team.burst) * 1.1 + 20;
}

inline auto mostInWindow(const std::vector<BootTime> &admitted) -> double
{
    std::ptrdiff_t most = 0;
    for (auto first = admitted.begin(); first != admitted.end(); ++first) {
        const auto last = std::lower_bound(first, admitted.end(), *first + std::chrono::seconds(5));
        most = std::max(most, last - first);
    }
    return static_cast<double>(most);
}

/// Sends many times what the team may, to all daemons, and appends the times of those admitted.
inline auto sendMany(DaemonTables &tables, Milliseconds time, std::vector<BootTime> &admitted) -> void
{
    for (const BootTime end = BootClock::now() + time; BootClock::now() < end;) {
        tables.exchangeReports();
        tables.sendToAll(admitted);
        tables.loop.runUntil(BootClock::now() + Milliseconds(100));
    }
}

} // namespace poplardock
