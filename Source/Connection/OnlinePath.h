#pragma once

#include "Connection/CallerAuthentication.h"
#include "Connection/CallerReply.h"
#include "Connection/CallerWatch.h"
#include "Connection/OnlineParts.h"
#include "Connection/Router.h"
#include "Request/OnlineRequest.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <optional>
#include <string>
#include <variant>

namespace poplardock {

/// Online requests: chat completions and plain services. The checks come in this order: size and shape, key,
/// class, model or route, crash fingerprint, allowance, admission control, idempotency claim.
/// Thread safety: the handlers are called from many threads.
class OnlinePath
{
public:
    explicit OnlinePath(OnlineParts parts);

    /// Registers POST /v1/chat/completions and the prefix "/" for plain services.
    auto registerRoutes(Router &callers) -> void;
    /// POST /peers/relay: admits and runs a request that another daemon got from a caller. It is never
    /// relayed again.
    auto handleRelayed(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;

private:
    /// A request whose key was checked.
    struct Accepted
    {
        OnlineRequest request;
        /// Unset on open routes.
        std::optional<Caller> caller;
    };
    struct Arrival
    {
        CallerMessage message;
        std::string requestId;
        bool isRelayed = false;
        TimePoint at;
    };
    using Authenticator = std::function<std::variant<Caller, RequestError>()>;

    auto handleDirect(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
    auto handle(Poco::Net::HTTPServerResponse &response, CallerReply &reply, Arrival arrival, const Authenticator &authenticateCaller)
        -> void;
    auto accept(Arrival arrival, const Authenticator &authenticateCaller) const -> std::variant<Accepted, RequestError>;
    auto admitAndRun(const Accepted &accepted, bool isRelayed, CallerReply &reply) -> void;
    auto refuse(const OnlineRequest &request) const -> std::optional<RequestError>;
    auto refuseIfOverloadedNow(const OnlineRequest &request) const -> std::optional<RequestError>;
    auto record(const CallerReply &reply, TimePoint arrivedAt) -> void;
    auto nextRequestId() -> std::string;

    const OnlineParts parts_;
    CallerWatch watch_;
    const std::string idPrefix_;
    std::atomic<std::uint64_t> lastId_ = 0;
};

} // namespace poplardock
