// Measures batch throughput against online latency with no batch, without control, with a fixed share and with
// BatchShare. Fake engines of speeds that differ by a factor of 4 serve online arrivals with bursts of 5 times the
// base rate. The home of an upstream sees one daemon's share of the online requests and lagging load reports; the
// other daemons send it a yield when one of their requests waits.

#include "Connection/UpstreamCall.h"
#include "Fakes/FakeUpstream.h"
#include "Process/BatchLimiter.h"

#include <absl/strings/numbers.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace poplardock {

namespace {

constexpr std::array<double, 4> SLOWNESS = { 1, 1.6, 2.5, 4 };
constexpr int SLOTS = 16;
constexpr double PREFILL_MS = 40;
constexpr double TOKEN_MS = 10;
constexpr int DAEMONS = 4;
constexpr int ONLINE_TOKENS = 20;
constexpr int BATCH_TOKENS = 40;
constexpr double BURST_FACTOR = 5;
constexpr double BURST_EVERY_SECONDS = 8;
constexpr double BURST_SECONDS = 2;
/// Streams per upstream without control: more than its slots, so that it is never idle.
constexpr int UNCONTROLLED_STREAMS = 24;
constexpr int FIXED_STREAMS = SLOTS / 2;
constexpr double TARGET_MS = 500;
constexpr Milliseconds TICK { 20 };
constexpr Milliseconds POLL { 1000 };
constexpr Milliseconds YIELD_EVERY { 100 };
constexpr Milliseconds RECENT { 3000 };
/// A request counts as waiting when its first token takes this many times as long as on the idle engine.
constexpr double WAIT_FACTOR = 1.5;

enum class Mode
{
    NoBatch,
    NoControl,
    FixedShare,
    Adaptive,
};

auto nameOf(Mode mode) -> const char *
{
    switch (mode) {
    case Mode::NoBatch:
        return "no batch";
    case Mode::NoControl:
        return "no control";
    case Mode::FixedShare:
        return "fixed share";
    case Mode::Adaptive:
        return "adaptive share";
    }
    return "";
}

auto quantile(std::vector<double> values, double fraction) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

auto requestOf(int tokens) -> UpstreamRequest
{
    UpstreamRequest request;
    request.path = "/v1/chat/completions";
    request.body = absl::StrCat(R"({"stream":true,"max_tokens":)", tokens, R"(,"messages":[{"role":"user","content":"x"}]})");
    request.deadline = Clock::now() + std::chrono::minutes(2);
    return request;
}

auto millisecondsSince(TimePoint start) -> double
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

/// Latencies of online requests, and what is counted of batch items.
struct Figures
{
    std::mutex mutex;
    std::vector<double> firstTokens;
    std::vector<double> gaps;
    std::atomic<int> batchItems = 0;
    std::atomic<int> droppedItems = 0;
};

/// One upstream and the batch part of its home.
class Site
{
public:
    Site(double slowness, double slowdown, Mode mode, BatchLimiter::Tuning tuning, Figures &figures)
        : slowness_(slowness)
        , mode_(mode)
        , share_(tuning)
        , figures_(figures)
    {
        FakeUpstream::Options options;
        options.slots = SLOTS;
        options.slowdownPerRequest = slowdown;
        options.prefillMs = PREFILL_MS * slowness;
        options.tokenMs = TOKEN_MS * slowness;
        fake_ = *FakeUpstream::start("127.0.0.1:0", options);
        upstream_.address = fake_->address();
        control_ = std::jthread([this](const std::stop_token &stop) { controlLoop(stop); });
    }

    Site(const Site &) = delete;
    auto operator=(const Site &) -> Site & = delete;
    Site(Site &&) = delete;
    auto operator=(Site &&) -> Site & = delete;

    ~Site()
    {
        control_ = {};
        {
            const std::lock_guard lock(mutex_);
            for (const auto &run : runs_) {
                run->stop.request_stop();
            }
        }
        while (threads_ > 0) {
            std::this_thread::sleep_for(TICK);
        }
    }

