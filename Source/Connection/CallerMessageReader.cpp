#include "Connection/CallerMessageReader.h"

#include "Connection/HttpReply.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <sys/socket.h>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_BODY_BYTES = 1U << 20U;
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

/// POCO reads a chunked body that breaks off as one that has ended. Since it stops reading early only at the
/// end of the connection, that end is then visible.
auto isAtEnd(Poco::Net::HTTPServerRequest &request) -> bool
{
    auto *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
    char byte = 0;
    return implementation != nullptr && ::recv(implementation->socket().impl()->sockfd(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
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
    if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        return message;
    }
    auto body = HttpReply::readBody(request, MAXIMUM_BODY_BYTES);
    if (auto *error = std::get_if<RequestError>(&body)) {
        return std::move(*error);
    }
    if (request.getChunkedTransferEncoding()) {
        // What follows a malformed chunk must not be read as the next request.
        request.response().setKeepAlive(false);
        if (isAtEnd(request)) {
            return RequestError { ResultCode::BodyTruncated, "the connection ended with the body" };
        }
    }
    message.body = std::get<std::string>(std::move(body));
    return message;
}

} // namespace poplardock
