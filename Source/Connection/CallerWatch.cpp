#include "Connection/CallerWatch.h"

#include <poll.h>
#include <vector>

namespace poplardock {

namespace {

/// Longest time until a closed connection is noticed.
constexpr Milliseconds TICK { 100 };
/// With FRESHNESS_BOUND below 5 s, so that a withdrawn key stops a stream within 5 s.
constexpr Milliseconds KEY_CHECK_INTERVAL { 900 };

} // namespace

CallerWatch::CallerWatch(const FleetState &state)
    : state_(state)
    , thread_([this](const std::stop_token &stop) { run(stop); })
{
}

CallerWatch::~CallerWatch() = default;

auto CallerWatch::run(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        findDisconnected();
        checkKeys(Clock::now());
    }
}

auto CallerWatch::findDisconnected() -> void
{
    std::vector<pollfd> sockets;
    std::vector<std::uint64_t> ids;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, entry] : entries_) {
            if (!entry.stop.stop_requested()) {
                sockets.push_back({ entry.socket, POLLRDHUP, 0 });
                ids.push_back(id);
            }
        }
    }
    // A descriptor may be closed and reused meanwhile; its result then belongs to an id that has ended.
    if (::poll(sockets.data(), sockets.size(), static_cast<int>(TICK.count())) <= 0) {
        return;
    }
    for (std::size_t index = 0; index < sockets.size(); ++index) {
        if ((sockets[index].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            setDisconnected(ids[index]);
        }
    }
}

auto CallerWatch::setDisconnected(std::uint64_t id) -> void
{
    std::optional<std::stop_source> stop;
    {
        const std::lock_guard lock(mutex_);
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            return;
        }
        found->second.isDisconnected = true;
        stop = found->second.stop;
    }
    stop->request_stop();
}

auto CallerWatch::checkKeys(TimePoint now) -> void
{
    std::vector<std::pair<std::uint64_t, Caller>> due;
    {
        const std::lock_guard lock(mutex_);
        for (auto &[id, entry] : entries_) {
            if (entry.nextKeyCheckAt && *entry.nextKeyCheckAt <= now && !entry.keyError) {
                entry.nextKeyCheckAt = now + KEY_CHECK_INTERVAL;
                due.emplace_back(id, *entry.caller);
            }
        }
    }
    for (const auto &[id, caller] : due) {
        const auto error = recheckCaller(caller, state_, now);
        if (!error) {
            continue;
        }
        std::optional<std::stop_source> stop;
        {
            const std::lock_guard lock(mutex_);
            const auto found = entries_.find(id);
            if (found == entries_.end()) {
                continue;
            }
            found->second.keyError = error;
            stop = found->second.stop;
        }
        stop->request_stop();
    }
}

CallerWatch::Registration::Registration(CallerWatch &watch, int socket, std::optional<Caller> caller)
    : watch_(watch)
{
    const std::lock_guard lock(watch_.mutex_);
    id_ = ++watch_.lastId_;
    watch_.entries_.emplace(id_, Entry { socket, std::move(caller), std::nullopt, stop_ });
}

CallerWatch::Registration::~Registration()
{
    const std::lock_guard lock(watch_.mutex_);
    watch_.entries_.erase(id_);
}

auto CallerWatch::Registration::watchKey() -> void
{
    const std::lock_guard lock(watch_.mutex_);
    Entry &entry = watch_.entries_.at(id_);
    if (entry.caller && !entry.nextKeyCheckAt) {
        entry.nextKeyCheckAt = Clock::now() + KEY_CHECK_INTERVAL;
    }
}

auto CallerWatch::Registration::stopToken() const -> std::stop_token
{
    return stop_.get_token();
}

auto CallerWatch::Registration::isDisconnected() const -> bool
{
    const std::lock_guard lock(watch_.mutex_);
    return watch_.entries_.at(id_).isDisconnected;
}

auto CallerWatch::Registration::keyError() const -> std::optional<RequestError>
{
    const std::lock_guard lock(watch_.mutex_);
    return watch_.entries_.at(id_).keyError;
}

} // namespace poplardock
