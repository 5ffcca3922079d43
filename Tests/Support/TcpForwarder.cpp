#include "Support/TcpForwarder.h"

namespace poplardock {

namespace {

/// A cut takes effect within this time.
constexpr int POLL_MICROSECONDS = 20000;

/// Passes on what is there; false at the end of the connection.
auto pass(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to) -> bool
{
    char buffer[16384];
    const int count = from.receiveBytes(buffer, sizeof buffer);
    for (int sent = 0; sent < count;) {
        sent += to.sendBytes(buffer + sent, count - sent);
    }
    return count > 0;
}

} // namespace

TcpForwarder::TcpForwarder(const std::string &target)
    : target_(target)
    , socket_(Poco::Net::SocketAddress("127.0.0.1:0"))
    , acceptor_([this](const std::stop_token &stop) { accept(stop); })
{
}

TcpForwarder::~TcpForwarder()
{
    isStopping_ = true;
    acceptor_.request_stop();
    acceptor_.join();
    links_.clear();
}

auto TcpForwarder::address() const -> std::string
{
    return socket_.address().toString();
}

auto TcpForwarder::setCut(bool isCut) -> void
{
    isCut_ = isCut;
}

auto TcpForwarder::accept(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        if (!socket_.poll(Poco::Timespan(POLL_MICROSECONDS), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        Poco::Net::StreamSocket near = socket_.acceptConnection();
        links_.remove_if([](const Link &link) { return link.isDone.load(); });
        if (isCut_) {
            continue;
        }
        Link &link = links_.emplace_back();
        link.near = near;
        link.thread = std::jthread([this, &link] { forward(link); });
    }
}

auto TcpForwarder::forward(Link &link) const -> void
{
    try {
        link.far.connect(target_);
        while (!isCut_ && !isStopping_) {
            Poco::Net::Socket::SocketList readable = { link.near, link.far };
            Poco::Net::Socket::SocketList writable;
            Poco::Net::Socket::SocketList failed;
            Poco::Net::Socket::select(readable, writable, failed, Poco::Timespan(POLL_MICROSECONDS));
            bool isOpen = true;
            for (const Poco::Net::Socket &socket : readable) {
                isOpen = isOpen && (socket == link.near ? pass(link.near, link.far) : pass(link.far, link.near));
            }
            if (!isOpen) {
                break;
            }
        }
    } catch (const Poco::Exception &) {
        // A broken connection ends the link as a closed one does.
    }
    link.near.close();
    link.far.close();
    link.isDone = true;
}

} // namespace poplardock