    /// Online requests of the home that are in flight here.
    [[nodiscard]] auto ownInFlight() const -> int
    {
        return ownInFlight_;
    }

    auto setOnlineExpected(double count) -> void
    {
        onlineExpected_ = count;
    }

    [[nodiscard]] auto expectedWork() const -> double
    {
        return slowness_ * (1 + inFlight_);
    }

    /// Runs one online request; "isHome" tells whether it came to the home of the upstream.
    auto serveOnline(bool isHome) -> void
    {
        ++inFlight_;
        ownInFlight_ += isHome ? 1 : 0;
        const TimePoint start = Clock::now();
        {
            const std::lock_guard lock(mutex_);
            waitingSince_.push_back({ start, isHome });
        }
        std::vector<double> gaps;
        double firstToken = 0;
        TimePoint last = start;
        UpstreamHandlers handlers;
        handlers.onData = [&](std::string_view) {
            if (firstToken == 0) {
                firstToken = millisecondsSince(start);
                endWait(start, isHome, firstToken);
            } else {
                gaps.push_back(millisecondsSince(last));
            }
            last = Clock::now();
            return true;
        };
        callUpstream(upstream_, requestOf(ONLINE_TOKENS), handlers, {});
        --inFlight_;
        ownInFlight_ -= isHome ? 1 : 0;
        const std::lock_guard lock(figures_.mutex);
        figures_.firstTokens.push_back(firstToken);
        figures_.gaps.insert(figures_.gaps.end(), gaps.begin(), gaps.end());
    }

private:
    struct Run
    {
        std::stop_source stop;
    };
    struct Wait
    {
        TimePoint since;
        bool isHome = false;
    };

    auto endWait(TimePoint start, bool isHome, double firstToken) -> void
    {
        const std::lock_guard lock(mutex_);
        const auto found
            = std::find_if(waitingSince_.begin(), waitingSince_.end(), [start](const Wait &wait) { return wait.since == start; });
        if (found != waitingSince_.end()) {
            waitingSince_.erase(found);
        }
        if (isHome) {
            recent_.emplace_back(Clock::now(), firstToken);
        }
    }

    auto controlLoop(const std::stop_token &stop) -> void
    {
        while (!stop.stop_requested()) {
            const TimePoint now = Clock::now();
            if (mode_ == Mode::Adaptive && now >= nextPollAt_) {
                poll();
                nextPollAt_ = now + POLL;
            }
            {
                const std::lock_guard lock(mutex_);
                step(now);
            }
            std::this_thread::sleep_for(TICK);
        }
    }

    auto poll() -> void
    {
        UpstreamRequest request;
        request.method = "GET";
        request.path = "/load";
        request.deadline = Clock::now() + POLL;
        const auto result = callUpstream(upstream_, request, {}, {});
        if (const auto *answer = std::get_if<UpstreamAnswer>(&result)) {
            const auto report = Json::parseObject(answer->body);
            load_.running = (*report)->optValue("running", 0);
            load_.waiting = (*report)->optValue("waiting", 0);
        }
    }

    auto step(TimePoint now) -> void
    {
        int limit = 0;
        if (mode_ == Mode::Adaptive) {
            while (!recent_.empty() && now - recent_.front().first > RECENT) {
                recent_.pop_front();
            }
            std::vector<double> values;
            for (const auto &entry : recent_) {
                values.push_back(entry.second);
            }
            load_.onlineInFlight = ownInFlight_;
            load_.onlineExpected = onlineExpected_;
            load_.onlineFirstTokenP95Ms = quantile(std::move(values), 0.95);
            drop(share_.update(now, load_, static_cast<int>(runs_.size()), TARGET_MS));
            const auto isLate = [&](const Wait &wait) {
                return std::chrono::duration<double, std::milli>(now - wait.since).count() > WAIT_FACTOR * PREFILL_MS * slowness_;
            };
            if (now >= nextYieldAt_ && std::any_of(waitingSince_.begin(), waitingSince_.end(), isLate)) {
                nextYieldAt_ = now + YIELD_EVERY;
                drop(share_.preempt(now, static_cast<int>(runs_.size())));
            }
            limit = share_.limit();
        } else {
            limit = mode_ == Mode::NoControl ? UNCONTROLLED_STREAMS : mode_ == Mode::FixedShare ? FIXED_STREAMS : 0;
        }
        while (static_cast<int>(runs_.size()) < limit) {
            startRun();
        }
    }

