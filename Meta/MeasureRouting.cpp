// Compares ways to choose an upstream over the same arrivals: at random, by least own work in flight, and by
// the design's choice. The upstreams have mixed speeds and lagging load reports; for a part of each run one is
// 10 times slower and one is dead.

#include "Connection/UpstreamCall.h"
#include "Fakes/FakeUpstream.h"
#include "Process/Log.h"
#include "Process/UpstreamTable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <thread>

namespace poplardock {

namespace {

constexpr std::uint64_t SEED = 20;
constexpr int DAEMONS = 4;
constexpr int WORKERS = 400;
constexpr double REQUESTS_PER_SECOND = 500;
constexpr double RUN_SECONDS = 14;
constexpr double SLOW_FROM = 3;
constexpr double SLOW_UNTIL = 6;
constexpr double DEAD_FROM = 8;
constexpr double DEAD_UNTIL = 11;
constexpr int MAXIMUM_ATTEMPTS = 3;
constexpr double PREFILL_MS[] = { 8, 8, 16, 16, 32, 32, 64, 64 };
constexpr std::size_t SLOWED = 1;
constexpr std::size_t DYING = 2;

enum class Policy
{
    Random,
    LeastInFlight,
    Design,
};

struct Totals
{
    std::mutex mutex;
    std::vector<double> latencies;
    std::uint64_t failed = 0;
    /// Attempts that got no whole answer.
    std::uint64_t lostAttempts = 0;
    std::uint64_t attempts = 0;
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

/// The upstreams of one run, and one table for each of the daemons that share them.
class Fleet
{
public:
    Fleet()
    {
        FleetVersion version;
        version.revision = 1;
        Configuration::Data data;
        for (const double prefillMs : PREFILL_MS) {
            options_.push_back({ .slots = 8, .prefillMs = prefillMs, .tokenMs = prefillMs / 4, .reportLagMs = 300 });
            fakes_.push_back(*FakeUpstream::start("127.0.0.1:0", options_.back()));
            addresses_.push_back(fakes_.back()->address());
            const std::string name = absl::StrCat("u", data.upstreams.size());
            data.upstreams.push_back({ name, addresses_.back(), "g", UpstreamKind::Model, { "m" }, {}, "dc", false });
        }
        version.configuration = *Configuration::create(std::move(data));
        state_.install(std::make_shared<const FleetVersion>(std::move(version)), Clock::now());
        for (int daemon = 0; daemon < DAEMONS; ++daemon) {
            tables_.push_back(std::make_unique<UpstreamTable>(state_));
            tables_.back()->startPolling();
        }
        version_ = state_.current();
        upstreams_ = version_->configuration.upstreamsOfModel("m");
    }

    auto tableOf(std::size_t request) -> UpstreamTable &
    {
        return *tables_[request % tables_.size()];
    }

    [[nodiscard]] auto upstreams() const -> const std::vector<const Upstream *> &
    {
        return upstreams_;
    }

    auto setSlow(bool isSlow) -> void
    {
        fakes_[SLOWED]->setFaults(isSlow ? R"({"slow_factor":10})" : R"({"slow_factor":1})").IgnoreError();
    }

