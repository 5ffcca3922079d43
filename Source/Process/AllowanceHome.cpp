#include "Process/AllowanceHome.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

/// A decision follows a snapshot of the fleet state by at most this; it is part of the margin in TAKEOVER_WAIT.
constexpr Milliseconds SNAPSHOT_LIFETIME { 100 };
constexpr int SNAPSHOT_ATTEMPTS = 10;
/// Versions that were skipped within this time after a confirmation cannot have let another home act: it
/// would have begun TAKEOVER_WAIT after the first of them and ended FRESHNESS_BOUND after the last.
constexpr Milliseconds SKIPPED_VERSIONS_BOUND = TAKEOVER_WAIT - FRESHNESS_BOUND;
/// Hint for a request that meets a home before its wait has ended.
constexpr Milliseconds NOT_ACTING_RETRY { 200 };

auto regionsOf(const MemberTable &members) -> std::set<std::string>
{
    std::set<std::string> regions;
    for (const Member &member : members.members()) {
        regions.insert(member.region);
    }
    return regions;
}

auto isSameProcess(const Member &left, const Member &right) -> bool
{
    return left.name == right.name && left.incarnation == right.incarnation;
}

} // namespace

AllowanceHome::AllowanceHome(Member self, FleetState &state, PeerClients &peers, Options options)
    : self_(std::move(self))
    , state_(state)
    , peers_(peers)
    , options_(std::move(options))
{
}

auto AllowanceHome::joinAs(Member self) -> void
{
    const std::lock_guard lock(mutex_);
    self_ = std::move(self);
    version_ = nullptr;
    waitBeganAt_.reset();
    entries_.clear();
}

auto AllowanceHome::self() const -> Member
{
    const std::lock_guard lock(mutex_);
    return self_;
}

auto AllowanceHome::now() const -> TimePoint
{
    return options_.clock();
}

auto AllowanceHome::isSelf(const Member *member) const -> bool
{
    return member != nullptr && isSameProcess(*member, self_);
}

auto AllowanceHome::snapshot() const -> Snapshot
{
    for (;;) {
        Snapshot taken;
        taken.version = state_.current();
        taken.takenAt = now();
        taken.mayAct = state_.mayAct(taken.takenAt);
        taken.mayStartWait = state_.hasStoreContact(taken.takenAt) && state_.hasHeardMajorityWithCurrentRevision(taken.takenAt);
        taken.confirmedAt = state_.confirmedAt();
        // The answers must not belong to a newer version than the one that is acted on.
        if (state_.current()->revision == taken.version->revision) {
            return taken;
        }
    }
}

auto AllowanceHome::spend(const std::string &team) -> HomeAnswer
{
    TimePoint spentAt;
    HomeAnswer answer = perform(team, [&spentAt](AllowanceAccount &account, TimePoint now) {
        spentAt = now;
        return account.spend(now);
    });
    const auto *granted = std::get_if<LoanAnswer>(&answer);
    if (granted != nullptr && granted->granted == 1 && options_.recorder) {
        options_.recorder(team, spentAt);
    }
    return answer;
}

auto AllowanceHome::lend(const LoanRequest &request) -> HomeAnswer
{
    if (request.revision > state_.current()->revision) {
        state_.noteRevision(request.revision);
    }
    return perform(request.team, [&request](AllowanceAccount &account, TimePoint now) { return account.lend(request, now); });
}

auto AllowanceHome::perform(const std::string &team, const Action &action) -> HomeAnswer
{
    for (int attempt = 0; attempt < SNAPSHOT_ATTEMPTS; ++attempt) {
        const Snapshot taken = snapshot();
        const std::lock_guard lock(mutex_);
        const TimePoint now = options_.clock();
        const bool isOutdated = now - taken.takenAt > SNAPSHOT_LIFETIME || (version_ && taken.version->revision < version_->revision);
        if (!isOutdated) {
            return performLocked(team, taken, now, action);
        }
    }
    return HomeNotActing { "the daemon is too busy to check its configuration", NOT_ACTING_RETRY };
}

