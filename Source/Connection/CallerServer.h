#pragma once

#include "Connection/CallerSession.h"
#include "Connection/Io/Listener.h"

#include <unordered_map>
#include <vector>

namespace poplardock {

/// Accepts connections on one address and hands their requests to a handler.
/// Thread safety: the loop's thread only.
class CallerServer
{
public:
    using RequestHandler = std::function<void(const std::shared_ptr<CallerExchange> &)>;

    /// Errors: InvalidArgument for a malformed address, Unavailable when it cannot be bound.
    static auto open(EventLoop &loop, const std::string &address, std::function<CallerLimits()> limits, RequestHandler onRequest)
        -> absl::StatusOr<std::unique_ptr<CallerServer>>;

    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;
    CallerServer(CallerServer &&) = delete;
    auto operator=(CallerServer &&) -> CallerServer & = delete;
    ~CallerServer();

    /// From now on each connection is closed after its answer.
    auto drain() -> void;
    /// Closes connections without a request; precondition: drain() was called.
    auto closeIdle() -> void;
    /// Accepts no more connections.
    auto stopAccepting() -> void;
    /// Connections that carry a request, or an answer whose last byte has not been handed to the socket; once drain() was called,
    /// an answer whose last byte has not been acknowledged. A connection whose reader is gone does not count.
    [[nodiscard]] auto busyCount() const -> std::size_t;
    /// Connections with bytes that the peer has not acknowledged, whether or not they carry a request.
    [[nodiscard]] auto sendingCount() const -> std::size_t;
    [[nodiscard]] auto address() const -> std::string;

private:
    CallerServer() = default;

    std::shared_ptr<SessionEnvironment> environment_;
    std::unordered_map<const CallerSession *, std::shared_ptr<CallerSession>> sessions_;
    /// Connections without a session that still send their last answer.
    std::vector<std::shared_ptr<Channel>> closing_;
    std::unique_ptr<Listener> listener_;
    Timer sweep_;
    bool isDraining_ = false;
};

} // namespace poplardock
