#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace poplardock {

/// An HTTP server on one address with its own pool of threads, one thread for each open connection.
/// Thread safety: stop() may be called once from any thread; the handler is called from many threads.
class HttpService
{
public:
    using Handler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

    struct Options
    {
        int threads = 64;
        /// Connections that wait for a thread; more are refused.
        int queue = 64;
    };

    /// Binds "IP:port" (port 0 takes a free one) and starts to serve. An exception that leaves the handler is
    /// answered with ResultCode::Internal when nothing was sent yet, and closes the connection otherwise.
    /// Errors: Unavailable when the address cannot be bound.
    static auto start(const std::string &address, Options options, Handler handler) -> absl::StatusOr<std::unique_ptr<HttpService>>;

    HttpService(const HttpService &) = delete;
    auto operator=(const HttpService &) -> HttpService & = delete;
    HttpService(HttpService &&) = delete;
    auto operator=(HttpService &&) -> HttpService & = delete;
    ~HttpService();

    /// "IP:port" with the real port.
    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto currentConnections() const -> int;
    /// Accepts no more connections; running requests go on and their connections close after the answer.
    auto stopAccepting() -> void;
    /// Also breaks the open connections and waits for the handlers to return.
    auto stop() -> void;

private:
    HttpService(const Poco::Net::ServerSocket &socket, Options options, Handler handler);

    Poco::Net::ServerSocket socket_;
    Poco::ThreadPool pool_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
    bool stopped_ = false;
};

} // namespace poplardock
