#pragma once

#include "Process/CommandLine.h"

#include <functional>

namespace poplardock {

/// Exit codes of the program.
constexpr int EXIT_DONE = 0;
/// The daemon refused the call, or could not be reached.
constexpr int EXIT_REFUSED = 1;
/// The command line, the settings or an input file are invalid.
constexpr int EXIT_INVALID = 2;

/// Runs a command and returns the exit code. Answers go to standard output, errors to standard error.
/// Commands of the platform are run by the given function, since the product does not depend on the platform.
/// Precondition: termination signals are blocked in this thread.
auto runCommand(const Command &command, const std::function<int(const PlatformCommand &)> &runOnPlatform) -> int;

} // namespace poplardock
