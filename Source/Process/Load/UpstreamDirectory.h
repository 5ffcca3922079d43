#pragma once

#include "Process/Load/LeavingUpstreams.h"
#include "Process/Load/UpstreamLimits.h"
#include "Request/RegionFilter.h"
#include "Request/UpstreamView.h"
#include "Version/Upstream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

enum class Work
{
    Online,
    Batch,
};

/// Work in flight at one upstream.
struct WorkCount
{
    int online = 0;
    int batch = 0;

    auto operator==(const WorkCount &) const -> bool = default;
};

using WorkCounts = std::map<std::string, WorkCount>;

/// The upstreams that are registered in the store, with their work in flight, response times and failures as known to
/// this daemon.
/// Times are passed in, so that tests need no clock. Thread safety: the loop's thread only.
class UpstreamDirectory
{
public:
    /// "limits" and "leaving" must outlive the directory.
    UpstreamDirectory(std::string dataCentre, UpstreamLimits &limits, const LeavingUpstreams &leaving);

    /// Adds or replaces an upstream.
    auto put(const Upstream &upstream) -> void;
    /// Records what a new version of an upstream's entry says about its cold time, or that it says nothing. "isFirstList": the
    /// entry is one of those that this daemon found at its start.
    auto recordColdEntry(const Upstream &upstream, std::optional<Milliseconds> remaining, bool isFirstList, BootTime now) -> void;
    /// Treats all upstreams of a data centre as cold for the start time of their group, unless a later entry or answer says that
    /// they are warm; for the end of an evacuation.
    auto markDataCentreCold(const std::string &dataCentre, BootTime now) -> void;
    /// Handles an entry that has disappeared from the store. An upstream that was draining is removed. Any other one may
    /// have crashed, or its entry may have expired because it could not be renewed: it becomes suspect, and is removed by
    /// removeExpired() once "usableUntil" has passed.
    auto markSuspect(const std::string &name, BootTime usableUntil) -> void;
    /// Records that another upstream has answered at the address: the upstream is passed over for some seconds while others have room.
    /// What has become of it is for its entry to say.
    auto recordMisdirected(const std::string &name, BootTime now) -> void;
    /// Removes an upstream whose entry is gone for good or describes no usable upstream.
    auto remove(const std::string &name) -> void;
    /// Removes the suspect upstreams whose time has passed.
    auto removeExpired(BootTime now) -> void;

    /// Replaces the set of data centres whose upstreams get no new work. Unknown names have no effect.
    auto setEvacuated(std::set<std::string> dataCentres) -> void;

    /// Null for an unknown upstream. The pointer is valid until the next change.
    [[nodiscard]] auto find(const std::string &name) const -> const Upstream *;
    /// Upstreams of a group that may be given new work, ordered by name. Includes suspect and ejected ones. "regions": the data
    /// centres that may run the request.
    [[nodiscard]] auto candidates(const std::string &group, BootTime now, const RegionFilter &regions = {}) const
        -> std::vector<UpstreamView>;
    /// Sets the times of a view that depend on the limits of its upstream.
    auto updateLimits(UpstreamView &view, BootTime now) const -> void;
    /// Whether a request that was chosen for the upstream at that address may still be sent to it.
    [[nodiscard]] auto mayBeUsed(const std::string &name, const std::string &address, BootTime now) const -> bool;
    /// Whether the group has upstreams, and all of them leave.
    [[nodiscard]] auto isWholeGroupLeaving(const std::string &group, BootTime now) const -> bool;
    /// Whether the group has no usable upstream, and one of them would be usable if its data centre were not evacuated.
    [[nodiscard]] auto isWholeGroupEvacuated(const std::string &group, BootTime now) const -> bool;
    [[nodiscard]] auto isEvacuated(const std::string &dataCentre) const -> bool;
    /// Whether the directory has an upstream of that data centre.
    [[nodiscard]] auto knowsDataCentre(const std::string &dataCentre) const -> bool;
    [[nodiscard]] auto size() const -> std::size_t;

    /// Count work in flight. Each recordStart() is followed by one recordEnd().
    auto recordStart(const std::string &name, Work work) -> void;
    auto recordEnd(const std::string &name, Work work) -> void;
    [[nodiscard]] auto ownWork() const -> const WorkCounts &;
    /// Replaces the work in flight of all other daemons.
    auto setPeerWork(WorkCounts counts) -> void;

    /// Records the number of slots that the upstream has stated in a response.
    auto recordSlots(const std::string &name, int slots) -> void;
    /// Records the slowdown that the upstream has stated in a response; more than 0.
    auto recordSlowdown(const std::string &name, double slowdown, BootTime now) -> void;
    /// Records the time to the first event, or to the response, of a request that found an available slot. "slowdown" is the
    /// one that the upstream stated with the response; the averages hold the times without it.
    auto recordFirstEvent(const std::string &name, double milliseconds, double slowdown = 1) -> void;
    /// Records the duration of a whole request.
    auto recordServiceTime(const std::string &name, double milliseconds, double slowdown = 1) -> void;
    auto recordSuccess(const std::string &name) -> void;
    /// Records a failed connection, a truncated or invalid response, or a stall. Ejects the upstream for a time that
    /// doubles with each failure in a row.
    auto recordFailure(const std::string &name, BootTime now) -> void;

private:
    struct Entry
    {
        Upstream upstream;
        /// As in its entry in the store; 0 if that names none.
        int registeredSlots = 0;
        /// Set while the upstream is suspect.
        std::optional<BootTime> usableUntil;
        BootTime ejectedUntil;
        /// Failures since the last success.
        int failures = 0;
        std::optional<double> firstEventMs;
        std::optional<double> serviceMs;
        /// The slowdown that was stated last, when it was stated, and the mean of the stated ones.
        double slowdown = 1;
        BootTime slowdownAt;
        double meanSlowdown = 1;
    };

    /// Whether the upstream itself could take work: it is not leaving, and its time has not passed if it is suspect.
    [[nodiscard]] auto isServing(const Entry &entry, BootTime now) const -> bool;
    /// Whether an upstream may be given new work: it could take it, and its data centre is not evacuated.
    [[nodiscard]] auto isUsable(const Entry &entry, BootTime now) const -> bool;
    /// Mean of a member over the upstreams of a group that have samples, "fallback" if there are none.
    [[nodiscard]] auto groupMean(const std::string &group, std::optional<double> Entry::*member, double fallback) const -> double;

    const std::string dataCentre_;
    UpstreamLimits &limits_;
    const LeavingUpstreams &leaving_;
    std::map<std::string, Entry> entries_;
    std::set<std::string> evacuated_;
    WorkCounts ownWork_;
    WorkCounts peerWork_;
    /// Whether any daemon has sent a request since this one has started.
    bool hasTraffic_ = false;
};

} // namespace poplardock
