#pragma once

#include "Process/Clock.h"

#include <optional>

namespace poplardock {

/// Rate and burst of a team over all daemons together.
struct RateLimit
{
    /// Requests per second; 0 for no limit.
    double ratePerSecond = 0;
    /// Requests.
    double burst = 0;

    auto operator==(const RateLimit &) const -> bool = default;
};

/// One daemon's part of a team's allowance: a token bucket that holds the part of rate and burst which the daemon's
/// part of the team's recent demand gives it. The parts of all daemons add up to the whole, so no message is needed
/// for a request. A daemon that hears nothing keeps its last part.
/// Times are given, so that tests need no clock. Thread safety: one thread.
class AllowanceShare
{
public:
    /// Requests that each daemon may keep above its part of the burst, so that a team with a small allowance is not
    /// refused because its requests come in an uneven order at the daemons. "grain" is shared by all daemons.
    AllowanceShare(RateLimit limits, double grain, BootTime now);

    /// Drops all tokens beyond these: what an earlier holder of the bucket has admitted is not known.
    auto capTokens(double tokens) -> void;
    /// Changes the limits; tokens above the new bound are lost.
    auto setLimit(RateLimit limits, BootTime now) -> void;
    /// Demand of the other daemons in requests per second, and how many daemons there are with this one.
    auto setPeerDemand(double demandPerSecond, int daemons, BootTime now) -> void;
    /// Takes one token. Returns nothing when the request is admitted, else the time until the next token.
    auto tryAcquire(BootTime now) -> std::optional<Milliseconds>;
    /// This daemon's demand in requests per second, refused ones included.
    [[nodiscard]] auto demand(BootTime now) -> double;
    /// This daemon's part of the allowance, 0 to 1.
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
    BootTime refilledAt_;
    BootTime demandUpdatedAt_;
};

} // namespace poplardock
