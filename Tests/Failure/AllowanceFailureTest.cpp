#include "Request/ResultCode.h"
#include "Support/AdmissionWindows.h"
#include "Support/CallerLoad.h"
#include "Support/ProcessFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t DAEMONS = 6;
constexpr double ANNA_RATE = 40;
constexpr double BERT_RATE = 40;
constexpr double BURST = 40;
/// Membership removes a lost member after 10 s, and its successor waits for 6 s.
constexpr Milliseconds TAKEOVER_LIMIT { 30000 };

auto vmNames(std::size_t first, std::size_t last) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (std::size_t number = first; number <= last; ++number) {
        names.push_back(absl::StrCat("vm", number));
    }
    return names;
}

/// Six daemons on VMs of the platform's list. Team "anna" sends three times its rate, team "bert" half of it,
/// both spread over all daemons.
struct AllowanceFixture
{
    AllowanceFixture()
    {
        fleet.setVms(vmNames(0, DAEMONS - 1));
        fleet.addUpstream({ true, {} });
        fleet.addUpstream({ true, {} });
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            addDaemon(daemon);
        }
        Configuration::Data data = fleet.configuration();
        data.teams[0].ratePerSecond = ANNA_RATE;
        data.teams[0].burst = BURST;
        data.teams[1].ratePerSecond = BERT_RATE;
        data.teams[1].burst = BURST;
        fleet.apply(0, data);
        BOOST_REQUIRE(fleet.awaitServing());
        // The buckets of new teams start empty and fill in burst / rate = 1 s.
        std::this_thread::sleep_for(Milliseconds(2000));
    }

    auto addDaemon(std::size_t number) -> void
    {
        ProcessFleet::DaemonOptions options;
        options.vm = absl::StrCat("vm", number);
        fleet.addDaemon(options);
    }

    auto startLoad(std::size_t daemon) -> void
    {
        loads.push_back(std::make_unique<CallerLoad>(
            fleet.callersAddress(daemon),
            CallerLoad::Options {
                KEY_ANNA, "/lookups/anna", absl::StrCat("anna-", daemon), 3 * ANNA_RATE / DAEMONS, 4, 1, false, Milliseconds(2000) }));
        loads.push_back(std::make_unique<CallerLoad>(
            fleet.callersAddress(daemon),
            CallerLoad::Options {
                KEY_BERT, "/lookups/bert", absl::StrCat("bert-", daemon), BERT_RATE / 2 / DAEMONS, 2, 1, false, Milliseconds(2000) }));
    }

    auto receivedOf(const std::string &path) const -> std::size_t
    {
        std::size_t count = 0;
        for (std::size_t upstream = 0; upstream < fleet.upstreamCount(); ++upstream) {
            for (const JsonObject::Ptr &item : fleet.received(upstream)) {
                count += item->optValue<std::string>("path", "") == path ? 1 : 0;
            }
        }
        return count;
    }

    auto check(const std::string &team, double rate, TimePoint startedAt) const -> void
    {
        const std::vector<TimePoint> admissions = fleet.admissions(team);
        const auto excess = findExcessWindow(admissions, rate, BURST);
        BOOST_TEST(!excess.has_value(), team << ": " << excess.value_or(""));
        // Every request that ran has its token on the record. Retries of a request send it more than once, but
        // no upstream fails here.
        BOOST_TEST(receivedOf(absl::StrCat("/lookups/", team)) <= admissions.size());
        const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
        BOOST_TEST_MESSAGE(team << ": " << admissions.size() << " admissions in " << seconds << " s, at most " << BURST + rate * seconds
                                << " allowed");
        // A record of refusals alone would prove nothing.
        BOOST_TEST(static_cast<double>(admissions.size()) > 0.25 * std::min(rate, BERT_RATE / 2) * seconds);
    }

    auto countsOf(const std::string &team) const -> std::map<int, int>
    {
        std::map<int, int> counts;
        for (const auto &load : loads) {
            const std::vector<CallOutcome> outcomes = load->outcomes();
            if (!outcomes.empty() && absl::StartsWith(outcomes.front().id, team)) {
                for (const auto &[code, count] : load->countsByCode()) {
                    counts[code] += count;
                }
            }
        }
        return counts;
    }

    auto printControlBytes(TimePoint startedAt) const -> void
    {
        const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
        for (std::size_t daemon = 0; daemon < fleet.daemonCount(); ++daemon) {
            const JsonObject::Ptr exchange = fleet.dump(daemon, "peer_exchange");
            const double bytes = exchange->optValue("bytes_sent", 0.0) + exchange->optValue("bytes_received", 0.0);
            BOOST_TEST_MESSAGE("d" << daemon << ": " << bytes / seconds << " bytes/s of peer exchange");
        }
    }

    ProcessFleet fleet;
    std::vector<std::unique_ptr<CallerLoad>> loads;
};

} // namespace

