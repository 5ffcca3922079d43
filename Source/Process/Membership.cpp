#include "Process/Membership.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr std::int64_t SHORTEST_PERIOD_MS = 800;
constexpr std::int64_t LONGEST_PERIOD_MS = 1200;
constexpr Milliseconds FIRST_PAUSE { 50 };
constexpr Milliseconds LONGEST_PAUSE { 2000 };
/// 400 daemons then read the VM list 133 times a second, of about 2,000 reads the store takes.
constexpr Milliseconds VM_LIST_PERIOD { 3000 };
/// A revision that somebody claimed and that the store does not have after this time does not exist. Longer
/// than a store call with its time-out and the resolution of a lost answer.
constexpr Milliseconds FALSE_REVISION_WAIT { 10000 };
constexpr Milliseconds REJOIN_LIMIT { 5000 };

} // namespace

Membership::Membership(StoreClient &store,
                       FleetState &state,
                       VersionWatcher &watcher,
                       RootCommitter &committer,
                       PeerExchange &exchange,
                       Member self,
                       std::uint64_t seed)
    : store_(store)
    , state_(state)
    , watcher_(watcher)
    , committer_(committer)
    , exchange_(exchange)
    , self_(std::move(self))
    , random_(seed)
{
}

Membership::~Membership()
{
    stop();
}

auto Membership::renewIncarnation() -> Member
{
    Member record;
    {
        const std::lock_guard lock(mutex_);
        // The time keeps the incarnations of two starts apart even when their seeds are equal.
        const std::int64_t time = WallClock::now().time_since_epoch().count();
        self_.incarnation = absl::StrCat(absl::Hex(time), "-", absl::Hex(random_() & 0xffffffU, absl::kZeroPad6));
        record = self_;
    }
    exchange_.setIncarnation(record.incarnation);
    return record;
}

auto Membership::hasMajorityFor(const FleetVersion &base) -> bool
{
    for (const Member &member : base.members.members()) {
        static_cast<void>(exchange_.exchangeWith(member));
    }
    return state_.current()->revision == base.revision && state_.hasHeardMajorityWithCurrentRevision(Clock::now());
}

auto Membership::commitJoin(const Member &record) -> absl::Status
{
    const auto version = committer_.commit([this, &record](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        const Member *known = base.members.find(record.name);
        if (known != nullptr && *known == record) {
            return FleetChange();
        }
        // A new name needs a majority of the table that it joins, so that majorities of successive tables meet.
        if (known == nullptr && !base.members.members().empty() && !hasMajorityFor(base)) {
            return absl::UnavailableError("no majority of the members answers; an operator can remove lost members");
        }
        return FleetChange { std::nullopt, base.members.with(record) };
    });
    return version.status();
}

auto Membership::joinOnce() -> absl::Status
{
    Member record;
    bool isFirstJoin = false;
    {
        const std::lock_guard lock(mutex_);
        record = self_;
        isFirstJoin = !hasJoined_;
    }
    // Before the first join no thread watches the root, and other daemons may be joining meanwhile.
    const absl::Status loaded = isFirstJoin ? watcher_.loadInitial() : absl::OkStatus();
    if (absl::IsNotFound(loaded)) {
        const auto table = MemberTable::create({ record });
        return table.ok() ? committer_.createRoot(*table).status() : table.status();
    }
    return loaded.ok() ? commitJoin(record) : loaded;
}

auto Membership::pauseUntil(TimePoint deadline, int attempt) -> bool
{
    std::unique_lock lock(mutex_);
    const Milliseconds longest = std::min(LONGEST_PAUSE, FIRST_PAUSE * (1 << std::min(attempt, 6)));
    const Milliseconds pause(std::uniform_int_distribution<std::int64_t>(longest.count() / 2, longest.count())(random_));
    stopped_.wait_until(lock, std::min(deadline, Clock::now() + pause), [] { return false; });
    return Clock::now() < deadline;
}

auto Membership::join(TimePoint deadline) -> absl::Status
{
    const Member record = renewIncarnation();
    for (int attempt = 0;; ++attempt) {
        absl::Status status = joinOnce();
        if (status.ok()) {
            const std::lock_guard lock(mutex_);
            hasJoined_ = true;
            Log::info(Part::Member, absl::StrCat("Joined as ", record.name, ", incarnation ", record.incarnation, "."));
            return status;
        }
        if (absl::IsFailedPrecondition(status) || absl::IsUnimplemented(status) || !pauseUntil(deadline, attempt)) {
            return status;
        }
        Log::warning(Part::Member, absl::StrCat("Joining is tried again: ", status.message()));
    }
}

auto Membership::leave(TimePoint deadline) -> absl::Status
{
    Member record;
    {
        const std::lock_guard lock(mutex_);
        hasLeft_ = true;
        record = self_;
    }
    for (int attempt = 0;; ++attempt) {
        const auto version = committer_.commit([&record](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
            const Member *known = base.members.find(record.name);
            const bool isOwn = known != nullptr && known->incarnation == record.incarnation;
            return isOwn ? FleetChange { std::nullopt, base.members.without(record.name) } : FleetChange();
        });
        if (version.ok()) {
            Log::info(Part::Member, "Left the member table.");
            return absl::OkStatus();
        }
        if (!pauseUntil(deadline, attempt)) {
            return version.status();
        }
    }
}

auto Membership::incarnation() const -> std::string
{
    const std::lock_guard lock(mutex_);
    return self_.incarnation;
}

auto Membership::isMember() const -> bool
{
    const FleetVersionPointer version = state_.current();
    const Member *record = version->members.find(state_.memberName());
    return record != nullptr && record->incarnation == incarnation();
}

