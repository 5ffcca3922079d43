#pragma once

#include "Process/Clock.h"

#include <cstdint>
#include <string>

namespace poplardock {

/// Bounds that the platform promises its users and that the daemons have to keep.
struct FleetBounds
{
    /// A request whose key was withdrawn this long ago must not run.
    Milliseconds keyWithdrawal { 5000 };
    /// An upstream that announced its leave, or whose entry is gone, gets nothing after this time.
    Milliseconds upstreamDrain { 2000 };
    /// A configuration is in force everywhere after this time.
    Milliseconds configurationRollout { 2000 };
    /// Time between the signal to stop and the kill.
    Milliseconds shutdown { 8000 };
    /// Results of a job stay readable for this long after its submission.
    Milliseconds resultRetention { 120000 };
    /// Window over which the allowance of a team is counted.
    Milliseconds allowanceWindow { 5000 };
    /// Items of a cancelled job must not start after this time.
    Milliseconds jobCancel { 3000 };

    auto operator==(const FleetBounds &) const -> bool = default;
};

/// Settings of a front or store daemon, as the platform hands them out. Immutable once read.
struct FrontSettings
{
    /// Name of the VM.
    std::string name;
    std::string dataCentre;
    std::string region;
    /// "IP:port"; empty for a daemon without callers.
    std::string callersAddress;
    /// Where the platform asks whether the daemon is ready; empty for a daemon without callers.
    std::string readyAddress;
    /// Address for the other daemons (TCP and UDP).
    std::string peersAddress;
    /// Address for metrics and the state dump.
    std::string operatorsAddress;
    std::string storeAddress;
    /// Largest value that the store takes, in bytes.
    std::uint64_t maxStoreValueBytes = 1048576;
    /// Time between two signs of life of an upstream in the store.
    Milliseconds upstreamHeartbeatPeriod { 1200 };
    FleetBounds bounds;

    auto operator==(const FrontSettings &) const -> bool = default;
};

} // namespace poplardock
