#include "Connection/Io/Channel.h"

#include "Connection/Io/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace poplardock {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

// All channels share one buffer: the loop has one thread, and each read is processed before the next one starts.
constexpr std::size_t READ_BYTES = 64 * 1024;
auto readBuffer() -> std::array<char, READ_BYTES> &
{
    static std::array<char, READ_BYTES> buffer;
    return buffer;
}

// Bytes read from one channel per wake-up, so that a busy channel does not starve the others.
constexpr std::size_t MAX_BYTES_PER_WAKEUP = 256 * 1024;

using OpenHandler = std::function<void(const boost::system::error_code &, Tcp::socket)>;

/// Opens a connection to "IP:port". The handler is called once, from the loop, at the deadline at the latest.
auto openSocket(EventLoop &loop, const std::string &address, BootTime deadline, OpenHandler handler) -> void
{
    struct Attempt
    {
        explicit Attempt(asio::io_context &context)
            : socket(context)
        {
        }
        Tcp::socket socket;
        Timer timeout;
    };
    auto attempt = std::make_shared<Attempt>(loop.context());
    const auto endpoint = parseEndpoint<Tcp>(address);
    if (!endpoint.ok()) {
        loop.post([attempt, handler = std::move(handler)] { handler(asio::error::invalid_argument, std::move(attempt->socket)); });
        return;
    }
    attempt->timeout = loop.at(deadline, [attempt] {
        boost::system::error_code ignored;
        attempt->socket.close(ignored);
    });
    attempt->socket.async_connect(*endpoint, [attempt, handler = std::move(handler)](const boost::system::error_code &error) {
        attempt->timeout.cancel();
        handler(error, std::move(attempt->socket));
    });
}

} // namespace

struct Channel::Socket
{
    explicit Socket(Tcp::socket connected)
        : tcp(std::move(connected))
    {
    }

    Tcp::socket tcp;
};

auto makeChannel(Tcp::socket socket) -> std::shared_ptr<Channel>
{
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(Tcp::no_delay(true), ignored);
    return std::make_shared<Channel>(std::make_unique<Channel::Socket>(std::move(socket)));
}

auto Channel::connect(EventLoop &loop, const std::string &address, BootTime deadline, ChannelTimeouts timeouts, ConnectHandler handler)
    -> void
{
    openSocket(
        loop, address, deadline, [timeouts, handler = std::move(handler)](const boost::system::error_code &error, Tcp::socket socket) {
            if (error) {
                handler(nullptr);
                return;
            }
            auto channel = makeChannel(std::move(socket));
            channel->setTimeouts(timeouts);
            handler(std::move(channel));
        });
}

auto Channel::probe(EventLoop &loop, const std::string &address, BootTime deadline, std::function<void(Reachability)> handler) -> void
{
    openSocket(
        loop, address, deadline, [handler = std::move(handler)](const boost::system::error_code &error, const Tcp::socket & /*socket*/) {
            handler(!error                                     ? Reachability::Accepting
                    : error == asio::error::connection_refused ? Reachability::Refusing
                                                               : Reachability::Unknown);
        });
}

Channel::Channel(std::unique_ptr<Socket> socket)
    : socket_(std::move(socket))
{
}

Channel::~Channel() = default;

auto Channel::start(DataHandler onData, EndHandler onEnd) -> void
{
    onData_ = std::move(onData);
    onEnd_ = std::move(onEnd);
    read();
}

auto Channel::setTimeouts(ChannelTimeouts timeouts) -> void
{
    constexpr int MS_PER_SECOND = 1000;
    const int descriptor = socket_->tcp.native_handle();
    const auto set = [descriptor](int level, int option, int value) {
        setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, timeouts.unacknowledgedMs);
    if (timeouts.keepAliveIdleMs > 0) {
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, (timeouts.keepAliveIdleMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
        set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
        set(IPPROTO_TCP, TCP_KEEPCNT, std::max(1, timeouts.unacknowledgedMs / MS_PER_SECOND));
    }
}

auto Channel::send(std::string_view bytes) -> void
{
    if (!isOpen_ || isClosing_) {
        return;
    }
    if (queue_.empty() && !isWriting_) {
        boost::system::error_code error;
        const std::size_t written = socket_->tcp.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block) {
            // Reading ends the channel later, so that no handler is called from within send().
            hasWriteFailed_ = true;
            return;
        }
        bytes.remove_prefix(error ? 0 : written);
    }
    if (!bytes.empty()) {
        queue_.append(bytes);
        write();
    }
}

auto Channel::isSending() const -> bool
{
    return isOpen_ && (!queue_.empty() || unacknowledgedBytes() > 0);
}

auto Channel::hadUnsentBytes() const -> bool
{
    return hadUnsentBytes_;
}

