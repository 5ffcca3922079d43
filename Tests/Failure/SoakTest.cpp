#include "Connection/CallerAuthentication.h"
#include "Support/AdmissionWindows.h"
#include "Support/FleetChecks.h"
#include "Support/ProcessFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t DAEMONS = 6;
constexpr std::size_t MODELS = 3;
constexpr std::size_t SERVICES = 2;
constexpr int DEFAULT_SECONDS = 60;
constexpr double ANNA_RATE = 60;
constexpr double ANNA_BURST = 60;
constexpr const char *KEY_CORA = "cora-caller-key-1";
/// Sentences 6 and 13 of the design.
constexpr Milliseconds IN_FORCE_LIMIT { 5000 };
/// Removal of lost members, lease bounds and the rest of the jobs.
constexpr Milliseconds HEAL_LIMIT { 60000 };

auto soakSeconds() -> int
{
    const char *given = std::getenv("POPLARDOCK_SOAK_SECONDS"); // NOLINT(concurrency-mt-unsafe): nothing sets the environment
    return given == nullptr ? DEFAULT_SECONDS : std::stoi(given);
}

/// Six daemons under load from three teams, with jobs, and a fault every few seconds.
class Soak
{
public:
    Soak()
    {
        for (std::size_t upstream = 0; upstream < MODELS + SERVICES; ++upstream) {
            fleet_.addUpstream({ upstream >= MODELS, {} });
        }
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            fleet_.addDaemon({});
        }
        Configuration::Data data = fleet_.configuration();
        data.teams[0].ratePerSecond = ANNA_RATE;
        data.teams[0].burst = ANNA_BURST;
        data.teams.push_back({ "cora", 1000, 1000, { { "cora-1", sha256Hex(KEY_CORA), false } } });
        fleet_.apply(0, data);
        BOOST_REQUIRE(fleet_.awaitServing());
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            startLoads(daemon);
        }
    }

    auto run() -> void
    {
        const TimePoint endsAt = Clock::now() + std::chrono::seconds(soakSeconds());
        bool isWithdrawn = false;
        while (Clock::now() < endsAt) {
            submitJobs();
            bringAboutFault();
            readRevisions();
            if (!isWithdrawn && Clock::now() > endsAt - std::chrono::seconds(soakSeconds()) / 2) {
                isWithdrawn = withdrawKey();
            }
        }
        BOOST_TEST(isWithdrawn);
        heal();
    }

    auto check() -> void
    {
        for (const LoadRecord &load : loads_) {
            load.load->stop();
        }
        const Deliveries deliveries(fleet_);
        for (const LoadRecord &load : loads_) {
            report(findRequestFaults(load.load->outcomes(), deliveries, load.isRepeatable));
            if (load.isCora) {
                checkWithdrawal(*load.load);
            }
            for (const auto &[code, count] : load.load->countsByCode()) {
                counts_[code] += count;
            }
        }
        BOOST_TEST_MESSAGE("outcomes: " << describeCounts(counts_));
        BOOST_TEST(counts_[0] > 0);
        for (const char *key : { KEY_ANNA, KEY_BERT, KEY_CORA }) {
            report(findHeaderFaults(deliveries, key));
        }
        for (const JobShape &job : accepted_) {
            BOOST_TEST(ProcessFleet::await([&] { return stateOf(job) == "done"; }, HEAL_LIMIT), job.jobKey << " does not end");
            report(findJobFaults(fleet_, 0, job));
        }
        BOOST_TEST_MESSAGE(accepted_.size() << " jobs");
        const std::vector<TimePoint> admissions = fleet_.admissions("anna");
        const auto excess = findExcessWindow(admissions, ANNA_RATE, ANNA_BURST);
        BOOST_TEST(!excess.has_value(), excess.value_or(""));
        BOOST_TEST_MESSAGE(admissions.size() << " admissions of the team that sends above its rate");
        BOOST_TEST(!admissions.empty());
    }

