#include "Process/FleetState.h"

#include <algorithm>

namespace poplardock {

FleetState::FleetState(std::string memberName)
    : memberName_(std::move(memberName))
    , version_(std::make_shared<const FleetVersion>())
{
}

auto FleetState::current() const -> FleetVersionPointer
{
    const std::lock_guard lock(mutex_);
    return version_;
}

auto FleetState::install(FleetVersionPointer version, TimePoint confirmedAt) -> bool
{
    const std::lock_guard lock(mutex_);
    if (version->revision < version_->revision) {
        return false;
    }
    const bool isSameRevision = version->revision == version_->revision;
    confirmedAt_ = isSameRevision && confirmedAt_ ? std::max(*confirmedAt_, confirmedAt) : confirmedAt;
    highestKnownRevision_ = std::max(highestKnownRevision_, version->revision);
    version_ = std::move(version);
    return true;
}

auto FleetState::confirm(std::uint64_t revision, TimePoint confirmedAt, bool isDirect) -> void
{
    const std::lock_guard lock(mutex_);
    if (isDirect) {
        directContactAt_ = directContactAt_ ? std::max(*directContactAt_, confirmedAt) : confirmedAt;
    }
    highestKnownRevision_ = std::max(highestKnownRevision_, revision);
    if (revision != version_->revision || revision == 0) {
        return;
    }
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, confirmedAt) : confirmedAt;
}

auto FleetState::noteRevision(std::uint64_t revision) -> void
{
    const std::lock_guard lock(mutex_);
    highestKnownRevision_ = std::max(highestKnownRevision_, revision);
}

auto FleetState::recordHeard(const Member &member, TimePoint sentAt, std::uint64_t sentRevision) -> void
{
    const std::lock_guard lock(mutex_);
    Heard &heard = heard_[member.name];
    if (heard.incarnation != member.incarnation) {
        heard = { member.incarnation, sentAt, sentRevision };
        return;
    }
    heard.sentAt = std::max(heard.sentAt, sentAt);
    heard.sentRevision = std::max(heard.sentRevision, sentRevision);
}

auto FleetState::heardCount(TimePoint now, std::uint64_t lowestRevision) const -> std::size_t
{
    std::size_t count = 0;
    for (const Member &member : version_->members.members()) {
        const auto found = heard_.find(member.name);
        const bool isHeard = found != heard_.end() && found->second.incarnation == member.incarnation
                             && now - found->second.sentAt <= FRESHNESS_BOUND && found->second.sentRevision >= lowestRevision;
        count += member.name == memberName_ || isHeard ? 1 : 0;
    }
    return count;
}

auto FleetState::freshnessLocked(TimePoint now) const -> Freshness
{
    return evaluateFreshness(
        { now, confirmedAt_, version_->revision, highestKnownRevision_, heardCount(now, 0), version_->members.members().size() });
}

auto FleetState::freshness(TimePoint now) const -> Freshness
{
    const std::lock_guard lock(mutex_);
    return freshnessLocked(now);
}

auto FleetState::mayAct(TimePoint now) const -> bool
{
    return freshness(now) != Freshness::Stale;
}

auto FleetState::confirmedAt() const -> std::optional<TimePoint>
{
    const std::lock_guard lock(mutex_);
    return confirmedAt_;
}

auto FleetState::hasStoreContact(TimePoint now) const -> bool
{
    const std::lock_guard lock(mutex_);
    return directContactAt_ && now - *directContactAt_ <= FRESHNESS_BOUND;
}

auto FleetState::hasHeardMajority(TimePoint now) const -> bool
{
    const std::lock_guard lock(mutex_);
    const std::size_t memberCount = version_->members.members().size();
    return memberCount > 0 && 2 * heardCount(now, 0) > memberCount;
}

auto FleetState::hasHeardMajorityWithCurrentRevision(TimePoint now) const -> bool
{
    const std::lock_guard lock(mutex_);
    const std::size_t memberCount = version_->members.members().size();
    return memberCount > 0 && 2 * heardCount(now, version_->revision) > memberCount;
}

auto FleetState::heardAt() const -> std::map<std::string, TimePoint>
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, TimePoint> times;
    for (const auto &[member, heard] : heard_) {
        times.emplace(member, heard.sentAt);
    }
    return times;
}

auto FleetState::highestKnownRevision() const -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    return highestKnownRevision_;
}

auto FleetState::addTombstone(const std::string &keyId) -> void
{
    const std::lock_guard lock(mutex_);
    tombstones_.insert(keyId);
}

auto FleetState::tombstones() const -> std::set<std::string>
{
    const std::lock_guard lock(mutex_);
    return tombstones_;
}

auto FleetState::isWithdrawn(const ApiKey &key) const -> bool
{
    const std::lock_guard lock(mutex_);
    return key.withdrawn || tombstones_.contains(key.id);
}

auto FleetState::memberName() const -> const std::string &
{
    return memberName_;
}

} // namespace poplardock
