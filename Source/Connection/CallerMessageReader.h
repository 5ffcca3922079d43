#pragma once

#include "Request/OnlineRequest.h"
#include "Request/ResultCode.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <variant>

namespace poplardock {

/// Reads a caller's request and checks its size and shape. Errors: HeadersInvalid, BodyTooLarge,
/// BodyTruncated. To be called from the thread that handles the request.
auto readCallerMessage(Poco::Net::HTTPServerRequest &request) -> std::variant<CallerMessage, RequestError>;

} // namespace poplardock
