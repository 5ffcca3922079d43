#pragma once

#include "Connection/HttpConnection.h"
#include "Process/Clock.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerDispatcher.h>
#include <Poco/ThreadPool.h>
#include <absl/status/statusor.h>

#include <memory>
#include <stop_token>
#include <string>
#include <thread>

namespace poplardock {

/// An HTTP server on one address with its own pool of threads, one thread for each open connection.
/// Thread safety: drain() and stop() may be called from any thread, one after the other; the handler is called from many threads.
class HttpService
{
public:
    using Handler = HttpHandler;

    struct Options
    {
        int threads = 64;
        /// Connections that wait for a thread; more are refused.
        int queue = 64;
    };

    /// Binds "IP:port" (port 0 takes a free one) and starts to serve. An exception that leaves the handler is
    /// answered with ResultCode::Internal when nothing was sent yet, and closes the connection otherwise. A
    /// handler that returns without an answer closes the connection.
    /// Errors: Unavailable when the address cannot be bound.
    static auto start(const std::string &address, Options options, Handler handler) -> absl::StatusOr<std::unique_ptr<HttpService>>;

    HttpService(const HttpService &) = delete;
    auto operator=(const HttpService &) -> HttpService & = delete;
    HttpService(HttpService &&) = delete;
    auto operator=(HttpService &&) -> HttpService & = delete;
    ~HttpService();

    /// "IP:port" with the real port.
    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto openConnections() const -> int;
    /// Accepts no new connections; later callers are refused by the kernel. Every connection whose handshake has begun is served:
    /// it closes after the answer in progress or, without one, after a short time for its first request. Blocks until no
    /// connection is open, at most until the deadline.
    auto drain(TimePoint deadline) -> void;
    /// Also breaks the open connections and waits for the handlers to return.
    auto stop() -> void;

private:
    HttpService(const Poco::Net::ServerSocket &socket, Options options, Handler handler);
    auto acceptConnections(const std::stop_token &stop) -> void;
    /// Ends the accepting thread once the kernel holds no more accepted connections, at the latest at the deadline.
    auto stopAccepting(TimePoint deadline) -> void;
    [[nodiscard]] auto hasConnections() const -> bool;

    const Handler handler_;
    HttpConnectionRegistry registry_;
    Poco::Net::ServerSocket socket_;
    const std::string address_;
    Poco::ThreadPool pool_;
    Poco::AutoPtr<Poco::Net::TCPServerDispatcher> dispatcher_;
    /// Connections given to the dispatcher. Written by the accepting thread, read after its end.
    int acceptedConnections_ = 0;
    /// Written before the accepting thread is asked to stop, read by it afterwards.
    TimePoint acceptDeadline_;
    std::jthread acceptingThread_;
    bool stopped_ = false;
};

} // namespace poplardock
