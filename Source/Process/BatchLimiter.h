#pragma once

#include "Process/Clock.h"

#include <optional>

namespace poplardock {

/// The load of one upstream as this daemon observes it.
struct ObservedLoad
{
    /// From the last load report, which may be out of date.
    int running = 0;
    int waiting = 0;
    /// Online requests that this daemon has in flight there.
    int onlineInFlight = 0;
    /// Estimate of the online requests that all daemons have in flight there, from this daemon's own requests.
    double onlineExpected = 0;
    /// 95th percentile of recent times to the first token of this daemon's online requests; 0 without any.
    double onlineFirstTokenP95Ms = 0;

    auto operator==(const ObservedLoad &) const -> bool = default;
};

/// Limits the number of concurrent batch items at one upstream by additive increase and multiplicative decrease: the
/// limit grows by a constant while online requests meet their latency target and is cut by a factor when they do not.
/// Running items are preempted when online requests wait.
///
/// A load report with waiting requests also shows how many slots the upstream has. The limit stays below that number
/// by a reserve, so that single online requests find a free slot and batch items seldom wait in the upstream's own
/// queue, where they would delay online requests.
/// A state machine without a clock of its own. Not thread-safe.
class BatchLimiter
{
public:
    struct Tuning
    {
        /// Items added in each interval in which the limit was reached.
        double increase = 2;
        Milliseconds interval { 100 };
        /// Fraction of the running items that a preemption leaves running, and fraction of the limit that remains
        /// after the hold-off.
        double keptFraction = 0.75;
        double decreaseFactor = 0.9;
        /// Time after a preemption for which only the items that it left may run.
        Milliseconds holdOff { 300 };
        /// Time after a preemption in which load reports cause no further one: the maximum age of a report, since an
        /// older one still shows the load before the preemption.
        Milliseconds reportLag { 1300 };
        /// Fraction of the class target above which the limit is cut.
        double targetFraction = 0.8;
        /// Fraction of the upstream's slots that is kept free for online requests. 0.15 gave less batch throughput as
        /// well as higher online latency, since more items were preempted (Meta/MeasureBatch).
        double reserve = 0.25;
        /// Interval at which the slot estimate is raised by one to probe for more slots.
        Milliseconds probeInterval { 10000 };
        int maximum = 256;

        auto operator==(const Tuning &) const -> bool = default;
    };

    explicit BatchLimiter(Tuning tuning);

    /// Adapts the limit to the observed load. Returns the number of running items to abort now. The target is the
    /// class target for the time to the first token, in milliseconds. To be called several times a second.
    auto update(TimePoint now, const ObservedLoad &load, int batchRunning, double targetMs) -> int;
    /// Makes way for an online request that waits at the upstream. Returns the number of running items to abort now.
    auto preempt(TimePoint now, int batchRunning) -> int;
    /// The number of items that may run concurrently.
    [[nodiscard]] auto limit() const -> int;

private:
    auto updateSlotEstimate(TimePoint now, const ObservedLoad &load) -> void;

    Tuning tuning_;
    double limit_ = 1;
    /// Slots that online requests leave available, as of the last update; bounds limit() without lowering limit_.
    double ceiling_ = 1;
    /// Upper bound of limit() during the hold-off.
    double holdOffLimit_ = 0;
    bool isHoldingOff_ = false;
    TimePoint holdOffUntil_;
    /// Estimated slots of the upstream; unset until a report showed waiting requests.
    std::optional<double> slots_;
    TimePoint nextProbeAt_;
    TimePoint nextIncreaseAt_;
    TimePoint nextPreemptionAt_;
};

} // namespace poplardock
