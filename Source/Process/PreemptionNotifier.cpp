#include "Process/PreemptionNotifier.h"

#include "Process/Json.h"

namespace poplardock {

namespace {

constexpr Milliseconds NOTIFICATION_INTERVAL { 100 };
constexpr Milliseconds NOTIFICATION_TIMEOUT { 500 };

} // namespace

PreemptionNotifier::PreemptionNotifier(const FleetState &state, PeerClients &peers, std::string region, LocalPreemption preemptLocally)
    : state_(state)
    , peers_(peers)
    , region_(std::move(region))
    , preemptLocally_(std::move(preemptLocally))
    , thread_([this](const std::stop_token &stop) { sendLoop(stop); })
{
}

PreemptionNotifier::~PreemptionNotifier() = default;

auto PreemptionNotifier::notify(const std::string &upstream) -> void
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    TimePoint &nextSendAt = nextSendAt_[upstream];
    if (now < nextSendAt) {
        return;
    }
    nextSendAt = now + NOTIFICATION_INTERVAL;
    queue_.push_back(upstream);
    queueChanged_.notify_one();
}

auto PreemptionNotifier::sendLoop(const std::stop_token &stop) -> void
{
    while (true) {
        std::string upstream;
        {
            std::unique_lock lock(mutex_);
            if (!queueChanged_.wait(lock, stop, [this] { return !queue_.empty(); })) {
                return;
            }
            upstream = std::move(queue_.front());
            queue_.pop_front();
        }
        deliver(upstream);
    }
}

auto PreemptionNotifier::deliver(const std::string &upstream) -> void
{
    const FleetVersionPointer version = state_.current();
    const Member *home = version->members.homeOf("upstream/" + upstream, region_);
    if (home == nullptr) {
        return;
    }
    if (home->name == state_.memberName()) {
        preemptLocally_(upstream);
        return;
    }
    JsonObject body;
    body.set("upstream", upstream);
    // A lost message only costs some latency: the next request that waits sends another one.
    static_cast<void>(peers_.clientFor(home->address)->call({ "POST", "/peers/yield", Json::toText(body), {}, NOTIFICATION_TIMEOUT }));
}

} // namespace poplardock
