#pragma once

#include "Process/Clock.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/TCPServerConnection.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>

namespace poplardock {

class HttpConnection;

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// The open connections of one server and whether it is shutting down. Thread-safe.
class HttpConnectionRegistry
{
public:
    auto add(HttpConnection *connection) -> void;
    auto remove(HttpConnection *connection) -> void;
    [[nodiscard]] auto count() const -> int;
    [[nodiscard]] auto isDraining() const -> bool;
    /// Idle connections end now, busy ones after their answer, and ones that have carried no request yet only when a short time for it
    /// has passed; call again for those. A request that has reached this VM is answered.
    auto drain() -> void;
    /// Breaks all connections.
    auto abort() -> void;

private:
    mutable std::mutex mutex_;
    std::set<HttpConnection *> connections_;
    std::atomic<bool> isDraining_ = false;
};

/// Serves the requests of one connection, one after the other. POCO's own connection class answers malformed
/// requests without a body, and closes without reading what the caller still sends, by which the caller can
/// lose the answer; this class answers in the usual error shape and reads on for a short time before it closes.
class HttpConnection : public Poco::Net::TCPServerConnection
{
public:
    HttpConnection(const Poco::Net::StreamSocket &socket,
                   Poco::Net::HTTPServerParams::Ptr parameters,
                   const HttpHandler &handler,
                   HttpConnectionRegistry &registry);
    HttpConnection(const HttpConnection &) = delete;
    auto operator=(const HttpConnection &) -> HttpConnection & = delete;
    HttpConnection(HttpConnection &&) = delete;
    auto operator=(HttpConnection &&) -> HttpConnection & = delete;
    ~HttpConnection() override;

    auto run() -> void override;
    /// Stops receiving unless a request is being handled or a new connection may still send its first one. What has arrived
    /// already is still handled.
    auto stopIfIdle(TimePoint now) -> void;
    auto abort() -> void;

private:
    enum class Next
    {
        Continue,
        Close,
    };

    auto serveRequest(class Poco::Net::HTTPServerSession &session) -> Next;
    auto callHandler(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
    auto lingerBeforeClose() -> void;

    Poco::Net::HTTPServerParams::Ptr parameters_;
    const HttpHandler &handler_;
    HttpConnectionRegistry &registry_;
    const TimePoint createdAt_;
    std::atomic<bool> isBusy_ = false;
    std::atomic<bool> hasCarriedRequest_ = false;
};

} // namespace poplardock