    auto drop(int count) -> void
    {
        for (auto run = runs_.rbegin(); run != runs_.rend() && count > 0; ++run) {
            if (!(*run)->stop.stop_requested()) {
                (*run)->stop.request_stop();
                --count;
            }
        }
    }

    auto startRun() -> void
    {
        auto run = std::make_shared<Run>();
        runs_.push_back(run);
        ++threads_;
        std::thread([this, run] {
            const auto result = callUpstream(upstream_, requestOf(BATCH_TOKENS), {}, run->stop.get_token());
            ++(std::holds_alternative<UpstreamAnswer>(result) ? figures_.batchItems : figures_.droppedItems);
            {
                const std::lock_guard lock(mutex_);
                std::erase(runs_, run);
            }
            --threads_;
        }).detach();
    }

    const double slowness_;
    const Mode mode_;
    BatchLimiter share_;
    Figures &figures_;
    std::unique_ptr<FakeUpstream> fake_;
    Upstream upstream_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<Run>> runs_;
    std::vector<Wait> waitingSince_;
    std::deque<std::pair<TimePoint, double>> recent_;
    ObservedLoad load_;
    TimePoint nextPollAt_;
    TimePoint nextYieldAt_;
    std::atomic<int> inFlight_ = 0;
    std::atomic<int> ownInFlight_ = 0;
    std::atomic<double> onlineExpected_ = 0;
    std::atomic<int> threads_ = 0;
    std::jthread control_;
};

/// The load of a run.
struct Arrivals
{
    std::uint64_t seed = 1;
    double basePerSecond = 0;
    /// Share by which each further running request lengthens all times of an engine.
    double slowdown = 0;
};

struct Row
{
    double batchPerSecond = 0;
    double firstTokenP95 = 0;
};

auto runMode(Mode mode, double seconds, const Arrivals &arrivals, BatchLimiter::Tuning tuning) -> Row
{
    Figures figures;
    std::vector<std::unique_ptr<Site>> sites;
    sites.reserve(SLOWNESS.size());
    for (const double slowness : SLOWNESS) {
        sites.push_back(std::make_unique<Site>(slowness, arrivals.slowdown, mode, tuning, figures));
    }
    std::jthread observer([&sites](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            int own = 0;
            for (const auto &site : sites) {
                own += site->ownInFlight();
            }
            for (const auto &site : sites) {
                site->setOnlineExpected(static_cast<double>(own * DAEMONS) / static_cast<double>(sites.size()));
            }
            std::this_thread::sleep_for(TICK / 2);
        }
    });
    std::mt19937_64 random(arrivals.seed);
    std::uniform_int_distribution<std::size_t> pick(0, sites.size() - 1);
    std::uniform_int_distribution<int> pickDaemon(0, DAEMONS - 1);
    std::vector<std::thread> requests;
    const TimePoint start = Clock::now();
    TimePoint next = start;
    // The share starts at one; the first burst comes after it has had time to grow.
    while (next - start < std::chrono::duration<double>(seconds)) {
        std::this_thread::sleep_until(next);
        Site &first = *sites[pick(random)];
        Site &second = *sites[pick(random)];
        Site &chosen = first.expectedWork() <= second.expectedWork() ? first : second;
        const bool isHome = pickDaemon(random) == 0;
        requests.emplace_back([&chosen, isHome] { chosen.serveOnline(isHome); });
        const double phase = std::fmod(std::chrono::duration<double>(next - start).count(), BURST_EVERY_SECONDS);
        const bool isBurst = phase >= BURST_EVERY_SECONDS - BURST_SECONDS;
        std::exponential_distribution<double> gap(arrivals.basePerSecond * (isBurst ? BURST_FACTOR : 1));
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
    }
    const double elapsed = millisecondsSince(start) / 1000;
    const int batchItems = figures.batchItems;
    const int dropped = figures.droppedItems;
    for (std::thread &request : requests) {
        request.join();
    }
    observer = {};
    sites.clear();
    const Row row { batchItems / elapsed, quantile(figures.firstTokens, 0.95) };
    std::cout << std::left << std::setw(15) << nameOf(mode) << std::right << std::fixed << std::setprecision(1) << std::setw(8)
              << row.batchPerSecond << std::setw(8) << dropped << std::setw(9) << figures.firstTokens.size();
    for (const auto *values : { &figures.firstTokens, &figures.gaps }) {
        for (const double fraction : { 0.50, 0.95, 0.99 }) {
            std::cout << std::setw(8) << quantile(*values, fraction);
        }
    }
    std::cout << '\n';
    return row;
}

