#pragma once

#include "Version/Configuration.h"
#include "Version/MemberTable.h"

#include <cstdint>
#include <memory>

namespace poplardock {

/// One revision of the configuration and the member list of the fleet. Immutable; shared by pointer between threads.
struct FleetVersion
{
    /// Revision of the root; increases with every change.
    std::uint64_t revision = 0;
    /// Revision of the last change that touched the configuration; operators' changes are conditional on it.
    std::uint64_t configurationRevision = 0;
    Configuration configuration;
    MemberTable members;

    auto operator==(const FleetVersion &) const -> bool = default;
};

using FleetVersionPointer = std::shared_ptr<const FleetVersion>;

} // namespace poplardock
