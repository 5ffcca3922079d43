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

/// A call without a full answer.
struct CallFailure
{
    /// False only when no byte of the request left this process.
    bool mayHaveRun = true;
    std::string reason;

    auto operator==(const CallFailure &) const -> bool = default;
};

using CallResult = std::variant<HttpResponse, CallFailure>;

/// Calls with small JSON bodies to one address, over a pool of kept-alive connections.
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
        /// Limit for the connect and for each wait for data.
        Milliseconds timeout { 2000 };
    };

    /// Precondition: the address is "IP:port".
    explicit JsonClient(std::string address);
    JsonClient(const JsonClient &) = delete;
    auto operator=(const JsonClient &) -> JsonClient & = delete;
    JsonClient(JsonClient &&) = delete;
    auto operator=(JsonClient &&) -> JsonClient & = delete;
    ~JsonClient();

    /// Sends the request once and never repeats it. Answers above 16 MB are failures.
    auto call(const Call &request) -> CallResult;
    [[nodiscard]] auto address() const -> const std::string &;

private:
    using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    auto acquireSession() -> Session;
    auto releaseSession(Session session) -> void;

    const std::string address_;
    std::mutex mutex_;
    std::vector<Session> idle_;
};

} // namespace poplardock
