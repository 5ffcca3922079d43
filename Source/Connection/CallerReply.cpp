#include "Connection/CallerReply.h"

#include "Connection/HttpReply.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <sys/socket.h>

namespace poplardock {

namespace {

constexpr std::string_view ERROR_EVENT = "data: {\"error\":";
/// Headers of an upstream's answer that the caller gets.
constexpr const char *PASSED_HEADERS[] = { "Content-Type", "Retry-After" };
/// A caller that takes nothing for this long is gone; its thread and its upstream slot are freed.
constexpr int SEND_TIMEOUT_SECONDS = 15;

} // namespace

auto findHeader(const UpstreamHead &head, std::string_view name) -> std::string
{
    for (const auto &[key, value] : head.headers) {
        if (absl::EqualsIgnoreCase(key, absl::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return {};
}

CallerReply::CallerReply(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    : request_(request)
    , response_(response)
{
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request_).socket().setSendTimeout(Poco::Timespan(SEND_TIMEOUT_SECONDS, 0));
}

auto CallerReply::socket() const -> int
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request_).socket().impl()->sockfd();
}

auto CallerReply::isStarted() const -> bool
{
    return firstByteAt_.has_value();
}

auto CallerReply::code() const -> std::optional<ResultCode>
{
    return code_;
}

auto CallerReply::firstByteAt() const -> std::optional<TimePoint>
{
    return firstByteAt_;
}

auto CallerReply::setHead(const UpstreamHead &head) -> void
{
    response_.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
    response_.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response_.getStatus()));
    for (const char *name : PASSED_HEADERS) {
        if (const std::string value = findHeader(head, name); !value.empty()) {
            response_.set(name, value);
        }
    }
}

auto CallerReply::sendWhole(const UpstreamHead &head, const std::string &body) -> void
{
    code_ = ResultCode::Ok;
    firstByteAt_ = Clock::now();
    setHead(head);
    response_.sendBuffer(body.data(), body.size());
}

auto CallerReply::sendError(const RequestError &error) -> void
{
    code_ = error.code;
    if (!isStarted()) {
        firstByteAt_ = Clock::now();
        HttpReply::sendError(response_, error);
        return;
    }
    if (!hasErrorEvent_) {
        *stream_ << "data: " << error.toJson() << "\n\n" << std::flush;
    }
    cutConnection();
}

auto CallerReply::sendPart(const UpstreamHead &head, std::string_view part) -> bool
{
    if (!isStarted()) {
        firstByteAt_ = Clock::now();
        setHead(head);
        response_.setChunkedTransferEncoding(true);
        response_.set("Cache-Control", "no-cache");
        stream_ = &response_.send();
    }
    hasErrorEvent_ = part.find(ERROR_EVENT) != std::string_view::npos;
    stream_->write(part.data(), static_cast<std::streamsize>(part.size()));
    stream_->flush();
    return stream_->good();
}

auto CallerReply::endStream() -> void
{
    code_ = ResultCode::Ok;
}

auto CallerReply::abandon() -> void
{
    code_.reset();
    cutConnection();
}

auto CallerReply::cutConnection() -> void
{
    response_.setKeepAlive(false);
    // POCO ends the chunked body when the handler returns; after this the end does not reach the caller.
    ::shutdown(socket(), SHUT_WR);
}

} // namespace poplardock