auto AllowanceHome::performLocked(const std::string &team, const Snapshot &snapshot, TimePoint now, const Action &action) -> HomeAnswer
{
    observe(snapshot);
    const auto found = entries_.find(team);
    if (found == entries_.end() || std::holds_alternative<Departed>(found->second)) {
        return NotHomeAnswer { version_->revision };
    }
    if (!snapshot.mayAct) {
        return HomeNotActing { "the home of the team cannot confirm its configuration", NOT_ACTING_RETRY };
    }
    if (version_->configuration.findTeam(team) == nullptr) {
        return HomeNotActing { "the team is unknown", NOT_ACTING_RETRY };
    }
    startIfDue(team, found->second, now);
    auto *account = std::get_if<AllowanceAccount>(&found->second);
    if (account == nullptr) {
        return HomeNotActing { "the home of the team waits until its predecessor has ceased to act", NOT_ACTING_RETRY };
    }
    account->bucket().setLimit(limitOf(team, now), now);
    return action(*account, now);
}

auto AllowanceHome::observe(const Snapshot &snapshot) -> void
{
    if (!version_ || snapshot.version->revision > version_->revision) {
        install(snapshot);
    }
    if (snapshot.version->revision < version_->revision) {
        return;
    }
    versionConfirmedAt_ = snapshot.confirmedAt.value_or(versionConfirmedAt_);
    if (waitBeganAt_ || !snapshot.mayStartWait) {
        return;
    }
    waitBeganAt_ = snapshot.takenAt;
    for (auto &[team, entry] : entries_) {
        auto *waiting = std::get_if<Waiting>(&entry);
        if (waiting != nullptr && !waiting->startsAt) {
            waiting->startsAt = waitEndsAt();
        }
    }
}

auto AllowanceHome::install(const Snapshot &snapshot) -> void
{
    FleetVersionPointer previous = version_;
    const bool hasSkipped = previous && snapshot.version->revision > previous->revision + 1;
    if (hasSkipped && snapshot.takenAt - versionConfirmedAt_ > SKIPPED_VERSIONS_BOUND) {
        Log::warning(Part::Allowance, "Versions were missed; all buckets start again.");
        entries_.clear();
        previous = nullptr;
    }
    const MemberTable &members = snapshot.version->members;
    version_ = snapshot.version;
    if (!previous || previous->members != members) {
        if (previous) {
            earlierRegions_.merge(regionsOf(previous->members));
        }
        regions_ = regionsOf(members);
        waitBeganAt_.reset();
        moveEntries(members, snapshot.takenAt);
    }
    addEntries(*version_, previous.get());
    applyLimits(snapshot.takenAt);
}

auto AllowanceHome::applyLimits(TimePoint now) -> void
{
    for (auto &[team, entry] : entries_) {
        auto *account = std::get_if<AllowanceAccount>(&entry);
        // A team that is not configured keeps its bucket until it is full, in case it is added again.
        if (account != nullptr && version_->configuration.findTeam(team) != nullptr) {
            account->bucket().setLimit(limitOf(team, now), now);
        }
    }
}

auto AllowanceHome::moveEntries(const MemberTable &members, TimePoint now) -> void
{
    std::set<ProcessName> borrowers;
    for (const Member &member : members.members()) {
        borrowers.emplace(member.name, member.incarnation);
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const Member *home = members.homeOf(entry->first, self_.region);
        const auto *departed = std::get_if<Departed>(&entry->second);
        auto *account = std::get_if<AllowanceAccount>(&entry->second);
        const bool isKept = departed != nullptr ? home != nullptr && isSameProcess(departed->successor, *home) : isSelf(home);
        if (isKept) {
            if (account != nullptr) {
                account->retainBorrowers(borrowers);
            }
            ++entry;
            continue;
        }
        if (account == nullptr || home == nullptr) {
            // After a second change of home the bucket may be outdated: the first successor may have acted.
            entry = entries_.erase(entry);
            continue;
        }
        account->bucket().advance(now);
        entry->second = Entry(Departed { std::move(account->bucket()), *home, now + TAKEOVER_WAIT });
        ++entry;
    }
}

