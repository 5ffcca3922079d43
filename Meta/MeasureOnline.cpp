// Measures the online path of one running daemon against the same requests sent straight to its upstream.
// Starts no processes; Meta/measure-online does.

#include "Connection/UpstreamCall.h"
#include "Process/JsonClient.h"

#include <absl/strings/str_cat.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace poplardock {

namespace {

constexpr const char *CHAT_PATH = "/v1/chat/completions";
constexpr Milliseconds CALL_TIMEOUT { 30000 };
/// Direct and routed requests take turns, so that noise of the VM meets both.
constexpr int ROUNDS = 4;
constexpr std::chrono::seconds ROUND_TIME { 5 };
constexpr std::chrono::seconds LOAD_TIME { 6 };

struct Options
{
    std::string upstream;
    std::string daemon;
    std::string key;
    int pid = 0;
    int callers = 64;
    int rate = 500;
    int streams = 300;
};

struct Samples
{
    std::mutex mutex;
    std::vector<double> wholeMs;
    std::vector<double> firstEventMs;
    std::uint64_t failures = 0;
};

auto quantile(std::vector<double> values, double share) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), rank, values.end());
    return *rank;
}

auto millisecondsSince(TimePoint from) -> double
{
    return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

auto chatBody(bool isStream, int tokens) -> std::string
{
    return absl::StrCat(
        R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":)", tokens, R"(,"stream":)", isStream ? "true}" : "false}");
}

auto authorization(const Options &options) -> std::string
{
    return absl::StrCat("Bearer ", options.key);
}

/// Time of the first event in milliseconds since the given start, or nothing when the stream failed.
auto streamOnce(
    const Options &options, const std::string &address, int tokens, TimePoint start, const std::stop_token &stop, std::atomic<int> *opened)
    -> std::optional<double>
{
    Upstream target;
    target.address = address;
    UpstreamRequest request { "POST", CHAT_PATH, { { "Content-Type", "application/json" } }, chatBody(true, tokens), {} };
    target.credential = options.key;
    request.deadline = Clock::now() + std::chrono::minutes(3);
    std::optional<double> firstMs;
    const UpstreamHandlers handlers { {}, [&](std::string_view) {
                                         if (!firstMs) {
                                             firstMs = millisecondsSince(start);
                                             if (opened != nullptr) {
                                                 ++*opened;
                                             }
                                         }
                                         return true;
                                     } };
    const UpstreamResult result = callUpstream(target, request, handlers, stop);
    return std::holds_alternative<UpstreamAnswer>(result) ? firstMs : std::nullopt;
}

/// One caller's part of an open-loop load. Latencies count from the planned time, so a delay of one request is
/// not hidden by sending the next one later. Every other request is a stream.
auto runCaller(const Options &options, const std::string &address, int caller, Samples &samples) -> void
{
    JsonClient client(address);
    const Duration interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 * options.callers / options.rate));
    const TimePoint start = Clock::now();
    TimePoint planned = start + interval * caller / options.callers;
    for (int call = caller; planned < start + ROUND_TIME; ++call, planned += interval) {
        std::this_thread::sleep_until(planned);
        std::optional<double> elapsed;
        const bool isStream = call % 2 == 1;
        if (isStream) {
            elapsed = streamOnce(options, address, 2, planned, {}, nullptr);
        } else {
            const CallResult result
                = client.call({ "POST", CHAT_PATH, chatBody(false, 1), { { "Authorization", authorization(options) } }, CALL_TIMEOUT });
            const auto *answer = std::get_if<HttpResponse>(&result);
            elapsed = answer != nullptr && answer->status == 200 ? std::optional(millisecondsSince(planned)) : std::nullopt;
        }
        const std::lock_guard lock(samples.mutex);
        if (!elapsed) {
            ++samples.failures;
        } else {
            (isStream ? samples.firstEventMs : samples.wholeMs).push_back(*elapsed);
        }
    }
}

auto runRound(const Options &options, const std::string &address, Samples &samples) -> void
{
    std::vector<std::jthread> callers;
    callers.reserve(static_cast<std::size_t>(options.callers));
    for (int caller = 0; caller < options.callers; ++caller) {
        callers.emplace_back([&options, &address, caller, &samples] { runCaller(options, address, caller, samples); });
    }
}

auto printLatency(const char *name, const Samples &samples) -> void
{
    std::printf("%-10s %8zu %9.2f %9.2f %15.2f %15.2f %9llu\n",
                name,
                samples.wholeMs.size() + samples.firstEventMs.size(),
                quantile(samples.wholeMs, 0.5),
                quantile(samples.wholeMs, 0.99),
                quantile(samples.firstEventMs, 0.5),
                quantile(samples.firstEventMs, 0.99),
                static_cast<unsigned long long>(samples.failures));
}

