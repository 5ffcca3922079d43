#include "Support/EndlessServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

namespace poplardock {

namespace {

const Poco::Timespan POLL_TIME { 0, 10000 };

} // namespace

EndlessServer::EndlessServer(std::string opening, std::string piece)
    : opening_(std::move(opening))
    , piece_(std::move(piece))
    , socket_(Poco::Net::SocketAddress("127.0.0.1:0"), 16)
    , address_(socket_.address().toString())
    , thread_([this](const std::stop_token &stop) { serve(stop); })
{
}

EndlessServer::~EndlessServer() = default;

auto EndlessServer::address() const -> const std::string &
{
    return address_;
}

auto EndlessServer::sentBytes() const -> std::size_t
{
    return sentBytes_;
}

auto EndlessServer::connectionCount() const -> int
{
    return connectionCount_;
}

auto EndlessServer::serve(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        if (socket_.poll(POLL_TIME, Poco::Net::Socket::SELECT_READ)) {
            try {
                serveConnection(stop, socket_.acceptConnection());
            } catch (const Poco::Exception &) {
                // The caller has closed the connection, as it should.
                continue;
            }
        }
    }
}

auto EndlessServer::serveConnection(const std::stop_token &stop, Poco::Net::StreamSocket connection) -> void
{
    ++connectionCount_;
    std::string received;
    char buffer[4096];
    while (received.find("\r\n\r\n") == std::string::npos) {
        const int count = connection.receiveBytes(buffer, sizeof buffer);
        if (count <= 0) {
            return;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
    sentBytes_ += static_cast<std::size_t>(connection.sendBytes(opening_.data(), static_cast<int>(opening_.size())));
    while (!stop.stop_requested()) {
        if (connection.poll(POLL_TIME, Poco::Net::Socket::SELECT_WRITE)) {
            sentBytes_ += static_cast<std::size_t>(connection.sendBytes(piece_.data(), static_cast<int>(piece_.size())));
        }
    }
}

} // namespace poplardock
