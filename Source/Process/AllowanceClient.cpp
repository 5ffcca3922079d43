#include "Process/AllowanceClient.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace poplardock {

namespace {

/// Backoff after a home could not be reached. Meanwhile requests of its teams are refused at once, so that each of them
/// does not wait for its own time-out.
constexpr Milliseconds UNAVAILABLE_BACKOFF { 200 };
/// How often, and after which time, a home that is not acting is asked again: a handover by a daemon that leaves takes a few
/// of these.
constexpr int HANDOVER_RETRIES = 4;
constexpr Milliseconds HANDOVER_RETRY_DELAY { 50 };
/// Borrows that one request waits for. It needs more than one when other requests spend the borrowed tokens first.
constexpr int MAXIMUM_ATTEMPTS = 8;

auto unavailable(std::string reason) -> AllowanceDecision
{
    return AllowanceUnavailable { std::move(reason) };
}

} // namespace

AllowanceClient::AllowanceClient(FleetState &state, AllowanceHome &home, PeerClients &peers, Options options)
    : state_(state)
    , home_(home)
    , peers_(peers)
    , options_(std::move(options))
{
}

auto AllowanceClient::locate(const std::string &team) const -> Location
{
    Location location;
    location.self = home_.self();
    location.version = state_.current();
    location.team = location.version->configuration.findTeam(team);
    location.home = location.version->members.homeOf(team, location.self.region);
    location.isLocal
        = location.home != nullptr && location.home->name == location.self.name && location.home->incarnation == location.self.incarnation;
    return location;
}

auto AllowanceClient::acquire(const std::string &team, TimePoint now, Forwarding forwarding) -> AllowanceDecision
{
    if (state_.current()->configuration.findTeam(team) == nullptr) {
        return unavailable("the team is unknown");
    }
    {
        const std::lock_guard lock(mutex_);
        teams_[team].tokens.recordDemand(now);
    }
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; ++attempt) {
        const Location location = locate(team);
        if (location.team == nullptr || location.home == nullptr) {
            return unavailable("the team has no home in this region");
        }
        if (!location.isLocal) {
            const auto decision = acquireBorrowed(location, forwarding);
            if (decision) {
                return *decision;
            }
            continue;
        }
        const HomeResponse response = home_.acquire(team);
        if (const auto *loan = std::get_if<LoanResponse>(&response)) {
            return loan->granted > 0 ? AllowanceDecision(Admitted {}) : OverAllowance { toRetryAfterSeconds(loan->retryAfter) };
        }
        if (const auto *notActing = std::get_if<HomeNotActing>(&response)) {
            return unavailable(notActing->reason);
        }
    }
    return unavailable("the home of the team could not provide a token");
}

auto AllowanceClient::acquireBorrowed(const Location &location, Forwarding forwarding) -> std::optional<AllowanceDecision>
{
    std::unique_lock lock(mutex_);
    TeamState &entry = teams_[location.team->name];
    const TimePoint now = options_.clock();
    if (entry.tokens.tryAcquire(now)) {
        lock.unlock();
        if (options_.recorder) {
            options_.recorder(location.team->name, now);
        }
        return Admitted {};
    }
    if (auto refusal = entry.tokens.refusal(now)) {
        return refusal;
    }
    if (entry.isBorrowing) {
        ++entry.waiting;
        borrowEnded_.wait(lock, [&entry] { return !entry.isBorrowing; });
        --entry.waiting;
        return std::nullopt;
    }
    const AllowanceSource choice = chooseAllowanceSource(demandOf(location, entry, now));
    const auto *loan = std::get_if<RequestLoan>(&choice);
    if (loan == nullptr && forwarding == Forwarding::Allowed) {
        return ForwardToHome { *location.home };
    }
    const std::int64_t tokens = loan == nullptr ? 1 : loan->tokens;
    entry.isBorrowing = true;
    lock.unlock();
    borrow(location, tokens);
    lock.lock();
    entry.isBorrowing = false;
    borrowEnded_.notify_all();
    return std::nullopt;
}

auto AllowanceClient::demandOf(const Location &location, const TeamState &entry, TimePoint now) -> AllowanceDemand
{
    return {
        entry.tokens.demandPerSecond(now), location.team->ratePerSecond, location.team->burst, location.version->members.members().size()
    };
}

auto AllowanceClient::borrow(const Location &location, std::int64_t want) -> void
{
    BorrowResult result = borrowOnce(location, want, 1);
    // Returns whether this daemon is the home by now.
    const auto retry = [this, &location, &result, want] {
        const Location current = locate(location.team->name);
        if (!current.isLocal && current.team != nullptr && current.home != nullptr) {
            result = borrowOnce(current, want, 1);
        }
        return current.isLocal;
    };
    if ((std::holds_alternative<NotHomeResponse>(result) || std::holds_alternative<CallFailure>(result)) && retry()) {
        return;
    }
    for (int attempt = 0; attempt < HANDOVER_RETRIES && std::holds_alternative<HomeNotActing>(result); ++attempt) {
        options_.pause(HANDOVER_RETRY_DELAY);
        if (retry()) {
            return;
        }
    }
    if (std::holds_alternative<LoanResponse>(result)) {
        return;
    }
    std::string reason = "the home of the team has changed";
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        reason = absl::StrCat("the home of the team cannot be reached: ", failure->reason);
    } else if (const auto *notActing = std::get_if<HomeNotActing>(&result)) {
        reason = notActing->reason;
    }
    const std::lock_guard lock(mutex_);
    teams_[location.team->name].tokens.recordRefusal(unavailable(std::move(reason)), options_.clock() + UNAVAILABLE_BACKOFF);
}