/// Requests per second of a closed loop over a service without work of its own.
auto measureThroughput(const Options &options, const std::string &address) -> double
{
    std::atomic<std::uint64_t> answered = 0;
    const TimePoint start = Clock::now();
    {
        std::vector<std::jthread> callers;
        callers.reserve(static_cast<std::size_t>(options.callers));
        for (int caller = 0; caller < options.callers; ++caller) {
            callers.emplace_back([&] {
                JsonClient client(address);
                while (Clock::now() < start + LOAD_TIME) {
                    const CallResult result
                        = client.call({ "POST", "/echo", "{}", { { "Authorization", authorization(options) } }, CALL_TIMEOUT });
                    const auto *answer = std::get_if<HttpResponse>(&result);
                    answered += answer != nullptr && answer->status == 200 ? 1 : 0;
                }
            });
        }
    }
    return static_cast<double>(answered) / std::chrono::duration<double>(Clock::now() - start).count();
}

auto residentKilobytes(int pid) -> long
{
    std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

auto measureMemory(const Options &options) -> void
{
    const long before = residentKilobytes(options.pid);
    std::stop_source stop;
    std::atomic<int> opened = 0;
    std::vector<std::jthread> callers;
    callers.reserve(static_cast<std::size_t>(options.streams));
    for (int stream = 0; stream < options.streams; ++stream) {
        callers.emplace_back([&] { streamOnce(options, options.daemon, 4096, Clock::now(), stop.get_token(), &opened); });
    }
    const TimePoint limit = Clock::now() + std::chrono::seconds(20);
    while (opened < options.streams && Clock::now() < limit) {
        std::this_thread::sleep_for(Milliseconds(20));
    }
    std::printf("resident memory: %ld MB before, %ld MB with %d open streams\n",
                before / 1024,
                residentKilobytes(options.pid) / 1024,
                opened.load());
    stop.request_stop();
}

auto measure(const Options &options) -> void
{
    Samples direct;
    Samples routed;
    for (int round = 0; round < ROUNDS; ++round) {
        runRound(options, options.upstream, direct);
        runRound(options, options.daemon, routed);
    }
    std::printf("%d requests/s, %d callers, times in ms\n", options.rate, options.callers);
    std::printf("%-10s %8s %9s %9s %15s %15s %9s\n", "path", "answers", "p50", "p99", "first event p50", "first event p99", "failures");
    printLatency("direct", direct);
    printLatency("daemon", routed);
    std::printf("added      %8s %9.2f %9.2f %15.2f %15.2f\n",
                "",
                quantile(routed.wholeMs, 0.5) - quantile(direct.wholeMs, 0.5),
                quantile(routed.wholeMs, 0.99) - quantile(direct.wholeMs, 0.99),
                quantile(routed.firstEventMs, 0.5) - quantile(direct.firstEventMs, 0.5),
                quantile(routed.firstEventMs, 0.99) - quantile(direct.firstEventMs, 0.99));
    const double directRate = measureThroughput(options, options.upstream);
    const double routedRate = measureThroughput(options, options.daemon);
    std::printf("sustained, closed loop: %.0f requests/s direct, %.0f through the daemon\n", directRate, routedRate);
    measureMemory(options);
}

} // namespace

} // namespace poplardock

auto main(int argc, char **argv) -> int
{
    cxxopts::Options parser("MeasureOnline", "Latency, throughput and memory of the online path of one daemon");
    parser.add_options()("upstream", "IP:port of the upstream", cxxopts::value<std::string>())(
        "daemon", "IP:port of the daemon's callers address", cxxopts::value<std::string>())(
        "key", "caller's key", cxxopts::value<std::string>())("pid", "process of the daemon", cxxopts::value<int>())(
        "rate", "requests per second", cxxopts::value<int>()->default_value("500"))(
        "callers", "connections", cxxopts::value<int>()->default_value("64"))(
        "streams", "open streams for the memory figure", cxxopts::value<int>()->default_value("300"));
    try {
        const auto parsed = parser.parse(argc, argv);
        poplardock::Options options;
        options.upstream = parsed["upstream"].as<std::string>();
        options.daemon = parsed["daemon"].as<std::string>();
        options.key = parsed["key"].as<std::string>();
        options.pid = parsed["pid"].as<int>();
        options.rate = parsed["rate"].as<int>();
        options.callers = parsed["callers"].as<int>();
        options.streams = parsed["streams"].as<int>();
        poplardock::measure(options);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n' << parser.help() << '\n';
        return 1;
    }
    return 0;
}
