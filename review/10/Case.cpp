#include "../Support-2/CaseFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock::review {

namespace {

constexpr std::size_t DAEMONS = 4;
/// The allotment of the team, and the bounds of the pages.
constexpr int RATE_PER_S = 20;
constexpr int BURST = 20;
constexpr std::chrono::seconds WINDOW { 5 };
constexpr double OVERAGE = 0.1;
constexpr double SLACK = 20;
constexpr Milliseconds OUTAGE { 4500 };
/// The team asks for 200 requests a second, ten times its rate in all.
constexpr Milliseconds SEND_PERIOD { 5 };
constexpr Milliseconds PLAY_TIME { 25000 };

/// The most runs that began within any window.
auto mostInWindow(const std::vector<BootTime> &times) -> std::ptrdiff_t
{
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        most = std::max(most, std::upper_bound(first, times.end(), *first + WINDOW) - first);
    }
    return most;
}

/// The platform's store is down for 4.5 s. In that time all daemons are killed at the same moment, and are back within a second.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"),
                    absl::StrCat(R"(,"ratePerS":)", RATE_PER_S, R"(,"burst":)", BURST));
    for (std::size_t index = 0; index < DAEMONS; ++index) {
        const std::string zone = index % 2 == 0 ? "east-a" : "east-b";
        fleet.addEngine(zone, {}, false);
        fleet.startDaemon(fleet.addDaemon(zone));
    }
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(5000));
    int sent = 0;
    std::map<int, int> answers;
    const Timer sender = fleet.loop().every(SEND_PERIOD, [&fleet, &sent, &answers] {
        HttpCall call { "POST", "/plain/1", {}, "question" };
        call.headers.add("Request-Id", absl::StrCat("request", sent));
        call.headers.add("Deadline-Ms", "2000");
        fleet.send(static_cast<std::size_t>(sent) % DAEMONS,
                   std::move(call),
                   Milliseconds(2000),
                   "key2",
                   [&answers](const HttpCallOutcome &outcome) {
                       const auto *result = std::get_if<HttpResult>(&outcome);
                       ++answers[result == nullptr ? 0 : result->status];
                   });
        ++sent;
    });
    fleet.runFor(Milliseconds(2000));
    if (hasTrouble) {
        fleet.record().write("the store is down");
        fleet.store().setDown(true);
        const BootTime end = BootClock::now() + OUTAGE;
        fleet.runFor(Milliseconds(500));
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            fleet.killDaemon(daemon);
        }
        fleet.runFor(Milliseconds(700));
        for (std::size_t daemon = 0; daemon < DAEMONS; ++daemon) {
            fleet.startDaemon(daemon);
        }
        fleet.runFor(std::chrono::duration_cast<Milliseconds>(end - BootClock::now()));
        fleet.store().setDown(false);
        fleet.record().write("the store is back");
    }
    fleet.runFor(PLAY_TIME);
    std::vector<BootTime> times;
    for (const auto &engine : fleet.engines()) {
        times.insert(times.end(), engine->runTimes().begin(), engine->runTimes().end());
    }
    std::sort(times.begin(), times.end());
    constexpr std::chrono::seconds SECOND { 1 };
    for (BootTime from = times.empty() ? BootTime() : times.front(); !times.empty() && from < times.back(); from += SECOND) {
        const auto end = std::lower_bound(times.begin(), times.end(), from + SECOND);
        fleet.record().write(absl::StrCat("second ",
                                          std::chrono::duration_cast<std::chrono::seconds>(from - times.front()).count(),
                                          " of the traffic: ",
                                          end - std::lower_bound(times.begin(), times.end(), from),
                                          " requests ran"));
    }
    const double allowed = (RATE_PER_S * static_cast<double>(WINDOW.count()) + BURST) * (1 + OVERAGE) + SLACK;
    const std::ptrdiff_t most = mostInWindow(times);
    for (const auto &[status, count] : answers) {
        fleet.record().write(absl::StrCat("answers ", status, ": ", count));
    }
    fleet.record().write(absl::StrCat(sent, " requests sent, at most ", most, " ran within 5 s, ", allowed, " are allowed"));
    return static_cast<double>(most) > allowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
