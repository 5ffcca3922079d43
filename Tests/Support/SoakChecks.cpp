#include "Support/SoakChecks.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <set>

namespace poplardock {

namespace {

/// The bounds of the settings page, which the daemons of the soak run with.
constexpr Milliseconds WITHDRAWAL_BOUND { 5000 };
constexpr Milliseconds LEAVE_BOUND { 2000 };
constexpr Milliseconds CANCEL_BOUND { 3000 };
constexpr Milliseconds ALLOWANCE_WINDOW { 5000 };
/// (rate x window + burst) x (1 + overage) + slack, for a rate and a burst of 5, an overage of 0.1 and a slack of 20.
constexpr std::size_t ALLOWANCE_BOUND = 53;
/// Time over its patience in which a request has its final answer; the page allows 200 ms, and a busy machine starts
/// a dozen processes beside this one.
constexpr Milliseconds END_SLACK { 700 };
/// Margin around a disturbance of a daemon within which its latency is not checked.
constexpr Milliseconds SETTLE_TIME { 1000 };
constexpr std::size_t LONGEST_RUNS = 3;
/// The platform's stableWindowMs: time within which what one daemon has heard counts at all, and after which a daemon that
/// was disturbed counts again.
constexpr Milliseconds STABLE_WINDOW { 3000 };
/// Requests that an engine may get in any such time: one and a half times its limit, and some more.
constexpr Milliseconds LIMIT_WINDOW { 4000 };
constexpr double LIMIT_OVERAGE = 1.5;
constexpr double LIMIT_SLACK = 5;
/// Crashes after which the fleet has to know the part, and requests with it that may reach an engine from then on.
constexpr std::size_t CRASHES_TO_LEARN = 5;
constexpr std::size_t STRAY_REQUESTS = 3;
constexpr int EVENTS = 5;

auto isPromiseOfNoRun(int status) -> bool
{
    return status == HttpStatus::UNAVAILABLE || (status >= HttpStatus::BAD_REQUEST && status < HttpStatus::SERVER_ERROR);
}

auto millisecondsAfter(BootTime begin, BootTime end) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(end - begin).count();
}

} // namespace

SoakChecks::SoakChecks(const FrontProcesses &fleet, const SoakCallers &callers, const SoakFaults &faults)
    : fleet_(fleet)
    , callers_(callers)
    , faults_(faults)
{
}

auto SoakChecks::isDisturbed(std::size_t daemon, BootTime begin, BootTime end) const -> bool
{
    const auto &all = faults_.disturbances();
    return std::any_of(all.begin(), all.end(), [daemon, begin, end](const Disturbance &each) {
        return each.daemon == daemon && each.begin < end + SETTLE_TIME && begin < each.end + SETTLE_TIME;
    });
}

auto SoakChecks::isAnythingDisturbed(BootTime begin, BootTime end) const -> bool
{
    const auto &all = faults_.disturbances();
    return std::any_of(
        all.begin(), all.end(), [begin, end](const Disturbance &each) { return each.begin < end && begin < each.end + SETTLE_TIME; });
}

auto SoakChecks::disturbancesBetween(BootTime begin, BootTime end) const -> std::string
{
    std::string text;
    for (const Disturbance &each : faults_.disturbances()) {
        if (each.begin < end && begin < each.end) {
            absl::StrAppend(&text,
                            " [",
                            each.kind,
                            each.daemon ? absl::StrCat(" of daemon", *each.daemon) : "",
                            " from ",
                            millisecondsAfter(begin, each.begin),
                            " to ",
                            millisecondsAfter(begin, each.end),
                            "]");
        }
    }
    return text;
}

auto SoakChecks::checkRequest(const SoakRequest &request, std::vector<std::string> &faults) const -> void
{
    const auto runs = fleet_.runsOf(request.id);
    const std::size_t runLimit = request.route == "once" || request.route == "stream" ? 1 : LONGEST_RUNS;
    const auto add = [&faults, &request](const std::string &what) {
        faults.push_back(absl::StrCat(request.id, " (", request.route, ", status ", request.status, "): ", what));
    };
    if (runs.size() > runLimit) {
        add(absl::StrCat("ran ", runs.size(), " times"));
    }
    if (isPromiseOfNoRun(request.status) && !runs.empty()) {
        add("was refused as not run, and ran");
    }
    if (request.status == HttpStatus::OK) {
        const bool isStream = request.route == "resumed" || request.route == "stream";
        const bool isRight
            = isStream ? request.body == FakeEngine::streamOf(request.id, EVENTS) : request.body == "answer to body of " + request.id;
        if (!isRight) {
            add(absl::StrCat("has a wrong answer: ", request.body));
        }
    }
    if (request.sentAt < faults_.startedAt()) {
        return;
    }
    const bool isPlain = request.route == "plain" || request.route == "once";
    if (isPlain && request.hasEnded && request.status == 0 && !isDisturbed(request.daemon, request.sentAt, request.endedAt)) {
        add("got no answer");
    }
    const BootTime end = request.hasEnded ? request.endedAt : BootTime::max();
    const BootTime limit = request.sentAt + SoakCallers::PATIENCE + END_SLACK;
    if (end > limit && !isDisturbed(request.daemon, request.sentAt, limit)) {
        add(absl::StrCat("had no end within its patience, but after ",
                         request.hasEnded ? millisecondsAfter(request.sentAt, request.endedAt) : -1,
                         " ms; meanwhile",
                         disturbancesBetween(request.sentAt, limit)));
    }
}

