#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace poplardock {

/// Settings of one daemon, read from a TOML file. Immutable once read.
struct Settings
{
    std::string name;
    std::string dataCentre;
    std::string region;
    /// Relative capacity of the VM; 1 is the smallest.
    int size = 1;
    /// Name of the VM in the platform's VM list; empty when the daemon is not on that list.
    std::string vm;

    /// Addresses to listen on, "IP:port". Port 0 takes a free port.
    std::string callersAddress;
    std::string peersAddress;
    std::string operatorsAddress;
    std::string platformAddress;
    /// This daemon's share of the calls that the store takes, per second.
    int storeCallsPerSecond = 100;

    /// Open connections from callers, each with its own thread.
    int onlineThreads = 400;
    /// Batch items that run at the same time.
    int batchThreads = 64;
    std::string logLevel = "info";
    /// File to which each spent token is appended, for tests and audits; empty for none.
    std::string admissionLogFile;

    /// Reads and checks a file as a whole. Errors: NotFound when it cannot be read; InvalidArgument with one
    /// line for each fault: "FILE:LINE: KEY: what was expected". Unknown keys are faults.
    static auto load(const std::string &file) -> absl::StatusOr<Settings>;
    /// As load(), for text; the file name is used in the messages.
    static auto parse(const std::string &text, const std::string &file) -> absl::StatusOr<Settings>;

    auto operator==(const Settings &) const -> bool = default;
};

} // namespace poplardock
