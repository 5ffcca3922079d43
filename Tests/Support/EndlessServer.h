#pragma once

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <string>
#include <thread>

namespace poplardock {

/// A server in trouble: reads a request's head, sends the opening bytes and then one piece again and again until the caller
/// closes the connection. Serves one connection after the other.
class EndlessServer
{
public:
    EndlessServer(std::string opening, std::string piece);
    EndlessServer(const EndlessServer &) = delete;
    auto operator=(const EndlessServer &) -> EndlessServer & = delete;
    EndlessServer(EndlessServer &&) = delete;
    auto operator=(EndlessServer &&) -> EndlessServer & = delete;
    ~EndlessServer();

    [[nodiscard]] auto address() const -> const std::string &;
    /// Bytes that callers have accepted so far, those in the sockets' buffers included.
    [[nodiscard]] auto sentBytes() const -> std::size_t;
    [[nodiscard]] auto connectionCount() const -> int;

private:
    auto serve(const std::stop_token &stop) -> void;
    auto serveConnection(const std::stop_token &stop, Poco::Net::StreamSocket connection) -> void;

    const std::string opening_;
    const std::string piece_;
    Poco::Net::ServerSocket socket_;
    const std::string address_;
    std::atomic<std::size_t> sentBytes_ = 0;
    std::atomic<int> connectionCount_ = 0;
    std::jthread thread_;
};

} // namespace poplardock
