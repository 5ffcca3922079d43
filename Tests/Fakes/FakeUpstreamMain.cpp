#include "Fakes/FakeUpstream.h"
#include "Process/Signals.h"

#include <cxxopts.hpp>

#include <iostream>

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("fake_upstream", "Stand-in for a model engine and a plain service");
    options.add_options()("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "name", "name in answers", cxxopts::value<std::string>()->default_value("upstream"))(
        "slots", "requests that run at once", cxxopts::value<int>()->default_value("16"))(
        "prefill-ms", "time to the first token", cxxopts::value<double>()->default_value("20"))(
        "token-ms", "time between tokens", cxxopts::value<double>()->default_value("5"))(
        "slowdown", "slowdown for each further running request", cxxopts::value<double>()->default_value("0.02"))(
        "report-lag-ms", "age of load reports", cxxopts::value<int>()->default_value("200"));
    const auto parsed = options.parse(argc, argv);
    poplardock::blockDaemonSignals();
    const auto upstream = poplardock::FakeUpstream::start(parsed["listen"].as<std::string>(),
                                                          { parsed["name"].as<std::string>(),
                                                            parsed["slots"].as<int>(),
                                                            parsed["prefill-ms"].as<double>(),
                                                            parsed["token-ms"].as<double>(),
                                                            parsed["slowdown"].as<double>(),
                                                            parsed["report-lag-ms"].as<int>() });
    if (!upstream.ok()) {
        std::cerr << upstream.status() << '\n';
        return 1;
    }
    std::cout << "listening " << (*upstream)->address() << std::endl;
    while (poplardock::waitForDaemonSignal() != poplardock::DaemonSignal::Terminate) { }
    return 0;
}
