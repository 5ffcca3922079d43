#pragma once

#include "Request/UpstreamView.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace poplardock {

/// How many batch runs a daemon may start now, and where. Answers online load that comes in waves: batch work fills
/// the slots that online requests leave, and a reserve at each upstream takes the first requests of the next wave
/// while the batch runs there are broken off.
/// Pure functions; thread-safe.
namespace BatchPlan {

/// Slots of an upstream that batch runs leave free for the online requests that come before the next reports of the
/// other daemons: one, and more where reports are far apart.
auto reservedSlots(Milliseconds beliefPeriod) -> int;

/// Slots at one upstream that batch runs may take now. Urgent work may use the reserve too.
auto availableSlots(const UpstreamView &view, int reserve, BootTime now) -> int;

/// The most runs that this daemon starts in one round. All daemons see the same room and learn of each other's starts
/// only with the next reports, so each takes its part of the room in the time between two reports. "roundPart" is the
/// length of a round as a part of that time, and "random" (0 to 1) rounds parts of a run, so that a single free slot is
/// taken by one daemon and not by all.
auto startsPerTick(const std::vector<UpstreamView> &views, int reserve, int daemons, double roundPart, double random, BootTime now) -> int;

/// The upstream for the next run: the one with the largest part of its slots free; near ones and "random" decide
/// between equals. Unset when none has room.
auto chooseForBatch(const std::vector<UpstreamView> &views, int reserve, BootTime now, std::uint64_t random) -> std::optional<std::size_t>;

} // namespace BatchPlan

} // namespace poplardock
