#pragma once

#include "Process/Peers/PeerDirectory.h"
#include "Request/AllowanceShare.h"
#include "Version/ServingVersion.h"

#include <map>

namespace poplardock {

/// This daemon's part of each team's allowance.
/// Times are given, so that tests need no clock. Thread safety: one thread.
class AllowanceTable
{
public:
    /// Takes one token of a team; returns nothing when the request is admitted, else the time until the next token.
    auto take(const Team &team, BootTime now) -> std::optional<Milliseconds>;
    /// Demand in requests per second of each team with recent requests.
    auto demand(BootTime now) -> std::map<std::string, double>;
    /// Takes what the other daemons report.
    auto update(const PeerDirectory &peers, BootTime now) -> void;

private:
    std::map<std::string, AllowanceShare> shares_;
};

} // namespace poplardock
