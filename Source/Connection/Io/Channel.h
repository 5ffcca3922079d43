#pragma once

#include "Connection/Io/EventLoop.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace poplardock {

/// How a channel ended.
enum class ChannelEnd
{
    /// The peer closed its side of the connection in order (FIN).
    Finished,
    /// The connection was reset, timed out or failed with another error.
    Broken,
};

/// Whether something accepts connections at an address.
enum class Reachability
{
    Accepting,
    /// The host answers, but no process listens there.
    Refusing,
    /// No answer in time, or another error: the process may be alive behind a cut.
    Unknown,
};

/// When an unresponsive peer makes a channel count as broken.
struct ChannelTimeouts
{
    /// Milliseconds for which sent bytes or keep-alive probes may stay unacknowledged.
    int unacknowledgedMs = 0;
    /// Idle milliseconds before the first keep-alive probe, rounded up to whole seconds; 0 sends no probes.
    int keepAliveIdleMs = 0;

    auto operator==(const ChannelTimeouts &) const -> bool = default;
};

/// One TCP connection on an event loop. Writes never block: bytes that the socket does not accept are queued.
/// No handler is called after close(), abort() or the end handler.
/// Thread safety: the loop's thread only.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Socket;
    using DataHandler = std::function<void(std::string_view)>;
    using EndHandler = std::function<void(ChannelEnd)>;
    using ConnectHandler = std::function<void(std::shared_ptr<Channel>)>;

    /// Connects to "IP:port"; gives up at the deadline. The handler is called once, from the loop, with null when the
    /// connection failed or the address is malformed.
    static auto connect(EventLoop &loop, const std::string &address, BootTime deadline, ChannelTimeouts timeouts, ConnectHandler handler)
        -> void;

    /// Finds out whether something accepts connections at "IP:port", by opening one and closing it. The handler is called
    /// once, from the loop, at the deadline at the latest.
    static auto probe(EventLoop &loop, const std::string &address, BootTime deadline, std::function<void(Reachability)> handler) -> void;

    explicit Channel(std::unique_ptr<Socket> socket);
    Channel(const Channel &) = delete;
    auto operator=(const Channel &) -> Channel & = delete;
    Channel(Channel &&) = delete;
    auto operator=(Channel &&) -> Channel & = delete;
    ~Channel();

    /// Starts reading. Precondition: called once.
    auto start(DataHandler onData, EndHandler onEnd) -> void;
    auto setTimeouts(ChannelTimeouts timeouts) -> void;
    auto send(std::string_view bytes) -> void;
    /// Whether the peer has not acknowledged all bytes yet, while the socket is open, closing or not.
    [[nodiscard]] auto isSending() const -> bool;
    /// Whether bytes were still queued, here or in the kernel, when the connection ended. For use in the end handler and after it.
    [[nodiscard]] auto hadUnsentBytes() const -> bool;
    /// Bytes that the socket has not accepted yet.
    [[nodiscard]] auto queuedBytes() const -> std::size_t;
    /// Bytes of memory that the queue takes, spare capacity included.
    [[nodiscard]] auto heldBytes() const -> std::size_t;
    /// The handler is called each time the queue becomes empty.
    auto setDrainHandler(std::function<void()> onDrained) -> void;
    /// Stops reading; the receive window fills up, which slows down the peer.
    auto pause() -> void;
    auto resume() -> void;
    /// Closes the connection in order once the queued bytes are sent.
    auto close() -> void;
    /// As close(), but keeps the socket until the channel is destroyed, so that isSending() still tells what the kernel holds.
    /// Nothing more is read: bytes that the peer sends from now on count as not received.
    auto closeAfterDelivery() -> void;
    /// Closes the socket at once; what the peer has not received may be lost.
    auto discard() -> void;
    /// Drops queued bytes and resets the connection.
    auto abort() -> void;
    [[nodiscard]] auto isOpen() const -> bool;
    /// Calls the task from the loop.
    auto post(std::function<void()> task) -> void;

private:
    auto read() -> void;
    auto readAvailable(std::size_t count) -> void;
    auto write() -> void;
    /// Ends the own side of a closing connection whose queue is empty.
    auto finishSending() -> void;
    /// Bytes that the kernel has accepted and the peer has not acknowledged; 0 when the connection has failed.
    [[nodiscard]] auto unacknowledgedBytes() const -> int;
    auto end(ChannelEnd how) -> void;
    auto release(bool withReset) -> void;

    std::unique_ptr<Socket> socket_;
    DataHandler onData_;
    EndHandler onEnd_;
    std::function<void()> onDrained_;
    std::string queue_;
    bool isReading_ = false;
    bool isWriting_ = false;
    /// A write failed, which may have taken the error that reading would report: its end is none in order.
    bool hasWriteFailed_ = false;
    bool hadUnsentBytes_ = false;
    bool isPaused_ = false;
    bool isClosing_ = false;
    bool awaitsDelivery_ = false;
    bool isOpen_ = true;
};

} // namespace poplardock