auto AllowanceClient::borrowOnce(const Location &location, std::int64_t want, std::int64_t ownNeed) -> BorrowResult
{
    LoanRequest request;
    TimePoint sentAt;
    {
        const std::lock_guard lock(mutex_);
        TeamState &entry = teams_[location.team->name];
        // One token for each request that waits for this borrow.
        const std::int64_t need = entry.waiting + ownNeed;
        request = makeLoanRequest(location, entry, std::max(want, need), need);
        sentAt = options_.clock();
    }
    BorrowResult result = send(location.home->address, request);
    handleLoanResponse(request, result, sentAt);
    if (const auto *notHome = std::get_if<NotHomeResponse>(&result)) {
        state_.noteRevision(notHome->revision);
    }
    return result;
}

auto AllowanceClient::makeLoanRequest(const Location &location, TeamState &entry, std::int64_t want, std::int64_t need) -> LoanRequest
{
    LoanRequest request;
    request.team = location.team->name;
    request.revision = location.version->revision;
    request.want = want;
    request.need = need;
    request.id = { location.self.name, location.self.incarnation, nextRequestNumber_++ };
    entry.tokens.addSettlement(request);
    return request;
}

auto AllowanceClient::handleLoanResponse(const LoanRequest &request, const BorrowResult &result, TimePoint sentAt) -> void
{
    const auto *response = std::get_if<LoanResponse>(&result);
    if (response == nullptr) {
        return;
    }
    const std::lock_guard lock(mutex_);
    teams_[request.team].tokens.handleResponse(request, *response, sentAt, options_.clock());
}

auto AllowanceClient::send(const std::string &address, const LoanRequest &request) -> BorrowResult
{
    const CallResult result
        = peers_.clientFor(address)->call({ "POST", "/peers/loans", Json::toText(*poplardock::toJson(request)), {}, options_.timeout });
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        return *failure;
    }
    const auto &response = std::get<HttpResponse>(result);
    const auto body = Json::parseObject(response.body);
    if (!body.ok()) {
        return CallFailure { true, std::string(body.status().message()) };
    }
    if (response.status == 200) {
        const auto loan = loanResponseFromJson(**body);
        return loan.ok() ? BorrowResult(*loan) : CallFailure { true, std::string(loan.status().message()) };
    }
    const auto revision = Json::optionalInteger(**body, "revision", -1);
    if (revision.ok() && *revision >= 0) {
        return NotHomeResponse { static_cast<std::uint64_t>(*revision) };
    }
    return HomeNotActing { absl::StrCat("the home of the team responded with status ", response.status), UNAVAILABLE_BACKOFF };
}

auto AllowanceClient::teamsDueForRenewal() -> std::vector<std::string>
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock();
    std::vector<std::string> teams;
    for (auto &[team, entry] : teams_) {
        if (entry.tokens.isReturnDue(now)) {
            teams.push_back(team);
        }
    }
    return teams;
}

auto AllowanceClient::maintain() -> void
{
    std::set<std::string> unreachable;
    for (const std::string &team : teamsDueForRenewal()) {
        const Location location = locate(team);
        const bool hasRemoteHome = location.team != nullptr && location.home != nullptr && !location.isLocal;
        if (hasRemoteHome && !unreachable.contains(location.home->address) && !renew(location)) {
            unreachable.insert(location.home->address);
        }
    }
}

auto AllowanceClient::renew(const Location &location) -> bool
{
    std::int64_t want = 0;
    {
        const std::lock_guard lock(mutex_);
        TeamState &entry = teams_[location.team->name];
        if (entry.isBorrowing) {
            return true;
        }
        entry.isBorrowing = true;
        want = renewalTokens(demandOf(location, entry, options_.clock()));
    }
    const BorrowResult result = borrowOnce(location, want, 0);
    const std::lock_guard lock(mutex_);
    teams_[location.team->name].isBorrowing = false;
    borrowEnded_.notify_all();
    return !std::holds_alternative<CallFailure>(result);
}

auto AllowanceClient::toJson() -> JsonObject::Ptr
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock();
    JsonObject::Ptr object = new JsonObject;
    for (const auto &[team, entry] : teams_) {
        JsonObject::Ptr item = new JsonObject;
        item->set("demand_per_second", entry.tokens.demandPerSecond(now));
        item->set("tokens", entry.tokens.remaining(now));
        item->set("waiting", entry.waiting);
        object->set(team, item);
    }
    return object;
}

} // namespace poplardock
