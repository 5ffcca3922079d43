#include "Support/TestEnvironment.h"

#include <cstdlib>

namespace poplardock {

namespace {

constexpr Milliseconds STEP { 5 };

} // namespace

auto environmentVariable(const char *name, const std::string &fallback) -> std::string
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): nothing sets the environment
    return value == nullptr ? fallback : value;
}

auto binaryFolder() -> std::string
{
    return environmentVariable("POPLARDOCK_BINARY_FOLDER", ".");
}

auto runLoopUntil(EventLoop &loop, const std::function<bool()> &condition, Milliseconds time) -> bool
{
    const BootTime deadline = BootClock::now() + time;
    while (!condition()) {
        if (BootClock::now() >= deadline) {
            return false;
        }
        loop.runUntil(BootClock::now() + STEP);
    }
    return true;
}

} // namespace poplardock