    auto setDead(bool isDead) -> void
    {
        fakes_[DYING].reset();
        if (!isDead) {
            fakes_[DYING] = *FakeUpstream::start(addresses_[DYING], options_[DYING]);
        }
    }

private:
    std::vector<FakeUpstream::Options> options_;
    std::vector<std::unique_ptr<FakeUpstream>> fakes_;
    std::vector<std::string> addresses_;
    FleetState state_ { "d1" };
    FleetVersionPointer version_;
    std::vector<const Upstream *> upstreams_;
    std::vector<std::unique_ptr<UpstreamTable>> tables_;
};

auto choose(Policy policy,
            UpstreamTable &table,
            const std::vector<const Upstream *> &upstreams,
            const std::set<std::string> &tried,
            std::uint64_t random) -> const Upstream *
{
    if (policy == Policy::Design) {
        return table.choose(upstreams, tried, Clock::now());
    }
    std::vector<const Upstream *> usable;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(usable), [&tried](const Upstream *upstream) {
        return !tried.contains(upstream->name);
    });
    std::rotate(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(random % usable.size()), usable.end());
    if (policy == Policy::Random) {
        return usable.front();
    }
    return *std::min_element(usable.begin(), usable.end(), [&table](const Upstream *a, const Upstream *b) {
        return table.snapshotOf(a->name).ownOnline < table.snapshotOf(b->name).ownOnline;
    });
}

auto attempt(UpstreamTable &table, const Upstream &upstream) -> bool
{
    InFlightRequest work(table, upstream.name, WorkKind::Online);
    UpstreamRequest request { "POST",
                              "/v1/chat/completions",
                              { { "Content-Type", "application/json" } },
                              R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":4})",
                              Clock::now() + std::chrono::seconds(30) };
    const TimePoint start = Clock::now();
    const UpstreamResult result = callUpstream(upstream, request, {}, {});
    const auto *answer = std::get_if<UpstreamAnswer>(&result);
    if (answer == nullptr) {
        work.setOutcome({ true, {}, {} });
        return false;
    }
    const auto found = answer->head.headers.find("Load-Report");
    if (const auto report = parseLoadReport(found == answer->head.headers.end() ? std::string() : found->second)) {
        table.recordReport(upstream.name, *report, Clock::now());
    }
    work.setOutcome({ false, {}, millisecondsSince(start) });
    return true;
}

auto runRequest(Policy policy, Fleet &fleet, std::size_t index, TimePoint planned, Totals &totals) -> void
{
    UpstreamTable &table = fleet.tableOf(index);
    std::mt19937_64 random(SEED + index);
    std::set<std::string> tried;
    bool isAnswered = false;
    while (!isAnswered && tried.size() < MAXIMUM_ATTEMPTS) {
        const Upstream *upstream = choose(policy, table, fleet.upstreams(), tried, random());
        tried.insert(upstream->name);
        isAnswered = attempt(table, *upstream);
    }
    const std::lock_guard lock(totals.mutex);
    totals.attempts += tried.size();
    totals.lostAttempts += tried.size() - (isAnswered ? 1 : 0);
    if (isAnswered) {
        totals.latencies.push_back(millisecondsSince(planned));
    } else {
        ++totals.failed;
    }
}

auto runPolicy(Policy policy, const char *name, const std::vector<double> &arrivals) -> void
{
    Fleet fleet;
    Totals totals;
    std::atomic<std::size_t> next = 0;
    const TimePoint start = Clock::now();
    const auto at = [start](double seconds) {
        return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    };
    const std::jthread faults([&] {
        std::this_thread::sleep_until(at(SLOW_FROM));
        fleet.setSlow(true);
        std::this_thread::sleep_until(at(SLOW_UNTIL));
        fleet.setSlow(false);
        std::this_thread::sleep_until(at(DEAD_FROM));
        fleet.setDead(true);
        std::this_thread::sleep_until(at(DEAD_UNTIL));
        fleet.setDead(false);
    });
    {
        std::vector<std::jthread> workers;
        workers.reserve(WORKERS);
        for (int worker = 0; worker < WORKERS; ++worker) {
            workers.emplace_back([&] {
                for (std::size_t index = next++; index < arrivals.size(); index = next++) {
                    std::this_thread::sleep_until(at(arrivals[index]));
                    runRequest(policy, fleet, index, at(arrivals[index]), totals);
                }
            });
        }
    }
    std::printf("%-16s %8zu %9.1f %9.1f %9.1f %8llu %14.2f\n",
                name,
                totals.latencies.size(),
                quantile(totals.latencies, 0.5),
                quantile(totals.latencies, 0.95),
                quantile(totals.latencies, 0.99),
                static_cast<unsigned long long>(totals.failed),
                100.0 * static_cast<double>(totals.lostAttempts) / static_cast<double>(totals.attempts));
    std::fflush(stdout);
}

auto measure() -> void
{
    std::mt19937_64 random(SEED);
    std::exponential_distribution<double> gap(REQUESTS_PER_SECOND);
    std::vector<double> arrivals;
    for (double at = gap(random); at < RUN_SECONDS; at += gap(random)) {
        arrivals.push_back(at);
    }
    std::printf("%.0f requests/s over %zu upstreams and %d daemons, seed %llu, times in ms\n",
                REQUESTS_PER_SECOND,
                std::size(PREFILL_MS),
                DAEMONS,
                static_cast<unsigned long long>(SEED));
    std::printf("%-16s %8s %9s %9s %9s %8s %14s\n", "choice", "answers", "p50", "p95", "p99", "failed", "lost work in %");
    runPolicy(Policy::Random, "random", arrivals);
    runPolicy(Policy::LeastInFlight, "least in flight", arrivals);
    runPolicy(Policy::Design, "two, by load", arrivals);
}

} // namespace

} // namespace poplardock

auto main() -> int
{
    // The death of an upstream is part of the run.
    poplardock::Log::configure("error").IgnoreError();
    poplardock::measure();
    return 0;
}
