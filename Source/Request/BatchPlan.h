#pragma once

#include "Request/UpstreamView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// Decides how many batch runs a daemon may start now, and at which upstreams. Online load comes in waves: batch work
/// fills the slots that online requests leave free, and a reserve of slots at each upstream serves the first requests
/// of the next wave while batch runs there are preempted. Pure functions; thread-safe.
namespace BatchPlan {

/// Slots of an upstream that batch work leaves free for online requests that arrive before the next reports of the
/// other daemons: one, and more with a longer "propagationDelay", the time until work that another daemon starts is
/// visible here.
auto reservedSlots(Milliseconds propagationDelay) -> int;

/// Slots of one upstream that batch runs may take now; none at a suspect or ejected one, nor at one whose limit is used up
/// or, with a reserve, was used by other requests a short time ago. For urgent work the caller passes a reserve of 0. At a cold one only
/// while its limit has not been used for a time, whatever the reserve.
auto availableSlots(const UpstreamView &view, int reserve, BootTime now) -> int;

/// The upstreams whose limit alone keeps batch runs from starting now: those with a free slot but no token, as long as no
/// upstream has an available slot. Empty otherwise.
auto limitingUpstreams(const std::vector<UpstreamView> &views, int reserve, BootTime now) -> std::vector<std::string>;

/// Limit on the runs that this daemon starts in one tick. All daemons see the same available slots and learn of each
/// other's starts only with the next reports, so each takes an equal share of the slots per propagation delay.
/// "tickFraction" is the length of a tick as a fraction of that delay. A token of an upstream's limit belongs to this daemon,
/// so one run at each upstream that has named a limit comes on top. A share need not be a whole number
/// of runs: "roundingRandom" (0 to 1) decides whether it is rounded up, so that a single free slot is taken by about one
/// daemon and not by all.
auto startsPerTick(
    const std::vector<UpstreamView> &views, int reserve, int daemons, double tickFraction, double roundingRandom, BootTime now) -> int;

/// Returns the index of the upstream for the next run: the one with the largest fraction of its slots available, a cold one only
/// while no warm one has an available slot. Local
/// upstreams get a bonus, and "random", uniform over all 64-bit values, breaks near ties. Unset when no upstream has an
/// available slot.
auto chooseForBatch(const std::vector<UpstreamView> &views, int reserve, BootTime now, std::uint64_t random) -> std::optional<std::size_t>;

} // namespace BatchPlan

} // namespace poplardock
