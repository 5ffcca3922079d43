#pragma once

#include "Process/Clock.h"
#include "Version/ServiceClass.h"

#include <string>
#include <vector>

namespace poplardock {

/// An HTTP request as received from a caller, without its API key.
struct CallerMessage
{
    std::string method;
    /// Path and query.
    std::string uri;
    std::string contentType;
    std::string accept;
    /// Empty when the caller names none.
    std::string serviceClass;
    /// Empty when the caller names none.
    std::string idempotencyKey;
    std::string body;

    auto operator==(const CallerMessage &) const -> bool = default;
};

/// A request whose format, key, service class and model or route have been validated.
struct OnlineRequest
{
    std::string id;
    /// Empty on open routes.
    std::string team;
    CallerMessage message;
    ServiceClass serviceClass;
    /// Set for chat completions; the upstreams are those that serve the model.
    std::string model;
    /// Set for chat completions; see ChatBody.
    std::vector<std::string> sharedParts;
    /// Set for services other than chat completions; the upstreams are those of the group.
    std::string group;
    /// Whether the request may be sent again after an attempt that may have run.
    bool isRetryable = false;
    TimePoint receivedAt;
    TimePoint deadline;

    auto operator==(const OnlineRequest &) const -> bool = default;
};

} // namespace poplardock