auto Channel::queuedBytes() const -> std::size_t
{
    return queue_.size();
}

auto Channel::heldBytes() const -> std::size_t
{
    return queue_.capacity();
}

auto Channel::setDrainHandler(std::function<void()> onDrained) -> void
{
    onDrained_ = std::move(onDrained);
}

auto Channel::pause() -> void
{
    isPaused_ = true;
}

auto Channel::resume() -> void
{
    if (isPaused_) {
        isPaused_ = false;
        read();
    }
}

auto Channel::close() -> void
{
    if (!isOpen_ || isClosing_) {
        return;
    }
    isClosing_ = true;
    onData_ = nullptr;
    onEnd_ = nullptr;
    if (queue_.empty() && !isWriting_) {
        finishSending();
    }
}

auto Channel::closeAfterDelivery() -> void
{
    awaitsDelivery_ = true;
    close();
}

auto Channel::finishSending() -> void
{
    if (!awaitsDelivery_) {
        release(false);
        return;
    }
    boost::system::error_code error;
    socket_->tcp.shutdown(Tcp::socket::shutdown_send, error);
    if (error) {
        release(false);
    }
}

auto Channel::unacknowledgedBytes() const -> int
{
    const int descriptor = socket_->tcp.native_handle();
    tcp_info info {};
    socklen_t size = sizeof info;
    // The count of a connection that was reset stays what it was.
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE) {
        return 0;
    }
    int count = 0;
    return ioctl(descriptor, SIOCOUTQ, &count) == 0 ? count : 0;
}

auto Channel::discard() -> void
{
    if (isOpen_) {
        release(false);
    }
}

auto Channel::abort() -> void
{
    if (isOpen_) {
        release(true);
    }
}

auto Channel::isOpen() const -> bool
{
    return isOpen_ && !isClosing_;
}

auto Channel::post(std::function<void()> task) -> void
{
    asio::post(socket_->tcp.get_executor(), std::move(task));
}

auto Channel::read() -> void
{
    if (isReading_ || isPaused_ || !isOpen_) {
        return;
    }
    isReading_ = true;
    socket_->tcp.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->isReading_ = false;
        if (!self->isOpen_) {
            return;
        }
        if (error) {
            self->end(ChannelEnd::Broken);
            return;
        }
        if (!self->awaitsDelivery_) {
            self->readAvailable(0);
        }
    });
}

auto Channel::readAvailable(std::size_t count) -> void
{
    while (isOpen_ && !isPaused_ && count < MAX_BYTES_PER_WAKEUP) {
        auto &buffer = readBuffer();
        boost::system::error_code error;
        const std::size_t size = socket_->tcp.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            break;
        }
        if (error) {
            end(error == asio::error::eof && !hasWriteFailed_ ? ChannelEnd::Finished : ChannelEnd::Broken);
            return;
        }
        count += size;
        if (onData_) {
            const DataHandler handler = onData_;
            try {
                handler(std::string_view(buffer.data(), size));
            } catch (...) {
                if (isOpen_) {
                    end(ChannelEnd::Broken);
                }
                throw;
            }
        }
        if (size < buffer.size()) {
            break;
        }
    }
    read();
}

auto Channel::write() -> void
{
    if (isWriting_ || !isOpen_) {
        return;
    }
    isWriting_ = true;
    socket_->tcp.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code &error) {
        self->isWriting_ = false;
        if (!self->isOpen_) {
            return;
        }
        boost::system::error_code failure = error;
        if (!failure) {
            const std::size_t written = self->socket_->tcp.write_some(asio::buffer(self->queue_), failure);
            self->queue_.erase(0, failure ? 0 : written);
        }
        if (failure && failure != asio::error::would_block) {
            self->end(ChannelEnd::Broken);
            return;
        }
        if (!self->queue_.empty()) {
            self->write();
            return;
        }
        // A kept connection does not keep the capacity for its largest message.
        std::string().swap(self->queue_);
        if (self->isClosing_) {
            self->finishSending();
        } else if (self->onDrained_) {
            const auto handler = self->onDrained_;
            handler();
        }
    });
}

auto Channel::end(ChannelEnd how) -> void
{
    const EndHandler handler = std::move(onEnd_);
    hadUnsentBytes_ = !queue_.empty() || (how == ChannelEnd::Finished && unacknowledgedBytes() > 0);
    release(how == ChannelEnd::Broken);
    if (handler) {
        handler(how);
    }
}

auto Channel::release(bool withReset) -> void
{
    isOpen_ = false;
    std::string().swap(queue_);
    onData_ = nullptr;
    onEnd_ = nullptr;
    onDrained_ = nullptr;
    boost::system::error_code ignored;
    if (withReset) {
        socket_->tcp.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_->tcp.close(ignored);
}

} // namespace poplardock
