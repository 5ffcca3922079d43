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
    struct Options
    {
        std::function<CallerLimits()> limits;
        /// Null for a server whose memory is not accounted.
        std::shared_ptr<HeldBytes> account;
        /// Most connections at a time; 0 for no bound.
        std::size_t maximumConnections = 0;
        /// As in SessionEnvironment.
        std::function<int(const MessageHead &)> bodyCopies;
        std::function<HttpResult()> overloadAnswer;
        std::function<void()> onBodyTimeout;
        /// Called for each connection that is ended, or not accepted, because of the bound.
        std::function<void()> onConnectionBound;
    };
    using RequestHandler = std::function<void(const std::shared_ptr<CallerExchange> &)>;

    /// Errors: InvalidArgument for a malformed address, Unavailable when it cannot be bound.
    static auto open(EventLoop &loop, const std::string &address, Options options, RequestHandler onRequest)
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
    /// Accepts no more connections than those that the kernel has accepted already.
    auto stopAccepting() -> void;
    /// Gives this answer to all requests that were read whole and whose answer has not begun; what runs for them ends.
    auto answerUnfinished(const HttpResult &result) -> void;
    /// Connections that carry a request, or an answer whose last byte has not been handed to the socket; once drain() was called,
    /// an answer whose last byte has not been acknowledged. A connection whose reader is gone does not count.
    [[nodiscard]] auto busyCount() const -> std::size_t;
    /// Connections with bytes that the peer has not acknowledged, whether or not they carry a request.
    [[nodiscard]] auto sendingCount() const -> std::size_t;
    [[nodiscard]] auto address() const -> std::string;

private:
    /// A connection without a session that still sends its last answer.
    struct Closing
    {
        std::shared_ptr<Channel> channel;
        std::unique_ptr<HeldBytes::Charge> charge;
        std::size_t undelivered = 0;
        BootTime progressAt;
        bool isRefused = false;
    };

    CallerServer() = default;
    auto accept(const std::shared_ptr<Channel> &channel) -> void;
    auto takeEnd(const CallerSession *session) -> void;
    auto sweep() -> void;
    /// Ends the connection without a request that runs that has waited longest. Returns false when there is none.
    auto endLongestWaiting(BootTime now) -> bool;
    [[nodiscard]] auto worstHolder(BootTime now) -> std::optional<HeldBytes::Candidate>;

    std::shared_ptr<SessionEnvironment> environment_;
    std::unordered_map<const CallerSession *, std::shared_ptr<CallerSession>> sessions_;
    Options options_;
    std::vector<Closing> closing_;
    std::unique_ptr<Listener> listener_;
    Timer sweepTimer_;
    /// Ends with the server, for the account, which may live longer.
    std::shared_ptr<CallerServer *> self_;
    bool isDraining_ = false;
};

} // namespace poplardock
