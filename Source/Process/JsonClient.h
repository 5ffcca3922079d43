#pragma once

#include "Process/Clock.h"

#include <Poco/Net/HTTPClientSession.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace poplardock {

struct HttpResponse
{
    int status = 0;
    std::string body;

    auto operator==(const HttpResponse &) const -> bool = default;
};

/// A call that returned no complete response.
struct CallFailure
{
    /// False only when no byte of the request was sent.
    bool mayHaveRun = true;
    std::string reason;

    auto operator==(const CallFailure &) const -> bool = default;
};

using CallResult = std::variant<HttpResponse, CallFailure>;

/// HTTP client for calls with small JSON bodies to one address, over a pool of keep-alive connections.
/// Thread safety: call() may be used from any thread.
class JsonClient
{
public:
    struct Call
    {
        std::string method = "GET";
        std::string path = "/";
        std::string body;
        std::map<std::string, std::string> headers;
        /// Applies to the connect and to each wait for data, not to the call as a whole.
        Milliseconds timeout { 2000 };
    };

    /// Precondition: the address is "IP:port".
    explicit JsonClient(std::string address);
    JsonClient(const JsonClient &) = delete;
    auto operator=(const JsonClient &) -> JsonClient & = delete;
    JsonClient(JsonClient &&) = delete;
    auto operator=(JsonClient &&) -> JsonClient & = delete;
    ~JsonClient();

    /// Sends the request once, without retries. A response body above 16 MB is a CallFailure.
    auto call(const Call &request) -> CallResult;
    [[nodiscard]] auto address() const -> const std::string &;

private:
    using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    auto acquireSession() -> Session;
    auto releaseSession(Session session) -> void;

    const std::string address_;
    std::mutex mutex_;
    std::vector<Session> idleSessions_;
};

} // namespace poplardock
