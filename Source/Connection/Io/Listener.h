#pragma once

#include "Connection/Io/Channel.h"

namespace poplardock {

/// Accepts TCP connections on one address.
/// Thread safety: the loop's thread only.
class Listener
{
public:
    using AcceptHandler = std::function<void(std::shared_ptr<Channel>)>;

    /// Listens on "IP:port"; port 0 picks a free port. Errors: InvalidArgument for a malformed address,
    /// Unavailable when it cannot be bound.
    static auto open(EventLoop &loop, const std::string &address, AcceptHandler onAccept) -> absl::StatusOr<std::unique_ptr<Listener>>;

    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;
    Listener(Listener &&) = delete;
    auto operator=(Listener &&) -> Listener & = delete;
    ~Listener();

    /// Hands out the connections that the kernel has accepted so far, and accepts no more: later ones are refused.
    auto close() -> void;
    /// The bound "IP:port", with the actual port when it was opened with port 0. Precondition: not closed.
    [[nodiscard]] auto address() const -> std::string;

private:
    struct Acceptor;

    explicit Listener(std::shared_ptr<Acceptor> acceptor);

    std::shared_ptr<Acceptor> acceptor_;
};

} // namespace poplardock
