#pragma once

#include "Connection/Io/EventLoop.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace poplardock {

/// A UDP socket bound to one address. Datagrams may be lost; they are also dropped when the send buffer is full.
/// Thread safety: the loop's thread only.
class DatagramSocket
{
public:
    /// Called with the sender's "IP:port" and the datagram.
    using Handler = std::function<void(const std::string &, std::string_view)>;

    /// Errors: InvalidArgument for a malformed address, Unavailable when it cannot be bound.
    static auto open(EventLoop &loop, const std::string &address, Handler onDatagram) -> absl::StatusOr<std::unique_ptr<DatagramSocket>>;

    DatagramSocket(const DatagramSocket &) = delete;
    auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;
    DatagramSocket(DatagramSocket &&) = delete;
    auto operator=(DatagramSocket &&) -> DatagramSocket & = delete;
    ~DatagramSocket();

    /// Sends to "IP:port". Returns false, with the datagram dropped, for a malformed address and when the system does not take it: it is
    /// too long, or the send buffer is full.
    auto sendTo(const std::string &address, std::string_view datagram) -> bool;

private:
    struct Socket;

    explicit DatagramSocket(std::shared_ptr<Socket> socket);

    std::shared_ptr<Socket> socket_;
};

} // namespace poplardock
