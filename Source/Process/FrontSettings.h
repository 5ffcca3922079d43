#pragma once

#include "Process/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace poplardock {

/// Bounds that the platform guarantees to its users and that the daemons must meet.
struct FleetBounds
{
    /// No request may run whose key was withdrawn at least this long ago.
    Milliseconds keyWithdrawal { 5000 };
    /// An upstream that is draining, or whose store entry has vanished, gets no request after this time.
    Milliseconds upstreamDrain { 2000 };
    /// A new configuration must be in force at all daemons within this time.
    Milliseconds configurationRollout { 2000 };
    /// Time between the stop signal and the kill signal.
    Milliseconds shutdown { 8000 };
    /// Results of a job stay readable for at least this long after its submission.
    Milliseconds resultRetention { 120000 };
    /// Window over which the use of a team's allowance is counted.
    Milliseconds allowanceWindow { 5000 };
    /// No item of a job may start later than this after the job was cancelled.
    Milliseconds jobCancel { 3000 };
    /// No request may reach an upstream of an evacuated data centre later than this after the store has acknowledged the
    /// evacuation. Unset: evacuations are neither read nor acted on.
    std::optional<Milliseconds> evacuation;
    /// A cold upstream gets at most the multiple of what it can handle, and so many requests more, in any second.
    double coldOverage = 1.5;
    double coldSlack = 5;

    auto operator==(const FleetBounds &) const -> bool = default;
};

/// Settings of a front or store daemon, as provided by the platform. Immutable once read.
struct FrontSettings
{
    /// Name of the VM.
    std::string name;
    std::string dataCentre;
    std::string region;
    /// Address for callers, "IP:port"; empty for a daemon without callers.
    std::string callersAddress;
    /// Address of the readiness endpoint that the platform probes; empty for a daemon without callers.
    std::string readyAddress;
    /// Address for the other daemons (TCP and UDP).
    std::string peersAddress;
    /// Address for metrics and the state dump.
    std::string operatorsAddress;
    std::string storeAddress;
    /// Largest value that the store accepts, in bytes.
    std::uint64_t maxStoreValueBytes = 1048576;
    /// Processor capacity of the VM in hundredths of a core, at least 1. Duties for other daemons go to VMs with more of it.
    int capacity = 1;
    /// Memory of the VM in bytes, and the most descriptors that the process may have open; 0 for what the machine allows.
    std::uint64_t memoryBytes = 0;
    std::uint64_t maxDescriptors = 0;
    /// Period at which an upstream renews its entry in the store.
    Milliseconds upstreamHeartbeatPeriod { 1200 };
    FleetBounds bounds;
    /// Region of each data centre that is known.
    std::map<std::string, std::string> regions;

    auto operator==(const FrontSettings &) const -> bool = default;
};

} // namespace poplardock
