#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// Whether a text may stand as the name of a header field or as a method: a token of RFC 9110. Pure function; thread-safe.
auto isToken(std::string_view text) -> bool;
/// Whether a text may stand as the value of a header field: no control characters but tabs. Pure function; thread-safe.
auto isFieldValue(std::string_view text) -> bool;
/// Whether a text may stand as the target of a request in its path form. Pure function; thread-safe.
auto isRequestTarget(std::string_view text) -> bool;
/// Whether a header field concerns a single connection or the framing of one message. Pure function; thread-safe.
auto isHopByHop(std::string_view name) -> bool;

/// One header field as received. HeaderList ignores the case of names in look-ups, operator== does not.
struct HeaderField
{
    std::string name;
    std::string value;

    auto operator==(const HeaderField &) const -> bool = default;
};

/// Header fields in the order in which they were added; names are looked up without case. Thread safety: as a value.
class HeaderList
{
public:
    auto add(std::string name, std::string value) -> void;
    /// Replaces all fields of that name with one.
    auto set(const std::string &name, std::string value) -> void;
    auto remove(std::string_view name) -> void;
    /// The value of the first field of that name, or null.
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    /// Like find(), but returns an empty string for a missing field.
    [[nodiscard]] auto valueOf(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto fields() const -> const std::vector<HeaderField> &;
    /// A copy without Content-Length and the hop-by-hop fields, among them those that the Connection field lists.
    [[nodiscard]] auto withoutHopByHop() const -> HeaderList;
    /// Appends "name: value\r\n" for each field.
    auto appendTo(std::string &text) const -> void;

    auto operator==(const HeaderList &) const -> bool = default;

private:
    std::vector<HeaderField> fields_;
};

/// The start line and header fields of a request or a response.
struct MessageHead
{
    /// Requests only.
    std::string method;
    std::string target;
    /// Responses only.
    int status = 0;
    HeaderList headers;

    auto operator==(const MessageHead &) const -> bool = default;
};

/// Status codes that the daemons send or evaluate.
namespace HttpStatus {

inline constexpr int OK = 200;
inline constexpr int ACCEPTED = 202;
inline constexpr int BAD_REQUEST = 400;
inline constexpr int NOT_FOUND = 404;
inline constexpr int REQUEST_TIMEOUT = 408;
inline constexpr int CONFLICT = 409;
inline constexpr int GONE = 410;
inline constexpr int CONTENT_TOO_LARGE = 413;
inline constexpr int MISDIRECTED = 421;
inline constexpr int UNPROCESSABLE = 422;
inline constexpr int TOO_MANY_REQUESTS = 429;
inline constexpr int HEAD_TOO_LARGE = 431;
inline constexpr int SERVER_ERROR = 500;
inline constexpr int UNAVAILABLE = 503;
inline constexpr int GATEWAY_TIMEOUT = 504;

/// Whether the status is in 200 to 299.
auto isSuccess(int status) -> bool;

} // namespace HttpStatus

/// The status line and header fields of a response, without the blank line that ends the head.
auto encodeHead(int status, const HeaderList &headers, bool keepAlive) -> std::string;

/// A complete response with a Content-Length.
/// Precondition: the headers hold neither Content-Length nor Transfer-Encoding.
auto encodeResponse(int status, const HeaderList &headers, std::string_view body, bool keepAlive) -> std::string;

} // namespace poplardock
