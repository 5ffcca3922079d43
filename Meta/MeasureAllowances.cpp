// Compares ways to share a team's allowance over the same arrivals, by an event-driven calculation over the
// classes that the daemon uses. See "Allowances" in docs/design.md.

#include "Process/AllowanceAccount.h"
#include "Process/AllowanceHome.h"
#include "Process/BorrowedTokens.h"
#include "Version/MemberTable.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace poplardock {

namespace {

/// Share of the rate that steady teams use.
constexpr double LOAD = 0.7;
constexpr Milliseconds TICK { 100 };
/// Round trip between data centres of one region (design page, section 1).
constexpr std::chrono::microseconds ROUND_TRIP { 3000 };
/// Time until a killed daemon is removed from the member table (REMOVAL_WAIT in the design page).
constexpr Milliseconds REMOVAL_WAIT { 10000 };
/// HTTP heads of a request and its answer as POCO writes them.
constexpr std::size_t HEAD_BYTES = 285;

struct Arrival
{
    TimePoint at;
    std::size_t team = 0;
    std::size_t daemon = 0;
};

struct Scenario
{
    std::string name;
    std::size_t daemons = 8;
    double seconds = 60;
    std::vector<Team> teams;
    std::vector<Arrival> arrivals;
    /// The home of team 0 dies at this time.
    std::optional<TimePoint> killedAt;
};

enum class Scheme
{
    Split,
    AskHome,
    Loans,
    Relay,
    Chosen,
};

struct Counts
{
    double admitted = 0;
    double idealAdmitted = 0;
    /// Requests that the ideal bucket admits and the scheme refuses.
    double refusedWithin = 0;
    double overLimit = 0;
    double messages = 0;
    double bytes = 0;
    double roundTrips = 0;
    double relayed = 0;
};

auto secondsFromStart(double seconds) -> TimePoint
{
    return TimePoint(std::chrono::hours(1)) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto fullBucket(RegionAllowance limit) -> AllowanceBucket
{
    return { limit, limit.burst, secondsFromStart(0) };
}

/// One scheme over one scenario.
class Run
{
public:
    Run(const Scenario &scenario, Scheme scheme)
        : scenario_(scenario)
        , scheme_(scheme)
    {
        for (std::size_t index = 0; index < scenario.daemons; ++index) {
            members_ = members_.with({ absl::StrCat("d", index), "a:1", {}, {}, 1, "i", {} });
        }
        for (const Team &team : scenario.teams) {
            const RegionAllowance limit = regionAllowance(team, { "" }, "");
            ideal_.push_back(fullBucket(limit));
            meters_.push_back(fullBucket(limit));
            accounts_.emplace_back(fullBucket(limit));
            homes_.push_back(std::stoul(members_.homeOf(team.name, "")->name.substr(1)));
        }
        deadDaemon_ = homes_.front();
        if (scheme == Scheme::Split) {
            makeSplit(scenario.daemons, 1, secondsFromStart(0));
        }
    }

    auto play() -> Counts
    {
        TimePoint tick = secondsFromStart(0);
        for (const Arrival &arrival : scenario_.arrivals) {
            for (; tick <= arrival.at; tick += TICK) {
                maintain(tick);
            }
            const bool isAdmitted = decide(arrival);
            const bool isWithin = ideal_[arrival.team].tryAcquire(arrival.at);
            counts_.admitted += isAdmitted ? 1 : 0;
            counts_.idealAdmitted += isWithin ? 1 : 0;
            counts_.refusedWithin += isWithin && !isAdmitted ? 1 : 0;
            counts_.overLimit += isAdmitted && !meters_[arrival.team].tryAcquire(arrival.at) ? 1 : 0;
        }
        return counts_;
    }

private:
    struct Pair
    {
        BorrowedTokens tokens;
        /// End of the borrow in flight.
        TimePoint busyUntil;
    };

    /// The part of a team's limit that each of the daemons applies, from a time on.
    auto makeSplit(std::size_t daemons, std::int64_t fullness, TimePoint from) -> void
    {
        split_.clear();
        for (const Team &team : scenario_.teams) {
            RegionAllowance limit = regionAllowance(team, { "" }, "");
            limit = { limit.rate / static_cast<std::int64_t>(daemons), limit.burst / static_cast<std::int64_t>(daemons) };
            split_.emplace_back(scenario_.daemons, AllowanceBucket(limit, limit.burst * fullness, from));
        }
    }

    auto isDead(std::size_t daemon, TimePoint now) const -> bool
    {
        return scenario_.killedAt && now >= *scenario_.killedAt && daemon == deadDaemon_;
    }

    auto maintain(TimePoint now) -> void
    {
        const bool isRemoved = scenario_.killedAt && now >= *scenario_.killedAt + REMOVAL_WAIT + TAKEOVER_WAIT;
        if (isRemoved && !hasSuccessors_) {
            replaceDead(now);
        }
        for (auto key = active_.begin(); key != active_.end();) {
            const std::size_t daemon = *key / scenario_.teams.size();
            const std::size_t team = *key % scenario_.teams.size();
            const bool isDue = pairs_[*key].tokens.isReturnDue(now) && !isDead(homes_[team], now) && !isDead(daemon, now);
            const std::int64_t renewal = isDue ? renewalTokens(demandOf(pairs_[*key], team, now)) : 0;
            if (isDue) {
                exchange(team, daemon, renewal, 0, now);
            }
            key = isDue && renewal == 0 ? active_.erase(key) : std::next(key);
        }
    }

    auto replaceDead(TimePoint now) -> void
    {
        hasSuccessors_ = true;
        members_ = members_.without(absl::StrCat("d", deadDaemon_));
        if (scheme_ == Scheme::Split) {
            makeSplit(scenario_.daemons - 1, 0, now);
        }
        for (std::size_t team = 0; team < homes_.size(); ++team) {
            if (homes_[team] == deadDaemon_) {
                homes_[team] = std::stoul(members_.homeOf(scenario_.teams[team].name, "")->name.substr(1));
                accounts_[team] = AllowanceAccount(AllowanceBucket(accounts_[team].bucket().limit(), 0, now));
            }
        }
    }

    auto decide(const Arrival &arrival) -> bool
    {
        const auto &[now, team, target] = arrival;
        // The balancer sends the requests of a dead daemon to the next one.
        const std::size_t daemon = isDead(target, now) ? (target + 1) % scenario_.daemons : target;
        if (scheme_ == Scheme::Split) {
            return split_[team][daemon].tryAcquire(now);
        }
        if (daemon == homes_[team]) {
            return accounts_[team].acquire(now).granted > 0;
        }
        if (scheme_ == Scheme::AskHome) {
            countMessages({ scenario_.teams[team].name, 1234, 1, 1, 0, 0, 0, { absl::StrCat("d", daemon), "i", 1 } });
            return spendAtHome(team, now);
        }
        counts_.relayed += scheme_ == Scheme::Relay ? 1 : 0;
        return scheme_ == Scheme::Relay ? spendAtHome(team, now) : decideWithLoans(team, daemon, now);
    }

    /// Decides at the home, which the request waits for.
    auto spendAtHome(std::size_t team, TimePoint now) -> bool
    {
        ++counts_.roundTrips;
        return !isDead(homes_[team], now) && accounts_[team].acquire(now).granted > 0;
    }

    auto decideWithLoans(std::size_t team, std::size_t daemon, TimePoint now) -> bool
    {
        const std::size_t key = daemon * scenario_.teams.size() + team;
        Pair &pair = pairs_[key];
        pair.tokens.recordDemand(now);
        if (pair.tokens.tryAcquire(now)) {
            counts_.roundTrips += now < pair.busyUntil ? 1 : 0;
            return true;
        }
        if (pair.tokens.refusal(now)) {
            return false;
        }
        const AllowanceSource choice = chooseAllowanceSource(demandOf(pair, team, now));
        const auto *loan = std::get_if<RequestLoan>(&choice);
        if (loan == nullptr && scheme_ == Scheme::Chosen) {
            ++counts_.relayed;
            return spendAtHome(team, now);
        }
        ++counts_.roundTrips;
        if (isDead(homes_[team], now)) {
            pair.tokens.recordRefusal(AllowanceUnavailable {}, now + Milliseconds(200));
            return false;
        }
        pair.busyUntil = now + ROUND_TRIP;
        exchange(team, daemon, loan == nullptr ? 1 : loan->tokens, 1, now);
        active_.insert(key);
        return pair.tokens.tryAcquire(now);
    }

    auto demandOf(const Pair &pair, std::size_t team, TimePoint now) const -> AllowanceDemand
    {
        const Team &entry = scenario_.teams[team];
        return { pair.tokens.demandPerSecond(now), entry.ratePerSecond, entry.burst, scenario_.daemons };
    }

    auto exchange(std::size_t team, std::size_t daemon, std::int64_t want, std::int64_t need, TimePoint now) -> void
    {
        Pair &pair = pairs_[daemon * scenario_.teams.size() + team];
        LoanRequest request { scenario_.teams[team].name, 1234, want, need, 0, 0, 0, { absl::StrCat("d", daemon), "i", nextNumber_++ } };
        pair.tokens.addSettlement(request);
        const LoanResponse answer = accounts_[team].lend(request, now);
        pair.tokens.handleResponse(request, answer, now, now);
        countMessages(request);
    }

    auto countMessages(const LoanRequest &request) -> void
    {
        counts_.messages += 2;
        const std::size_t answer = Json::toText(*toJson(LoanResponse { 1, Milliseconds(0) })).size();
        counts_.bytes += static_cast<double>(HEAD_BYTES + Json::toText(*toJson(request)).size() + answer);
    }

    const Scenario &scenario_;
    const Scheme scheme_;
    MemberTable members_;
    std::vector<AllowanceBucket> ideal_;
    /// Full buckets from which every admission is taken; one that finds no token is over the limit.
    std::vector<AllowanceBucket> meters_;
    std::vector<AllowanceAccount> accounts_;
    std::vector<std::size_t> homes_;
    std::vector<std::vector<AllowanceBucket>> split_;
    std::unordered_map<std::size_t, Pair> pairs_;
    /// Pairs that may have a loan.
    std::unordered_set<std::size_t> active_;
    std::size_t deadDaemon_ = 0;
    bool hasSuccessors_ = false;
    std::int64_t nextNumber_ = 1;
    Counts counts_;
};

/// Poisson arrivals; "focus" is the share of a team's requests that reach one daemon.
auto addPoisson(Scenario &scenario, std::size_t team, double perSecond, double focus, std::mt19937_64 &random) -> void
{
    std::exponential_distribution<double> gap(perSecond);
    std::uniform_int_distribution<std::size_t> anyDaemon(0, scenario.daemons - 1);
    std::bernoulli_distribution isFocused(focus);
    for (double at = gap(random); at < scenario.seconds; at += gap(random)) {
        const std::size_t daemon = isFocused(random) ? team * 3 % scenario.daemons : anyDaemon(random);
        scenario.arrivals.push_back({ secondsFromStart(at), team, daemon });
    }
}

/// Groups of 90% of the burst within 50 ms.
auto addBursts(Scenario &scenario, std::size_t team, std::mt19937_64 &random) -> void
{
    const Team &entry = scenario.teams[team];
    std::uniform_int_distribution<std::size_t> anyDaemon(0, scenario.daemons - 1);
    std::uniform_real_distribution<double> offset(0, 0.05);
    const double period = entry.burst / (LOAD * entry.ratePerSecond);
    for (double at = period / 2; at < scenario.seconds; at += period) {
        for (int index = 0; index < static_cast<int>(0.9 * entry.burst); ++index) {
            scenario.arrivals.push_back({ secondsFromStart(at + offset(random)), team, anyDaemon(random) });
        }
    }
}

auto todaysTeams() -> std::vector<Team>
{
    std::vector<Team> teams;
    for (const double rate : { 120, 80, 40, 20, 10, 5, 2, 1 }) {
        teams.push_back({ absl::StrCat("team-", teams.size()), rate, std::max(2 * rate, 5.0), {} });
    }
    return teams;
}

auto todaysScenario(const std::string &name, std::uint64_t seed) -> Scenario
{
    std::mt19937_64 random(seed);
    Scenario scenario { name, 8, 60, todaysTeams(), {}, {} };
    for (std::size_t team = 0; team < scenario.teams.size(); ++team) {
        const double rate = scenario.teams[team].ratePerSecond;
        if (name == "bursty") {
            addBursts(scenario, team, random);
        } else {
            addPoisson(scenario, team, rate * (name == "3 x rate" && team == 1 ? 3 : LOAD), name == "skewed" ? 0.8 : 0, random);
        }
    }
    if (name == "killed home") {
        scenario.killedAt = secondsFromStart(20);
    }
    return scenario;
}

/// 5,000 teams with Zipf(1) demand at 400 daemons, 5,500 requests/s in all.
auto targetScenario(std::uint64_t seed) -> Scenario
{
    std::mt19937_64 random(seed);
    Scenario scenario { "400 daemons", 400, 30, {}, {}, {} };
    constexpr std::size_t TEAMS = 5000;
    double weight = 0;
    for (std::size_t rank = 1; rank <= TEAMS; ++rank) {
        weight += 1.0 / static_cast<double>(rank);
    }
    for (std::size_t rank = 1; rank <= TEAMS; ++rank) {
        const double demand = 5500 / weight / static_cast<double>(rank);
        const double rate = demand / LOAD;
        scenario.teams.push_back({ absl::StrCat("team-", rank), rate, std::max(2 * rate, 5.0), {} });
        addPoisson(scenario, rank - 1, demand, 0, random);
    }
    return scenario;
}

auto printRow(const Scenario &scenario, Scheme scheme) -> void
{
    static const std::vector<std::string> NAMES = { "even split", "ask home", "loans", "relay", "policy" };
    const Counts counts = Run(scenario, scheme).play();
    const auto requests = static_cast<double>(scenario.arrivals.size());
    const double perDaemonSecond = 2 / static_cast<double>(scenario.daemons) / scenario.seconds;
    const auto percent = [](double part, double whole) {
        return absl::StrFormat("%10.2f%%", 100 * part / whole);
    };
    std::cout << absl::StrFormat(
        "%-12s %-10s %8.0f %6.0f", scenario.name, NAMES[static_cast<std::size_t>(scheme)], requests, counts.overLimit)
              << percent(counts.refusedWithin, counts.idealAdmitted)
              << percent(counts.idealAdmitted - counts.admitted, counts.idealAdmitted)
              << absl::StrFormat(" %9.3f %8.1f", counts.messages / requests, counts.messages * perDaemonSecond)
              << absl::StrFormat(" %9.0f %10.3f", counts.bytes * perDaemonSecond, counts.roundTrips / requests)
              << percent(counts.relayed, requests) << std::endl;
}

auto printRows(Scenario scenario) -> void
{
    std::ranges::sort(scenario.arrivals, {}, &Arrival::at);
    for (const Scheme scheme : { Scheme::Split, Scheme::AskHome, Scheme::Loans, Scheme::Relay, Scheme::Chosen }) {
        if (scheme != Scheme::Chosen || scenario.daemons > 8) {
            printRow(scenario, scheme);
        }
    }
}

auto printTables(std::uint64_t seed) -> void
{
    std::cout << "seed " << seed << "; messages/s and bytes/s per daemon count each message where it is sent and where it is received\n"
              << "condition    scheme     requests   over  refused-ok  fewer-adm  msgs/req   msgs/s   bytes/s  waits/req    relayed\n";
    for (const char *name : { "steady", "skewed", "bursty", "3 x rate", "killed home" }) {
        printRows(todaysScenario(name, seed));
    }
    printRows(targetScenario(seed));
}

} // namespace

} // namespace poplardock

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("MeasureAllowances", "Compares ways to share a team's allowance");
    options.add_options()("seed", "seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    poplardock::printTables(options.parse(argc, argv)["seed"].as<std::uint64_t>());
    return 0;
}
