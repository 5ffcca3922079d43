#pragma once

#include "Process/Clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// What the configuration and the settings say about cold upstreams of one group.
struct ColdPolicy
{
    /// How long an upstream is cold after a start; 0: never.
    Milliseconds startTime { 0 };
    /// Requests per second that a cold upstream can handle. Greater than 0.
    double perSecond = 0;
    /// Most requests that a cold upstream may get in any second from all daemons together.
    double mostPerSecond = 0;

    auto operator==(const ColdPolicy &) const -> bool = default;
};

/// What an upstream has stated about its cold state, for the other daemons.
struct ColdStatement
{
    std::string upstream;
    /// Unix milliseconds of the start of its run; 0 if it is unknown.
    std::int64_t startedAtMs = 0;
    /// Time for which it stays cold from now on; 0 when it is warm.
    Milliseconds remaining { 0 };
    /// Time since the upstream stated it.
    Milliseconds age { 0 };
    /// How often it was passed on.
    int hops = 0;

    auto operator==(const ColdStatement &) const -> bool = default;
};

/// The text of a statement, without line breaks. Precondition: the upstream's name contains no white space. Thread-safe.
auto encodeColdStatement(const ColdStatement &statement) -> std::string;
/// Errors: InvalidArgument for anything that encodeColdStatement() does not write. Thread-safe.
auto decodeColdStatement(std::string_view text) -> absl::StatusOr<ColdStatement>;

/// One daemon's part of the requests that a cold upstream may get.
struct ColdShare
{
    /// Requests per second on average.
    double perSecond = 0;
    /// Most requests in any second.
    int quota = 0;

    auto operator==(const ColdShare &) const -> bool = default;
};

/// The part of a daemon. The quotas are whole requests and go to the first daemons in rendezvous order; "daemons" are all that
/// may send requests, whether or not this daemon hears them, so that a daemon that is cut off keeps its part and no more. The
/// quotas together stay well below the bound, for daemons whose lists differ. Pure function; thread-safe.
auto coldShareOf(const std::string &upstream, const ColdPolicy &policy, const std::string &ownName, const std::vector<std::string> &daemons)
    -> ColdShare;

/// The upstreams that are cold or may be, and how many requests this daemon may send to each of them.
///
/// For each upstream the newest information about its present run counts: a statement of the upstream, which has a deadline, or
/// a doubt of this daemon, which ends after the group's start time. Statements are exchanged between daemons, doubts are not. A
/// statement of another daemon never shortens the cold time here, since a message that was delayed looks newer than it is.
/// Bounded by the upstreams that have entries in the store.
/// Times are passed in, so that tests need no clock. Thread safety: the loop's thread only.
class ColdUpstreams
{
public:
    /// Statements in one periodic message to another daemon.
    static constexpr std::size_t MAXIMUM_SENT_STATEMENTS = 16;

    /// How an upstream may be used now.
    struct Use
    {
        bool isCold = false;
        /// From when on the next request may be sent; BootTime::max() without a share. All are unset for an upstream without a
        /// limit.
        BootTime usableAt;
        /// From when on a request takes nothing from online requests that come soon.
        BootTime spareAt;
        /// From when on a request may be sent while warm upstreams have room.
        BootTime warmUpAt;

        auto operator==(const Use &) const -> bool = default;
    };

    explicit ColdUpstreams(std::string ownName);

    /// Sets the policies of the groups that have one; without any, nothing is limited, counted or sent.
    auto setPolicies(std::map<std::string, ColdPolicy> policies) -> void;
    [[nodiscard]] auto isEnabled() const -> bool;
    /// Sets the daemons that may send requests, this one included, and how many of them are alive. While no more than half of
    /// them are alive the set only grows. Not to be called before the other daemons have been listed.
    auto setDaemons(const std::vector<std::string> &daemons, std::size_t aliveCount, BootTime now) -> void;

