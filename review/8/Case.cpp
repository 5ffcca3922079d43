#include "../Support-2/CaseFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock::review {

namespace {

/// A front machine of both first sheets.
constexpr std::uint64_t MEMORY_KB = 260U * 1024U;
constexpr std::size_t DAEMONS = 3;
constexpr std::size_t ENGINES = 4;
constexpr CaseEngine::Shape SHAPE { 20, 65, Milliseconds(5), 8 };
/// Two of four servers give one answer in 40 that has no end: share 0.5, x 0.025.
constexpr std::size_t FAULTY_ENGINES = 2;
constexpr int ENDLESS_EVERY = 40;
constexpr int ITEMS = 40;
constexpr Milliseconds SUBMISSION_PERIOD { 1000 };
constexpr Milliseconds PLAY_TIME { 75000 };
/// The platform starts a process again after this time.
constexpr Milliseconds RESTART_TIME { 300 };
/// The rule: on a tenth of the machines, two at least, processes end by themselves three times.
constexpr int ENDS = 3;
constexpr std::ptrdiff_t MACHINES = 2;

/// Clients submit jobs at all daemons all the while. The platform kills a process that uses more than its machine's memory, and
/// starts it again.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    for (std::size_t index = 0; index < ENGINES; ++index) {
        fleet.addEngine(index % 2 == 0 ? "east-a" : "east-b", SHAPE, false);
    }
    for (std::size_t index = 0; index < DAEMONS; ++index) {
        fleet.startDaemon(fleet.addDaemon(index % 2 == 0 ? "east-a" : "east-b"));
    }
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(3000));
    for (std::size_t index = 0; index < FAULTY_ENGINES; ++index) {
        fleet.engines()[index]->sendEndlessStreams(hasTrouble ? ENDLESS_EVERY : 0);
    }
    std::vector<int> ends(DAEMONS);
    std::uint64_t most = 0;
    const auto isBroken = [&ends] {
        return std::count_if(ends.begin(), ends.end(), [](int count) { return count >= ENDS; }) >= MACHINES;
    };
    const BootTime end = BootClock::now() + PLAY_TIME;
    BootTime nextAt = BootClock::now();
    int jobs = 0;
    int accepted = 0;
    while (BootClock::now() < end && !isBroken()) {
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            const std::uint64_t size = fleet.residentKb(daemon);
            most = std::max(most, size);
            if (size > MEMORY_KB) {
                fleet.record().write(absl::StrCat(fleet.daemons()[daemon].name, " uses ", size / 1024, " MB, its machine has 260 MB"));
                fleet.killDaemon(daemon);
                fleet.runFor(RESTART_TIME);
                fleet.startDaemon(daemon);
                ++ends[daemon];
            }
        }
        if (BootClock::now() >= nextAt) {
            nextAt = BootClock::now() + SUBMISSION_PERIOD;
            const std::size_t daemon = static_cast<std::size_t>(jobs) % DAEMONS;
            accepted += fleet.submit(daemon, absl::StrCat("job", jobs), ITEMS, 200) == HttpStatus::ACCEPTED ? 1 : 0;
            ++jobs;
        }
        fleet.runFor(Milliseconds(20));
    }
    std::size_t answers = 0;
    std::size_t endless = 0;
    for (std::size_t index = 0; index < FAULTY_ENGINES; ++index) {
        for (const auto &[request, runs] : fleet.engines()[index]->runs()) {
            answers += static_cast<std::size_t>(runs);
        }
        endless += fleet.engines()[index]->spoilt().size();
    }
    fleet.record().write(absl::StrCat(accepted,
                                      " of ",
                                      jobs,
                                      " jobs accepted, ",
                                      endless,
                                      " of ",
                                      answers,
                                      " answers of the faulty servers had no end, at most ",
                                      most / 1024,
                                      " MB"));
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        fleet.record().write(absl::StrCat(fleet.daemons()[daemon].name, " ended ", ends[daemon], " times over its memory"));
    }
    return isBroken() ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
