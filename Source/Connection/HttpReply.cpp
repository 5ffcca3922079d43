#include "Connection/HttpReply.h"

#include <absl/strings/str_cat.h>

#include <istream>

namespace poplardock::HttpReply {

auto sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &json) -> void
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType("application/json");
    response.sendBuffer(json.data(), json.size());
}

auto sendError(Poco::Net::HTTPServerResponse &response, const RequestError &error) -> void
{
    if (error.retryAfterSeconds > 0) {
        response.set("Retry-After", std::to_string(error.retryAfterSeconds));
    }
    sendJson(response, describe(error.code).httpStatus, error.toJson());
}

auto readBody(Poco::Net::HTTPServerRequest &request, std::size_t limit) -> std::variant<std::string, RequestError>
{
    const auto fail = [&request](ResultCode code, std::string message) {
        request.response().setKeepAlive(false);
        return RequestError { code, std::move(message) };
    };
    const bool hasLength = request.hasContentLength();
    if (hasLength && request.getContentLength64() > static_cast<Poco::Int64>(limit)) {
        return fail(ResultCode::BodyTooLarge, absl::StrCat("the body may have at most ", limit, " bytes"));
    }
    std::string body;
    try {
        std::istream &stream = request.stream();
        char buffer[16384];
        while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
            body.append(buffer, static_cast<std::size_t>(stream.gcount()));
            if (body.size() > limit) {
                return fail(ResultCode::BodyTooLarge, absl::StrCat("the body may have at most ", limit, " bytes"));
            }
        }
        if (stream.bad()) {
            return fail(ResultCode::BodyTruncated, "the body ended early");
        }
    } catch (const Poco::Exception &) {
        return fail(ResultCode::BodyTruncated, "the body ended early");
    }
    if (hasLength && request.getContentLength64() != static_cast<Poco::Int64>(body.size())) {
        return fail(ResultCode::BodyTruncated, "the body ended before its announced length");
    }
    return body;
}

auto pathOf(const Poco::Net::HTTPServerRequest &request) -> std::string
{
    const std::string &uri = request.getURI();
    return uri.substr(0, uri.find('?'));
}

} // namespace poplardock::HttpReply