    /// Records a version of an upstream's entry that is new to this daemon. "remaining" is the cold time that it states, unset when
    /// it states none. "isPresumedWarm": the entry belongs to the daemon's first list, or no requests are sent yet.
    auto recordEntry(const std::string &upstream,
                     const std::string &group,
                     std::int64_t startedAtMs,
                     std::optional<Milliseconds> remaining,
                     bool isPresumedWarm,
                     BootTime now) -> void;
    /// Records which upstreams have no usable entry any more. They are forgotten after a minute.
    auto recordRemovals(const std::function<bool(const std::string &upstream)> &isPresent, BootTime now) -> void;
    /// Records an answer of the upstream, and the cold time that it states.
    auto recordAnswer(const std::string &upstream, std::optional<Milliseconds> remaining, BootTime now) -> void;
    /// Records that no connection to the upstream could be made.
    auto recordUnreachable(const std::string &upstream, BootTime now) -> void;
    /// Records that the upstream may have become cold.
    auto recordDoubt(const std::string &upstream, const char *reason, BootTime now) -> void;

    [[nodiscard]] auto useOf(const std::string &upstream, BootTime now) const -> Use;
    /// Reserves a place for a request that is about to be sent to the upstream.
    auto reserve(const std::string &upstream, BootTime now) -> void;
    /// Turns a reservation into a request that is sent now. False when the request would exceed the quota, since its
    /// connection came late or the upstream has become cold meanwhile; it must not be sent then.
    auto confirm(const std::string &upstream, BootTime reservedAt, BootTime now) -> bool;
    [[nodiscard]] auto coldCount(BootTime now) const -> std::size_t;

    /// What to tell the other daemons in a periodic message: statements that have changed a short time ago and, at intervals,
    /// those of upstreams that are cold.
    [[nodiscard]] auto states(BootTime now) const -> std::vector<ColdStatement>;
    /// Adds what another daemon knows: newer information that upstreams are cold for longer than is known here.
    auto merge(const std::vector<ColdStatement> &states, BootTime now) -> void;
    auto removeExpired(BootTime now) -> void;

private:
    struct Entry
    {
        std::string group;
        std::int64_t startedAtMs = 0;
        /// When the newest information was given.
        BootTime statedAt;
        /// The deadline of a statement; unset for a doubt, which ends the start time after "doubtedAt".
        std::optional<BootTime> statedUntil;
        BootTime doubtedAt;
        /// When a statement last changed, for the reports.
        BootTime changedAt;
        /// How often the statement was passed on before it came here; 0 for one from the upstream or its entry.
        int hops = 0;
        /// When the last cold time began.
        BootTime coldSince;
        /// A connection has failed, and neither an answer nor a newer entry has come since: the next answer raises a doubt.
        bool isUnreachable = false;
        std::optional<BootTime> removedAt;
        double tokens = 0;
        BootTime refilledAt;
        /// Requests of the last second, in the order of their reservation.
        std::vector<BootTime> sends;
        mutable ColdShare share;
        /// What the share was calculated for.
        mutable std::uint64_t shareVersion = 0;
        mutable int shareFactor = 0;
    };

    [[nodiscard]] auto policyOf(const Entry &entry) const -> const ColdPolicy *;
    /// End of the last or present cold time; BootTime() when there was none.
    [[nodiscard]] static auto coldUntil(const Entry &entry, const ColdPolicy &policy) -> BootTime;
    /// The multiple of the policy that applies: 1 while the upstream is cold, more in the steps after it, 0 for no limit.
    [[nodiscard]] static auto factorOf(const Entry &entry, const ColdPolicy &policy, BootTime now) -> int;
    [[nodiscard]] auto shareOf(const std::string &upstream, const Entry &entry, const ColdPolicy &policy, int factor) const -> ColdShare;
    auto setStatement(const std::string &upstream, Entry &entry, BootTime statedAt, BootTime until, const char *source, BootTime now)
        -> void;
    auto setDoubt(const std::string &upstream, Entry &entry, BootTime statedAt, const char *reason, BootTime now) -> void;
    auto logState(const std::string &upstream, const Entry &entry, const char *source, BootTime now) const -> void;

    const std::string ownName_;
    std::map<std::string, ColdPolicy> policies_;
    std::vector<std::string> daemons_;
    /// Before START_TIME after it the daemon has no share: before a restart it may have used it.
    std::optional<BootTime> startedAt_;
    /// Increases with each change of the policies or the daemons.
    std::uint64_t version_ = 1;
    std::map<std::string, Entry> entries_;
};

} // namespace poplardock
