#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplardock {

/// Text to print, for --help and --version.
struct PrintCommand
{
    std::string text;

    auto operator==(const PrintCommand &) const -> bool = default;
};

struct ServeCommand
{
    std::string settingsFile;

    auto operator==(const ServeCommand &) const -> bool = default;
};

struct CheckCommand
{
    std::string settingsFile;

    auto operator==(const CheckCommand &) const -> bool = default;
};

/// A daemon on the users' platform, or a check of its settings there.
struct PlatformCommand
{
    enum class Action
    {
        /// Serve callers.
        Front,
        /// Stand by on a VM with a disk.
        Store,
        /// Check the settings file.
        Check,
    };

    Action action = Action::Front;
    /// Empty for the platform's usual place.
    std::string settingsFile;

    auto operator==(const PlatformCommand &) const -> bool = default;
};

/// One HTTP call to a daemon; all commands of callers and most commands of operators are one.
struct HttpCommand
{
    std::string address;
    std::string method;
    std::string path;
    std::string body;
    /// Sent as bearer token when it is not empty.
    std::string key;
    std::string serviceClass;
    std::string idempotencyKey;
    /// Print the answer as it arrives.
    bool isStream = false;

    auto operator==(const HttpCommand &) const -> bool = default;
};

/// Applies a configuration file, TOML or JSON.
struct ApplyCommand
{
    std::string address;
    std::string file;
    /// Configuration revision that the change was made against; unset means the one in force now.
    std::optional<std::uint64_t> expectedRevision;

    auto operator==(const ApplyCommand &) const -> bool = default;
};

using Command = std::variant<PrintCommand, ServeCommand, CheckCommand, PlatformCommand, HttpCommand, ApplyCommand>;

/// Parses the words after the program name. The caller's key is taken from the environment variable
/// POPLARDOCK_KEY, since arguments are visible to other users of the VM.
/// Errors: InvalidArgument with the reason and the usage of the command.
auto parseCommandLine(const std::vector<std::string> &words) -> absl::StatusOr<Command>;

} // namespace poplardock
