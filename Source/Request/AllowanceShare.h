#pragma once

#include "Process/Clock.h"

#include <optional>

namespace poplardock {

/// Rate and burst of a team over all daemons.
struct RateLimit
{
    /// Requests per second; 0 for no limit.
    double ratePerSecond = 0;
    /// Requests.
    double burst = 0;

    auto operator==(const RateLimit &) const -> bool = default;
};

/// One daemon's share of a team's allowance. It is a token bucket whose rate and capacity are the fraction of the
/// team's rate and burst that matches the daemon's fraction of the team's recent demand. The shares of all daemons add
/// up to the whole allowance, so admitting a request from a share needs no message to another daemon. The demand of the
/// peers is the value of the last setPeerDemand().
/// AllowanceTable admits from a share when the team's home does not decide. The home's bucket is of this class, too:
/// without peer demand, the share is the whole allowance. The loans of AllowancePolicy.h are a separate mechanism, which
/// AllowanceClient uses.
/// The current time is a parameter, so that tests need no clock. Thread safety: one thread.
class AllowanceShare
{
public:
    /// "extraBurst" is the number of requests, split evenly over all daemons, by which the buckets together may exceed
    /// the team's burst. It keeps a team with a small allowance from being refused when its requests arrive unevenly
    /// at the daemons.
    AllowanceShare(RateLimit limit, double extraBurst, BootTime now);

    /// Drops all tokens above this number. Call for a new bucket: it is unknown how many tokens have just been spent by
    /// the team's previous home, or by this daemon before a restart.
    auto capTokens(double tokens) -> void;
    /// Changes the limit; tokens above the new capacity are dropped.
    auto setLimit(RateLimit limit, BootTime now) -> void;
    /// Sets the summed demand of the other daemons in requests per second, and the number of daemons including this
    /// one.
    auto setPeerDemand(double demandPerSecond, int daemonCount, BootTime now) -> void;
    /// Sets the fraction of its rate at which the share gets new tokens, 0 to 1; initially 1.
    auto setRefillFraction(double fraction, BootTime now) -> void;
    /// Takes one token if there is one. Returns nothing when the request is admitted, else the time until the next
    /// token.
    auto tryAcquire(BootTime now) -> std::optional<Milliseconds>;
    /// This daemon's demand in requests per second, including refused requests.
    [[nodiscard]] auto demand(BootTime now) -> double;
    /// This daemon's fraction of the allowance, 0 to 1.
    [[nodiscard]] auto fraction() const -> double;

private:
    auto refill(BootTime now) -> void;
    [[nodiscard]] auto capacity() const -> double;

    RateLimit limit_;
    double extraBurst_;
    double tokens_ = 0;
    double demand_ = 0;
    double peerDemand_ = 0;
    int daemonCount_ = 1;
    double refillFraction_ = 1;
    BootTime refilledAt_;
    BootTime demandUpdatedAt_;
};

} // namespace poplardock
