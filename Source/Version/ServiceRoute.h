#pragma once

#include "Process/Clock.h"

#include <string>
#include <vector>

namespace poplardock {

enum class RouteKind
{
    /// One answer with a body.
    Plain,
    /// An answer that is a series of events.
    Stream,
    /// Jobs of many items.
    Batch,
};

/// A group of upstreams and its part of a route's requests.
struct RouteShare
{
    std::string group;
    double weight = 1;

    auto operator==(const RouteShare &) const -> bool = default;
};

/// Maps a host and path prefix to groups of upstreams, with what may be done with its requests.
struct ServiceRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Plain;
    /// A request may run more than once.
    bool isRetryable = false;
    /// A broken stream may go on at another upstream after the last event that came.
    bool isResumable = false;
    /// Needs no key.
    bool isPublic = false;
    /// 0 is the highest.
    int priority = 0;
    /// Upstreams to which one request may be sent.
    int maximumAttempts = 1;
    /// Longest time for which the operator wants a request kept waiting; 0 for no limit.
    Milliseconds timeout { 0 };
    /// Target for the whole answer, or for the first event of a stream.
    Milliseconds target { 0 };
    /// Target for the pause between two events of a stream.
    Milliseconds gapTarget { 0 };
    /// Time after its submission at which a job is due.
    Milliseconds jobTarget { 0 };
    /// Time after its submission from which an item of a job may be given up.
    Milliseconds jobRetention { 0 };
    std::vector<RouteShare> shares;

    auto operator==(const ServiceRoute &) const -> bool = default;
};

/// The group that serves a request on a split route. "random" is uniform over all 64-bit values.
/// Precondition: the route has a share. Thread-safe.
auto groupOf(const ServiceRoute &route, std::uint64_t random) -> const std::string &;

} // namespace poplardock
