#include "../Support-2/CaseFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock::review {

namespace {

/// A front machine of both first sheets.
constexpr std::uint64_t MEMORY_KB = 260U * 1024U;
constexpr std::size_t DAEMONS = 3;
/// The store's valueBytes is 1,048,576.
constexpr std::size_t ENTRY_BYTES = 1040000;
constexpr Milliseconds PLAY_TIME { 40000 };
/// The platform starts a process again after this time.
constexpr Milliseconds RESTART_TIME { 300 };
/// The rule: on a tenth of the machines, two at least, processes end by themselves three times.
constexpr int ENDS = 3;
constexpr std::ptrdiff_t MACHINES = 2;

/// An entry whose zone is of another type: a list of empty objects.
auto oddEntry() -> std::string
{
    std::string entry = R"({"service":"models","address":"127.0.0.1:9","state":"ready","slots":8,"sequence":1,"zone":[{})";
    while (entry.size() < ENTRY_BYTES) {
        entry += ",{}";
    }
    return entry + "]}";
}

/// Asks each daemon that runs once; returns how many answered 200.
auto answered(CaseFleet &fleet) -> int
{
    static int count = 0;
    int successes = 0;
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        HttpCall request { "POST", "/plain/1", {}, "question" };
        request.headers.add("Request-Id", absl::StrCat("request", count++));
        const auto answer = fleet.call(daemon, std::move(request), Milliseconds(1000));
        successes += answer && answer->status == HttpStatus::OK ? 1 : 0;
    }
    return successes;
}

/// Another writer puts one entry of legal size among the servers. The platform kills a process that uses more than its machine's
/// memory, and starts it again.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    for (std::size_t index = 0; index < DAEMONS; ++index) {
        const std::string zone = index % 2 == 0 ? "east-a" : "east-b";
        fleet.addEngine(zone, {}, false);
        fleet.startDaemon(fleet.addDaemon(zone));
    }
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(3000));
    fleet.record().write(absl::StrCat("before: ", answered(fleet), " of ", DAEMONS, " daemons answer a request with 200"));
    if (hasTrouble) {
        const std::string entry = oddEntry();
        fleet.record().write(absl::StrCat("another writer puts an entry of ", entry.size(), " bytes among the servers"));
        fleet.store().put("servers", "odd", entry);
    }
    std::vector<int> ends(DAEMONS);
    std::vector<BootTime> restartAt(DAEMONS);
    std::uint64_t most = 0;
    const auto isBroken = [&ends] {
        return std::count_if(ends.begin(), ends.end(), [](int count) { return count >= ENDS; }) >= MACHINES;
    };
    const BootTime end = BootClock::now() + (hasTrouble ? PLAY_TIME : PLAY_TIME / 4);
    while (BootClock::now() < end && !isBroken()) {
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            const std::uint64_t size = fleet.residentKb(daemon);
            most = std::max(most, size);
            if (size > MEMORY_KB) {
                fleet.record().write(absl::StrCat(fleet.daemons()[daemon].name, " uses ", size / 1024, " MB, its machine has 260 MB"));
                fleet.killDaemon(daemon);
                restartAt[daemon] = BootClock::now() + RESTART_TIME;
                ++ends[daemon];
            } else if (fleet.daemons()[daemon].process == nullptr && BootClock::now() >= restartAt[daemon]) {
                fleet.startDaemon(daemon);
            }
        }
        fleet.runFor(Milliseconds(1));
    }
    fleet.record().write(absl::StrCat("after: ", answered(fleet), " of ", DAEMONS, " daemons answer a request with 200"));
    for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
        fleet.record().write(absl::StrCat(fleet.daemons()[daemon].name, " ended ", ends[daemon], " times over its memory"));
    }
    fleet.record().write(absl::StrCat("at most ", most / 1024, " MB"));
    return isBroken() ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