auto AllowanceHome::addEntries(const FleetVersion &version, const FleetVersion *previous) -> void
{
    const bool isSameTable = previous != nullptr && previous->members == version.members;
    for (const Team &team : version.configuration.data().teams) {
        if (entries_.contains(team.name) || (isSameTable && previous->configuration.findTeam(team.name) != nullptr)) {
            continue;
        }
        if (!isSelf(version.members.homeOf(team.name, self_.region))) {
            continue;
        }
        // A new team in an old table needs no wait beyond that of the table, which may be over.
        const auto earlierHome = isSameTable ? std::nullopt : earlierHomeOf(team.name, version.members, previous);
        entries_.emplace(team.name, Waiting { earlierHome, waitEndsAt(), nextSerial_++ });
    }
}

auto AllowanceHome::earlierHomeOf(const std::string &team, const MemberTable &members, const FleetVersion *previous) const
    -> std::optional<Member>
{
    const MemberTable earlier
        = previous != nullptr && !previous->members.members().empty() ? previous->members : members.without(self_.name);
    const Member *home = earlier.homeOf(team, self_.region);
    if (home == nullptr || home->name == self_.name) {
        return std::nullopt;
    }
    return *home;
}

auto AllowanceHome::waitEndsAt() const -> std::optional<TimePoint>
{
    return waitBeganAt_ ? std::optional(*waitBeganAt_ + TAKEOVER_WAIT) : std::nullopt;
}

auto AllowanceHome::startIfDue(const std::string &team, Entry &entry, TimePoint now) -> void
{
    const auto *waiting = std::get_if<Waiting>(&entry);
    if (waiting == nullptr || !waiting->startsAt || now < *waiting->startsAt) {
        return;
    }
    AllowanceBucket bucket(limitOf(team, now), 0, *waiting->startsAt);
    entry = AllowanceAccount(std::move(bucket));
}

auto AllowanceHome::limitOf(const std::string &team, TimePoint now) const -> RegionAllowance
{
    const Team *found = version_->configuration.findTeam(team);
    if (found == nullptr) {
        return {};
    }
    // While homes of a region that has vanished may still act, their share is theirs.
    const auto end = waitEndsAt();
    if (earlierRegions_.empty() || (end && now >= *end)) {
        return regionAllowance(*found, regions_, self_.region);
    }
    std::set<std::string> regions = earlierRegions_;
    regions.insert(regions_.begin(), regions_.end());
    return regionAllowance(*found, regions, self_.region);
}

auto AllowanceHome::handOver(const HandoverRequest &request) -> HandoverAnswer
{
    const Snapshot taken = snapshot();
    if (taken.version->revision < request.revision) {
        // From now on this daemon does not act until it has that revision.
        state_.noteRevision(request.revision);
        return { HandoverOutcome::RevisionMissing, 0, {}, {} };
    }
    const std::lock_guard lock(mutex_);
    observe(taken);
    const auto found = entries_.find(request.team);
    auto *departed = found == entries_.end() ? nullptr : std::get_if<Departed>(&found->second);
    if (departed == nullptr || departed->successor.name != request.successor || departed->successor.incarnation != request.incarnation) {
        return {};
    }
    departed->bucket.advance(options_.clock());
    return {
        HandoverOutcome::HandedOver, departed->bucket.level(), departed->bucket.loans(), { earlierRegions_.begin(), earlierRegions_.end() }
    };
}

auto AllowanceHome::maintain() -> void
{
    std::vector<PendingHandover> pending;
    {
        const Snapshot taken = snapshot();
        const std::lock_guard lock(mutex_);
        observe(taken);
        dropEntries(taken.takenAt);
        pending = pendingHandovers();
    }
    std::set<std::string> unreachable;
    for (const PendingHandover &item : pending) {
        if (!unreachable.contains(item.earlierHome.address) && !askForBucket(item)) {
            unreachable.insert(item.earlierHome.address);
        }
    }
}

