#pragma once

#include "Process/Peers/PeerDirectory.h"
#include "Process/Store/KindWatch.h"

#include <functional>
#include <map>

namespace poplardock {

/// Confirms this daemon's configuration with few calls to the store: one daemon, the leader, reads it often, and the
/// others ask the leader how old its belief is. An answer counts from when this daemon asked, less the age that
/// the leader names, and only if the leader's configuration is not newer. A daemon that gets no such answer asks the
/// store itself.
/// Thread safety: the loop's thread only.
class FreshnessRelay
{
public:
    struct Handlers
    {
        std::function<void(const std::string &address, const PeerMessage &)> send;
        std::function<std::uint64_t()> configurationRevision;
        std::function<std::uint64_t()> upstreamRevision;
        /// Reads the configuration from the store, takes it, and calls back when that has succeeded.
        std::function<void(std::function<void()> onRead)> readConfiguration;
        /// The leader at that address has a newer configuration, and the store does not answer.
        std::function<void(const std::string &address)> fetchConfiguration;
    };

    FreshnessRelay(EventLoop &loop,
                   const PeerDirectory &peers,
                   std::string ownName,
                   KindWatch &configuration,
                   KindWatch &upstreams,
                   Handlers handlers);

    auto start() -> void;
    auto stop() -> void;
    auto answer(const FreshnessRequest &request, const std::string &sender) -> void;
    auto takeAnswer(const FreshnessAnswer &answer, const std::string &sender) -> void;
    /// The configuration in force is the store's of this time or later.
    [[nodiscard]] auto confirmedAt() const -> BootTime;

private:
    auto round() -> void;
    auto readAsLeader(BootTime now) -> void;
    auto refresh(KindWatch &watch, BootTime &lastAt, BootTime now) -> void;

    EventLoop &loop_;
    const PeerDirectory &peers_;
    const std::string ownName_;
    KindWatch &configuration_;
    KindWatch &upstreams_;
    Handlers handlers_;
    /// When each open question was sent.
    std::map<std::uint64_t, BootTime> asked_;
    std::uint64_t lastNumber_ = 0;
    BootTime relayedAt_;
    /// When the leader's last read that succeeded was sent.
    BootTime readAt_;
    BootTime configurationRefreshedAt_;
    BootTime upstreamsRefreshedAt_;
    BootTime fetchedAt_;
    Timer timer_;
};

} // namespace poplardock
