#pragma once

#include "Connection/UpstreamRun.h"
#include "Process/Batch/JobRegistry.h"
#include "Request/BatchPlan.h"

#include <map>
#include <memory>

namespace poplardock {

/// Runs the items of the jobs that this daemon owns in the slots that online requests leave.
/// Thread safety: the loop's thread only.
class JobRunner
{
public:
    JobRunner(FrontParts &context, JobRegistry &book);

    auto start() -> void;
    /// Breaks off all runs and starts no more.
    auto stop() -> void;
    /// Starts no more runs.
    auto drain() -> void;
    /// Breaks off one run at the upstream, the one with the most time left; false when there is none that may be
    /// broken off.
    auto preemptAt(const std::string &upstream) -> bool;
    /// Breaks off all runs of a job.
    auto stopJob(const std::string &id) -> void;
    [[nodiscard]] auto runningCount() const -> std::size_t;

private:
    struct ItemKey
    {
        std::string job;
        std::string item;

        // The check takes the compiler's comparison with zero for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const ItemKey &) const = default;
    };
    struct ActiveAttempt
    {
        std::shared_ptr<UpstreamRun> attempt;
        BootTime startedAt;
        BootTime lastEventAt;
        bool isUrgent = false;
        WallClock::time_point dueAt;
        int initialEventCount = 0;
        HttpResult response;
    };
    struct WaitingItem
    {
        ItemKey key;
        std::string group;
        WallClock::time_point dueAt;
        /// 0: must start now to be in time; 1: has time; 2: will be late anyway.
        int rank = 1;
    };

    auto tick() -> void;
    auto giveUpExpired() -> void;
    auto abortStalled(BootTime now) -> void;
    [[nodiscard]] auto waitingItems(BootTime now) -> std::vector<WaitingItem>;
    [[nodiscard]] auto rankOf(const OwnedJob &job, const ItemProgress &item) const -> int;
    auto startItems(const std::string &group, const std::vector<const WaitingItem *> &waiting, BootTime now) -> void;
    auto startItem(const WaitingItem &waiting, const std::string &upstream) -> void;
    auto onEvent(const ItemKey &key, const StreamEvent &event) -> void;
    auto onAttemptEnd(const ItemKey &key, RunEnd end) -> void;
    auto requeue(const ItemKey &key, Milliseconds pause, const char *reason) -> void;
    auto evaluateResponse(const ItemKey &key, ItemProgress &item, const HttpResult &answer, int attemptLimit) -> void;

    FrontParts &context_;
    JobRegistry &registry_;
    std::map<ItemKey, ActiveAttempt> active_;
    Timer tickTimer_;
    /// Time and events of a whole run, learned.
    double averageItemMs_ = 5000;
    double averageItemEvents_ = 200;
    bool isDraining_ = false;
};

} // namespace poplardock