private:
    struct LoadRecord
    {
        std::unique_ptr<CallerLoad> load;
        std::size_t daemon = 0;
        bool isRepeatable = true;
        bool isCora = false;
    };

    auto startLoads(std::size_t daemon) -> void
    {
        const std::string prefix = absl::StrCat("n", starts_++);
        const std::string address = fleet_.callersAddress(daemon);
        const auto add = [&](const char *key, const char *path, const char *name, double perSecond, bool hasKeys) {
            loads_.push_back(
                { std::make_unique<CallerLoad>(
                      address, CallerLoad::Options { key, path, absl::StrCat(name, prefix), perSecond, 3, 4, hasKeys, Milliseconds(3000) }),
                  daemon,
                  std::string_view(name) != "hold" && std::string_view(name) != "keyed",
                  std::string_view(name) == "cora" });
        };
        add(KEY_ANNA, "/lookups/anna", "anna", 2 * ANNA_RATE / DAEMONS, false);
        add(KEY_BERT, "/v1/chat/completions", "chat", 10, false);
        add(KEY_BERT, "/holds/plain", "hold", 5, false);
        add(KEY_BERT, "/holds/keyed", "keyed", 5, true);
        add(KEY_CORA, "/lookups/cora", "cora", 5, false);
    }

    /// The process that starts next listens on other ports.
    auto stopLoads(std::size_t daemon) -> void
    {
        for (const LoadRecord &load : loads_) {
            if (load.daemon == daemon) {
                load.load->stop();
            }
        }
    }

    auto submitJobs() -> void
    {
        const std::string key = absl::StrCat("j", accepted_.size());
        const bool isHold = accepted_.size() % 2 == 1;
        const JobShape job { key, isHold ? "/holds/batch" : "", !isHold, 50, 5 };
        if (fleet_.submitJob(random_() % DAEMONS, KEY_ANNA, job.document()).isOk()) {
            accepted_.push_back(job);
        }
    }

    auto stateOf(const JobShape &job) const -> std::string
    {
        return fleet_.job(0, KEY_ANNA, job.jobKey).json()->optValue<std::string>("state", "");
    }

    auto bringAboutFault() -> void
    {
        const std::size_t daemon = random_() % DAEMONS;
        const auto pause = Milliseconds(500 + random_() % 4000);
        switch (random_() % 7) {
        case 0:
            BOOST_TEST_MESSAGE("restart of d" << daemon);
            fleet_.daemonProcess(daemon).kill();
            std::this_thread::sleep_for(Milliseconds(200));
            stopLoads(daemon);
            fleet_.restartDaemon(daemon);
            lastRevisions_.erase(daemon);
            startLoads(daemon);
            break;
        case 1:
            BOOST_TEST_MESSAGE("pause of d" << daemon << " for " << pause.count() << " ms");
            fleet_.daemonProcess(daemon).signal(SIGSTOP);
            std::this_thread::sleep_for(pause);
            fleet_.daemonProcess(daemon).signal(SIGCONT);
            break;
        case 2:
            BOOST_TEST_MESSAGE("store outage for " << 2 * pause.count() << " ms");
            fleet_.setPlatformFaults(R"({"outage":true})");
            std::this_thread::sleep_for(2 * pause);
            fleet_.setPlatformFaults(R"({"outage":false})");
            break;
        case 3:
            BOOST_TEST_MESSAGE("lost answers of the store");
            fleet_.setPlatformFaults(R"({"lose_write_answers":5})");
            break;
        case 4:
            BOOST_TEST_MESSAGE("resets by upstreams");
            fleet_.setUpstreamFaults(random_() % (MODELS + SERVICES), R"({"reset_requests":4})");
            break;
        case 5:
            // Services stay up, since their records of what they received are needed at the end.
            BOOST_TEST_MESSAGE("restart of an upstream");
            fleet_.restartUpstream(random_() % MODELS);
            break;
        default:
            BOOST_TEST_MESSAGE("slow store for " << pause.count() << " ms");
            fleet_.setPlatformFaults(R"({"delay_ms":300})");
            std::this_thread::sleep_for(pause);
            fleet_.setPlatformFaults(R"({"delay_ms":0})");
            break;
        }
        std::this_thread::sleep_for(Milliseconds(1000 + random_() % 1500));
    }

    auto readRevisions() -> void
    {
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            const auto revision = fleet_.dump(daemon, "fleet")->optValue<std::uint64_t>("revision", 0);
            if (revision == 0) {
                continue;
            }
            BOOST_TEST(revision >= lastRevisions_[daemon], "d" << daemon << " went back");
            lastRevisions_[daemon] = revision;
        }
    }

    /// True once the withdrawal is in force at a majority.
    auto withdrawKey() -> bool
    {
        const FleetAnswer answer
            = fleet_.operate(random_() % DAEMONS, { "POST", "/config/keys/cora-1/withdraw", {}, {}, Milliseconds(10000) });
        BOOST_TEST_MESSAGE("withdrawal: " << answer.body);
        const auto confirmed = answer.json()->optValue("confirmed_by", 0);
        if (!answer.isOk() || 2 * confirmed <= static_cast<int>(DAEMONS)) {
            return false;
        }
        withdrawnAt_ = Clock::now();
        return true;
    }

    auto checkWithdrawal(const CallerLoad &load) const -> void
    {
        for (const CallOutcome &outcome : load.outcomes()) {
            const bool isLate = outcome.sentAt > withdrawnAt_ + IN_FORCE_LIMIT;
            BOOST_TEST((!isLate || !outcome.answer.isOk()), outcome.id << " was accepted with a withdrawn key");
        }
    }

    auto heal() -> void
    {
        fleet_.setPlatformFaults(R"({"outage":false,"delay_ms":0,"lose_write_answers":0})");
        std::this_thread::sleep_for(IN_FORCE_LIMIT + Milliseconds(2000));
        BOOST_TEST(fleet_.awaitSettled());
    }

    static auto report(const std::vector<std::string> &faults) -> void
    {
        for (const std::string &fault : faults) {
            BOOST_ERROR(fault);
        }
    }

    std::mt19937_64 random_ { testSeed() };
    ProcessFleet fleet_;
    std::vector<LoadRecord> loads_;
    std::vector<JobShape> accepted_;
    std::map<std::size_t, std::uint64_t> lastRevisions_;
    std::map<int, int> counts_;
    TimePoint withdrawnAt_;
    int starts_ = 0;
};

} // namespace

// Guards against violations that need several faults at once or after one another.
BOOST_AUTO_TEST_CASE(RandomFaultsBreakNoPromise)
{
    Soak soak;
    soak.run();
    soak.check();
}

} // namespace poplardock
