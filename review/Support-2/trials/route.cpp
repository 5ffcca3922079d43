#include "../CaseFleet.h"

#include <absl/strings/str_cat.h>

namespace poplardock::review {

namespace {

constexpr int ITEMS = 24;
constexpr CaseEngine::Shape SHAPE { 10, 65, Milliseconds(100), 4 };
/// Bounds of the pages: finishS, and the calm time before an item counts as left lying.
constexpr Milliseconds FINISH_TIME { 18000 };
constexpr Milliseconds CALM_TIME { 5000 };

/// A new configuration drops the route of an accepted job while most of its items wait. Without the trouble it changes the
/// time-out of the other route instead.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    fleet.addEngine("east-a", SHAPE);
    fleet.addEngine("east-b", SHAPE);
    const std::size_t first = fleet.addDaemon("east-a");
    const std::size_t second = fleet.addDaemon("east-b");
    fleet.startDaemon(first);
    fleet.startDaemon(second);
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(5000));
    if (fleet.submit(first, "job1", ITEMS, 200) != HttpStatus::ACCEPTED) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(500));
    fleet.configure(hasTrouble ? absl::StrCat("[", CaseFleet::PLAIN_ROUTE, "]")
                               : absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    const BootTime end = BootClock::now() + FINISH_TIME + CALM_TIME;
    std::size_t listed = 0;
    while (BootClock::now() < end && listed < ITEMS) {
        const auto page = fleet.read(second, "job1", 0);
        listed = page ? page->itemIds.size() : listed;
        fleet.runFor(Milliseconds(500));
    }
    bool isIdle = true;
    for (const auto &engine : fleet.engines()) {
        isIdle = isIdle && engine->runningCount() == 0 && BootClock::now() - engine->lastWorkAt() > CALM_TIME;
    }
    fleet.record().write(
        absl::StrCat(listed, " of ", ITEMS, " items are listed, servers ", isIdle ? "had no item for 5 s" : "are at work"));
    return listed < ITEMS && isIdle ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
