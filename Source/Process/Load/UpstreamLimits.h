#pragma once

#include "Process/Clock.h"
#include "Process/Load/ColdUpstreams.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// What a daemon knows of the limit of one upstream, for the other daemons.
struct UpstreamLimit
{
    std::string upstream;
    /// Requests a second that the upstream takes from all daemons together; unset after it has withdrawn its limit.
    std::optional<double> perSecond;
    /// Time since the upstream stated it.
    Milliseconds age { 0 };

    auto operator==(const UpstreamLimit &) const -> bool = default;
};

/// The text of a limit, without line breaks. Precondition: the upstream's name contains no white space. Thread-safe.
auto encodeUpstreamLimit(const UpstreamLimit &limit) -> std::string;
/// Errors: InvalidArgument for anything that encodeUpstreamLimit() does not write. Thread-safe.
auto decodeUpstreamLimit(std::string_view text) -> absl::StatusOr<UpstreamLimit>;

/// One daemon's part of the limit of an upstream.
struct LimitShare
{
    /// Requests.
    double perSecond = 0;
    double burst = 0;

    auto operator==(const LimitShare &) const -> bool = default;
};

/// The part of a limit that a daemon may use. A limit is divided among a few of the daemons that are alive, selected by
/// rendezvous hashing, so that each of them gets whole requests; the others leave the upstream alone. "aliveFraction" is
/// the fraction of all known daemons that is alive in this daemon's view: the rest of the limit is left to those that it
/// does not hear. Precondition: "ownName" is among the daemons. Pure function; thread-safe.
auto limitShareOf(const std::string &upstream,
                  double perSecond,
                  const std::string &ownName,
                  const std::vector<std::string> &aliveDaemons,
                  double aliveFraction) -> LimitShare;

/// The limits that upstreams in need have named, and this daemon's share of each as a token bucket.
///
/// Daemons tell each other the latest statement of each upstream, so all of them keep to a limit that any of them has
/// heard of. Shares need no further message: each daemon works out its own one from the daemons that are alive. A daemon
/// whose work exceeds its share borrows tokens from daemons that do not use theirs, one at a time: the lender gives its
/// token up before the borrower has it, so a lost message wastes a token and never makes one.
/// Bounded in size; statements expire after a minute without a newer one.
/// Times are passed in, so that tests need no clock. Thread safety: the loop's thread only.
class UpstreamLimits
{
public:
    /// Upstreams with a limit that are kept; the oldest statements are dropped first.
    static constexpr std::size_t MAXIMUM_LIMITS = 1024;
    /// Limits in one periodic message to another daemon.
    static constexpr std::size_t MAXIMUM_SENT_LIMITS = 128;
    /// How often loanRequest() is to be called.
    static constexpr Milliseconds LOAN_REQUEST_PERIOD { 50 };

    /// A token to ask another daemon for.
    struct LoanRequest
    {
        std::string upstream;
        std::string lender;

        auto operator==(const LoanRequest &) const -> bool = default;
    };

    explicit UpstreamLimits(std::string ownName);

    /// Records what an answer of the upstream says: its limit in requests per second, unset for none.
    auto recordStatement(const std::string &upstream, std::optional<double> perSecond, BootTime now) -> void;
    /// Records that a request is sent to the upstream.
    auto takeToken(const std::string &upstream, BootTime now) -> void;
    /// From when on the next request may be sent; a time in the past for an upstream without a limit.
    [[nodiscard]] auto usableAt(const std::string &upstream) const -> BootTime;
    /// From when on the whole burst is available, so that a request takes nothing from others that come soon.
    [[nodiscard]] auto spareAt(const std::string &upstream) const -> BootTime;

    /// Records that work is waiting that the upstream would get if this daemon had a token for it.
    auto recordShortage(const std::string &upstream, BootTime now) -> void;
    /// Drops borrowed tokens that were not used in time, and selects the token to ask for next: of the upstreams with a
    /// recent shortage, the one that has waited longest. Unset when there is none.
    auto loanRequest(BootTime now) -> std::optional<LoanRequest>;
    /// Gives up a token for another daemon. False when the whole burst is not available, since this daemon may soon need
    /// what is left.
    auto lend(const std::string &upstream, BootTime now) -> bool;
    /// Adds a token that another daemon has given up; ignored unless it was asked for a short time ago.
    auto addLoan(const std::string &upstream, BootTime now) -> void;

    /// Sets the daemons that are alive, with this one; see limitShareOf().
    auto setDaemons(std::vector<std::string> aliveDaemons, double aliveFraction, BootTime now) -> void;
    /// Has states() name all limits for a short time, for a daemon that has just started.
    auto announceAll(BootTime now) -> void;
    /// What to tell the other daemons in a periodic message: limits that have changed a short time ago and, at intervals and
    /// after announceAll(), the others.
    [[nodiscard]] auto states(BootTime now) const -> std::vector<UpstreamLimit>;
    /// Adds what another daemon knows; the newer statement of an upstream counts.
    auto merge(const std::vector<UpstreamLimit> &states, BootTime now) -> void;
    auto removeExpired(BootTime now) -> void;

    /// The upstreams that are cold, whose limit has a deadline and applies beside one that they have named.
    [[nodiscard]] auto cold() -> ColdUpstreams &;
    [[nodiscard]] auto cold() const -> const ColdUpstreams &;

private:
    struct Entry
    {
        std::optional<double> perSecond;
        BootTime statedAt;
        /// When this daemon learnt of a change.
        BootTime changedAt;
        LimitShare share;
        /// Tokens at the time of the last refill; below 0 after requests that could not wait.
        double tokens = 0;
        BootTime refilledAt;
        /// Until when the last recorded shortage counts.
        BootTime shortageUntil;
        /// A request that is granted may be followed by the next one at once.
        BootTime nextLoanRequestAt;
        /// Until when the answer to the last request is taken; unset once it has come.
        std::optional<BootTime> loanExpectedUntil;
        /// Daemons asked so far.
        std::size_t lendersAsked = 0;
        /// Until when a borrowed token may be used; unset without one.
        std::optional<BootTime> loanUntil;
    };

    auto learn(const std::string &upstream, std::optional<double> perSecond, BootTime statedAt, BootTime now) -> void;
    auto updateShare(const std::string &upstream, Entry &entry, BootTime now) const -> void;
    static auto refill(Entry &entry, BootTime now) -> void;
    /// When the bucket holds that many tokens.
    [[nodiscard]] auto availableAt(const std::string &upstream, bool isWholeBurst) const -> BootTime;

    const std::string ownName_;
    /// Before it a share has no tokens: this daemon, before a restart, may have used them.
    std::optional<BootTime> startedAt_;
    std::vector<std::string> aliveDaemons_;
    double aliveFraction_ = 1;
    std::map<std::string, Entry> entries_;
    /// Until when states() names all limits.
    BootTime announceAllUntil_;
    ColdUpstreams cold_;
};

} // namespace poplardock
