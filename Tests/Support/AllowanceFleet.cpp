#include "Support/AllowanceFleet.h"

#include "Connection/AllowanceRoutes.h"
#include "Connection/HttpReply.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <stdexcept>
#include <thread>
#include <tuple>

namespace poplardock {

namespace {

constexpr Milliseconds STEP { 100 };
/// Time-out of calls, far above the duration of any test: only a hang reaches it.
constexpr Milliseconds HANG_TIMEOUT { 60'000 };

} // namespace

auto ManualClock::now() const -> TimePoint
{
    return TimePoint(sinceStart_.load());
}

auto ManualClock::advance(Duration by) -> void
{
    sinceStart_ = sinceStart_.load() + by;
}

AllowanceFleet::Daemon::Daemon(Member record,
                               const TimeSource &clock,
                               const AdmissionRecorder &recorder,
                               std::function<void(Milliseconds)> pause)
    : member(std::move(record))
    , state(member.name)
    , home(member, state, peers, { clock, recorder, HANG_TIMEOUT })
    , client(state, home, peers, { clock, recorder, HANG_TIMEOUT, std::move(pause) })
{
    addAllowanceRoutes(router, home);
    service = *HttpService::start("127.0.0.1:0", { 64, 64 }, [this](auto &request, auto &response) { handle(request, response); });
    member.address = service->address();
}

auto AllowanceFleet::Daemon::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    while (isStalled) {
        std::this_thread::yield();
    }
    const bool isLoan = request.getURI() == "/peers/loans";
    loanRequests += isLoan ? 1 : 0;
    if (!isLoan || responsesToLose <= 0) {
        router.handle(request, response);
        return;
    }
    --responsesToLose;
    const auto body = Json::parseObject(std::get<std::string>(HttpReply::readBody(request, 1U << 16U)));
    std::ignore = home.lend(*loanRequestFromJson(**body));
    response.setKeepAlive(false);
    response.setContentLength(100);
    response.send() << "{";
}

auto AllowanceFleet::Daemon::kill() -> void
{
    isSuspended = true;
    // Closes the listening socket too, so that connections are refused.
    service.reset();
}

auto AllowanceFleet::Daemon::acquire(const std::string &team) -> AllowanceDecision
{
    return client.acquire(team, home.now());
}

auto AllowanceFleet::Daemon::admits(const std::string &team) -> bool
{
    return std::holds_alternative<Admitted>(acquire(team));
}

AllowanceFleet::AllowanceFleet(const std::vector<std::string> &regions, std::vector<Team> teams)
    : teams_(std::move(teams))
    , version_(std::make_shared<const FleetVersion>())
{
    for (const std::string &region : regions) {
        addDaemon(region);
    }
    commit();
}

AllowanceFleet::~AllowanceFleet()
{
    for (const auto &entry : daemons_) {
        entry->peers.retain({});
    }
    // Stops the servers in parallel, since each takes a quarter of a second.
    std::vector<std::thread> threads;
    threads.reserve(daemons_.size());
    for (const auto &entry : daemons_) {
        threads.emplace_back([&entry] { entry->service.reset(); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

auto AllowanceFleet::daemon(std::size_t index) -> Daemon &
{
    return *daemons_.at(index);
}

auto AllowanceFleet::size() const -> std::size_t
{
    return daemons_.size();
}

auto AllowanceFleet::homeOf(const std::string &team, const std::string &region) -> Daemon &
{
    const Member *home = version_->members.homeOf(team, region);
    const auto found = std::find_if(
        daemons_.begin(), daemons_.end(), [home](const auto &entry) { return home != nullptr && entry->member.name == home->name; });
    if (found == daemons_.end()) {
        throw std::logic_error("no home");
    }
    return **found;
}

auto AllowanceFleet::addDaemon(const std::string &region) -> Daemon &
{
    const std::string name = absl::StrCat("d", daemons_.size());
    const TimeSource source = [this]() {
        return now();
    };
    const AdmissionRecorder recorder = [this](const std::string &team, TimePoint at) {
        log.record(team, at);
    };
    const auto pause = [this](Milliseconds /*time*/) {
        if (onPause) {
            onPause();
        }
    };
    const Member member { name, "127.0.0.1:1", "c", region, 1, name + "-1", {} };
    daemons_.push_back(std::make_unique<Daemon>(member, source, recorder, pause));
    return *daemons_.back();
}

auto AllowanceFleet::commit(const std::vector<std::string> &withoutMembers) -> void
{
    std::vector<Member> members;
    for (const auto &entry : daemons_) {
        if (std::find(withoutMembers.begin(), withoutMembers.end(), entry->member.name) == withoutMembers.end()) {
            members.push_back(entry->member);
        }
    }
    Configuration::Data data;
    data.teams = teams_;
    auto version = std::make_shared<FleetVersion>();
    version->revision = version_->revision + 1;
    version->configuration = Configuration::create(data).value();
    version->members = MemberTable::create(members).value();
    version_ = std::move(version);
    for (const auto &entry : daemons_) {
        if (!entry->isSuspended) {
            install(*entry);
        }
    }
    confirm();
}

auto AllowanceFleet::setTeams(std::vector<Team> teams) -> void
{
    teams_ = std::move(teams);
}

auto AllowanceFleet::install(Daemon &target) -> void
{
    target.state.install(version_, now());
}

auto AllowanceFleet::confirm() -> void
{
    for (const auto &entry : daemons_) {
        if (entry->isSuspended) {
            continue;
        }
        entry->state.confirm(version_->revision, now(), true);
        for (const auto &other : daemons_) {
            if (!other->isSuspended) {
                entry->state.recordHeard(other->member, now(), entry->state.current()->revision);
            }
        }
    }
}

auto AllowanceFleet::run(Duration time) -> void
{
    const TimePoint end = now() + time;
    do {
        clock.advance(std::min<Duration>(STEP, end - now()));
        confirm();
        for (const auto &entry : daemons_) {
            if (!entry->isSuspended) {
                entry->home.maintain();
                entry->client.maintain();
            }
        }
    } while (now() < end);
}

auto AllowanceFleet::runUnderLoad(const std::string &team, double perSecond, Duration time, std::mt19937_64 &random) -> int
{
    constexpr Milliseconds LOAD_STEP { 5 };
    std::poisson_distribution<int> count(perSecond * std::chrono::duration<double>(LOAD_STEP).count());
    std::uniform_int_distribution<std::size_t> randomDaemon(0, daemons_.size() - 1);
    int sent = 0;
    for (TimePoint end = now() + time, next = now(); now() < end;) {
        if (now() >= next) {
            run(Duration(0));
            next += STEP;
        }
        clock.advance(LOAD_STEP);
        for (int remaining = count(random); remaining > 0; --remaining) {
            Daemon &target = *daemons_[randomDaemon(random)];
            if (!target.isSuspended) {
                std::ignore = target.acquire(team);
                ++sent;
            }
        }
    }
    return sent;
}

auto AllowanceFleet::loanRequests() const -> int
{
    int count = 0;
    for (const auto &entry : daemons_) {
        count += entry->loanRequests;
    }
    return count;
}

auto AllowanceFleet::runTakeoverWait() -> void
{
    run(TAKEOVER_WAIT + 2 * STEP);
}

auto AllowanceFleet::now() const -> TimePoint
{
    return clock.now();
}

} // namespace poplardock
