#include "Process/JsonClient.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <istream>
#include <ostream>

namespace poplardock {

namespace {

constexpr std::size_t MAX_IDLE_SESSIONS = 16;
constexpr std::size_t MAX_RESPONSE_BYTES = 16U << 20U;

/// True when the peer has closed the pooled connection or sent unsolicited bytes.
auto isUnusable(Poco::Net::HTTPClientSession &session) -> bool
{
    return session.connected() && session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

auto readAll(std::istream &stream, std::string &body) -> bool
{
    char buffer[16384];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
        body.append(buffer, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > MAX_RESPONSE_BYTES) {
            return false;
        }
    }
    return true;
}

} // namespace

JsonClient::JsonClient(std::string address)
    : address_(std::move(address))
{
}

JsonClient::~JsonClient() = default;

auto JsonClient::address() const -> const std::string &
{
    return address_;
}

auto JsonClient::acquireSession() -> Session
{
    {
        const std::lock_guard lock(mutex_);
        while (!idleSessions_.empty()) {
            Session session = std::move(idleSessions_.back());
            idleSessions_.pop_back();
            if (!isUnusable(*session)) {
                return session;
            }
        }
    }
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(address_));
    session->setKeepAlive(true);
    // Below the 15 s after which POCO servers close an idle connection.
    session->setKeepAliveTimeout(Poco::Timespan(5, 0));
    return session;
}

auto JsonClient::releaseSession(Session session) -> void
{
    const std::lock_guard lock(mutex_);
    if (idleSessions_.size() < MAX_IDLE_SESSIONS) {
        idleSessions_.push_back(std::move(session));
    }
}

auto JsonClient::call(const Call &request) -> CallResult
{
    bool mayHaveRun = false;
    try {
        Session session = acquireSession();
        session->setTimeout(Poco::Timespan(std::chrono::microseconds(request.timeout).count()));
        Poco::Net::HTTPRequest requestHead(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : request.headers) {
            requestHead.set(name, value);
        }
        if (!request.body.empty()) {
            requestHead.setContentType("application/json");
        }
        requestHead.setContentLength(static_cast<std::streamsize>(request.body.size()));
        std::ostream &out = session->sendRequest(requestHead);
        mayHaveRun = true;
        out << request.body << std::flush;
        Poco::Net::HTTPResponse responseHead;
        std::istream &in = session->receiveResponse(responseHead);
        HttpResponse response { static_cast<int>(responseHead.getStatus()), {} };
        const bool isComplete = readAll(in, response.body) && session->networkException() == nullptr
                                && (!responseHead.hasContentLength()
                                    || responseHead.getContentLength() == static_cast<std::streamsize>(response.body.size()));
        if (!isComplete) {
            return CallFailure { true, "the response is incomplete" };
        }
        if (responseHead.getKeepAlive()) {
            releaseSession(std::move(session));
        }
        return response;
    } catch (const Poco::Exception &exception) {
        return CallFailure { mayHaveRun, exception.displayText() };
    } catch (const std::exception &exception) {
        return CallFailure { mayHaveRun, exception.what() };
    }
}

} // namespace poplardock
