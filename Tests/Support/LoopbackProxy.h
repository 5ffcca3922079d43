#pragma once

#include "Connection/Io/Listener.h"

#include <deque>
#include <list>
#include <memory>
#include <string>

namespace poplardock {

/// Forwards TCP connections on the loopback address and disturbs them on order: late, held back in one direction or
/// both, reset, refused. Held bytes arrive when the fault ends, as with a network that comes back.
/// Thread safety: the loop's thread only.
class LoopbackProxy
{
public:
    struct Faults
    {
        /// Each piece is forwarded this much later.
        Milliseconds delay { 0 };
        bool holdsRequests = false;
        bool holdsAnswers = false;
        /// New connections are reset.
        bool refuses = false;

        auto operator==(const Faults &) const -> bool = default;
    };

    /// Listens on "IP:port"; port 0 takes a free one. Precondition: the address can be bound.
    LoopbackProxy(EventLoop &loop, const std::string &listenAddress, std::string target);

    [[nodiscard]] auto address() const -> std::string;
    auto setFaults(const Faults &faults) -> void;
    /// Resets all connections that are open now.
    auto resetConnections() -> void;
    /// As a crash of the target: resets all connections and does not listen any more.
    auto close() -> void;

private:
    struct Piece
    {
        BootTime dueAt;
        std::string bytes;
        /// The sender has ended its side; no bytes.
        bool isEnd = false;
    };
    struct Direction
    {
        std::shared_ptr<Channel> to;
        std::deque<Piece> pieces;
        Timer timer;
    };
    struct Link
    {
        std::shared_ptr<Channel> near;
        std::shared_ptr<Channel> far;
        Direction requests;
        Direction answers;
        bool isOver = false;
    };

    auto accept(std::shared_ptr<Channel> near) -> void;
    auto connected(const std::shared_ptr<Link> &link, std::shared_ptr<Channel> far) -> void;
    auto push(const std::shared_ptr<Link> &link, bool isRequest, Piece piece) -> void;
    auto pump(const std::shared_ptr<Link> &link, bool isRequest) -> void;
    auto end(const std::shared_ptr<Link> &link) -> void;

    EventLoop &loop_;
    const std::string target_;
    std::string address_;
    Faults faults_;
    std::list<std::shared_ptr<Link>> links_;
    std::unique_ptr<Listener> listener_;
};

} // namespace poplardock
