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

/// How a request at an upstream ended.
struct RequestOutcome
{
    /// The upstream could not be reached, was lost, timed out, or responded with a server error.
    bool isFailure = false;
    /// Unset when the request gives no sample for the average.
    std::optional<double> firstTokenMs;
    std::optional<double> serviceMs;
    /// Time that the request waited for a slot before the first token; not included in firstTokenMs.
    double waitMs = 0;

    auto operator==(const RequestOutcome &) const -> bool = default;
};

/// This daemon's view of each upstream: own requests in flight, load reports, averages of the latency, failures.
/// Entries are created on first use and evicted when the upstream is no longer configured.
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

    /// Starts the threads that poll each upstream for its load, about once a second.
    auto startPolling() -> void;
    auto stopPolling() -> void;

    /// Chooses among the upstreams by chooseUpstream(). Null when none is usable; the pointer is one of the
    /// arguments. Whether an upstream is draining is read from the argument, so pass the upstreams of the version
    /// in force, and from its answers.
    auto choose(const std::vector<const Upstream *> &upstreams, const std::set<std::string> &excluded, TimePoint now) -> const Upstream *;
    /// In the order of the arguments.
    [[nodiscard]] auto snapshot(const std::vector<const Upstream *> &upstreams) const -> std::vector<UpstreamLoad>;

    /// The load of one upstream, with the 95th percentile; all zero for an unknown one.
    [[nodiscard]] auto snapshotOf(const std::string &upstream) const -> UpstreamLoad;

    /// Counts requests in flight. Each call of recordStart() must be followed by one call of recordFinish().
    auto recordStart(const std::string &upstream, WorkKind kind) -> void;
    auto recordFinish(const std::string &upstream, WorkKind kind, const RequestOutcome &outcome, TimePoint now) -> void;
    auto recordReport(const std::string &upstream, const LoadReport &report, TimePoint now) -> void;
    /// Records what an answer of the upstream says of its leaving. A mark ends when the answer to a request that was sent after
    /// it says otherwise, which shows a later run, or ten minutes after the last answer that said so. Returns whether the
    /// upstream has become known as leaving by this answer.
    auto recordLeaving(const std::string &upstream, bool isLeaving, TimePoint sentAt, TimePoint now) -> bool;
    [[nodiscard]] auto isLeaving(const std::string &upstream, TimePoint now) const -> bool;

    /// {NAME:{"online","batch","running","waiting","report_age_ms","service_ms","first_token_ms","failures",
    /// "ejected","unreachable","leaving"}}; absent values are left out.
    [[nodiscard]] auto toJson(TimePoint now) const -> JsonObject::Ptr;

private:
    struct FirstTokenSample
    {
        TimePoint at;
        double milliseconds = 0;
    };
    /// An upstream that has said in an answer that it leaves.
    struct LeavingMark
    {
        TimePoint since;
        TimePoint until;
    };
    struct Entry
    {
        UpstreamLoad load;
        std::optional<LeavingMark> leaving;
        /// Recent times to the first token, oldest first.
        std::deque<FirstTokenSample> firstTokens;
        /// Failed requests since the last success.
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
    static auto isLeaving(const Entry &entry, TimePoint now) -> bool;
    static auto snapshotOfEntry(const Entry &entry, bool isDraining, TimePoint now) -> UpstreamLoad;
    static auto firstTokenP95(const Entry &entry, TimePoint now) -> double;
    auto runPoller(const std::stop_token &stop) -> void;
    /// Marks an upstream whose poll is due as being polled and returns it; unset when none is due.
    auto beginDuePoll(TimePoint now) -> std::optional<Poll>;
    auto poll(const Poll &due) -> void;
    auto evictRemoved(const Configuration &configuration) -> void;
    /// Closes the connections to removed upstreams, once per revision.
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

/// Counts a request as in flight at an upstream during its own lifetime.
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