auto Membership::isReplaced() const -> bool
{
    const std::lock_guard lock(mutex_);
    return isReplaced_;
}

auto Membership::checkOwnRecord() -> void
{
    const FleetVersionPointer version = state_.current();
    const Member *record = version->members.find(state_.memberName());
    {
        const std::lock_guard lock(mutex_);
        if (!hasJoined_ || hasLeft_ || isReplaced_) {
            return;
        }
        if (record != nullptr && record->incarnation != self_.incarnation) {
            isReplaced_ = true;
            Log::error(Part::Member, absl::StrCat("Another process joined as ", record->name, ", incarnation ", record->incarnation, "."));
            return;
        }
    }
    if (record == nullptr) {
        Log::warning(Part::Member, "This daemon was removed and joins again.");
        const absl::Status status = join(Clock::now() + REJOIN_LIMIT);
        if (!status.ok()) {
            Log::warning(Part::Member, absl::StrCat("Joining again failed: ", status.message()));
        }
    }
}

auto Membership::readVms(TimePoint now) -> void
{
    if (vmsReadAt_ && now - *vmsReadAt_ < VM_LIST_PERIOD) {
        return;
    }
    vmsReadAt_ = now;
    const auto vms = store_.listVms();
    // An empty list is taken as a fault of the platform, since it would remove every member.
    if (!vms.ok() || vms->empty()) {
        vmAbsentSince_.clear();
        return;
    }
    for (const auto &[vm, state] : *vms) {
        shownVms_.insert(vm);
        vmAbsentSince_.erase(vm);
    }
    for (const std::string &vm : shownVms_) {
        if (!vms->contains(vm)) {
            vmAbsentSince_.emplace(vm, now);
        }
    }
}

auto Membership::removalInput(TimePoint now) -> RemovalInput
{
    RemovalInput input;
    input.self = state_.memberName();
    input.hasStoreContact = state_.hasStoreContact(now);
    input.hasLiveMajority = state_.hasHeardMajorityWithCurrentRevision(now);
    input.ownTimeSinceSeen = exchange_.silence(now);
    for (const auto &[name, report] : exchange_.reports()) {
        if (now - report.sentAt <= FRESHNESS_BOUND) {
            input.reportedTimeSinceSeen.emplace(name, report.silence);
        }
    }
    for (const auto &[vm, since] : vmAbsentSince_) {
        // Counted to the last list, not to the present: the VM may be on a list that was not read yet.
        input.vmAbsence.emplace(vm, std::chrono::duration_cast<Milliseconds>(*vmsReadAt_ - since));
    }
    return input;
}

auto Membership::removeLost(TimePoint now) -> void
{
    const FleetVersionPointer version = state_.current();
    const std::vector<Member> lost = membersToRemove(version->members, removalInput(now));
    if (lost.empty()) {
        return;
    }
    // One member for each commit, and only from the table that the majority was heard with: majorities of
    // successive tables then always meet.
    const Member &member = lost.front();
    const auto committed = committer_.commit([&member, &version](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        if (base.revision != version->revision) {
            return absl::FailedPreconditionError("the version has changed meanwhile");
        }
        return FleetChange { std::nullopt, base.members.without(member.name) };
    });
    const std::string result = committed.ok() ? std::string("done") : std::string(committed.status().message());
    Log::warning(Part::Member, absl::StrCat("Removal of ", member.name, ", incarnation ", member.incarnation, ": ", result, "."));
}

auto Membership::removeByOperator(const std::string &name) -> absl::Status
{
    const auto committed = committer_.commit([&name](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        if (base.members.find(name) == nullptr) {
            return absl::NotFoundError(absl::StrCat("there is no member ", name));
        }
        return FleetChange { std::nullopt, base.members.without(name) };
    });
    if (committed.ok()) {
        Log::warning(Part::Member, absl::StrCat("An operator removed ", name, "."));
    }
    return committed.status();
}

auto Membership::overtakeFalseRevision(TimePoint now) -> void
{
    const std::uint64_t known = state_.highestKnownRevision();
    if (known <= state_.current()->revision || !state_.hasStoreContact(now)) {
        unknownRevisionSince_.reset();
        return;
    }
    unknownRevisionSince_ = unknownRevisionSince_.value_or(now);
    if (now - *unknownRevisionSince_ < FALSE_REVISION_WAIT) {
        return;
    }
    // Without a higher revision every daemon that heard the claim would stay stale. The commit does nothing
    // when the store has the claimed revision or a higher one, and fails when it cannot be read.
    const auto version = committer_.commit([known](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        return base.revision >= known ? FleetChange() : FleetChange { std::nullopt, base.members };
    });
    Log::warning(Part::Version,
                 absl::StrCat("Revision ",
                              known,
                              " was claimed and does not exist; the root is raised above it: ",
                              version.ok() ? std::string("done") : std::string(version.status().message()),
                              "."));
    unknownRevisionSince_.reset();
}

auto Membership::check() -> void
{
    checkOwnRecord();
    readVms(Clock::now());
    removeLost(Clock::now());
    overtakeFalseRevision(Clock::now());
}

auto Membership::start() -> void
{
    thread_ = std::jthread([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            check();
            std::unique_lock lock(mutex_);
            const Milliseconds period(std::uniform_int_distribution<std::int64_t>(SHORTEST_PERIOD_MS, LONGEST_PERIOD_MS)(random_));
            stopped_.wait_for(lock, stop, period, [] { return false; });
        }
    });
}

auto Membership::stop() -> void
{
    thread_.request_stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace poplardock
