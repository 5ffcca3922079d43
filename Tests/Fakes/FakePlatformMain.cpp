#include "Fakes/FakePlatform.h"
#include "Process/Signals.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("fake_platform", "Stand-in for the platform's object store and VM list");
    options.add_options()("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    const auto parsed = options.parse(argc, argv);
    poplardock::blockDaemonSignals();
    const auto platform = poplardock::FakePlatform::start(parsed["listen"].as<std::string>());
    if (!platform.ok()) {
        std::cerr << platform.status() << '\n';
        return 1;
    }
    std::cout << "listening " << (*platform)->address() << std::endl;
    while (poplardock::waitForDaemonSignal() != poplardock::DaemonSignal::Terminate) { }
    return 0;
}
