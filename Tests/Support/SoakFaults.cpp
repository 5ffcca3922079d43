#include "Support/SoakFaults.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>

namespace poplardock {

namespace {

constexpr int SHORTEST_PAUSE_MS = 150;
constexpr int LONGEST_PAUSE_MS = 900;
constexpr Milliseconds CHECK_PERIOD { 100 };
/// Time from the start of the soak after which the third key is withdrawn.
constexpr Milliseconds WITHDRAWAL_TIME { 4000 };
/// The platform kills a process this long after its signal to stop; a shutdown must be over before.
constexpr Milliseconds GRACE_TIME { 8000 };
constexpr Milliseconds POLL_PERIOD { 50 };
/// A server whose entry is gone without a notice is missed by the platform after about this time.
constexpr Milliseconds LAPSE_TIME { 1000 };
/// Time that an engine goes on after its notice of leave, beyond the bound of 2 s for new work.
constexpr Milliseconds LEAVE_TIME { 3000 };
constexpr std::size_t SMALLEST_ENGINE_COUNT = 3;
/// When an engine begins to name a limit, far below what it gets, and for how long it does.
constexpr Milliseconds LIMIT_BEGIN { 1500 };
constexpr Milliseconds LIMIT_TIME { 12000 };
constexpr double LIMIT_PER_SECOND = 2;

} // namespace

SoakFaults::SoakFaults(FrontProcesses &fleet, SoakCallers &callers, std::uint64_t seed)
    : fleet_(fleet)
    , callers_(callers)
    , random_(seed)
    , isProcessDisturbed_(fleet.daemons.size())
{
}

auto SoakFaults::start() -> void
{
    startedAt_ = BootClock::now();
    check_ = fleet_.loop.every(CHECK_PERIOD, [this] {
        checkProcesses();
        replaceCrashed();
        limitEngine();
    });
    next();
}

auto SoakFaults::stop() -> void
{
    next_.cancel();
}

auto SoakFaults::isQuiet() const -> bool
{
    return pending_ == 0 && std::none_of(isProcessDisturbed_.begin(), isProcessDisturbed_.end(), [](bool each) { return each; });
}

auto SoakFaults::disturbances() const -> const std::list<Disturbance> &
{
    return disturbances_;
}

auto SoakFaults::limits() const -> const std::vector<NamedLimit> &
{
    return limits_;
}

auto SoakFaults::startedAt() const -> BootTime
{
    return startedAt_;
}

auto SoakFaults::withdrawnAt() const -> std::optional<BootTime>
{
    return withdrawnAt_;
}

auto SoakFaults::processFaults() const -> const std::vector<std::string> &
{
    return processFaults_;
}

auto SoakFaults::between(int first, int last) -> int
{
    return std::uniform_int_distribution<int>(first, last)(random_);
}

auto SoakFaults::next() -> void
{
    static const std::vector<Action> ACTIONS
        = { &SoakFaults::storeFault,       &SoakFaults::storeFaultOfOne,    &SoakFaults::compactStore,  &SoakFaults::cutPeers,
            &SoakFaults::isolateDaemon,    &SoakFaults::callersPath,        &SoakFaults::enginePath,    &SoakFaults::engineFault,
            &SoakFaults::crashEngine,      &SoakFaults::leaveEngine,        &SoakFaults::freezeProcess, &SoakFaults::killProcess,
            &SoakFaults::terminateProcess, &SoakFaults::changeConfiguration };
    next_ = fleet_.loop.at(BootClock::now() + Milliseconds(between(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS)), [this] {
        if (!withdrawnAt_ && BootClock::now() > startedAt_ + WITHDRAWAL_TIME) {
            withdrawnAt_ = BootClock::now();
            fleet_.configure("");
        }
        (this->*ACTIONS[random_() % ACTIONS.size()])();
        next();
    });
}

auto SoakFaults::later(Milliseconds time,
                       const std::string &kind,
                       std::optional<std::size_t> daemon,
                       std::function<void()> undo,
                       std::set<std::size_t> cutDaemons) -> void
{
    const BootTime now = BootClock::now();
    disturbances_.push_back({ kind, daemon, now, now + time, std::move(cutDaemons) });
    ++pending_;
    timers_.push_back(fleet_.loop.at(now + time, [this, undo = std::move(undo)] {
        --pending_;
        undo();
    }));
}

auto SoakFaults::storeFault() -> void
{
    FakeObjectStore::Faults faults;
    const int kind = between(0, 3);
    faults.isSilent = kind == 0;
    faults.refuseStatus = kind == 1 ? HttpStatus::UNAVAILABLE : kind == 2 ? HttpStatus::TOO_MANY_REQUESTS : 0;
    faults.loseWriteAnswers = kind == 3 ? between(1, 6) : 0;
    for (const FrontProcesses::Daemon &daemon : fleet_.daemons) {
        fleet_.store.setViewFaults(daemon.storeView, faults);
    }
    later(Milliseconds(between(500, 4000)), absl::StrCat("store ", kind), std::nullopt, [this] {
        for (const FrontProcesses::Daemon &daemon : fleet_.daemons) {
            fleet_.store.setViewFaults(daemon.storeView, {});
        }
    });
}

auto SoakFaults::storeFaultOfOne() -> void
{
    const std::size_t daemon = random_() % fleet_.daemons.size();
    FakeObjectStore::Faults faults;
    LoopbackProxy::Faults path;
    const int kind = between(0, 4);
    faults.isSilent = kind == 0;
    faults.refuseStatus = kind == 1 ? HttpStatus::UNAVAILABLE : 0;
    path.delay = Milliseconds(kind == 2 ? between(50, 400) : 0);
    path.holdsAnswers = kind == 3;
    fleet_.store.setViewFaults(fleet_.daemons[daemon].storeView, faults);
    fleet_.daemons[daemon].store->setFaults(path);
    if (kind == 4) {
        fleet_.daemons[daemon].store->resetConnections();
    }
    later(Milliseconds(between(500, 7000)), absl::StrCat("store of one ", kind), daemon, [this, daemon] {
        fleet_.store.setViewFaults(fleet_.daemons[daemon].storeView, {});
        fleet_.daemons[daemon].store->setFaults({});
    });
}

auto SoakFaults::compactStore() -> void
{
    fleet_.store.compact();
}

auto SoakFaults::cutPeers() -> void
{
    const std::size_t from = random_() % fleet_.daemons.size();
    const std::size_t to = (from + 1 + random_() % (fleet_.daemons.size() - 1)) % fleet_.daemons.size();
    const bool isBoth = between(0, 1) == 0;
    const auto set = [this, from, to, isBoth](bool isCut) {
        fleet_.peers->setBlocked(from, to, isCut);
        if (isBoth) {
            fleet_.peers->setBlocked(to, from, isCut);
        }
    };
    set(true);
    const Milliseconds time(between(500, 5000));
    later(time, "cut between two", std::nullopt, [set] { set(false); }, { from, to });
}

auto SoakFaults::isolateDaemon() -> void
{
    const std::size_t daemon = random_() % fleet_.daemons.size();
    const auto set = [this, daemon](bool isCut) {
        for (std::size_t other = 0; other < fleet_.daemons.size(); ++other) {
            if (other != daemon) {
                fleet_.peers->setBlocked(daemon, other, isCut);
                fleet_.peers->setBlocked(other, daemon, isCut);
            }
        }
    };
    set(true);
    const Milliseconds time(between(500, 6000));
    later(time, "cut from all", std::nullopt, [set] { set(false); }, { daemon });
}

auto SoakFaults::callersPath() -> void
{
    const std::size_t daemon = random_() % fleet_.daemons.size();
    LoopbackProxy::Faults faults;
    const int kind = between(0, 3);
    faults.delay = Milliseconds(kind == 0 ? between(20, 300) : 0);
    faults.holdsRequests = kind == 1;
    faults.holdsAnswers = kind == 2;
    fleet_.daemons[daemon].callers->setFaults(faults);
    if (kind == 3) {
        fleet_.daemons[daemon].callers->resetConnections();
    }
    later(Milliseconds(between(200, 1500)), absl::StrCat("callers' path ", kind), daemon, [this, daemon] {
        fleet_.daemons[daemon].callers->setFaults({});
    });
}

auto SoakFaults::enginePath() -> void
{
    const auto living = fleet_.livingEngines();
    if (living.empty()) {
        return;
    }
    const std::size_t engine = living[random_() % living.size()];
    LoopbackProxy::Faults faults;
    const int kind = between(0, 3);
    faults.delay = Milliseconds(kind == 0 ? between(20, 300) : 0);
    faults.holdsRequests = kind == 1;
    faults.holdsAnswers = kind == 2;
    fleet_.engines[engine].proxy->setFaults(faults);
    if (kind == 3) {
        fleet_.engines[engine].proxy->resetConnections();
    }
    later(Milliseconds(between(200, 3000)), absl::StrCat("engine's path ", kind), std::nullopt, [this, engine] {
        if (!fleet_.engines[engine].hasCrashed) {
            fleet_.engines[engine].proxy->setFaults({});
        }
    });
}

auto SoakFaults::engineFault() -> void
{
    const auto living = fleet_.livingEngines();
    if (living.empty()) {
        return;
    }
    const std::size_t engine = living[random_() % living.size()];
    FakeEngine::Behaviour &behaviour = fleet_.engines[engine].server->behaviour();
    const int kind = between(0, 5);
    behaviour.isSilent = kind == 0;
    behaviour.losesAnswers = kind == 1;
    behaviour.breakAfterEvents = kind == 2 ? between(1, 4) : 0;
    behaviour.sendsStrayAnswer = kind == 3;
    behaviour.declines = kind == 4;
    behaviour.status = kind == 5 ? HttpStatus::SERVER_ERROR : behaviour.status;
    later(Milliseconds(between(300, 3000)), absl::StrCat("engine ", kind), std::nullopt, [this, engine] { fleet_.resetBehaviour(engine); });
}

auto SoakFaults::crashEngine() -> void
{
    const auto living = fleet_.livingEngines();
    if (living.size() <= SMALLEST_ENGINE_COUNT) {
        return;
    }
    const std::size_t engine = living[random_() % living.size()];
    fleet_.crashEngine(engine);
}

auto SoakFaults::replaceCrashed() -> void
{
    for (std::size_t engine = 0; engine < fleet_.engines.size(); ++engine) {
        if (fleet_.engines[engine].hasCrashed && replacedEngines_.insert(engine).second) {
            later(LAPSE_TIME, "engine crash", std::nullopt, [this, engine] {
                fleet_.removeEntry(engine);
                fleet_.addEngine();
            });
        }
    }
}

auto SoakFaults::limitEngine() -> void
{
    const BootTime now = BootClock::now();
    const BootTime end = startedAt_ + LIMIT_BEGIN + LIMIT_TIME;
    if (now < startedAt_ + LIMIT_BEGIN) {
        return;
    }
    const auto living = fleet_.livingEngines();
    const bool isNamed = !limits_.empty() && limits_.back().end > now;
    if (isNamed && std::find(living.begin(), living.end(), limits_.back().engine) == living.end()) {
        limits_.back().end = now;
    } else if (!isNamed && now < end && !living.empty()) {
        limits_.push_back({ living.front(), LIMIT_PER_SECOND, now, end });
        fleet_.engines[living.front()].server->behaviour().limit = absl::StrCat(LIMIT_PER_SECOND);
    } else if (!isNamed && !limits_.empty()) {
        fleet_.engines[limits_.back().engine].server->behaviour().limit.clear();
    }
}

auto SoakFaults::leaveEngine() -> void
{
    const auto living = fleet_.livingEngines();
    if (living.size() <= SMALLEST_ENGINE_COUNT) {
        return;
    }
    const std::size_t engine = living[random_() % living.size()];
    fleet_.addEngine();
    fleet_.beginLeave(engine);
    ++pending_;
    timers_.push_back(fleet_.loop.at(BootClock::now() + LEAVE_TIME, [this, engine] {
        --pending_;
        fleet_.removeEntry(engine);
    }));
}

auto SoakFaults::undisturbedProcess() -> std::optional<std::size_t>
{
    std::vector<std::size_t> found;
    for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
        if (!isProcessDisturbed_[daemon]) {
            found.push_back(daemon);
        }
    }
    return found.size() * 2 <= fleet_.daemons.size() ? std::nullopt : std::optional(found[random_() % found.size()]);
}

