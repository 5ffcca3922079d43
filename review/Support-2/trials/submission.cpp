#include "../CaseFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock::review {

namespace {

/// A front machine of both first sheets.
constexpr std::uint64_t MEMORY_KB = 260U * 1024U;
constexpr std::size_t DAEMONS = 3;
/// The config's maxBodyBytes is 4,194,304.
constexpr std::size_t BODY_BYTES = 4000000;
constexpr Milliseconds LONGEST_REQUEST { 15000 };
/// The platform starts a process again after this time.
constexpr Milliseconds RESTART_TIME { 300 };
/// The rule: on a tenth of the machines, two at least, processes end by themselves three times.
constexpr int ENDS = 3;
constexpr std::size_t MACHINES = 2;

/// A submission whose items are empty objects.
auto emptyItems() -> std::string
{
    std::string body = R"({"items":[{})";
    while (body.size() < BODY_BYTES) {
        body += ",{}";
    }
    return body + "]}";
}

/// A submission of 200 items with as many bytes.
auto soundItems(const std::string &job) -> std::string
{
    constexpr int ITEMS = 200;
    const std::string payload(BODY_BYTES / ITEMS / 4 * 4 - 200, 'A');
    std::string body = R"({"items":[)";
    for (int index = 0; index < ITEMS; ++index) {
        absl::StrAppend(&body,
                        index > 0 ? "," : "",
                        R"({"id":")",
                        job,
                        "-",
                        index,
                        R"(","path":"/batch/1","headers":{"Model":"m","Token-Count":"350,242"},"body":")",
                        payload,
                        R"(","tokens":592})");
    }
    return body + "]}";
}

/// A client that nobody controls sends a submission of legal size, one at a time, three times to each of two daemons. The platform
/// kills a process that uses more than its machine's memory, and starts it again. Without the trouble the submissions are sound.
auto play(CaseFleet &fleet, bool hasTrouble) -> Verdict
{
    fleet.configure(absl::StrCat("[", CaseFleet::BATCH_ROUTE, ",", CaseFleet::PLAIN_ROUTE, "]"));
    for (std::size_t index = 0; index < DAEMONS; ++index) {
        const std::string zone = index % 2 == 0 ? "east-a" : "east-b";
        fleet.addEngine(zone, { 10, 65, Milliseconds(5), 8 }, false);
        fleet.startDaemon(fleet.addDaemon(zone));
    }
    if (!fleet.awaitReady(Milliseconds(10000))) {
        return Verdict::CouldNotRun;
    }
    fleet.runFor(Milliseconds(3000));
    std::vector<int> ends(MACHINES);
    for (int round = 0; round < ENDS; ++round) {
        for (std::size_t daemon = 0; daemon < MACHINES; ++daemon) {
            const std::string job = absl::StrCat("job", round, "-", daemon);
            HttpCall request { "POST", "/batch/1", {}, hasTrouble ? emptyItems() : soundItems(job) };
            request.headers.add("Request-Id", job);
            request.headers.add("Content-Type", "application/json");
            std::optional<int> status;
            fleet.record().write(absl::StrCat("client sends ", request.body.size(), " bytes to ", fleet.daemons()[daemon].name));
            fleet.send(daemon, std::move(request), LONGEST_REQUEST, "key1", [&status](const HttpCallOutcome &outcome) {
                const auto *result = std::get_if<HttpResult>(&outcome);
                status = result == nullptr ? 0 : result->status;
            });
            std::uint64_t most = 0;
            const auto isOver = [&fleet, &status, &most, daemon] {
                most = std::max(most, fleet.residentKb(daemon));
                return status.has_value() || most > MEMORY_KB;
            };
            if (!fleet.runUntil(isOver, LONGEST_REQUEST + Milliseconds(1000))) {
                return Verdict::CouldNotRun;
            }
            fleet.record().write(absl::StrCat(fleet.daemons()[daemon].name,
                                              " uses at most ",
                                              most / 1024,
                                              " MB of 260, answer ",
                                              status ? absl::StrCat(*status) : "none yet"));
            if (most > MEMORY_KB) {
                fleet.killDaemon(daemon);
                fleet.runUntil([&status] { return status.has_value(); }, RESTART_TIME);
                fleet.runFor(RESTART_TIME);
                fleet.startDaemon(daemon);
                ++ends[daemon];
                if (!fleet.awaitReady(Milliseconds(5000))) {
                    return Verdict::CouldNotRun;
                }
            }
            fleet.runUntil([&status] { return status.has_value(); }, LONGEST_REQUEST);
        }
    }
    for (std::size_t daemon = 0; daemon < MACHINES; ++daemon) {
        fleet.record().write(absl::StrCat(fleet.daemons()[daemon].name, " ended ", ends[daemon], " times over its memory"));
    }
    return std::all_of(ends.begin(), ends.end(), [](int count) { return count >= ENDS; }) ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace poplardock::review

auto main(int argumentCount, char **arguments) -> int
{
    return poplardock::review::runCase(argumentCount, arguments, poplardock::review::play);
}
