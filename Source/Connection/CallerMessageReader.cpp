#include "Connection/CallerMessageReader.h"

#include "Connection/BodyDecoder.h"
#include "Connection/HttpReply.h"

#include <Poco/Buffer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_BODY_BYTES = 1U << 20U;
constexpr int READ_BYTES = 16384;
constexpr std::size_t MAXIMUM_HEADER_BYTES = 16U << 10U;
constexpr std::size_t MAXIMUM_URI_BYTES = 4096;
constexpr std::size_t MAXIMUM_IDEMPOTENCY_KEY_BYTES = 256;
/// Headers that must not occur twice, because the copies could be read differently on the way.
constexpr const char *SINGLE_HEADERS[]
    = { "Authorization", "Content-Length", "Transfer-Encoding", "Content-Type", "Idempotency-Key", "Service-Class", "Host" };

auto invalid(Poco::Net::HTTPServerRequest &request, std::string message) -> RequestError
{
    request.response().setKeepAlive(false);
    return { ResultCode::HeadersInvalid, std::move(message) };
}

auto checkHeaders(Poco::Net::HTTPServerRequest &request) -> std::optional<RequestError>
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : request) {
        bytes += name.size() + value.size();
    }
    if (bytes > MAXIMUM_HEADER_BYTES || request.getURI().size() > MAXIMUM_URI_BYTES) {
        return invalid(
            request,
            absl::StrCat("the headers may have at most ", MAXIMUM_HEADER_BYTES, " bytes and the path at most ", MAXIMUM_URI_BYTES));
    }
    for (const char *single : SINGLE_HEADERS) {
        const auto isSingle = [single](const auto &header) {
            return absl::EqualsIgnoreCase(header.first, single);
        };
        if (std::count_if(request.begin(), request.end(), isSingle) > 1) {
            return invalid(request, absl::StrCat("the header ", single, " occurs twice"));
        }
    }
    const bool isChunked = request.getChunkedTransferEncoding();
    if (request.has("Transfer-Encoding") && (!isChunked || request.hasContentLength())) {
        return invalid(request, "the length of the body must be given by Content-Length or by chunks");
    }
    const std::string &method = request.getMethod();
    const bool hasBody = method == "POST" || method == "PUT" || method == "PATCH";
    if (hasBody && !isChunked && !request.hasContentLength()) {
        return invalid(request, "Content-Length is missing");
    }
    return std::nullopt;
}

/// Reads a chunked body from the connection. POCO's reader takes a chunked body that breaks off, or has a
/// malformed chunk, for one that has ended.
auto readChunkedBody(Poco::Net::HTTPServerRequestImpl &request) -> std::variant<std::string, RequestError>
{
    // What follows a malformed chunk must not be read as the next request.
    request.response().setKeepAlive(false);
    BodyDecoder decoder(BodyDecoder::Framing::Chunked);
    std::string body;
    // The bytes that came with the head.
    Poco::Buffer<char> received(0);
    request.session().drainBuffer(received);
    try {
        while (decoder.push({ received.begin(), received.size() }, body)) {
            if (body.size() > MAXIMUM_BODY_BYTES) {
                return RequestError { ResultCode::BodyTooLarge, absl::StrCat("the body may have at most ", MAXIMUM_BODY_BYTES, " bytes") };
            }
            if (decoder.isComplete()) {
                return body;
            }
            received.resize(READ_BYTES, false);
            const int count = request.socket().receiveBytes(received.begin(), READ_BYTES);
            if (count <= 0) {
                return RequestError { ResultCode::BodyTruncated, "the body ended before its last chunk" };
            }
            received.resize(static_cast<std::size_t>(count), true);
        }
    } catch (const Poco::Exception &) {
        return RequestError { ResultCode::BodyTruncated, "the body ended before its last chunk" };
    }
    return RequestError { ResultCode::BodyTruncated, "a chunk is malformed" };
}

auto readBody(Poco::Net::HTTPServerRequest &request) -> std::variant<std::string, RequestError>
{
    if (request.getChunkedTransferEncoding()) {
        return readChunkedBody(dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request));
    }
    return request.hasContentLength() ? HttpReply::readBody(request, MAXIMUM_BODY_BYTES) : std::string();
}

} // namespace

auto readCallerMessage(Poco::Net::HTTPServerRequest &request) -> std::variant<CallerMessage, RequestError>
{
    if (auto error = checkHeaders(request)) {
        return *std::move(error);
    }
    CallerMessage message { request.getMethod(),
                            request.getURI(),
                            request.get("Content-Type", {}),
                            request.get("Accept", {}),
                            request.get("Service-Class", {}),
                            request.get("Idempotency-Key", {}),
                            {} };
    if (message.idempotencyKey.size() > MAXIMUM_IDEMPOTENCY_KEY_BYTES) {
        return invalid(request, absl::StrCat("Idempotency-Key may have at most ", MAXIMUM_IDEMPOTENCY_KEY_BYTES, " bytes"));
    }
    auto body = readBody(request);
    if (auto *error = std::get_if<RequestError>(&body)) {
        return std::move(*error);
    }
    message.body = std::get<std::string>(std::move(body));
    return message;
}

} // namespace poplardock
