#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace poplardock {

/// Settings of one daemon, parsed from a TOML file. Immutable once parsed.
struct Settings
{
    std::string name;
    std::string dataCentre;
    std::string region;
    /// Relative capacity of the VM; 1 is the smallest.
    int size = 1;
    /// Name of the VM in the platform's VM list; empty when the daemon is not on that list.
    std::string vm;

    /// Addresses to listen on, "IP:port". Port 0 binds any free port.
    std::string callersAddress;
    std::string peersAddress;
    std::string operatorsAddress;
    /// Address of the platform, "IP:port".
    std::string platformAddress;
    /// This daemon's share of the store's call limit, in calls per second.
    int storeCallsPerSecond = 100;

    /// Maximum number of open connections from callers; each has its own thread.
    int onlineThreads = 400;
    /// Maximum number of batch items that run concurrently.
    int batchThreads = 64;
    std::string logLevel = "info";
    /// File to which a line is appended for each spent token, for tests and audits; empty disables it.
    std::string admissionLogFile;

    /// Reads a file and validates all of its keys. Errors: NotFound when it cannot be read; InvalidArgument with one
    /// line "FILE:LINE: KEY: what was expected" for each invalid, missing or unknown key, or one for a syntax error.
    static auto load(const std::string &file) -> absl::StatusOr<Settings>;
    /// Like load(), for text that was already read; the file name is used only in error messages.
    static auto parse(const std::string &text, const std::string &file) -> absl::StatusOr<Settings>;

    auto operator==(const Settings &) const -> bool = default;
};

} // namespace poplardock
