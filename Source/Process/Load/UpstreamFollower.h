#pragma once

#include "Process/Load/UpstreamDirectory.h"
#include "Process/Store/KindWatch.h"

namespace poplardock {

/// Follows the upstreams' entries in the store and keeps the directory of them.
/// Thread safety: the loop's thread only.
class UpstreamFollower
{
public:
    /// "leaveBound": time after which an upstream whose entry is gone must get nothing more. All other arguments must
    /// outlive the follower.
    UpstreamFollower(
        EventLoop &loop, ObjectStore &store, const WireDialect &dialect, UpstreamDirectory &directory, Milliseconds leaveBound);

    auto start() -> void;
    /// Whether the entries have been listed once.
    [[nodiscard]] auto hasList() const -> bool;
    /// Highest revision of an entry that was seen.
    [[nodiscard]] auto revision() const -> std::uint64_t;
    [[nodiscard]] auto watch() -> KindWatch &;
    /// The store did not answer until now: entries may have lapsed that their upstreams are about to renew.
    auto recordStoreLost(BootTime now) -> void;

private:
    auto takeList(const StoreList &list) -> void;
    auto takeEvents(const StoreEvents &events) -> void;
    auto put(const StoredObject &object) -> void;
    [[nodiscard]] auto missedUsableUntil(BootTime now) const -> BootTime;

    const WireDialect &dialect_;
    UpstreamDirectory &directory_;
    const Milliseconds leaveBound_;
    std::uint64_t revision_ = 0;
    bool hasList_ = false;
    BootTime storeLostAt_;
    KindWatch watch_;
};

} // namespace poplardock
