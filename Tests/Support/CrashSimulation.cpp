#include "Support/CrashSimulation.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace poplardock {

namespace {

const BootTime START = BootTime() + std::chrono::hours(1);
constexpr const char *BAD_PART = "bad";

} // namespace

CrashSimulation::CrashSimulation(unsigned seed)
    : fleet({ "a", "b", "c" }, 3, START)
    , random_(seed)
    , badPosition_(seed % 3)
    , keepsName_(seed % 2 == 0)
{
    for (const auto &[name, view] : fleet.views) {
        daemons_.push_back(name);
    }
    for (int index = 0; index < UPSTREAMS; ++index) {
        upstreams_.push_back({ absl::StrCat("u", index), {}, {} });
    }
    fleet.run(STABLE_WINDOW);
}

auto CrashSimulation::run(Milliseconds time, bool withBad) -> void
{
    for (const BootTime end = fleet.now() + time; fleet.now() < end;) {
        const BootTime from = fleet.now();
        for (int request = 0; request < SOUND_PER_STEP; ++request) {
            arrive(from + anyTime(PeerDirectory::DIGEST_PERIOD), false);
        }
        if (withBad) {
            arrive(from + anyTime(PeerDirectory::DIGEST_PERIOD), true);
        }
        processUntil(from + PeerDirectory::DIGEST_PERIOD);
        fleet.run(PeerDirectory::DIGEST_PERIOD);
    }
}

auto CrashSimulation::restartAny() -> void
{
    const std::string name = daemons_[random_() % daemons_.size()];
    fleet.restart(name);
    excusedUntil_[name] = fleet.now() + STABLE_WINDOW;
}

auto CrashSimulation::setCut(bool isCut) -> void
{
    fleet.isLost = isCut ? [](const std::string &from, const std::string &to) {
        return from.front() != to.front() && (from.front() == 'b' || to.front() == 'b');
    } : std::function<bool(const std::string &, const std::string &)>();
    for (const std::string &name : daemons_) {
        if (name.front() == 'b') {
            excusedUntil_[name] = isCut ? BootTime::max() : fleet.now() + STABLE_WINDOW;
        }
    }
}

auto CrashSimulation::crashAll() -> void
{
    for (SimulatedUpstream &upstream : upstreams_) {
        endAllRuns(upstream, fleet.now());
    }
}

auto CrashSimulation::anyTime(Milliseconds limit) -> Milliseconds
{
    return Milliseconds(1 + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count() - 1)));
}

auto CrashSimulation::suspectsOf(const std::string &daemon) -> CrashSuspects &
{
    return fleet.views.at(daemon).crashSuspects();
}

auto CrashSimulation::arrive(BootTime at, bool isBad) -> void
{
    std::vector<std::string> parts = { absl::StrCat("first", random_() % 2), absl::StrCat("session", random_() % 12) };
    if (isBad) {
        parts.insert(parts.begin() + badPosition_, BAD_PART);
    }
    Run run { daemons_[random_() % daemons_.size()], { crashFingerprint("t", "/", absl::StrCat(++lastId_)), parts }, isBad, at, 0 };
    events_.push({ at, [this, run, at] {
                      send(run, at);
                  } });
}

auto CrashSimulation::send(Run run, BootTime now) -> void
{
    const bool isRefused = suspectsOf(run.daemon).refusedUntil(run.subject, now).has_value()
                           && (run.attempts > 0 || !fleet.views.at(run.daemon).startCrashTrial(run.subject, now));
    if (!run.isBad && run.attempts == 0) {
        ++soundArrived;
        soundRefused += isRefused ? 1 : 0;
    }
    SimulatedUpstream &upstream = upstreams_[random_() % upstreams_.size()];
    if (isRefused || run.attempts >= ATTEMPTS || upstream.downUntil > now) {
        return;
    }
    const auto excused = excusedUntil_.find(run.daemon);
    if (run.isBad && (excused == excusedUntil_.end() || excused->second < now)) {
        badSends.push_back(now);
    }
    ++run.attempts;
    run.startedAt = now;
    const int id = ++lastId_;
    upstream.runs.emplace(id, run);
    if (run.isBad) {
        events_.push({ now + FIRST_EVENT, [this, &upstream, id, at = now + FIRST_EVENT] {
                          crash(upstream, id, at);
                      } });
    } else {
        events_.push({ now + RUN_TIME, [this, &upstream, id, at = now + RUN_TIME] {
                          finish(upstream, id, at);
                      } });
    }
}

auto CrashSimulation::finish(SimulatedUpstream &upstream, int id, BootTime now) -> void
{
    const auto found = upstream.runs.extract(id);
    if (!found.empty()) {
        suspectsOf(found.mapped().daemon).recordAnswer(found.mapped().subject, now);
    }
}

auto CrashSimulation::crash(SimulatedUpstream &upstream, int id, BootTime now) -> void
{
    if (upstream.runs.contains(id)) {
        crashes.push_back(now);
        endAllRuns(upstream, now);
    }
}

auto CrashSimulation::endAllRuns(SimulatedUpstream &upstream, BootTime now) -> void
{
    upstream.downUntil = now + DOWN_TIME;
    const auto runs = std::exchange(upstream.runs, {});
    for (const auto &[number, run] : runs) {
        if (now - run.startedAt <= FIRST_EVENT + Milliseconds(5)) {
            suspectsOf(run.daemon).recordCrash(run.subject, upstream.name, now);
        }
        events_.push({ now + Milliseconds(2), [this, run = run, at = now + Milliseconds(2)] {
                          send(run, at);
                      } });
    }
    if (!keepsName_) {
        upstream.name += "'";
    }
}

auto CrashSimulation::processUntil(BootTime end) -> void
{
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        event.act();
    }
}

} // namespace poplardock