auto SoakFaults::freezeProcess() -> void
{
    const auto daemon = undisturbedProcess();
    if (!daemon) {
        return;
    }
    isProcessDisturbed_[*daemon] = true;
    fleet_.daemons[*daemon].process->signal(SIGSTOP);
    later(Milliseconds(between(200, 4000)), "freeze", daemon, [this, daemon] {
        fleet_.daemons[*daemon].process->signal(SIGCONT);
        isProcessDisturbed_[*daemon] = false;
    });
}

auto SoakFaults::killProcess() -> void
{
    const auto daemon = undisturbedProcess();
    if (!daemon) {
        return;
    }
    isProcessDisturbed_[*daemon] = true;
    fleet_.daemons[*daemon].process->kill();
    later(Milliseconds(between(50, 2500)), "kill", daemon, [this, daemon] {
        fleet_.startDaemon(*daemon);
        isProcessDisturbed_[*daemon] = false;
    });
}

auto SoakFaults::terminateProcess() -> void
{
    const auto daemon = undisturbedProcess();
    if (!daemon) {
        return;
    }
    if (between(0, 3) == 0) {
        fleet_.daemons[*daemon].process->signal(SIGHUP);
        return;
    }
    isProcessDisturbed_[*daemon] = true;
    disturbances_.push_back({ "terminate", daemon, BootClock::now(), BootClock::now() + GRACE_TIME, {} });
    fleet_.daemons[*daemon].process->signal(SIGTERM);
    awaitTermination(*daemon, BootClock::now() + GRACE_TIME);
}

