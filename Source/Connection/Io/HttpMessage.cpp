#include "Connection/Io/HttpMessage.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace poplardock {

namespace {

constexpr std::array<std::string_view, 9> HOP_BY_HOP_HEADERS
    = { "Connection", "Keep-Alive",     "Proxy-Connection", "Transfer-Encoding",  "TE",
        "Trailer",    "Content-Length", "Upgrade",          "Proxy-Authorization" };

auto isSameName(std::string_view a, std::string_view b) -> bool
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()), absl::string_view(b.data(), b.size()));
}

/// The standard reason phrase of a status code; "Status" for codes that are not listed.
auto reasonPhrase(int status) -> std::string_view
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

constexpr unsigned char DELETE_CHARACTER = 0x7f;

/// Visible ASCII, without the space.
auto isVisible(unsigned char c) -> bool
{
    return c > ' ' && c < DELETE_CHARACTER;
}

} // namespace

auto isToken(std::string_view text) -> bool
{
    constexpr std::string_view SEPARATORS = "\"(),/:;<=>?@[\\]{}";
    return !text.empty() && std::all_of(text.begin(), text.end(), [SEPARATORS](unsigned char c) {
        return isVisible(c) && SEPARATORS.find(static_cast<char>(c)) == std::string_view::npos;
    });
}

auto isFieldValue(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return (c >= ' ' && c != DELETE_CHARACTER) || c == '\t'; });
}

auto isRequestTarget(std::string_view text) -> bool
{
    return !text.empty() && text.front() == '/' && std::all_of(text.begin(), text.end(), isVisible);
}

auto isHopByHop(std::string_view name) -> bool
{
    return std::any_of(
        HOP_BY_HOP_HEADERS.begin(), HOP_BY_HOP_HEADERS.end(), [name](std::string_view each) { return isSameName(each, name); });
}

auto HeaderList::add(std::string name, std::string value) -> void
{
    fields_.push_back({ std::move(name), std::move(value) });
}

auto HeaderList::set(const std::string &name, std::string value) -> void
{
    remove(name);
    add(name, std::move(value));
}

auto HeaderList::remove(std::string_view name) -> void
{
    std::erase_if(fields_, [name](const HeaderField &field) { return isSameName(field.name, name); });
}

auto HeaderList::find(std::string_view name) const -> const std::string *
{
    const auto found
        = std::find_if(fields_.begin(), fields_.end(), [name](const HeaderField &field) { return isSameName(field.name, name); });
    return found == fields_.end() ? nullptr : &found->value;
}

auto HeaderList::valueOf(std::string_view name) const -> std::string_view
{
    const std::string *value = find(name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

auto HeaderList::fields() const -> const std::vector<HeaderField> &
{
    return fields_;
}

auto HeaderList::withoutHopByHop() const -> HeaderList
{
    std::vector<std::string> listed;
    for (const HeaderField &field : fields_) {
        if (isSameName(field.name, "Connection")) {
            for (const absl::string_view token : absl::StrSplit(field.value, ',')) {
                listed.emplace_back(absl::StripAsciiWhitespace(token));
            }
        }
    }
    HeaderList result = *this;
    std::erase_if(result.fields_, [&listed](const HeaderField &field) {
        const auto isField = [&field](const auto &name) {
            return isSameName(field.name, name);
        };
        return isHopByHop(field.name) || std::any_of(listed.begin(), listed.end(), isField);
    });
    return result;
}

auto HeaderList::appendTo(std::string &text) const -> void
{
    for (const HeaderField &field : fields_) {
        absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
    }
}

auto HttpStatus::isSuccess(int status) -> bool
{
    constexpr int END = 300;
    return status >= OK && status < END;
}

auto encodeHead(int status, const HeaderList &headers, bool keepAlive) -> std::string
{
    const std::string_view reason = reasonPhrase(status);
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ", absl::string_view(reason.data(), reason.size()), "\r\n");
    headers.appendTo(text);
    if (!keepAlive) {
        absl::StrAppend(&text, "Connection: close\r\n");
    }
    return text;
}

auto encodeResponse(int status, const HeaderList &headers, std::string_view body, bool keepAlive) -> std::string
{
    std::string text = encodeHead(status, headers, keepAlive);
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n");
    text.append(body);
    return text;
}

} // namespace poplardock
