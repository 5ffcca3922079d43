#pragma once

#include "Process/FleetState.h"
#include "Process/PeerClients.h"
#include "Request/UpstreamLoad.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace poplardock {

/// How one piece of work at an upstream ended.
struct RequestOutcome
{
    /// The upstream could not be reached, was lost, timed out, or answered with a server error.
    bool isFailure = false;
    /// Unset when nothing is to be learned from this work.
    std::optional<double> firstTokenMs;
    std::optional<double> serviceMs;
    /// Part of the time to the first token that was a wait for a slot; not part of firstTokenMs.
    double waitMs = 0;

    auto operator==(const RequestOutcome &) const -> bool = default;
};

/// What this daemon knows about each upstream: own work in flight, load reports, learned speed, failures.
/// Entries are made on first use and dropped when the upstream is no longer configured.
/// Thread safety: all methods may be called from any thread.
class UpstreamTable
{
public:
    /// The state must outlive the table.
    explicit UpstreamTable(const FleetState &state);
    UpstreamTable(const UpstreamTable &) = delete;
    auto operator=(const UpstreamTable &) -> UpstreamTable & = delete;
    UpstreamTable(UpstreamTable &&) = delete;
    auto operator=(UpstreamTable &&) -> UpstreamTable & = delete;
    ~UpstreamTable();

    /// Starts the threads that ask each upstream for its load, about once a second.
    auto startPolling() -> void;
    auto stopPolling() -> void;

    /// Chooses among the upstreams by chooseUpstream(). Null when none is usable; the pointer is one of the
    /// arguments. Whether an upstream is leaving is read from the argument, so pass those of the version in
    /// force.
    auto choose(const std::vector<const Upstream *> &upstreams, const std::set<std::string> &excluded, TimePoint now) -> const Upstream *;
    /// In the order of the arguments.
    [[nodiscard]] auto snapshot(const std::vector<const Upstream *> &upstreams) const -> std::vector<UpstreamLoad>;

    /// What is known of one upstream; all zero for an unknown one.
    [[nodiscard]] auto snapshotOf(const std::string &upstream) const -> UpstreamLoad;

    /// Counts work in flight. Each call of started() is followed by one call of finished().
    auto recordStart(const std::string &upstream, WorkKind kind) -> void;
    auto recordFinish(const std::string &upstream, WorkKind kind, const RequestOutcome &outcome, TimePoint now) -> void;
    auto recordReport(const std::string &upstream, const LoadReport &report, TimePoint now) -> void;

    /// {NAME:{"online","batch","running","waiting","report_age_ms","service_ms","first_token_ms","failures",
    /// "ejected","unreachable"}}; absent values are left out.
    [[nodiscard]] auto toJson(TimePoint now) const -> JsonObject::Ptr;

private:
    struct FirstTokenSample
    {
        TimePoint at;
        double milliseconds = 0;
    };
    struct Entry
    {
        UpstreamLoad load;
        /// Recent times to the first token, the oldest first.
        std::deque<FirstTokenSample> firstTokens;
        /// Failures of requests since the last success.
        int failures = 0;
        /// Ejections since the last success.
        int ejections = 0;
        int failedPolls = 0;
        TimePoint nextPollAt;
        bool isPolling = false;
    };

    struct Poll
    {
        std::string name;
        std::string address;
        std::string credential;
    };

    auto entryOf(const std::string &name) -> Entry &;
    static auto isUnreachable(const Entry &entry) -> bool;
    static auto snapshotOfEntry(const Entry &entry, bool isLeaving) -> UpstreamLoad;
    static auto firstTokenP95(const Entry &entry, TimePoint now) -> double;
    auto runPoller(const std::stop_token &stop) -> void;
    /// The upstream whose poll is due, marked as polled; unset when none is due.
    auto beginDuePoll(TimePoint now) -> std::optional<Poll>;
    auto poll(const Poll &due) -> void;
    auto evictRemoved(const Configuration &configuration) -> void;
    /// Closes the connections to removed upstreams, once for each revision.
    auto closeRemovedClients(const FleetVersion &version) -> void;

    const FleetState &state_;
    mutable std::mutex mutex_;
    std::condition_variable_any stopping_;
    std::map<std::string, Entry> entries_;
    std::mt19937_64 random_;
    PeerClients clients_;
    std::atomic<std::uint64_t> clientsRevision_ = 0;
    std::vector<std::jthread> pollers_;
};

/// Counts one piece of work as in flight for its own lifetime.
class InFlightRequest
{
public:
    InFlightRequest(UpstreamTable &table, std::string upstream, WorkKind kind);
    InFlightRequest(const InFlightRequest &) = delete;
    auto operator=(const InFlightRequest &) -> InFlightRequest & = delete;
    InFlightRequest(InFlightRequest &&) = delete;
    auto operator=(InFlightRequest &&) -> InFlightRequest & = delete;
    ~InFlightRequest();

    auto setOutcome(const RequestOutcome &outcome) -> void;

private:
    UpstreamTable &table_;
    const std::string upstream_;
    const WorkKind kind_;
    RequestOutcome outcome_;
};

} // namespace poplardock
