#pragma once

#include <string>

namespace poplardock {

/// A daemon of the fleet, as recorded in the member table.
struct Member
{
    std::string name;
    /// "IP:port" at which the daemon listens for peers.
    std::string address;
    std::string dataCentre;
    std::string region;
    /// Relative capacity of the VM; 1 is the smallest.
    int size = 1;
    /// Unique for each start of the process.
    std::string incarnation;
    /// Name of the VM in the platform's VM list; empty when the daemon is not on that list.
    std::string vm;

    auto operator==(const Member &) const -> bool = default;
};

} // namespace poplardock
