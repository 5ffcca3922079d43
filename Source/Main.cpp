#include "Process/Log.h"
#include "Process/Settings.h"

#include <cxxopts.hpp>

#include <iostream>

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("poplardock", "Serves online and batch inference on one fleet");
    options.add_options()("version", "print the version")("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("version") != 0) {
        std::cout << "poplardock " << POPLARDOCK_VERSION << '\n';
        return 0;
    }
    std::cout << options.help() << '\n';
    return 0;
}
