#include "Connection/CallerWatch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace poplardock {

namespace {

/// Longest time until a closed connection is noticed.
constexpr Milliseconds TICK { 100 };
/// With FRESHNESS_BOUND below 5 s, so that a withdrawn key stops a stream within 5 s.
constexpr Milliseconds KEY_CHECK_INTERVAL { 900 };

/// True when it is this process that has stopped receiving. A server that shuts down does so on connections
/// that it takes to be idle, while a request that has arrived already is still answered.
auto isOwnShutdown(int socket) -> bool
{
    tcp_info info {};
    socklen_t length = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 && info.tcpi_state == TCP_ESTABLISHED;
}

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
                const short events = entry.isReceiveShutDown ? 0 : POLLRDHUP;
                sockets.push_back({ entry.socket, events, 0 });
                ids.push_back(id);
            }
        }
    }
    // A descriptor may be closed and reused meanwhile; its result then belongs to an id that has ended.
    if (::poll(sockets.data(), sockets.size(), static_cast<int>(TICK.count())) <= 0) {
        return;
    }
    for (std::size_t index = 0; index < sockets.size(); ++index) {
        const short found = sockets[index].revents;
        if ((found & (POLLHUP | POLLERR)) == 0 && (found & POLLRDHUP) != 0 && isOwnShutdown(sockets[index].fd)) {
            setReceiveShutDown(ids[index]);
        } else if ((found & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            setDisconnected(ids[index]);
        }
    }
}

auto CallerWatch::setReceiveShutDown(std::uint64_t id) -> void
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.isReceiveShutDown = true;
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
            if (entry.nextKeyCheckAt && *entry.nextKeyCheckAt <= now && !entry.isKeyInvalid) {
                entry.nextKeyCheckAt = now + KEY_CHECK_INTERVAL;
                due.emplace_back(id, *entry.caller);
            }
        }
    }
    for (const auto &[id, caller] : due) {
        if (!recheckCaller(caller, state_, now)) {
            continue;
        }
        std::optional<std::stop_source> stop;
        {
            const std::lock_guard lock(mutex_);
            const auto found = entries_.find(id);
            if (found == entries_.end()) {
                continue;
            }
            found->second.isKeyInvalid = true;
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

auto CallerWatch::Registration::isKeyInvalid() const -> bool
{
    const std::lock_guard lock(watch_.mutex_);
    return watch_.entries_.at(id_).isKeyInvalid;
}

} // namespace poplardock
