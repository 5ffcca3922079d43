#include "Support/OddServer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <chrono>

namespace poplardock {

namespace {

const Poco::Timespan POLL_TIME(0, 20000);
/// Time in which what was sent arrives before a reset, which would overtake it.
constexpr std::chrono::milliseconds ARRIVAL_TIME { 100 };
/// Far less than an upload, so that the rest of it waits at the caller.
constexpr int RECEIVE_BUFFER_BYTES = 16384;

auto openSocket() -> Poco::Net::ServerSocket
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    // Connections take it over.
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.listen();
    return socket;
}

auto reset(Poco::Net::StreamSocket &connection) -> void
{
    connection.setLinger(true, 0);
    connection.close();
}

} // namespace

OddServer::OddServer(std::string answer, Ending ending)
    : answer_(std::move(answer))
    , ending_(ending)
    , socket_(openSocket())
    , address_(socket_.address().toString())
    , thread_([this](const std::stop_token &stop) { serve(stop); })
{
}

OddServer::~OddServer() = default;

auto OddServer::address() const -> const std::string &
{
    return address_;
}

auto OddServer::connectionCount() const -> int
{
    return connectionCount_;
}

auto OddServer::serve(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        if (socket_.poll(POLL_TIME, Poco::Net::Socket::SELECT_READ)) {
            try {
                serveConnection(stop, socket_.acceptConnection());
            } catch (const Poco::Exception &) {
                // The caller has closed the connection first.
                continue;
            }
        }
    }
}

auto OddServer::serveConnection(const std::stop_token &stop, Poco::Net::StreamSocket connection) -> void
{
    std::string received;
    char buffer[4096];
    while (received.find("\r\n\r\n") == std::string::npos) {
        const int count = connection.receiveBytes(buffer, sizeof buffer);
        if (count <= 0) {
            return;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
    ++connectionCount_;
    connection.sendBytes(answer_.data(), static_cast<int>(answer_.size()));
    const auto readRest = [&connection, &buffer, &stop](bool isBounded) {
        while (!stop.stop_requested()) {
            if (connection.poll(POLL_TIME, Poco::Net::Socket::SELECT_READ)) {
                if (connection.receiveBytes(buffer, sizeof buffer) <= 0) {
                    return;
                }
            } else if (isBounded) {
                return;
            }
        }
    };
    switch (ending_) {
    case Ending::Reset:
        std::this_thread::sleep_for(ARRIVAL_TIME);
        reset(connection);
        return;
    case Ending::FinishThenReset:
        connection.shutdownSend();
        std::this_thread::sleep_for(ARRIVAL_TIME);
        reset(connection);
        return;
    case Ending::Finish:
        readRest(true);
        connection.shutdownSend();
        readRest(false);
        return;
    case Ending::Hold:
        readRest(false);
        return;
    }
}

} // namespace poplardock