auto SoakChecks::requestFaults() const -> std::vector<std::string>
{
    std::vector<std::string> faults;
    for (const auto &[id, request] : callers_.requests()) {
        checkRequest(request, faults);
    }
    return faults;
}

auto SoakChecks::withdrawalFaults() const -> std::vector<std::string>
{
    std::vector<std::string> faults;
    if (!faults_.withdrawnAt()) {
        return faults;
    }
    const BootTime bound = *faults_.withdrawnAt() + WITHDRAWAL_BOUND;
    for (const auto &[id, request] : callers_.requests()) {
        if (request.key != SoakFaults::THIRD_KEY || request.sentAt < bound) {
            continue;
        }
        if (!fleet_.runsOf(id).empty()) {
            faults.push_back(
                absl::StrCat(id, " ran, sent ", millisecondsAfter(bound, request.sentAt), " ms after its key had to be out of use"));
        }
    }
    return faults;
}

auto SoakChecks::allowanceFaults() const -> std::vector<std::string>
{
    struct CountedRun
    {
        BootTime sentAt;
        BootTime startedAt;
        std::string name;
    };
    std::vector<CountedRun> runs;
    for (const auto &[id, request] : callers_.requests()) {
        const auto all = request.key == "key2" ? fleet_.runsOf(id) : std::vector<FakeEngine::Run>();
        if (!all.empty()) {
            runs.push_back({ request.sentAt, all.front().startedAt, absl::StrCat(id, "@", request.daemon) });
        }
    }
    // The platform counts requests that are both sent and run in a window: one that a frozen daemon runs later is not counted
    // beside those that were sent meanwhile.
    for (const CountedRun &first : runs) {
        std::vector<std::string> counted;
        for (const CountedRun &run : runs) {
            if (run.sentAt >= first.sentAt && run.startedAt < first.sentAt + ALLOWANCE_WINDOW) {
                counted.push_back(absl::StrCat(run.name, "+", millisecondsAfter(first.sentAt, run.startedAt)));
            }
        }
        if (counted.size() > ALLOWANCE_BOUND) {
            return { absl::StrCat("the team with an allowance ran ",
                                  counted.size(),
                                  " requests in a window, ",
                                  ALLOWANCE_BOUND,
                                  " allowed: ",
                                  absl::StrJoin(counted, " ")) };
        }
    }
    return {};
}

auto SoakChecks::checkJob(const SoakJob &job, std::vector<std::string> &faults) const -> void
{
    faults.insert(faults.end(), job.disagreements.begin(), job.disagreements.end());
    std::set<std::string> listed;
    for (const JobResult &result : job.results) {
        if (!listed.insert(result.itemId).second) {
            faults.push_back(absl::StrCat(result.itemId, " is listed twice"));
        }
        if (!absl::StartsWith(result.itemId, job.id + "-")) {
            faults.push_back(absl::StrCat(result.itemId, " is listed for ", job.id));
        }
        if (result.isCompleted && result.text != FakeEngine::dataOf(result.itemId, EVENTS)) {
            faults.push_back(absl::StrCat(result.itemId, " has a wrong result: ", result.text));
        }
    }
    if (job.isAccepted && !job.isCancelWanted && job.results.size() != job.itemCount) {
        faults.push_back(absl::StrCat(job.id, " was accepted and lists ", job.results.size(), " of ", job.itemCount, " items"));
    }
    for (std::size_t item = 0; item < job.itemCount; ++item) {
        const std::string id = absl::StrCat(job.id, "-", item);
        for (const FakeEngine::Run &run : fleet_.runsOf(id)) {
            if (job.isRefused) {
                faults.push_back(absl::StrCat(id, " ran although its job was refused"));
            }
            if (job.cancelledAt && run.startedAt > *job.cancelledAt + CANCEL_BOUND) {
                faults.push_back(absl::StrCat(id, " began ", millisecondsAfter(*job.cancelledAt, run.startedAt), " ms after its cancel"));
            }
        }
    }
}

auto SoakChecks::jobFaults() const -> std::vector<std::string>
{
    std::vector<std::string> faults;
    for (const auto &[id, job] : callers_.jobs()) {
        checkJob(job, faults);
    }
    return faults;
}