auto SoakFaults::awaitTermination(std::size_t daemon, BootTime deadline) -> void
{
    timers_.push_back(fleet_.loop.at(BootClock::now() + POLL_PERIOD, [this, daemon, deadline] {
        const auto status = fleet_.daemons[daemon].process->awaitExit(Milliseconds(0));
        if (!status && BootClock::now() < deadline) {
            awaitTermination(daemon, deadline);
            return;
        }
        if (!status) {
            processFaults_.push_back(absl::StrCat(fleet_.daemons[daemon].name, " did not end within the grace time"));
            fleet_.daemons[daemon].process->kill();
        } else if (*status != 0) {
            processFaults_.push_back(absl::StrCat(fleet_.daemons[daemon].name, " ended its shutdown with wait status ", *status));
        }
        fleet_.startDaemon(daemon);
        isProcessDisturbed_[daemon] = false;
    }));
}

auto SoakFaults::changeConfiguration() -> void
{
    fleet_.configure(withdrawnAt_ ? "" : THIRD_KEY);
    callers_.setThirdKey(THIRD_KEY);
}

auto SoakFaults::checkProcesses() -> void
{
    for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
        if (isProcessDisturbed_[daemon]) {
            continue;
        }
        const auto status = fleet_.daemons[daemon].process->awaitExit(Milliseconds(0));
        if (status) {
            processFaults_.push_back(absl::StrCat(fleet_.daemons[daemon].name, " ended by itself with wait status ", *status));
            fleet_.startDaemon(daemon);
        }
    }
}

} // namespace poplardock
