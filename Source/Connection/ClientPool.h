#pragma once

#include "Connection/ClientChannel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// Kept connections to peers, by the peer's name. An idle one that was used last is used first, so that the
/// others may lapse.
/// Thread safety: the loop's thread only.
class ClientPool
{
public:
    struct Options
    {
        ChannelTimeouts patience;
        Milliseconds connectTime { 0 };
        /// Idle connections are closed after this time, unless the peer names an earlier one.
        Milliseconds idleTime { 0 };

        auto operator==(const Options &) const -> bool = default;
    };
    /// Gets null when no connection could be made; nothing was sent then.
    using Handler = std::function<void(std::shared_ptr<ClientChannel>)>;

    ClientPool(EventLoop &loop, Options options);
    ClientPool(const ClientPool &) = delete;
    auto operator=(const ClientPool &) -> ClientPool & = delete;
    ClientPool(ClientPool &&) = delete;
    auto operator=(ClientPool &&) -> ClientPool & = delete;
    ~ClientPool();

    /// Hands out an idle connection that was idle for at most "freshness", at once, or a new one, later. With a
    /// "requestId", the connection has not carried a request with that id: a copy of the former answer would be taken for
    /// the new one. Returns true when the handler was called before the return.
    auto acquire(const std::string &name,
                 const std::string &address,
                 Milliseconds freshness,
                 const std::optional<std::string> &requestId,
                 Handler handler) -> bool;
    /// Takes a connection back; one that is not reusable is dropped.
    auto release(const std::string &name, const std::shared_ptr<ClientChannel> &channel) -> void;
    /// Closes idle connections to a peer that is gone.
    auto drop(const std::string &name) -> void;
    /// Connections made since the start.
    [[nodiscard]] auto connectCount() const -> std::uint64_t;

private:
    struct Idle;

    EventLoop &loop_;
    const Options options_;
    std::shared_ptr<Idle> idle_;
    std::uint64_t connectCount_ = 0;
    Timer sweep_;
};

} // namespace poplardock
