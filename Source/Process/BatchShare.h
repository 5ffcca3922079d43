#pragma once

#include "Process/Clock.h"

namespace poplardock {

/// What a daemon knows about the load of one upstream.
struct ObservedLoad
{
    /// From the last load report, which lags.
    int running = 0;
    int waiting = 0;
    /// Online requests of this daemon that run or wait there now.
    int onlineInFlight = 0;
    /// 95th percentile of recent times to the first token of this daemon's online requests; 0 without any.
    double onlineFirstTokenP95Ms = 0;

    auto operator==(const ObservedLoad &) const -> bool = default;
};

/// The number of batch items that may run at one upstream. It grows by a constant while online work meets its
/// target and is cut by a factor when it does not. Running items are dropped at once when online work waits.
/// A state machine without a clock of its own. Not thread-safe.
class BatchShare
{
public:
    struct Tuning
    {
        /// Items added in each interval in which the share was used up.
        double increase = 1;
        Milliseconds interval { 100 };
        /// Factor of the share that is left after a cut.
        double decrease = 0.5;
        /// Time after a yield in which the share does not grow.
        Milliseconds holdOff { 1000 };
        /// Time after a cut in which lagging load reports cause no further cut.
        Milliseconds reportLag { 500 };
        /// Part of the class target above which the share is cut.
        double targetFraction = 0.8;
        int maximum = 256;

        auto operator==(const Tuning &) const -> bool = default;
    };

    explicit BatchShare(Tuning tuning);

    /// Takes a new view of the load. Returns the number of running items to drop now. The target is the class
    /// target for the time to the first token, in milliseconds. To be called several times in a second.
    auto update(TimePoint now, const ObservedLoad &load, int batchRunning, double targetMs) -> int;
    /// Online work waits at the upstream. Returns the number of running items to drop now.
    auto yieldNow(TimePoint now, int batchRunning) -> int;
    /// The number of items that may run.
    [[nodiscard]] auto limit() const -> int;

private:
    auto cut(TimePoint now, int batchRunning) -> void;

    Tuning tuning_;
    double limit_ = 1;
    TimePoint nextIncreaseAt_;
    TimePoint nextCutAt_;
};

} // namespace poplardock
