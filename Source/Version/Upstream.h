#pragma once

#include "Process/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

enum class UpstreamKind
{
    Model,
    Service,
};

/// A model server or plain service.
struct Upstream
{
    std::string name;
    /// "IP:port".
    std::string address;
    std::string group;
    UpstreamKind kind = UpstreamKind::Model;
    /// Models that the upstream serves; empty for a plain service.
    std::vector<std::string> models;
    /// Sent to the upstream as bearer token; never logged or dumped.
    std::string credential;
    std::string dataCentre;
    /// Whether the upstream is draining: it gets no new work.
    bool isDraining = false;
    /// Number of requests that the upstream runs concurrently; 0 if the upstream does not state it.
    int slots = 0;
    /// Unix milliseconds of the start of its run; 0 if the upstream does not state it.
    std::int64_t startedAtMs = 0;
    /// How long the upstream stays cold, counted from the write of its entry; unset if it does not state it. Used once for each
    /// version of the entry and not kept with the upstream.
    std::optional<Milliseconds> coldRemaining;

    auto operator==(const Upstream &) const -> bool = default;
};

} // namespace poplardock
