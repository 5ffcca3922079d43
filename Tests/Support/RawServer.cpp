#include "Support/RawServer.h"

#include <Poco/Net/StreamSocket.h>

namespace poplardock {

RawServer::RawServer(std::string requestEnd, std::string answer)
    : socket_(Poco::Net::SocketAddress("127.0.0.1:0"), 4)
    , address_(socket_.address().toString())
    , thread_([this, requestEnd = std::move(requestEnd), answer = std::move(answer)](const std::stop_token &stop) {
        serve(stop, requestEnd, answer);
    })
{
}

RawServer::~RawServer() = default;

auto RawServer::address() const -> const std::string &
{
    return address_;
}

auto RawServer::hasReceived() const -> bool
{
    return hasReceived_;
}

auto RawServer::serve(const std::stop_token &stop, const std::string &requestEnd, const std::string &answer) -> void
{
    while (!socket_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
        if (stop.stop_requested()) {
            return;
        }
    }
    Poco::Net::StreamSocket connection = socket_.acceptConnection();
    std::string received;
    char buffer[4096];
    while (received.find(requestEnd) == std::string::npos) {
        const int count = connection.receiveBytes(buffer, sizeof buffer);
        if (count <= 0) {
            return;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
    hasReceived_ = true;
    socket_.close();
    connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    connection.shutdownSend();
}

auto exchangeRaw(const std::string &address, const std::string &bytes, bool endsEarly) -> std::string
{
    Poco::Net::StreamSocket connection { Poco::Net::SocketAddress(address) };
    connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (endsEarly) {
        connection.shutdownSend();
    }
    std::string received;
    char buffer[4096];
    try {
        for (int count = connection.receiveBytes(buffer, sizeof buffer); count > 0;
             count = connection.receiveBytes(buffer, sizeof buffer)) {
            received.append(buffer, static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception &) {
        // A reset ends the answer as a close does.
    }
    return received;
}

} // namespace poplardock
