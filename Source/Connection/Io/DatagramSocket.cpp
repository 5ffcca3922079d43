#include "Connection/Io/DatagramSocket.h"

#include "Connection/Io/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <unordered_map>

namespace poplardock {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

// Holds the largest UDP datagram over IPv4.
constexpr std::size_t DATAGRAM_BYTES = 64 * 1024;

struct DatagramSocket::Socket : std::enable_shared_from_this<DatagramSocket::Socket>
{
    Socket(asio::io_context &context, Handler handler)
        : udp(context)
        , onDatagram(std::move(handler))
    {
    }

    auto receive() -> void
    {
        udp.async_receive_from(
            asio::buffer(buffer), sender, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                if (!self->udp.is_open()) {
                    return;
                }
                // An error means that a peer has no listener (ICMP port unreachable); the socket stays usable.
                try {
                    if (!error) {
                        self->onDatagram(formatEndpoint(self->sender), std::string_view(self->buffer.data(), size));
                    }
                } catch (...) {
                    self->receive();
                    throw;
                }
                self->receive();
            });
    }

    Udp::socket udp;
    Udp::endpoint sender;
    Handler onDatagram;
    std::array<char, DATAGRAM_BYTES> buffer {};
    std::unordered_map<std::string, Udp::endpoint> endpoints;
};

auto DatagramSocket::open(EventLoop &loop, const std::string &address, Handler onDatagram)
    -> absl::StatusOr<std::unique_ptr<DatagramSocket>>
{
    const auto endpoint = parseEndpoint<Udp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto socket = std::make_shared<Socket>(loop.context(), std::move(onDatagram));
    boost::system::error_code error;
    socket->udp.open(endpoint->protocol(), error);
    socket->udp.bind(*endpoint, error);
    if (error) {
        return absl::UnavailableError("cannot bind " + address + ": " + error.message());
    }
    socket->udp.non_blocking(true, error);
    socket->receive();
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(socket)));
}

DatagramSocket::DatagramSocket(std::shared_ptr<Socket> socket)
    : socket_(std::move(socket))
{
}

DatagramSocket::~DatagramSocket()
{
    boost::system::error_code ignored;
    socket_->udp.close(ignored);
}

auto DatagramSocket::sendTo(const std::string &address, std::string_view datagram) -> bool
{
    auto cached = socket_->endpoints.find(address);
    if (cached == socket_->endpoints.end()) {
        const auto endpoint = parseEndpoint<Udp>(address);
        if (!endpoint.ok()) {
            return false;
        }
        cached = socket_->endpoints.emplace(address, *endpoint).first;
    }
    boost::system::error_code error;
    socket_->udp.send_to(asio::buffer(datagram.data(), datagram.size()), cached->second, 0, error);
    // Tells of an earlier datagram that its recipient had no listener.
    return !error || error == asio::error::connection_refused;
}

} // namespace poplardock
