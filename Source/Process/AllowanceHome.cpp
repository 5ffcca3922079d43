#include "Process/AllowanceHome.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

/// Maximum age of the fleet state snapshot on which a decision is based. Part of the margin in TAKEOVER_WAIT.
constexpr Milliseconds SNAPSHOT_LIFETIME { 100 };
constexpr int SNAPSHOT_ATTEMPTS = 10;
/// If versions were skipped within this time after a confirmation, no other home can have acted on them: it would
/// have started TAKEOVER_WAIT after the first of them and stopped FRESHNESS_BOUND after the last.
constexpr Milliseconds SKIPPED_VERSIONS_BOUND = TAKEOVER_WAIT - FRESHNESS_BOUND;
/// Retry hint for requests to a home that must not act.
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

auto AllowanceHome::rejoinAs(Member self) -> void
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
        // Otherwise a new version was installed in between, and the values may belong to that one.
        if (state_.current()->revision == taken.version->revision) {
            return taken;
        }
    }
}

auto AllowanceHome::acquire(const std::string &team) -> HomeResponse
{
    TimePoint spentAt;
    HomeResponse response = withAccount(team, [&spentAt](AllowanceAccount &account, TimePoint now) {
        spentAt = now;
        return account.acquire(now);
    });
    const auto *loan = std::get_if<LoanResponse>(&response);
    if (loan != nullptr && loan->granted == 1 && options_.recorder) {
        options_.recorder(team, spentAt);
    }
    return response;
}

auto AllowanceHome::lend(const LoanRequest &request) -> HomeResponse
{
    if (request.revision > state_.current()->revision) {
        state_.noteRevision(request.revision);
    }
    return withAccount(request.team, [&request](AllowanceAccount &account, TimePoint now) { return account.lend(request, now); });
}

auto AllowanceHome::withAccount(const std::string &team, const AccountOperation &operation) -> HomeResponse
{
    for (int attempt = 0; attempt < SNAPSHOT_ATTEMPTS; ++attempt) {
        const Snapshot taken = snapshot();
        const std::lock_guard lock(mutex_);
        const TimePoint now = options_.clock();
        const bool isOutdated = now - taken.takenAt > SNAPSHOT_LIFETIME || (version_ && taken.version->revision < version_->revision);
        if (!isOutdated) {
            return withAccountLocked(team, taken, now, operation);
        }
    }
    return HomeNotActing { "the daemon is too busy to check its configuration", NOT_ACTING_RETRY };
}

auto AllowanceHome::withAccountLocked(const std::string &team, const Snapshot &snapshot, TimePoint now, const AccountOperation &operation)
    -> HomeResponse
{
    applySnapshot(snapshot);
    const auto found = entries_.find(team);
    if (found == entries_.end() || std::holds_alternative<Departed>(found->second)) {
        return NotHomeResponse { version_->revision };
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
        return HomeNotActing { "the home of the team has not yet taken over", NOT_ACTING_RETRY };
    }
    account->bucket().setLimit(limitOf(team, now), now);
    return operation(*account, now);
}

auto AllowanceHome::applySnapshot(const Snapshot &snapshot) -> void
{
    if (!version_ || snapshot.version->revision > version_->revision) {
        installVersion(snapshot);
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

auto AllowanceHome::installVersion(const Snapshot &snapshot) -> void
{
    FleetVersionPointer previous = version_;
    const bool hasSkippedVersions = previous && snapshot.version->revision > previous->revision + 1;
    if (hasSkippedVersions && snapshot.takenAt - versionConfirmedAt_ > SKIPPED_VERSIONS_BOUND) {
        Log::warning(Part::Allowance, "Versions were missed; all buckets start empty.");
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
        reassignEntries(members, snapshot.takenAt);
    }
    addMissingEntries(*version_, previous.get());
    applyLimits(snapshot.takenAt);
}

auto AllowanceHome::applyLimits(TimePoint now) -> void
{
    for (auto &[team, entry] : entries_) {
        auto *account = std::get_if<AllowanceAccount>(&entry);
        // A removed team keeps its bucket and last limit until the bucket is full, in case the team is added again.
        if (account != nullptr && version_->configuration.findTeam(team) != nullptr) {
            account->bucket().setLimit(limitOf(team, now), now);
        }
    }
}

auto AllowanceHome::reassignEntries(const MemberTable &members, TimePoint now) -> void
{
    std::set<DaemonId> borrowers;
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
            // After a second change of home the bucket may be stale, since the first successor may have acted.
            entry = entries_.erase(entry);
            continue;
        }
        account->bucket().advance(now);
        entry->second = Entry(Departed { std::move(account->bucket()), *home, now + TAKEOVER_WAIT });
        ++entry;
    }
}

