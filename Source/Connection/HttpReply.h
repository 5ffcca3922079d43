#pragma once

#include "Request/ResultCode.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>
#include <variant>

namespace poplardock {

/// Helpers for request handlers. Each is to be called from the thread that handles the request.
namespace HttpReply {

/// Sends a whole JSON answer.
auto sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &json) -> void;
/// Sends the error in the usual shape with its HTTP status and Retry-After.
auto sendError(Poco::Net::HTTPServerResponse &response, const RequestError &error) -> void;
/// Reads the whole body. Errors: BodyTooLarge above the limit in bytes; BodyTruncated when it ends early.
/// After an error the connection is closed with the answer, since unread bytes may follow.
auto readBody(Poco::Net::HTTPServerRequest &request, std::size_t limit) -> std::variant<std::string, RequestError>;
/// The path of the request without its query.
auto pathOf(const Poco::Net::HTTPServerRequest &request) -> std::string;

} // namespace HttpReply

} // namespace poplardock
