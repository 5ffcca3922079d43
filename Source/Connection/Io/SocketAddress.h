#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/numbers.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <memory>
#include <string>

namespace poplardock {

class Channel;

/// Parses "IP:port" as a TCP or UDP endpoint. Errors: InvalidArgument when it is malformed. Thread-safe.
template<typename Protocol>
auto parseEndpoint(const std::string &address) -> absl::StatusOr<typename Protocol::endpoint>
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    const bool hasPort = colon != std::string::npos && absl::SimpleAtoi(address.substr(colon + 1), &port);
    if (error || !hasPort || port < 0 || port > UINT16_MAX) {
        return absl::InvalidArgumentError("expected IP:port, got " + address);
    }
    return typename Protocol::endpoint(ip, static_cast<std::uint16_t>(port));
}

/// Formats an endpoint as "IP:port". Thread-safe.
template<typename Endpoint>
auto formatEndpoint(const Endpoint &endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Makes a channel of a connected socket; the channel owns the socket.
auto makeChannel(boost::asio::ip::tcp::socket socket) -> std::shared_ptr<Channel>;

} // namespace poplardock