auto measure(const cxxopts::ParseResult &options) -> void
{
    const auto seconds = options["seconds"].as<double>();
    const Arrivals arrivals { options["seed"].as<std::uint64_t>(), options["base"].as<double>(), options["slowdown"].as<double>() };
    BatchLimiter::Tuning tuning;
    tuning.increase = options["increase"].as<double>();
    tuning.decreaseFactor = options["decrease"].as<double>();
    tuning.keptFraction = options["kept"].as<double>();
    tuning.reserve = options["reserve"].as<double>();
    tuning.holdOff = Milliseconds(static_cast<std::int64_t>(options["hold-off"].as<double>()));
    std::cout << "seed " << arrivals.seed << ", " << seconds << " s for each mode, " << arrivals.basePerSecond << " online requests/s, "
              << BURST_FACTOR << " x in bursts, slowdown " << arrivals.slowdown << " per request\n"
              << "mode             batch/s dropped   online  first token p50 p95 p99 ms  token gap p50 p95 p99 ms\n";
    std::map<Mode, Row> rows;
    for (const Mode mode : { Mode::NoBatch, Mode::NoControl, Mode::FixedShare, Mode::Adaptive }) {
        if (options["only"].as<std::string>().empty() || options["only"].as<std::string>() == nameOf(mode)) {
            rows[mode] = runMode(mode, seconds, arrivals, tuning);
        }
    }
    const Row &adaptive = rows[Mode::Adaptive];
    std::cout << std::setprecision(2) << "adaptive: first token p95 is " << adaptive.firstTokenP95 / rows[Mode::NoBatch].firstTokenP95
              << " x no batch (target 1.10), batch throughput is " << adaptive.batchPerSecond / rows[Mode::NoControl].batchPerSecond
              << " x no control (target 0.80)\n";
}

} // namespace

} // namespace poplardock

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("MeasureBatch", "Batch throughput against online latency");
    options.add_options()("seed", "seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("base", "online requests per second outside bursts", cxxopts::value<double>()->default_value("16"));
    options.add_options()("slowdown", "slowdown of the engines per running request", cxxopts::value<double>()->default_value("0.02"));
    const poplardock::BatchLimiter::Tuning tuning;
    const auto add = [&options](const char *name, double value) {
        options.add_options()(name, "as in BatchShare::Tuning", cxxopts::value<double>()->default_value(std::to_string(value)));
    };
    add("increase", tuning.increase);
    add("decrease", tuning.decreaseFactor);
    add("kept", tuning.keptFraction);
    add("reserve", tuning.reserve);
    add("hold-off", static_cast<double>(tuning.holdOff.count()));
    options.add_options()("only", "name of the one mode to run", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("seconds", "length of each mode", cxxopts::value<double>()->default_value("24"));
    poplardock::measure(options.parse(argc, argv));
    return 0;
}