auto SoakChecks::limitFaults() const -> std::vector<std::string>
{
    // Requests that the path holds back arrive together.
    const auto isPathDisturbed = [this](BootTime begin, BootTime end) {
        const auto &all = faults_.disturbances();
        return std::any_of(all.begin(), all.end(), [begin, end](const Disturbance &each) {
            return absl::StartsWith(each.kind, "engine's path") && each.begin < end && begin < each.end + SETTLE_TIME;
        });
    };
    std::vector<std::string> faults;
    for (const NamedLimit &limit : faults_.limits()) {
        const std::vector<BootTime> &arrivals = fleet_.engines[limit.engine].server->arrivals();
        const auto named = std::lower_bound(arrivals.begin(), arrivals.end(), limit.begin);
        const double allowed = LIMIT_OVERAGE * limit.perSecond * std::chrono::duration<double>(LIMIT_WINDOW).count() + LIMIT_SLACK;
        for (auto first = named; first != arrivals.end() && *first + LIMIT_WINDOW <= limit.end; ++first) {
            const BootTime end = *first + LIMIT_WINDOW;
            const auto count = std::lower_bound(first, arrivals.end(), end) - first;
            if (*first >= *named + STABLE_WINDOW && static_cast<double>(count) > allowed && !isPathDisturbed(*first, end)) {
                faults.push_back(absl::StrCat(fleet_.engines[limit.engine].server->name(),
                                              " got ",
                                              count,
                                              " requests in a window, ",
                                              allowed,
                                              " allowed; meanwhile",
                                              disturbancesBetween(*first - STABLE_WINDOW, end)));
                break;
            }
        }
    }
    return faults;
}

auto SoakChecks::isExcused(std::size_t daemon, BootTime time) const -> bool
{
    const auto &all = faults_.disturbances();
    return std::any_of(all.begin(), all.end(), [daemon, time](const Disturbance &each) {
        return (each.daemon == daemon || each.cutDaemons.contains(daemon)) && each.begin <= time && time < each.end + STABLE_WINDOW;
    });
}

auto SoakChecks::crashFaults() const -> std::vector<std::string>
{
    std::multimap<BootTime, std::string> runs;
    std::vector<BootTime> counted;
    for (const auto &[id, request] : callers_.requests()) {
        if (!request.isCrashing) {
            continue;
        }
        for (const FakeEngine::Run &run : fleet_.runsOf(id)) {
            const bool isCounted = !isExcused(request.daemon, run.startedAt);
            runs.emplace(run.startedAt, absl::StrCat(id, "@", request.daemon, isCounted ? "" : " (excused)"));
            if (isCounted) {
                counted.push_back(run.startedAt);
            }
        }
    }
    if (runs.size() <= CRASHES_TO_LEARN) {
        return {};
    }
    const BootTime known = std::next(runs.begin(), CRASHES_TO_LEARN - 1)->first + STABLE_WINDOW;
    const auto strays = std::count_if(counted.begin(), counted.end(), [known](BootTime each) { return each > known; });
    if (static_cast<std::size_t>(strays) <= STRAY_REQUESTS) {
        return {};
    }
    std::string text = absl::StrCat(strays, " requests with the crashing part were sent to engines too late:");
    for (const auto &[time, run] : runs) {
        absl::StrAppend(&text, " ", run, "+", millisecondsAfter(runs.begin()->first, time));
    }
    return { text };
}

auto SoakChecks::leaveFaults() const -> std::vector<std::string>
{
    std::vector<std::string> faults;
    for (const FrontProcesses::Engine &engine : fleet_.engines) {
        const BootTime bound = engine.leftAt + LEAVE_BOUND;
        // A daemon that was cut off or stood still could not know of the notice.
        if (engine.leftAt == BootTime() || engine.hasCrashed || isAnythingDisturbed(engine.leftAt, bound)) {
            continue;
        }
        for (const FakeEngine::Run &run : engine.server->runs()) {
            if (run.startedAt > bound) {
                faults.push_back(absl::StrCat(
                    engine.server->name(), " got work ", millisecondsAfter(engine.leftAt, run.startedAt), " ms after its notice"));
            }
        }
    }
    return faults;
}

auto SoakChecks::summary() const -> std::string
{
    std::map<int, int> statuses;
    for (const auto &[id, request] : callers_.requests()) {
        ++statuses[request.status];
    }
    std::string text = absl::StrCat(callers_.requests().size(), " requests:");
    for (const auto &[status, count] : statuses) {
        absl::StrAppend(&text, " ", status, " x ", count, ",");
    }
    int accepted = 0;
    int completed = 0;
    int givenUp = 0;
    for (const auto &[id, job] : callers_.jobs()) {
        accepted += job.isAccepted ? 1 : 0;
        for (const JobResult &result : job.results) {
            ++(result.isCompleted ? completed : givenUp);
        }
    }
    absl::StrAppend(
        &text, " ", accepted, " of ", callers_.jobs().size(), " jobs accepted, items completed ", completed, ", given up ", givenUp);
    std::map<std::string, int> kinds;
    for (const Disturbance &each : faults_.disturbances()) {
        ++kinds[each.kind];
    }
    for (const auto &[kind, count] : kinds) {
        absl::StrAppend(&text, "; ", kind, " x ", count);
    }
    return text;
}

} // namespace poplardock
