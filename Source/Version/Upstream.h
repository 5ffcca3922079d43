#pragma once

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
    /// Gets no new work.
    bool isDraining = false;
    /// Requests that run at the same time; 0 when the upstream does not say.
    int slots = 0;

    auto operator==(const Upstream &) const -> bool = default;
};

} // namespace poplardock
