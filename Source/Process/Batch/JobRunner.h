#pragma once

#include "Connection/UpstreamRun.h"
#include "Process/Batch/JobRegistry.h"
#include "Request/BatchPlan.h"

#include <map>
#include <memory>
#include <optional>

namespace poplardock {

/// Runs the items of the jobs that this daemon owns, in the slots that online requests leave available.
/// Thread safety: the loop's thread only.
class JobRunner
{
public:
    JobRunner(FrontParts &context, JobRegistry &registry);

    /// The check tells whether items of a job may be sent to upstreams now. It is called for each job with waiting items,
    /// several times a second. Precondition: called before start().
    auto setStartCheck(std::function<bool(const std::string &id)> mayStart) -> void;
    auto start() -> void;
    /// Aborts all attempts and starts no more.
    auto stop() -> void;
    /// Starts no more attempts.
    auto drain() -> void;
    /// Preempts one attempt at the upstream for an online request: the one whose job is due last. Urgent attempts are
    /// not preempted; false when there is no other.
    auto preemptAt(const std::string &upstream) -> bool;
    /// Breaks off the attempts at upstreams of evacuated data centres, urgent ones too. Their items go on
    /// elsewhere after their last event.
    auto leaveEvacuated() -> void;
    /// Aborts all attempts of a job.
    auto stopJob(const std::string &id) -> void;
    [[nodiscard]] auto runningCount() const -> std::size_t;

private:
    struct ItemKey
    {
        std::string job;
        std::string item;

        // clang-tidy mistakes the zero in the generated comparison for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const ItemKey &) const = default;
    };
    struct ActiveAttempt
    {
        std::shared_ptr<UpstreamRun> attempt;
        BootTime startedAt;
        BootTime lastEventAt;
        bool isUrgent = false;
        WallClock::time_point dueAt;
        /// Events of the item when the attempt started.
        int initialEventCount = 0;
        /// The last event that the attempt was asked to go on after, or that it has brought.
        std::optional<std::int64_t> lastEventId;
        /// Most bytes of the item's text; an upstream that sends more has not answered the request.
        std::size_t maximumTextBytes = 0;
        HttpResult response;
    };
    struct WaitingItem
    {
        ItemKey key;
        std::string group;
        RegionFilter regions;
        WallClock::time_point dueAt;
        /// Lower ranks start first. 0: urgent, must start now to be in time; 1: has time; 2: will be late in any case.
        int rank = 1;
        /// Upstreams that are passed over.
        std::set<std::string> otherVersions;
    };

    auto tick() -> void;
    /// Lists the items as given up whose job's time is over, and those that cannot start any more since their route was removed.
    auto giveUpExpired() -> void;
    /// Whether the route of a job was removed, long enough ago that it is no mistake that is mended at once.
    [[nodiscard]] auto hasLostRoute(OwnedJob &job, BootTime now) const -> bool;
    /// The batch route of a job in the version; null if it has none.
    [[nodiscard]] static auto routeOf(const ServingVersion &version, const JobRecord &record) -> const ServiceRoute *;
    /// Lists an item as given up. The caller schedules the commit.
    static auto giveUp(OwnedJob &job, ItemProgress &item, std::string_view reason) -> void;
    auto abortStalled(BootTime now) -> void;
    [[nodiscard]] auto waitingItems(BootTime now) -> std::vector<WaitingItem>;
    [[nodiscard]] auto rankOf(const OwnedJob &job, const ItemProgress &item) const -> int;
    /// Starts items of one group that may run in the same data centres.
    auto startItems(const std::vector<const WaitingItem *> &waiting, BootTime now) -> void;
    /// Chooses an upstream for an item that some have declined for its version of the weights, among the others.
    auto chooseForVersion(const WaitingItem &waiting, const std::vector<UpstreamView> &views, int reserve, BootTime now)
        -> std::optional<std::size_t>;
    auto startItem(const WaitingItem &waiting, const std::string &upstream) -> void;
    auto onEvent(const ItemKey &key, const StreamEvent &event) -> void;
    /// Discards what the item has of its answer, which then restarts from its first event, and puts the item back.
    auto restart(const ItemKey &key, ItemProgress &item, Milliseconds backoff, const char *reason) -> void;
    auto onAttemptEnd(const ItemKey &key, RunEnd end) -> void;
    /// Aborts the attempt of an item, which waits for at least "backoff" before the next one.
    auto requeue(const ItemKey &key, Milliseconds backoff, const char *reason) -> void;
    auto evaluateResponse(const ItemKey &key, ItemProgress &item, const HttpResult &response, int attemptLimit) -> void;

    FrontParts &context_;
    JobRegistry &registry_;
    std::function<bool(const std::string &)> mayStart_;
    std::map<ItemKey, ActiveAttempt> active_;
    Timer tickTimer_;
    /// Moving averages over the items that completed in one attempt: duration and number of events.
    double averageItemMs_ = 5000;
    double averageItemEvents_ = 200;
    bool isDraining_ = false;
};

} // namespace poplardock
