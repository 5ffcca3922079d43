#pragma once

#include "Process/Clock.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace poplardock {

/// One process that a test starts. The destructor kills it and waits for its end.
/// Thread safety: signal() may be called from any thread, the rest from one.
class ChildProcess
{
public:
    struct Command
    {
        std::string program;
        std::vector<std::string> arguments;
        /// Added to the environment of the test.
        std::map<std::string, std::string> environment;
        /// Takes standard output and error, appended.
        std::string outputFile;
    };

    /// Errors: Unavailable when the program cannot be started.
    static auto start(const Command &command) -> absl::StatusOr<std::unique_ptr<ChildProcess>>;
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;
    ChildProcess(ChildProcess &&) = delete;
    auto operator=(ChildProcess &&) -> ChildProcess & = delete;
    ~ChildProcess();

    [[nodiscard]] auto pid() const -> pid_t;
    auto signal(int number) -> void;
    /// Ends the process with SIGKILL and waits for its end.
    auto kill() -> void;
    /// The exit status ("wait status" of waitpid); unset when the process still runs after the limit.
    auto awaitExit(Milliseconds limit) -> std::optional<int>;
    /// The rest of the first output line since the start that begins with the prefix; unset when the process ends or
    /// the limit passes before there is one.
    auto awaitLine(const std::string &prefix, Milliseconds limit) -> std::optional<std::string>;

private:
    ChildProcess(pid_t pid, std::string outputFile, std::streamoff outputStart);

    const pid_t pid_;
    const std::string outputFile_;
    /// An output file is shared by the successive processes of one name.
    const std::streamoff outputStart_;
    std::optional<int> exitStatus_;
};

} // namespace poplardock
