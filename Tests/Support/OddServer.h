#pragma once

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <string>
#include <thread>

namespace poplardock {

/// A server in trouble that goes on accepting connections: reads the head of a request and nothing more, sends fixed bytes, and ends
/// the connection. Serves one connection after the other.
class OddServer
{
public:
    enum class Ending
    {
        Reset,
        /// Closes its side in order, and resets the connection a little later.
        FinishThenReset,
        /// Reads the rest of the request before it closes in order.
        Finish,
        /// Leaves the connection open until the caller closes it.
        Hold,
    };

    OddServer(std::string answer, Ending ending);
    OddServer(const OddServer &) = delete;
    auto operator=(const OddServer &) -> OddServer & = delete;
    OddServer(OddServer &&) = delete;
    auto operator=(OddServer &&) -> OddServer & = delete;
    ~OddServer();

    [[nodiscard]] auto address() const -> const std::string &;
    [[nodiscard]] auto connectionCount() const -> int;

private:
    auto serve(const std::stop_token &stop) -> void;
    auto serveConnection(const std::stop_token &stop, Poco::Net::StreamSocket connection) -> void;

    const std::string answer_;
    const Ending ending_;
    Poco::Net::ServerSocket socket_;
    const std::string address_;
    std::atomic<int> connectionCount_ = 0;
    std::jthread thread_;
};

} // namespace poplardock
