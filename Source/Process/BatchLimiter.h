#pragma once

#include "Process/Clock.h"

#include <optional>

namespace poplardock {

/// What a daemon knows about the load of one upstream.
struct ObservedLoad
{
    /// From the last load report, which lags.
    int running = 0;
    int waiting = 0;
    /// Online requests of this daemon that run or wait there now.
    int onlineInFlight = 0;
    /// Online requests of all daemons that are expected there now, estimated from what this daemon sees.
    double onlineExpected = 0;
    /// 95th percentile of recent times to the first token of this daemon's online requests; 0 without any.
    double onlineFirstTokenP95Ms = 0;

    auto operator==(const ObservedLoad &) const -> bool = default;
};

/// The number of batch items that may run at one upstream. It grows by a constant while online work meets its
/// target and is cut by a factor when it does not. Running items are dropped at once when online work waits.
///
/// A report of waiting requests also shows how many requests the upstream runs at a time. The share stays below
/// that number by a reserve, so that single online requests find room and batch items seldom wait in the
/// upstream's own queue, where they would hold up online requests.
/// A state machine without a clock of its own. Not thread-safe.
class BatchLimiter
{
public:
    struct Tuning
    {
        /// Items added in each interval in which the share was used up.
        double increase = 2;
        Milliseconds interval { 100 };
        /// Part of the running items that a yield leaves, and part of the share that it leaves after the hold-off.
        double keptFraction = 0.75;
        double decreaseFactor = 0.9;
        /// Time after a yield for which only the kept items may run.
        Milliseconds holdOff { 300 };
        /// Time after a yield in which lagging load reports cause none: the age that a report may have.
        Milliseconds reportLag { 1300 };
        /// Part of the class target above which the share is cut.
        double targetFraction = 0.8;
        /// Part of the upstream's slots that is kept free for online requests. 0.15 gave less batch throughput as
        /// well as higher online latency, since more items were dropped (Meta/MeasureBatch).
        double reserve = 0.25;
        /// Time after which one more slot is tried.
        Milliseconds probeInterval { 10000 };
        int maximum = 256;

        auto operator==(const Tuning &) const -> bool = default;
    };

    explicit BatchLimiter(Tuning tuning);

    /// Takes a new view of the load. Returns the number of running items to drop now. The target is the class
    /// target for the time to the first token, in milliseconds. To be called several times in a second.
    auto update(TimePoint now, const ObservedLoad &load, int batchRunning, double targetMs) -> int;
    /// Online work waits at the upstream. Returns the number of running items to drop now.
    auto preempt(TimePoint now, int batchRunning) -> int;
    /// The number of items that may run.
    [[nodiscard]] auto limit() const -> int;

private:
    auto updateSlotEstimate(TimePoint now, const ObservedLoad &load) -> void;

    Tuning tuning_;
    double limit_ = 1;
    /// Room that the online requests leave, as of the last view; bounds the limit without shrinking it.
    double ceiling_ = 1;
    /// Bound of the limit until the end of the hold-off.
    double holdOffLimit_ = 0;
    bool isHoldingOff_ = false;
    TimePoint holdOffUntil_;
    /// Requests that the upstream runs at a time; unset until it was seen full.
    std::optional<double> slots_;
    TimePoint nextProbeAt_;
    TimePoint nextIncreaseAt_;
    TimePoint nextPreemptionAt_;
};

} // namespace poplardock
