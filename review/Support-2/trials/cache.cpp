#include "../CaseFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock::review {

namespace {

/// A front machine of grown/LATER.md: 120 MB; its items have 141 events.
constexpr const char *SETTINGS = "limits.memoryMb=120\n";
constexpr std::uint64_t MEMORY_KB = 120U * 1024U;
constexpr CaseEngine::Shape SHAPE { 141, 65, Milliseconds(0), 8 };
constexpr std::size_t DAEMONS = 6;
constexpr std::size_t ENGINES = 16;
/// PROTOCOL.md allows 200 items in a submission.
constexpr int ITEMS = 200;
constexpr std::size_t JOBS_PER_DAEMON = 12;
constexpr std::size_t BODY_BYTES = 200;
/// The rule: on a tenth of the machines, two at least, processes end by themselves three times.
constexpr std::size_t READ_DAEMONS = 2;
constexpr int ENDS = 3;
constexpr Milliseconds READ_PAUSE { 20 };

auto jobName(std::size_t index) -> std::string
{
    return absl::StrCat("5c1e07a2", index < 10 ? "0" : "", index);
}

/// Reads a job once, from a position that differs from job to job; false when the daemon does not answer.
auto readOnce(CaseFleet &fleet, std::size_t daemon, std::size_t index) -> bool
{
    constexpr std::size_t STEP = 37;
    const auto page = fleet.read(daemon, jobName(index), index * STEP % ITEMS);
    fleet.runFor(READ_PAUSE);
    return page && !page->itemIds.empty();
}

auto makeJobs(CaseFleet &fleet) -> bool
{
    const std::size_t jobs = DAEMONS * JOBS_PER_DAEMON;
    for (std::size_t index = 0; index < jobs; ++index) {
        if (fleet.submit(index % DAEMONS, jobName(index), ITEMS, BODY_BYTES) != HttpStatus::ACCEPTED) {
            return false;
        }
    }
    const auto isDone = [&fleet, jobs] {
        for (std::size_t index = 0; index < jobs; ++index) {
            if (!absl::StrContains(fleet.store().specOf("jobs", jobName(index)), R"("done":true)")) {
                return false;
            }
        }
        return true;
    };
    return fleet.runUntil(isDone, Milliseconds(45000));
}

/// Clients read finished jobs at two daemons after all daemons were restarted in turn. The platform kills a process that uses
/// more than its machine's memory, and starts it again.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    for (std::size_t index = 0; index < ENGINES; ++index) {
        fleet.addEngine(index % 2 == 0 ? "east-a" : "east-b", SHAPE, false);
    }
    for (std::size_t index = 0; index < DAEMONS; ++index) {
        fleet.startDaemon(fleet.addDaemon(index % 2 == 0 ? "east-a" : "east-b", SETTINGS));
    }
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(3000));
    if (!makeJobs(fleet)) {
        return Verdict::CouldNotRun;
    }
    for (std::size_t index = 0; hasTrouble && index < DAEMONS; ++index) {
        if (!fleet.stopDaemon(index)) {
            return Verdict::CouldNotRun;
        }
        fleet.startDaemon(index);
        if (!fleet.awaitReady(Milliseconds(5000))) {
            return Verdict::CouldNotRun;
        }
    }
    std::vector<int> ends(READ_DAEMONS);
    std::vector<std::uint64_t> most(READ_DAEMONS);
    for (int round = 0; round < ENDS; ++round) {
        for (std::size_t daemon = 0; daemon < READ_DAEMONS; ++daemon) {
            for (std::size_t index = 0; index < DAEMONS * JOBS_PER_DAEMON; ++index) {
                if (!readOnce(fleet, daemon, index)) {
                    return Verdict::CouldNotRun;
                }
                const std::uint64_t size = fleet.residentKb(daemon);
                most[daemon] = std::max(most[daemon], size);
                if (size > MEMORY_KB) {
                    fleet.record().write(absl::StrCat(
                        fleet.daemons()[daemon].name, " uses ", size / 1024, " MB after ", index + 1, " jobs, its machine has 120 MB"));
                    fleet.killDaemon(daemon);
                    fleet.runFor(Milliseconds(300));
                    fleet.startDaemon(daemon);
                    ++ends[daemon];
                    if (!fleet.awaitReady(Milliseconds(5000))) {
                        return Verdict::CouldNotRun;
                    }
                    break;
                }
            }
        }
    }
    for (std::size_t daemon = 0; daemon < READ_DAEMONS; ++daemon) {
        fleet.record().write(
            absl::StrCat(fleet.daemons()[daemon].name, ": ", ends[daemon], " ends over its memory, at most ", most[daemon] / 1024, " MB"));
    }
    return ends[0] >= ENDS && ends[1] >= ENDS ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
