#pragma once

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <string>
#include <thread>

namespace poplardock {

/// Accepts one connection, reads until the given text has arrived, closes its listening socket, sends the
/// given bytes and closes the connection. With no bytes to send it looks like an upstream that dies.
class RawServer
{
public:
    RawServer(std::string requestEnd, std::string answer);
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;
    RawServer(RawServer &&) = delete;
    auto operator=(RawServer &&) -> RawServer & = delete;
    ~RawServer();

    [[nodiscard]] auto address() const -> const std::string &;
    /// True once a whole request has arrived.
    [[nodiscard]] auto hasReceived() const -> bool;

private:
    auto serve(const std::stop_token &stop, const std::string &requestEnd, const std::string &answer) -> void;

    Poco::Net::ServerSocket socket_;
    const std::string address_;
    std::atomic<bool> hasReceived_ = false;
    std::jthread thread_;
};

/// Sends the bytes to "IP:port" and returns all that comes back until the other side closes. With
/// "endsEarly" the sending direction is closed after the bytes.
auto exchangeRaw(const std::string &address, const std::string &bytes, bool endsEarly) -> std::string;

} // namespace poplardock