auto AllowanceHome::addMissingEntries(const FleetVersion &version, const FleetVersion *previous) -> void
{
    const bool isSameTable = previous != nullptr && previous->members == version.members;
    for (const Team &team : version.configuration.data().teams) {
        if (entries_.contains(team.name) || (isSameTable && previous->configuration.findTeam(team.name) != nullptr)) {
            continue;
        }
        if (!isSelf(version.members.homeOf(team.name, self_.region))) {
            continue;
        }
        // A new team in an unchanged table had no earlier home: it waits only for the takeover wait of the table, which
        // may already be over.
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
    // Homes in a removed region may act until the takeover wait ends; until then the region keeps its share.
    const auto waitEnd = waitEndsAt();
    if (earlierRegions_.empty() || (waitEnd && now >= *waitEnd)) {
        return regionAllowance(*found, regions_, self_.region);
    }
    std::set<std::string> regions = earlierRegions_;
    regions.insert(regions_.begin(), regions_.end());
    return regionAllowance(*found, regions, self_.region);
}

auto AllowanceHome::handOver(const HandoverRequest &request) -> HandoverResponse
{
    const Snapshot taken = snapshot();
    if (taken.version->revision < request.revision) {
        // Until this daemon has that revision, it no longer acts as a home.
        state_.noteRevision(request.revision);
        return { HandoverOutcome::RevisionMissing, 0, {}, {} };
    }
    const std::lock_guard lock(mutex_);
    applySnapshot(taken);
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
        applySnapshot(taken);
        advanceEntries(taken.takenAt);
        pending = pendingHandovers();
    }
    std::set<std::string> unreachable;
    for (const PendingHandover &item : pending) {
        if (!unreachable.contains(item.earlierHome.address) && !requestHandover(item)) {
            unreachable.insert(item.earlierHome.address);
        }
    }
}

auto AllowanceHome::advanceEntries(TimePoint now) -> void
{
    const auto waitEnd = waitEndsAt();
    if (waitEnd && now >= *waitEnd) {
        earlierRegions_.clear();
    }
    applyLimits(now);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        startIfDue(entry->first, entry->second, now);
        const auto *departed = std::get_if<Departed>(&entry->second);
        auto *account = std::get_if<AllowanceAccount>(&entry->second);
        const bool isObsolete
            = (departed != nullptr && now >= departed->dropAt) || (account != nullptr && isDroppable(entry->first, *account, now));
        entry = isObsolete ? entries_.erase(entry) : std::next(entry);
    }
}

auto AllowanceHome::isDroppable(const std::string &team, AllowanceAccount &account, TimePoint now) const -> bool
{
    if (version_->configuration.findTeam(team) != nullptr) {
        return false;
    }
    // If the team is added again, it starts with a full bucket anyway.
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

auto AllowanceHome::requestHandover(const PendingHandover &pending) -> bool
{
    const HandoverRequest request { pending.team, pending.revision, pending.successor.name, pending.successor.incarnation };
    const CallResult result
        = peers_.clientFor(pending.earlierHome.address)
              ->call({ "POST", "/peers/handover", Json::toText(*poplardock::toJson(request)), {}, options_.handoverTimeout });
    const auto *http = std::get_if<HttpResponse>(&result);
    if (http == nullptr || http->status != 200) {
        return false;
    }
    const auto body = Json::parseObject(http->body);
    // The remaining time of the loans is counted from receipt, so they expire here later than at the earlier home,
    // never earlier.
    const auto response = body.ok() ? handoverResponseFromJson(**body, options_.clock()) : body.status();
    if (!response.ok()) {
        Log::warning(Part::Allowance, absl::StrCat("A handover response is malformed: ", response.status().message()));
        return false;
    }
    handleHandoverResponse(pending, *response);
    return true;
}

auto AllowanceHome::handleHandoverResponse(const PendingHandover &pending, const HandoverResponse &response) -> void
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock();
    const auto found = entries_.find(pending.team);
    auto *waiting = found == entries_.end() ? nullptr : std::get_if<Waiting>(&found->second);
    if (waiting == nullptr || waiting->serial != pending.serial || response.outcome == HandoverOutcome::RevisionMissing) {
        return;
    }
    if (response.outcome == HandoverOutcome::NoBucket) {
        waiting->earlierHome.reset();
        return;
    }
    earlierRegions_.insert(response.earlierRegions.begin(), response.earlierRegions.end());
    AllowanceBucket bucket(limitOf(pending.team, now), response.level, now);
    for (const Loan &loan : response.loans) {
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
