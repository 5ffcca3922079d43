#pragma once

#include "Process/Json.h"
#include "Process/Load/EvacuationSet.h"
#include "Process/Load/UpstreamDirectory.h"
#include "Process/Store/KindWatch.h"

#include <functional>
#include <string>

namespace poplardock {

/// Keeps the evacuated data centres of the directory in step with the store, which it reads by lists and watches or fetches from
/// a daemon that knows a newer state.
/// Thread safety: the loop's thread only.
class EvacuationFollower
{
public:
    /// Called once for each change, after the directory has the new set.
    struct Handlers
    {
        std::function<void(const std::string &dataCentre)> onBegin;
        std::function<void(const std::string &dataCentre)> onEnd;
    };

    /// Path of the internal call between daemons that returns the whole set.
    static constexpr const char *PEER_PATH = "/evacuations";

    /// All references must outlive the follower.
    EvacuationFollower(EventLoop &loop,
                       ObjectStore &store,
                       const WireDialect &dialect,
                       UpstreamDirectory &directory,
                       HttpClient &peers,
                       Handlers handlers);

    auto start() -> void;
    /// Whether the set has been listed, or fetched from another daemon, at least once.
    [[nodiscard]] auto hasSynced() const -> bool;
    [[nodiscard]] auto set() const -> const EvacuationSet &;
    [[nodiscard]] auto watch() -> KindWatch &;
    /// {"revision":N,"data_centres":[{"name":"...","revision":N,"since_ms":N,"age_ms":N,"known":true},...]} with Unix milliseconds.
    [[nodiscard]] auto toJson(BootTime now) const -> JsonObject::Ptr;

    /// Fetches and applies the set of the daemon at "IP:port", unless it is an older one.
    auto fetchFromPeer(const std::string &address) -> void;
    /// The response to another daemon's fetchFromPeer(): 503 before the set is known here.
    [[nodiscard]] auto responseForPeer() const -> HttpResult;

private:
    auto handle(const std::vector<EvacuationChange> &changes, const std::string &source) -> void;

    UpstreamDirectory &directory_;
    HttpClient &peers_;
    Handlers handlers_;
    EvacuationSet set_;
    bool hasSynced_ = false;
    KindWatch watch_;
};

} // namespace poplardock
