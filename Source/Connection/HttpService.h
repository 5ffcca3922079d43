#pragma once

#include "Connection/HttpConnection.h"
#include "Process/Clock.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace poplardock {

/// An HTTP server on one address with its own pool of threads, one thread for each open connection.
/// Thread safety: drain() and stop() may be called from any thread; the handler is called from many threads.
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
    /// Accepts no more connections once those that wait for a thread have got one, or at the deadline, when they are dropped; idle
    /// ones close, busy ones close after their answer. Blocks until then.
    auto drain(TimePoint deadline) -> void;
    /// Also breaks the open connections and waits for the handlers to return.
    auto stop() -> void;

private:
    HttpService(const Poco::Net::ServerSocket &socket, Options options, Handler handler);

    const Handler handler_;
    HttpConnectionRegistry registry_;
    Poco::Net::ServerSocket socket_;
    Poco::ThreadPool pool_;
    std::unique_ptr<Poco::Net::TCPServer> server_;
    bool stopped_ = false;
};

} // namespace poplardock
