#pragma once

#include <absl/status/status.h>

#include <string_view>

namespace poplardock {

/// Component of the daemon that writes a log line; it determines the prefix of the line.
enum class Part
{
    Process,
    Settings,
    Platform,
    Version,
    Member,
    Peer,
    Allowance,
    Online,
    Upstream,
    Batch,
    Operator,
    Cli,
};

/// Writes short log lines, "LEVEL [part] text", to standard error.
/// Thread safety: all methods may be called from any thread once configure() has returned.
/// Precondition: the text contains no caller key and no upstream credential.
class Log
{
public:
    /// Sets the lowest level that is written: "debug", "info", "warning" or "error".
    /// Errors: InvalidArgument for any other level.
    static auto configure(std::string_view level) -> absl::Status;
    static auto debug(Part part, std::string_view text) -> void;
    static auto info(Part part, std::string_view text) -> void;
    static auto warning(Part part, std::string_view text) -> void;
    static auto error(Part part, std::string_view text) -> void;
};

} // namespace poplardock
