#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace poplardock {

/// Forwards TCP connections to one address until it is cut, so that a test can take the network away from one
/// process. Thread-safe.
class TcpForwarder
{
public:
    /// Precondition: the target is "IP:port".
    explicit TcpForwarder(const std::string &target);
    TcpForwarder(const TcpForwarder &) = delete;
    auto operator=(const TcpForwarder &) -> TcpForwarder & = delete;
    TcpForwarder(TcpForwarder &&) = delete;
    auto operator=(TcpForwarder &&) -> TcpForwarder & = delete;
    ~TcpForwarder();

    [[nodiscard]] auto address() const -> std::string;
    /// While cut, open connections are broken and new ones are closed at once.
    auto setCut(bool isCut) -> void;

private:
    struct Link
    {
        Poco::Net::StreamSocket near;
        Poco::Net::StreamSocket far;
        std::atomic<bool> isDone = false;
        std::jthread thread;
    };

    auto accept(const std::stop_token &stop) -> void;
    auto forward(Link &link) const -> void;

    const Poco::Net::SocketAddress target_;
    Poco::Net::ServerSocket socket_;
    std::atomic<bool> isCut_ = false;
    std::atomic<bool> isStopping_ = false;
    std::list<Link> links_;
    std::jthread acceptor_;
};

} // namespace poplardock
