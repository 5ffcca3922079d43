#pragma once

#include "Request/ResultCode.h"
#include "Version/ServingVersion.h"

#include <optional>
#include <string>
#include <string_view>

namespace poplardock {

/// Whose request it is, or why that cannot be said. Without a team and a refusal it is nobody's, and allowed.
struct CallerIdentity
{
    /// Belongs to the version.
    const ServedTeam *team = nullptr;
    std::optional<ResultCode> refusal;

    auto operator==(const CallerIdentity &) const -> bool = default;
};

/// The caller of an online request on that route; null if there is none. "isFresh": the version is known to be in force.
/// Pure; thread-safe.
auto identifyCaller(const ServingVersion &version, const ServiceRoute *route, const std::string &key, bool isFresh) -> CallerIdentity;

/// The caller of a jobs call. A key decides, whatever routes there are; without a known one the call is nobody's where a public batch
/// route takes submissions without a key: "route" for a submission, any of the host for the other calls, which have no route.
/// Pure; thread-safe.
auto identifyJobCaller(const ServingVersion &version,
                       const ServiceRoute *route,
                       std::string_view host,
                       const std::string &key,
                       bool isFresh) -> CallerIdentity;

} // namespace poplardock
