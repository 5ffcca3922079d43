#pragma once

#include "Process/FreshnessRule.h"
#include "Version/FleetVersion.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace poplardock {

/// The version of the fleet that this daemon acts on, how well it is confirmed, and withdrawn keys that are
/// not in a version yet. Thread safety: all methods may be called from any thread.
class FleetState
{
public:
    /// The name of this daemon's member record.
    explicit FleetState(std::string memberName);

    /// Never null; revision 0 before the first version is installed.
    [[nodiscard]] auto current() const -> FleetVersionPointer;

    /// Puts a version in force that the store confirmed at the given time. False, with no effect, when its
    /// revision is lower than the one in force.
    auto install(FleetVersionPointer version, TimePoint confirmedAt) -> bool;
    /// Records that the store confirmed this revision at that time; "isDirect" when this daemon asked the
    /// store itself. Ignored unless the revision is the one in force. Times never move back.
    auto confirm(std::uint64_t revision, TimePoint confirmedAt, bool isDirect) -> void;
    /// Records that a revision exists, without a confirmation.
    auto noteRevision(std::uint64_t revision) -> void;
    /// Records that a member answered a request that was sent at that time and named that revision. It counts
    /// as heard only while the version in force names this incarnation: a restarted process has forgotten what
    /// its predecessor was told.
    auto recordHeard(const Member &member, TimePoint sentAt, std::uint64_t sentRevision) -> void;

    [[nodiscard]] auto freshness(TimePoint now) const -> Freshness;
    /// True when keyed routes may be served and this daemon may act as a home.
    [[nodiscard]] auto mayAct(TimePoint now) const -> bool;
    /// Unset while the revision in force was never confirmed.
    [[nodiscard]] auto confirmedAt() const -> std::optional<TimePoint>;
    /// True when this daemon itself reached the store within the freshness bound.
    [[nodiscard]] auto hasStoreContact(TimePoint now) const -> bool;
    /// True when more than half of the members, this daemon included, were heard within the bound.
    [[nodiscard]] auto hasHeardMajority(TimePoint now) const -> bool;
    /// As hasHeardMajority(), counting only answers to requests that named the revision in force. Changes of
    /// the member table and the wait of a new home need this: an answer to an older request does not show that
    /// the peer knows of the new revision.
    [[nodiscard]] auto hasHeardMajorityWithCurrentRevision(TimePoint now) const -> bool;
    /// Time of the last answer of each member.
    [[nodiscard]] auto heardAt() const -> std::map<std::string, TimePoint>;
    [[nodiscard]] auto highestKnownRevision() const -> std::uint64_t;

    /// Withdraws a key at once, ahead of the configuration. Withdrawals only ever remove rights.
    auto addTombstone(const std::string &keyId) -> void;
    [[nodiscard]] auto tombstones() const -> std::set<std::string>;
    /// True for a key that has a tombstone or is marked withdrawn in the version in force.
    [[nodiscard]] auto isWithdrawn(const ApiKey &key) const -> bool;

    [[nodiscard]] auto memberName() const -> const std::string &;

private:
    struct Heard
    {
        std::string incarnation;
        TimePoint sentAt;
        std::uint64_t sentRevision = 0;
    };

    auto heardCount(TimePoint now, std::uint64_t lowestRevision) const -> std::size_t;
    auto freshnessLocked(TimePoint now) const -> Freshness;

    const std::string memberName_;
    mutable std::mutex mutex_;
    FleetVersionPointer version_;
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> directContactAt_;
    std::uint64_t highestKnownRevision_ = 0;
    std::map<std::string, Heard> heard_;
    std::set<std::string> tombstones_;
};

} // namespace poplardock
