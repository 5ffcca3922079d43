#include "Connection/Io/Listener.h"

#include "Connection/Io/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace poplardock {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// accept() fails mostly because the process has run out of descriptors; retrying at once would make the loop spin.
constexpr Milliseconds ACCEPT_RETRY_DELAY { 20 };
// Connections that may wait to be accepted: many callers may reconnect within a few milliseconds.
constexpr int BACKLOG = 512;
// Received bytes that the process has not read count toward the memory of its VM, and the kernel's own choice reaches
// megabytes for each connection. 64 KiB in a millisecond are enough for the largest body within the shortest target.
constexpr int RECEIVE_BUFFER_BYTES = 64 << 10;

struct Listener::Acceptor : std::enable_shared_from_this<Listener::Acceptor>
{
    Acceptor(EventLoop &eventLoop, AcceptHandler handler)
        : loop(eventLoop)
        , acceptor(eventLoop.context())
        , onAccept(std::move(handler))
    {
    }

    auto accept() -> void
    {
        acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error, Tcp::socket socket) {
            if (self->isAbandoned || (error && !self->acceptor.is_open())) {
                return;
            }
            if (error) {
                self->retryTimer = self->loop.at(BootClock::now() + ACCEPT_RETRY_DELAY, [self] { self->accept(); });
                return;
            }
            // Before the handler, which may throw.
            if (self->acceptor.is_open()) {
                self->accept();
            }
            self->onAccept(makeChannel(std::move(socket)));
        });
    }

    auto close() -> void
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        retryTimer.cancel();
    }

    EventLoop &loop;
    Tcp::acceptor acceptor;
    AcceptHandler onAccept;
    /// The listener is gone, perhaps from within the handler: nobody takes connections any more.
    bool isAbandoned = false;
    Timer retryTimer;
};

auto Listener::open(EventLoop &loop, const std::string &address, AcceptHandler onAccept) -> absl::StatusOr<std::unique_ptr<Listener>>
{
    const auto endpoint = parseEndpoint<Tcp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto acceptor = std::make_shared<Acceptor>(loop, std::move(onAccept));
    boost::system::error_code error;
    acceptor->acceptor.open(endpoint->protocol(), error);
    acceptor->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    acceptor->acceptor.set_option(asio::socket_base::receive_buffer_size(RECEIVE_BUFFER_BYTES), error);
    acceptor->acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor->acceptor.listen(BACKLOG, error);
    }
    if (error) {
        return absl::UnavailableError("cannot listen on " + address + ": " + error.message());
    }
    acceptor->accept();
    return std::unique_ptr<Listener>(new Listener(std::move(acceptor)));
}

Listener::Listener(std::shared_ptr<Acceptor> acceptor)
    : acceptor_(std::move(acceptor))
{
}

Listener::~Listener()
{
    acceptor_->isAbandoned = true;
    acceptor_->close();
}

auto Listener::close() -> void
{
    if (!acceptor_->acceptor.is_open()) {
        return;
    }
    boost::system::error_code error;
    acceptor_->acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(acceptor_->loop.context());
        acceptor_->acceptor.accept(socket, error);
        if (!error) {
            acceptor_->onAccept(makeChannel(std::move(socket)));
        }
    }
    acceptor_->close();
}

auto Listener::address() const -> std::string
{
    return formatEndpoint(acceptor_->acceptor.local_endpoint());
}

} // namespace poplardock
