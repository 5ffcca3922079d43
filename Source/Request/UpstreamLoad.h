#pragma once

#include "Process/Clock.h"

#include <optional>
#include <string>

namespace poplardock {

/// Requests at an upstream, as reported by the upstream.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    /// The upstream is about to stop: it takes no further requests and finishes those that it runs.
    bool isLeaving = false;

    auto operator==(const LoadReport &) const -> bool = default;
};

/// Snapshot of what this daemon knows about the load and speed of one upstream.
struct UpstreamLoad
{
    std::string name;
    /// Requests of this daemon in flight at the upstream.
    int ownOnline = 0;
    int ownBatch = 0;
    LoadReport report;
    /// Unset until the first report arrives.
    std::optional<TimePoint> reportedAt;
    /// Requests of this daemon that were in flight at the upstream when the report arrived.
    int ownAtReport = 0;
    /// Slots of the engine, inferred from the number of requests that ran while others waited. Unset until a request
    /// has waited.
    std::optional<double> slots;
    /// Moving averages over online responses; unset until the first response.
    std::optional<double> serviceMs;
    std::optional<double> firstTokenMs;
    /// 95th percentile of the time to the first token of recent online responses; 0 when there are none.
    double firstTokenP95Ms = 0;
    /// Time of the latest response that the averages include.
    TimePoint lastSampleAt;
    /// Until this time, chooseUpstream() selects this upstream only when no other is usable.
    TimePoint ejectedUntil;
    bool isDraining = false;

    auto operator==(const UpstreamLoad &) const -> bool = default;
};

/// Parses {"running":n,"waiting":n,"leaving":true}; an absent "leaving" is false. Unset when the text is malformed or a count is
/// out of range.
auto parseLoadReport(const std::string &json) -> std::optional<LoadReport>;

/// Estimates the requests at the upstream: those of this daemon in flight, plus those of other daemons according to the
/// report, whose weight decays with its age.
auto estimateInFlight(const UpstreamLoad &load, TimePoint now) -> double;

/// Predicts the time in milliseconds that a new online request waits for a slot. 0 while the service time is unknown.
/// Batch work of this daemon is not counted, since online requests preempt it.
auto predictWaitMs(const UpstreamLoad &load, TimePoint now) -> double;

/// Predicts the time to the first token in milliseconds: the predicted wait plus the average time to the first token.
/// 0 for an idle upstream: no other upstream is expected to respond earlier, and only a request can update its average.
auto predictFirstTokenMs(const UpstreamLoad &load, TimePoint now) -> double;

} // namespace poplardock
