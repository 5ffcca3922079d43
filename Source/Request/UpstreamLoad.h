#pragma once

#include "Process/Clock.h"

#include <optional>
#include <string>

namespace poplardock {

/// What an upstream says about its work.
struct LoadReport
{
    int running = 0;
    int waiting = 0;

    auto operator==(const LoadReport &) const -> bool = default;
};

/// What this daemon knows about one upstream at one moment.
struct UpstreamLoad
{
    std::string name;
    /// Work of this daemon that is in flight there.
    int ownOnline = 0;
    int ownBatch = 0;
    LoadReport report;
    /// Unset while there was no report.
    std::optional<TimePoint> reportedAt;
    /// Work of this daemon that was in flight there when the report came.
    int ownAtReport = 0;
    /// Requests that ran while others waited: the slots that the engine has. Unset while none ever waited.
    std::optional<double> slots;
    /// Moving averages over online answers; unset before the first one.
    std::optional<double> serviceMs;
    std::optional<double> firstTokenMs;
    /// 95th percentile of the times to the first token of recent online answers; 0 without any.
    double firstTokenP95Ms = 0;
    /// Time of the last answer that the averages include.
    TimePoint lastSampleAt;
    /// Gets no work before this time unless all candidates are ejected.
    TimePoint ejectedUntil;
    bool isDraining = false;

    auto operator==(const UpstreamLoad &) const -> bool = default;
};

/// Reads {"running":n,"waiting":n}. Unset for anything else, and for counts out of range.
auto parseLoadReport(const std::string &json) -> std::optional<LoadReport>;

/// Requests at the upstream: own work in flight plus the part of the report that is not own work, weighted
/// by the age of the report.
auto estimateInFlight(const UpstreamLoad &load, TimePoint now) -> double;

/// Time in milliseconds that a new online request waits for a slot. 0 when nothing is known. Batch work of
/// this daemon is not counted, since it yields to online work.
auto predictWaitMs(const UpstreamLoad &load, TimePoint now) -> double;

/// Predicted wait plus the learned time to the first token. 0 for an idle upstream: no other answer can be
/// expected to be earlier, and a request is needed to learn the present speed.
auto predictFirstTokenMs(const UpstreamLoad &load, TimePoint now) -> double;

} // namespace poplardock
