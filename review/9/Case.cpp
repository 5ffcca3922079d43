#include "../Support-2/CaseFleet.h"

#include <absl/strings/str_cat.h>

namespace poplardock::review {

namespace {

constexpr int ITEMS = 10;
/// Bounds of the pages: finishS, and the calm time before an item counts as left lying.
constexpr Milliseconds FINISH_TIME { 18000 };
constexpr Milliseconds CALM_TIME { 5000 };

/// Three daemons in two data centres stop at the same moment, just after the one of the second data centre has accepted a job.
/// The other two are back within a second; that one never comes back.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    fleet.addEngine("east-a", {});
    fleet.addEngine("east-b", {});
    const std::size_t first = fleet.addDaemon("east-a");
    const std::size_t second = fleet.addDaemon("east-a");
    const std::size_t lost = fleet.addDaemon("east-b");
    for (const std::size_t daemon : { first, second, lost }) {
        fleet.startDaemon(daemon);
    }
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(5000));
    if (fleet.submit(lost, "job1", ITEMS, 200) != HttpStatus::ACCEPTED) {
        return Verdict::CouldNotRun;
    }
    if (hasTrouble) {
        for (const std::size_t daemon : { lost, first, second }) {
            fleet.killDaemon(daemon);
        }
        fleet.runFor(Milliseconds(700));
        fleet.startDaemon(first);
        fleet.startDaemon(second);
        if (!fleet.awaitReady(Milliseconds(10000))) {
            return Verdict::CouldNotRun;
        }
    }
    const BootTime end = BootClock::now() + FINISH_TIME + CALM_TIME;
    std::size_t listed = 0;
    while (BootClock::now() < end && listed < ITEMS) {
        const auto page = fleet.read(first, "job1", 0);
        listed = page ? page->itemIds.size() : listed;
        fleet.runFor(Milliseconds(500));
    }
    if (listed == ITEMS) {
        return Verdict::Held;
    }
    bool isIdle = true;
    for (const auto &engine : fleet.engines()) {
        isIdle = isIdle && engine->runningCount() == 0 && BootClock::now() - engine->lastWorkAt() > CALM_TIME;
    }
    fleet.record().write(
        absl::StrCat(listed, " of ", ITEMS, " items are listed, servers ", isIdle ? "had no item for 5 s" : "are at work"));
    return isIdle ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
