#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

/// One header field as it was received; names compare without case.
struct HeaderField
{
    std::string name;
    std::string value;

    auto operator==(const HeaderField &) const -> bool = default;
};

/// Header fields in their order. Thread safety: as a value.
class HeaderList
{
public:
    auto add(std::string name, std::string value) -> void;
    /// Replaces all fields of that name by one.
    auto set(const std::string &name, std::string value) -> void;
    auto remove(std::string_view name) -> void;
    /// The value of the first field of that name, or null.
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    /// As find(), with an empty text for a missing field.
    [[nodiscard]] auto valueOf(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto fields() const -> const std::vector<HeaderField> &;
    /// A copy without the fields that concern one connection only, those that Connection names included.
    [[nodiscard]] auto withoutHopByHop() const -> HeaderList;
    /// Appends "name: value\r\n" for each field.
    auto appendTo(std::string &text) const -> void;

    auto operator==(const HeaderList &) const -> bool = default;

private:
    std::vector<HeaderField> fields_;
};

/// The start line and header fields of a request or an answer.
struct MessageHead
{
    /// Requests only.
    std::string method;
    std::string target;
    /// Answers only.
    int status = 0;
    HeaderList headers;

    auto operator==(const MessageHead &) const -> bool = default;
};

/// Status codes that the daemons send or judge.
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

/// Whether it is one of 200 to 299.
auto isSuccess(int status) -> bool;

} // namespace HttpStatus

/// The status line and the fields of an answer, without the blank line that ends the head.
auto encodeHead(int status, const HeaderList &headers, bool keepAlive) -> std::string;

/// A whole answer with a length. Precondition: the headers hold neither Content-Length nor Transfer-Encoding.
auto encodeResponse(int status, const HeaderList &headers, std::string_view body, bool keepAlive) -> std::string;

} // namespace poplardock
