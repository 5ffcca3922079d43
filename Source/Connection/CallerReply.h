#pragma once

#include "Connection/UpstreamCall.h"
#include "Request/ResultCode.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace poplardock {

/// The answer to one caller: whole, or as a stream of events. Exactly one of sendWhole(), sendError() and a
/// stream is sent. Not thread-safe; to be used from the thread that handles the request.
class CallerReply
{
public:
    CallerReply(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    /// The descriptor of the caller's connection.
    [[nodiscard]] auto socket() const -> int;
    /// True once bytes of an answer went to the caller; a retry is not possible any more.
    [[nodiscard]] auto isStarted() const -> bool;
    /// The result code of the answer, for the counters. Unset when the caller was gone.
    [[nodiscard]] auto code() const -> std::optional<ResultCode>;
    [[nodiscard]] auto firstByteAt() const -> std::optional<TimePoint>;

    auto sendWhole(const UpstreamHead &head, const std::string &body) -> void;
    /// Sends the error. In a started stream it is sent as an event, and the connection is cut so that the
    /// stream cannot be taken for a whole one.
    auto sendError(const RequestError &error) -> void;
    /// Passes on a part of a stream at once; the first call sends the head. False when the caller is gone.
    auto sendPart(const UpstreamHead &head, std::string_view part) -> bool;
    /// Ends a whole stream.
    auto endStream() -> void;
    /// Cuts the connection without a whole answer, for a caller that is gone.
    auto abandon() -> void;

private:
    auto setHead(const UpstreamHead &head) -> void;
    auto cutConnection() -> void;

    Poco::Net::HTTPServerRequest &request_;
    Poco::Net::HTTPServerResponse &response_;
    std::ostream *stream_ = nullptr;
    std::optional<ResultCode> code_;
    std::optional<TimePoint> firstByteAt_;
    /// The last event that was passed on is an error event of another daemon.
    bool hasErrorEvent_ = false;
};

/// A header by its name in any case; empty when absent.
auto findHeader(const UpstreamHead &head, std::string_view name) -> std::string;

} // namespace poplardock
