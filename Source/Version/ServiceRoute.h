#pragma once

#include "Process/Clock.h"

#include <string>
#include <vector>

namespace poplardock {

enum class RouteKind
{
    /// One response with a body.
    Plain,
    /// A response that is a stream of events.
    Stream,
    /// Jobs of many items.
    Batch,
};

/// A group of upstreams and its weight in the split of a route's requests.
struct RouteShare
{
    std::string group;
    double weight = 1;

    auto operator==(const RouteShare &) const -> bool = default;
};

/// Maps a host and path prefix to groups of upstreams, with the retry policy and the targets for the requests.
struct ServiceRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Plain;
    /// Whether a request may run more than once.
    bool isRetryable = false;
    /// Whether a broken stream may resume at another upstream after the last event received.
    bool isResumable = false;
    /// Whether requests need no API key.
    bool isPublic = false;
    /// 0 is the highest.
    int priority = 0;
    /// Number of upstreams to which one request may be sent.
    int maximumAttempts = 1;
    /// Longest time for which a request may wait, as set by the operator; 0 for no limit.
    Milliseconds timeout { 0 };
    /// Latency target for the whole response, or for the first event of a stream.
    Milliseconds target { 0 };
    /// Target for the gap between two events of a stream.
    Milliseconds gapTarget { 0 };
    /// Time from a job's submission until it is due.
    Milliseconds jobTarget { 0 };
    /// Time from a job's submission until its remaining items may be given up.
    Milliseconds jobRetention { 0 };
    std::vector<RouteShare> shares;
    /// Regions whose upstreams may run the requests; empty for all.
    std::vector<std::string> allowedRegions;

    auto operator==(const ServiceRoute &) const -> bool = default;
};

/// Selects the group that serves a request, in proportion to the weights. "random" is uniform over all 64-bit values.
/// Precondition: the route has at least one share. Thread-safe.
auto groupOf(const ServiceRoute &route, std::uint64_t random) -> const std::string &;

} // namespace poplardock
