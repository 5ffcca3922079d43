// Measures how many batch jobs end by their due time, and the goodput of the worst-served team against its fair
// share, with BatchOrder and with two other orders, at 60, 90 and 110% load. Simulated time; no processes.

#include "Request/BatchOrder.h"

#include <absl/strings/str_cat.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace poplardock {

namespace {

using Ms = std::chrono::milliseconds;

constexpr int STREAMS = 32;
constexpr double ITEM_SECONDS = 8;
constexpr double HOURS = 8;
/// Two of the eight teams are large and send most of the items.
constexpr double TEAM_WEIGHTS[] = { 30, 20, 2, 2, 2, 1, 1, 1 };
constexpr int TEAMS = 8;

enum class Order
{
    FirstCome,
    SlackOnly,
    BatchOrder,
};

auto nameOf(Order order) -> const char *
{
    switch (order) {
    case Order::FirstCome:
        return "first come";
    case Order::SlackOnly:
        return "slack only";
    case Order::BatchOrder:
        return "BatchOrder";
    }
    return "";
}

struct Job
{
    std::string id;
    int team = 0;
    Ms arrival { 0 };
    Ms due { 0 };
    int items = 0;
    int started = 0;
    int done = 0;
    int doneInTime = 0;
    Ms end { 0 };
};

auto teamName(int team) -> std::string
{
    return absl::StrCat("team-", team);
}

/// Jobs with a load that is the given part of what the streams can run.
auto makeJobs(double load, std::uint64_t seed) -> std::vector<Job>
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> when(0, HOURS * 3600);
    std::uniform_real_distribution<double> patience(0.25, 2);
    std::lognormal_distribution<double> size(4, 1);
    std::discrete_distribution<int> team(std::begin(TEAM_WEIGHTS), std::end(TEAM_WEIGHTS));
    const double capacity = STREAMS / ITEM_SECONDS * HOURS * 3600;
    std::vector<Job> jobs;
    for (double items = 0; items < load * capacity;) {
        Job job;
        job.id = absl::StrCat("job-", jobs.size());
        job.team = team(random);
        job.arrival = Ms(static_cast<std::int64_t>(1000 * when(random)));
        job.items = std::max(1, static_cast<int>(size(random)));
        job.due = job.arrival + Ms(static_cast<std::int64_t>(3600e3 * patience(random)));
        items += job.items;
        jobs.push_back(std::move(job));
    }
    std::sort(jobs.begin(), jobs.end(), [](const Job &left, const Job &right) { return left.arrival < right.arrival; });
    return jobs;
}