auto AllowanceHome::dropEntries(TimePoint now) -> void
{
    const auto end = waitEndsAt();
    if (end && now >= *end) {
        earlierRegions_.clear();
    }
    applyLimits(now);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        startIfDue(entry->first, entry->second, now);
        const auto *departed = std::get_if<Departed>(&entry->second);
        auto *account = std::get_if<AllowanceAccount>(&entry->second);
        const bool isOver
            = (departed != nullptr && now >= departed->dropAt) || (account != nullptr && isUnused(entry->first, *account, now));
        entry = isOver ? entries_.erase(entry) : std::next(entry);
    }
}

auto AllowanceHome::isUnused(const std::string &team, AllowanceAccount &account, TimePoint now) const -> bool
{
    if (version_->configuration.findTeam(team) != nullptr) {
        return false;
    }
    // A full bucket is what the team would start with if it were added again.
    account.bucket().advance(now);
    return account.bucket().level() == account.bucket().limit().burst;
}

auto AllowanceHome::pendingHandovers() const -> std::vector<PendingHandover>
{
    std::vector<PendingHandover> pending;
    for (const auto &[team, entry] : entries_) {
        const auto *waiting = std::get_if<Waiting>(&entry);
        if (waiting != nullptr && waiting->earlierHome && version_->configuration.findTeam(team) != nullptr) {
            pending.push_back({ team, *waiting->earlierHome, self_, waiting->serial, version_->revision });
        }
    }
    return pending;
}

auto AllowanceHome::askForBucket(const PendingHandover &pending) -> bool
{
    const HandoverRequest request { pending.team, pending.revision, pending.successor.name, pending.successor.incarnation };
    const CallResult result
        = peers_.clientFor(pending.earlierHome.address)
              ->call({ "POST", "/peers/handover", Json::toText(*poplardock::toJson(request)), {}, options_.handoverTimeout });
    const auto *http = std::get_if<HttpAnswer>(&result);
    if (http == nullptr || http->status != 200) {
        return false;
    }
    const auto body = Json::parseObject(http->body);
    // Loans count from the receipt, which only makes them lapse later here than at the earlier home.
    const auto answer = body.ok() ? handoverAnswerFromJson(**body, options_.clock()) : body.status();
    if (!answer.ok()) {
        Log::warning(Part::Allowance, absl::StrCat("A handover answer is malformed: ", answer.status().message()));
        return false;
    }
    acceptHandover(pending, *answer);
    return true;
}

auto AllowanceHome::acceptHandover(const PendingHandover &pending, const HandoverAnswer &answer) -> void
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock();
    const auto found = entries_.find(pending.team);
    auto *waiting = found == entries_.end() ? nullptr : std::get_if<Waiting>(&found->second);
    if (waiting == nullptr || waiting->serial != pending.serial || answer.outcome == HandoverOutcome::RevisionMissing) {
        return;
    }
    if (answer.outcome == HandoverOutcome::NoBucket) {
        waiting->earlierHome.reset();
        return;
    }
    earlierRegions_.insert(answer.earlierRegions.begin(), answer.earlierRegions.end());
    AllowanceBucket bucket(limitOf(pending.team, now), answer.level, now);
    for (const Loan &loan : answer.loans) {
        bucket.restore(loan);
    }
    found->second = AllowanceAccount(std::move(bucket));
}

auto AllowanceHome::toJson() const -> JsonObject::Ptr
{
    const std::lock_guard lock(mutex_);
    JsonObject::Ptr object = new JsonObject;
    for (const auto &[team, entry] : entries_) {
        JsonObject::Ptr item = new JsonObject;
        const auto *account = std::get_if<AllowanceAccount>(&entry);
        item->set("state", account != nullptr ? "acting" : std::holds_alternative<Waiting>(entry) ? "waiting" : "departed");
        if (account != nullptr) {
            item->set("level", static_cast<double>(account->bucket().level()) / UNITS_PER_TOKEN);
            item->set("outstanding", static_cast<double>(account->bucket().outstanding()) / UNITS_PER_TOKEN);
        }
        object->set(team, item);
    }
    return object;
}

} // namespace poplardock