// Guards against any window that admits more than burst + rate x t over the fleet, while homes are killed,
// frozen, replaced and cut off from the store.
BOOST_FIXTURE_TEST_CASE(EveryWindowIsWithinTheAllowance, AllowanceFixture)
{
    const TimePoint startedAt = Clock::now();
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        startLoad(daemon);
    }
    std::this_thread::sleep_for(Milliseconds(4000));
    const auto steady = countsOf("bert");
    BOOST_TEST_MESSAGE("bert within its rate, no fault: " << describeCounts(steady));
    BOOST_TEST(!steady.contains(static_cast<int>(ResultCode::AllowanceExceeded)));

    const std::size_t killed = fleet.homeOf("anna", 0);
    const std::size_t witness = killed == 0 ? 1 : 0;
    const TimePoint killedAt = Clock::now();
    fleet.daemonProcess(killed).kill();
    std::vector<std::string> vms = vmNames(0, DAEMONS);
    vms.erase(vms.begin() + static_cast<std::ptrdiff_t>(killed));
    fleet.setVms(vms);
    addDaemon(DAEMONS);
    startLoad(DAEMONS);
    BOOST_REQUIRE(ProcessFleet::await([&] { return fleet.members(witness).find(absl::StrCat("d", killed)) == nullptr; }, TAKEOVER_LIMIT));
    const TimePoint removedAt = Clock::now();
    const std::size_t before = fleet.admissions("anna").size();
    BOOST_TEST(ProcessFleet::await([&] { return fleet.admissions("anna").size() > before; }, TAKEOVER_LIMIT));
    const std::size_t frozen = fleet.homeOf("anna", witness);
    BOOST_TEST_MESSAGE("d" << killed << " was killed and removed after " << std::chrono::duration<double>(removedAt - killedAt).count()
                           << " s, d" << frozen << " is the home of anna and spent "
                           << std::chrono::duration<double>(Clock::now() - removedAt).count() << " s after that");
    fleet.daemonProcess(frozen).signal(SIGSTOP);
    std::this_thread::sleep_for(Milliseconds(7000));
    fleet.daemonProcess(frozen).signal(SIGCONT);
    std::this_thread::sleep_for(Milliseconds(2000));

    fleet.setPlatformFaults(R"({"outage":true})");
    std::this_thread::sleep_for(Milliseconds(7000));
    const std::size_t inOutage = fleet.admissions("bert").size();
    std::this_thread::sleep_for(Milliseconds(1000));
    BOOST_TEST(fleet.admissions("bert").size() > inOutage);
    fleet.setPlatformFaults(R"({"outage":false})");
    std::this_thread::sleep_for(Milliseconds(2000));
    for (const auto &load : loads) {
        load->stop();
    }
    check("anna", ANNA_RATE, startedAt);
    check("bert", BERT_RATE, startedAt);
    BOOST_TEST_MESSAGE("anna at 3 x its rate: " << describeCounts(countsOf("anna")));
    BOOST_TEST_MESSAGE("bert at half its rate, with faults: " << describeCounts(countsOf("bert")));
    printControlBytes(startedAt);
}

} // namespace poplardock
