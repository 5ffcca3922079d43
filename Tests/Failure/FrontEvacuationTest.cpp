#include "Support/SoakCallers.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <random>
#include <unistd.h>

namespace poplardock {

namespace {

constexpr std::size_t DAEMONS = 4;
/// The first two are in data centre "east-a", the others in "east-b".
constexpr std::size_t ENGINES = 4;
constexpr std::size_t EVACUATED_ENGINES = 2;
constexpr Milliseconds BOUND { 5000 };
constexpr Milliseconds START_TIME { 10000 };
/// A fault ends so early that one that begins with an evacuation leaves time for the news.
constexpr int SHORTEST_MS = 300;
constexpr int LONGEST_MS = 2000;
constexpr Milliseconds FAULT_PERIOD { 500 };

/// Daemons as processes, callers of all kinds, an operator who evacuates and returns, and faults by a seed. A daemon has one fault at a
/// time, so none is cut off from the store and the other daemons together.
class EvacuationSoak
{
public:
    explicit EvacuationSoak(std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
        , folder_(std::filesystem::temp_directory_path() / absl::StrCat("poplardock-evacuation-", seed, "-", getpid()))
        , fleet_(loop_, makeFolder(folder_), DAEMONS, ENGINES, "bounds.evacuationMs=5000\n")
        , callers_(fleet_, seed)
    {
        for (const FrontProcesses::Engine &engine : fleet_.engines) {
            // Callers of some seeds send such requests; this test needs its engines to the end.
            engine.server->behaviour().crashesOnPart.clear();
        }
        for (std::size_t engine = EVACUATED_ENGINES; engine < ENGINES; ++engine) {
            const std::string entry = FakeEngine::entryAt(fleet_.engines[engine].proxy->address(), "ready");
            fleet_.store.put("servers", fleet_.engines[engine].server->name(), absl::StrReplaceAll(entry, { { "east-a", "east-b" } }));
        }
    }

    auto run() -> void
    {
        loop_.runUntil(BootClock::now() + Milliseconds(2500));
        callers_.start();
        loop_.runUntil(BootClock::now() + Milliseconds(1500));
        BOOST_TEST(arrivals(0, {}, BootClock::now()) > 0U, "seed " << seed_ << ": no request before the evacuation");
        faultTimer_ = loop_.every(FAULT_PERIOD, [this] { beginFault(); });
        for (int round = 0; round < 2; ++round) {
            fleet_.store.put("evacuations", "east-a", "{}");
            const BootTime writtenAt = BootClock::now();
            loop_.runUntil(writtenAt + BOUND + Milliseconds(3000));
            const BootTime removedAt = BootClock::now();
            fleet_.store.remove("evacuations", "east-a");
            BOOST_TEST(arrivals(0, writtenAt + BOUND, removedAt) == 0U, "seed " << seed_ << ", round " << round);
            BOOST_TEST(arrivals(EVACUATED_ENGINES, writtenAt + BOUND, removedAt) > 0U, "seed " << seed_ << ", round " << round);
            loop_.runUntil(removedAt + Milliseconds(1000));
        }
        faultTimer_.cancel();
        const BootTime endedAt = BootClock::now();
        loop_.runUntil(endedAt + BOUND);
        BOOST_TEST(arrivals(0, endedAt, BootClock::now()) > 0U, "seed " << seed_ << ": no request after the evacuation");
        callers_.stop();
        std::filesystem::remove_all(folder_);
    }

private:
    static auto makeFolder(const std::filesystem::path &folder) -> std::string
    {
        std::filesystem::create_directories(folder);
        return folder.string();
    }

    /// Requests at two engines, from the first one of that number on, in a time.
    auto arrivals(std::size_t first, BootTime begin, BootTime end) -> std::size_t
    {
        std::size_t count = 0;
        for (std::size_t engine = first; engine < first + EVACUATED_ENGINES; ++engine) {
            for (const BootTime each : fleet_.engines[engine].server->arrivals()) {
                count += each > begin && each < end ? 1U : 0U;
            }
        }
        return count;
    }

    auto beginFault() -> void
    {
        const std::size_t daemon = random_() % DAEMONS;
        const std::uint64_t kind = random_() % 4;
        const Milliseconds time(SHORTEST_MS + static_cast<int>(random_() % (LONGEST_MS - SHORTEST_MS)));
        if (!disturbed_.insert(daemon).second) {
            return;
        }
        FrontProcesses::Daemon &victim = fleet_.daemons[daemon];
        std::function<void()> undo;
        if (kind == 0) {
            LoopbackProxy::Faults silent;
            silent.holdsRequests = true;
            silent.holdsAnswers = true;
            victim.store->setFaults(silent);
            undo = [&victim] {
                victim.store->setFaults({});
            };
        } else if (kind == 1) {
            setIsolated(daemon, true);
            undo = [this, daemon] {
                setIsolated(daemon, false);
            };
        } else if (kind == 2) {
            victim.process->signal(SIGSTOP);
            undo = [&victim] {
                victim.process->signal(SIGCONT);
            };
        } else {
            victim.process->kill();
            undo = [this, daemon] {
                fleet_.startDaemon(daemon);
            };
        }
        timers_.push_back(loop_.at(BootClock::now() + time, [this, daemon, undo] {
            undo();
            disturbed_.erase(daemon);
        }));
    }

    auto setIsolated(std::size_t daemon, bool isIsolated) -> void
    {
        for (std::size_t other = 0; other < DAEMONS; ++other) {
            if (other != daemon) {
                fleet_.peers->setBlocked(daemon, other, isIsolated);
                fleet_.peers->setBlocked(other, daemon, isIsolated);
            }
        }
    }

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    const std::filesystem::path folder_;
    EventLoop loop_;
    FrontProcesses fleet_;
    SoakCallers callers_;
    std::set<std::size_t> disturbed_;
    std::vector<Timer> timers_;
    Timer faultTimer_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FrontEvacuationSuite)

// Guards against a request in an evacuated data centre after the bound from a daemon that was cut off from the store or from the others,
// frozen, or killed and started again meanwhile. POPLARDOCK_EVACUATION_SEEDS=N runs the seeds up to N.
BOOST_AUTO_TEST_CASE(NoRequestAfterTheBoundUnderFaults)
{
    std::uint64_t last = 2;
    BOOST_REQUIRE(absl::SimpleAtoi(environmentVariable("POPLARDOCK_EVACUATION_SEEDS", "2"), &last));
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
        EvacuationSoak(seed).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
