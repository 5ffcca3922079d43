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

/// The usual reason phrase of a status.
auto reasonOf(int status) -> std::string_view;

/// A whole answer with a length. Precondition: the headers hold neither Content-Length nor Transfer-Encoding.
auto encodeAnswer(int status, const HeaderList &headers, std::string_view body, bool keepAlive) -> std::string;

} // namespace poplardock
