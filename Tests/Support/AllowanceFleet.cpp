#include "Support/AllowanceFleet.h"

#include "Connection/AllowanceRoutes.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <stdexcept>

namespace poplardock {

namespace {

constexpr Milliseconds STEP { 100 };

} // namespace

auto ManualClock::now() const -> TimePoint
{
    return TimePoint(sinceStart_.load());
}

auto ManualClock::advance(Duration by) -> void
{
    sinceStart_ = sinceStart_.load() + by;
}

AllowanceFleet::Daemon::Daemon(Member record, const TimeSource &clock, const AdmissionRecorder &recorder)
    : member(std::move(record))
    , state(member.name)
    , home(member, state, peers, { clock, recorder })
    // The timeout only bounds a hang; no test waits for it to pass.
    , client(state, home, peers, { clock, recorder, Milliseconds(5000) })
{
    addAllowanceRoutes(router, home);
    const auto handler = [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
        if (answersToLose > 0) {
            --answersToLose;
            response.setKeepAlive(false);
            response.setContentLength(1 << 20);
        }
        router.handle(request, response);
    };
    service = *HttpService::start("127.0.0.1:0", { 64, 64 }, handler);
    member.address = service->address();
}

auto AllowanceFleet::Daemon::acquire(const std::string &team) -> AllowanceDecision
{
    return client.acquire(team, home.now());
}

auto AllowanceFleet::Daemon::admits(const std::string &team) -> bool
{
    return std::holds_alternative<Admitted>(acquire(team));
}

AllowanceFleet::AllowanceFleet(const std::vector<std::string> &regions, std::vector<Team> teams, bool useRealClock)
    : useRealClock_(useRealClock)
    , teams_(std::move(teams))
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
        entry->service->stop();
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
    daemons_.push_back(std::make_unique<Daemon>(Member { name, "127.0.0.1:1", "c", region, 1, name + "-1", {} }, source, recorder));
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
        if (!entry->isPaused) {
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
        if (entry->isPaused) {
            continue;
        }
        entry->state.confirm(version_->revision, now(), true);
        for (const auto &other : daemons_) {
            if (!other->isPaused) {
                entry->state.recordHeard(other->member.name, now());
            }
        }
    }
}

auto AllowanceFleet::run(Duration time) -> void
{
    const TimePoint end = now() + time;
    while (now() < end) {
        clock.advance(STEP);
        confirm();
        for (const auto &entry : daemons_) {
            if (!entry->isPaused) {
                entry->home.maintain();
                entry->client.maintain();
            }
        }
    }
}

auto AllowanceFleet::runTakeoverWait() -> void
{
    run(TAKEOVER_WAIT + 2 * STEP);
}

auto AllowanceFleet::now() const -> TimePoint
{
    return useRealClock_ ? Clock::now() : clock.now();
}

} // namespace poplardock
