#pragma once

#include "Process/FleetState.h"
#include "Process/PeerClients.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace poplardock {

/// Notifies the home of an upstream, the daemon that runs batch items there, that an online request waits at the
/// upstream, so that it preempts batch items. Sends at most one message per upstream and 100 ms, whatever the rate
/// of requests.
/// Thread-safe; notify() never waits for the network.
class PreemptionNotifier
{
public:
    using LocalPreemption = std::function<void(const std::string &upstream)>;

    /// Calls preemptLocally for upstreams whose home is this daemon. The references must outlive this object.
    PreemptionNotifier(const FleetState &state, PeerClients &peers, std::string region, LocalPreemption preemptLocally);
    PreemptionNotifier(const PreemptionNotifier &) = delete;
    auto operator=(const PreemptionNotifier &) -> PreemptionNotifier & = delete;
    PreemptionNotifier(PreemptionNotifier &&) = delete;
    auto operator=(PreemptionNotifier &&) -> PreemptionNotifier & = delete;
    ~PreemptionNotifier();

    auto notify(const std::string &upstream) -> void;

private:
    auto sendLoop(const std::stop_token &stop) -> void;
    auto deliver(const std::string &upstream) -> void;

    const FleetState &state_;
    PeerClients &peers_;
    const std::string region_;
    const LocalPreemption preemptLocally_;
    std::mutex mutex_;
    std::condition_variable_any queueChanged_;
    std::deque<std::string> queue_;
    /// Earliest time of the next message, by upstream.
    std::map<std::string, TimePoint> nextSendAt_;
    std::jthread thread_;
};

} // namespace poplardock
