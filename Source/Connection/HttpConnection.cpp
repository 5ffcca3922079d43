#include "Connection/HttpConnection.h"

#include "Connection/HttpReply.h"
#include "Process/Log.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <ostream>

namespace poplardock {

namespace {

/// Limits of the reading before a close: enough for a caller to finish sending a refused body.
constexpr int LINGER_MS = 1000;
constexpr int LINGER_BYTES = 8 << 20;
/// Time in a shutdown for the first request of a connection that a caller has opened.
constexpr Milliseconds FIRST_REQUEST_TIME { 1000 };

auto answerMalformed(Poco::Net::HTTPServerSession &session) -> void
{
    Poco::Net::HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(false);
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    response.setContentType("application/json");
    // sendBuffer() leaves the body out for a response without a parsed request.
    const std::string body = RequestError { ResultCode::HeadersInvalid, {} }.toJson();
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send() << body << std::flush;
}

auto countOf(const Poco::Net::HTTPServerRequest &request, const char *name) -> std::ptrdiff_t
{
    return std::count_if(request.begin(), request.end(), [name](const auto &header) { return Poco::icompare(header.first, name) == 0; });
}

/// Headers that decide the length of a body or whose work a request is must not be ambiguous.
auto hasAmbiguousHeaders(const Poco::Net::HTTPServerRequest &request) -> bool
{
    static const std::array<const char *, 6> SINGLE
        = { "Content-Length", "Transfer-Encoding", "Host", "Authorization", "Idempotency-Key", "Service-Class" };
    for (const char *name : SINGLE) {
        if (countOf(request, name) > 1) {
            return true;
        }
    }
    return request.has("Content-Length") && request.has("Transfer-Encoding");
}

} // namespace

auto HttpConnectionRegistry::add(HttpConnection *connection) -> void
{
    const std::lock_guard lock(mutex_);
    connections_.insert(connection);
}

auto HttpConnectionRegistry::remove(HttpConnection *connection) -> void
{
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
}

auto HttpConnectionRegistry::count() const -> int
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(connections_.size());
}

auto HttpConnectionRegistry::isDraining() const -> bool
{
    return isDraining_;
}

auto HttpConnectionRegistry::drain() -> void
{
    isDraining_ = true;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    for (HttpConnection *connection : connections_) {
        connection->stopIfIdle(now);
    }
}

auto HttpConnectionRegistry::abort() -> void
{
    isDraining_ = true;
    const std::lock_guard lock(mutex_);
    for (HttpConnection *connection : connections_) {
        connection->abort();
    }
}

HttpConnection::HttpConnection(const Poco::Net::StreamSocket &socket,
                               Poco::Net::HTTPServerParams::Ptr parameters,
                               const HttpHandler &handler,
                               HttpConnectionRegistry &registry)
    : TCPServerConnection(socket)
    , parameters_(std::move(parameters))
    , handler_(handler)
    , registry_(registry)
    , createdAt_(Clock::now())
{
    registry_.add(this);
}

HttpConnection::~HttpConnection()
{
    registry_.remove(this);
}

auto HttpConnection::stopIfIdle(TimePoint now) -> void
{
    if (isBusy_ || (!hasCarriedRequest_ && now < createdAt_ + FIRST_REQUEST_TIME)) {
        return;
    }
    try {
        socket().shutdownReceive();
    } catch (const Poco::Exception &) {
        // The caller has closed the connection already.
    }
}

auto HttpConnection::abort() -> void
{
    try {
        socket().shutdown();
    } catch (const Poco::Exception &) {
        // The caller has closed the connection already.
    }
}

auto HttpConnection::run() -> void
{
    Poco::Net::HTTPServerSession session(socket(), parameters_);
    try {
        while (session.hasMoreRequests() && serveRequest(session) == Next::Continue) { }
        lingerBeforeClose();
    } catch (const Poco::Exception &) {
        // The connection broke; there is nobody to answer.
    }
}

auto HttpConnection::serveRequest(Poco::Net::HTTPServerSession &session) -> Next
{
    isBusy_ = true;
    hasCarriedRequest_ = true;
    try {
        Poco::Net::HTTPServerResponseImpl response(session);
        Poco::Net::HTTPServerRequestImpl request(response, session, parameters_.get());
        response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        response.setDate(Poco::Timestamp());
        response.setKeepAlive(!registry_.isDraining() && request.getKeepAlive() && session.canKeepAlive());
        if (hasAmbiguousHeaders(request)) {
            response.setKeepAlive(false);
            HttpReply::sendError(response, { ResultCode::HeadersInvalid, "a header is given more than once" });
            return Next::Close;
        }
        if (request.getExpectContinue()) {
            response.sendContinue();
        }
        callHandler(request, response);
        const bool isKept = response.getKeepAlive() && response.sent() && session.canKeepAlive() && !registry_.isDraining();
        session.setKeepAlive(isKept);
        // A connection that is about to close stays busy, so that a shutdown does not shorten lingerBeforeClose().
        isBusy_ = !isKept;
        return isKept ? Next::Continue : Next::Close;
    } catch (const Poco::Net::NoMessageException &) {
        return Next::Close;
    } catch (const Poco::Net::MessageException &) {
        answerMalformed(session);
        return Next::Close;
    }
}

auto HttpConnection::callHandler(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    try {
        handler_(request, response);
    } catch (const std::exception &exception) {
        Log::error(Part::Online, absl::StrCat("the handler of a request failed: ", exception.what()));
        response.setKeepAlive(false);
        if (!response.sent()) {
            HttpReply::sendError(response, { ResultCode::Internal, {} });
        }
    }
}

auto HttpConnection::lingerBeforeClose() -> void
{
    socket().shutdownSend();
    const Poco::Timestamp start;
    char discarded[4096];
    int total = 0;
    while (total < LINGER_BYTES && start.elapsed() < LINGER_MS * 1000) {
        if (!socket().poll(Poco::Timespan(LINGER_MS * 1000), Poco::Net::Socket::SELECT_READ)) {
            return;
        }
        const int received = socket().receiveBytes(discarded, sizeof discarded);
        if (received <= 0) {
            return;
        }
        total += received;
    }
}

} // namespace poplardock
