#pragma once

#include "Connection/Io/EventLoop.h"

#include <functional>
#include <string>

namespace poplardock {

/// A variable of the test's environment. Thread-safe as long as nothing sets the environment.
auto environmentVariable(const char *name, const std::string &fallback) -> std::string;

/// Where the programs are that tests start: POPLARDOCK_BINARY_FOLDER, or the current folder.
auto binaryFolder() -> std::string;

/// Runs the loop until the condition holds; false when it did not within the time. The condition is asked every few
/// milliseconds.
auto runLoopUntil(EventLoop &loop, const std::function<bool()> &condition, Milliseconds time) -> bool;

} // namespace poplardock
