#include "Process/CommandLine.h"
#include "Process/CommandRunner.h"
#include "Process/Signals.h"
#include "platform/PlatformCommands.h"

#include <iostream>

auto main(int argc, char **argv) -> int
{
    using namespace poplardock;
    blockDaemonSignals();
    const auto command = parseCommandLine({ argv + 1, argv + argc });
    if (!command.ok()) {
        std::cerr << command.status().message() << '\n';
        return EXIT_INVALID;
    }
    return runCommand(*command, platform::run);
}