/// Max-min fair division of the capacity over the demands.
auto fairShares(std::map<int, double> demands, double capacity) -> std::map<int, double>
{
    std::map<int, double> shares;
    while (!demands.empty()) {
        const double part = capacity / static_cast<double>(demands.size());
        const auto least = std::min_element(
            demands.begin(), demands.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        const double given = std::min(least->second, part);
        shares[least->first] = given;
        capacity -= given;
        demands.erase(least);
    }
    return shares;
}

class Simulation
{
public:
    Simulation(std::vector<Job> jobs, Order order, std::uint64_t seed)
        : jobs_(std::move(jobs))
        , order_(order)
        , random_(seed)
    {
    }

    auto run() -> void
    {
        std::size_t next = 0;
        int running = 0;
        const Ms horizon(static_cast<std::int64_t>(3600e3 * HOURS));
        while (next < jobs_.size() || !ends_.empty()) {
            const bool isArrival = next < jobs_.size() && (ends_.empty() || jobs_[next].arrival <= ends_.top().first);
            now_ = isArrival ? jobs_[next].arrival : ends_.top().first;
            if (isArrival) {
                open_.push_back(next++);
            } else {
                finish(ends_.top().second, horizon);
                ends_.pop();
                --running;
            }
            while (running < STREAMS && startNext()) {
                ++running;
            }
        }
    }

    auto print(double load) const -> void
    {
        int inTime = 0;
        std::map<int, double> demand;
        for (const Job &job : jobs_) {
            inTime += job.end <= job.due ? 1 : 0;
            demand[job.team] += job.items;
        }
        const auto fair = fairShares(demand, STREAMS / ITEM_SECONDS * HOURS * 3600);
        double worst = 1;
        for (const auto &[team, share] : fair) {
            const auto good = goodput_.find(team);
            worst = std::min(worst, (good == goodput_.end() ? 0 : good->second) / share);
        }
        std::cout << std::setw(5) << static_cast<int>(100 * load) << "%  " << std::left << std::setw(12) << nameOf(order_) << std::right
                  << std::setw(6) << jobs_.size() << std::setw(11) << std::fixed << std::setprecision(1)
                  << 100.0 * inTime / static_cast<double>(jobs_.size()) << "%" << std::setw(17) << std::setprecision(2) << worst << '\n';
    }

private:
    auto startNext() -> bool
    {
        const Job *chosen = nullptr;
        if (order_ == Order::FirstCome && !open_.empty()) {
            chosen = &jobs_[open_.front()];
        } else {
            std::vector<JobCandidate> candidates;
            for (const std::size_t index : open_) {
                const Job &job = jobs_[index];
                const Ms remaining(static_cast<std::int64_t>(1000 * ITEM_SECONDS * (job.items - job.done) / STREAMS));
                candidates.push_back({ std::to_string(index), teamName(job.team), WallTime(job.due), remaining });
            }
            if (candidates.empty()) {
                return false;
            }
            const auto bySlack = [this](const JobCandidate &left, const JobCandidate &right) {
                return BatchOrder::slackOf(left, WallTime(now_)) < BatchOrder::slackOf(right, WallTime(now_));
            };
            const JobCandidate first = order_ == Order::SlackOnly ? *std::min_element(candidates.begin(), candidates.end(), bySlack)
                                                                  : BatchOrder::sorted(candidates, runningByTeam_, WallTime(now_)).front();
            chosen = &jobs_[std::stoul(first.job)];
        }
        if (chosen == nullptr) {
            return false;
        }
        const auto index = static_cast<std::size_t>(chosen - jobs_.data());
        Job &job = jobs_[index];
        ++job.started;
        ++runningByTeam_[teamName(job.team)];
        if (job.started == job.items) {
            std::erase(open_, index);
        }
        std::uniform_real_distribution<double> seconds(0.5 * ITEM_SECONDS, 1.5 * ITEM_SECONDS);
        ends_.emplace(now_ + Ms(static_cast<std::int64_t>(1000 * seconds(random_))), index);
        return true;
    }

    auto finish(std::size_t index, Ms horizon) -> void
    {
        Job &job = jobs_[index];
        --runningByTeam_[teamName(job.team)];
        ++job.done;
        job.end = now_;
        // Goodput: items that ended within the measured hours and by their job's due time.
        goodput_[job.team] += now_ <= horizon && now_ <= job.due ? 1 : 0;
    }

    using End = std::pair<Ms, std::size_t>;

    std::vector<Job> jobs_;
    Order order_;
    std::mt19937_64 random_;
    Ms now_ { 0 };
    std::vector<std::size_t> open_;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
    std::map<std::string, std::int64_t> runningByTeam_;
    std::map<int, double> goodput_;
};

} // namespace

} // namespace poplardock

auto main(int argc, char **argv) -> int
{
    using namespace poplardock;
    cxxopts::Options options("MeasureFairness", "Jobs by their due time, and the worst-served team");
    options.add_options()("seed", "seed of the jobs", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto seed = options.parse(argc, argv)["seed"].as<std::uint64_t>();
    std::cout << "seed " << seed << "\n load  order         jobs  by due time  worst team/fair\n";
    for (const double load : { 0.6, 0.9, 1.1 }) {
        for (const Order order : { Order::FirstCome, Order::SlackOnly, Order::BatchOrder }) {
            Simulation simulation(makeJobs(load, seed), order, seed);
            simulation.run();
            simulation.print(load);
        }
    }
    return 0;
}
