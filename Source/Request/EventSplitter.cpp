#include "Request/EventSplitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace poplardock {

namespace {

struct Line
{
    std::string_view text;
    /// Position after the line terminator.
    std::size_t end = 0;
};

/// Returns the line that starts at "begin" without its line terminator; unset while the terminator has not arrived.
auto lineAt(std::string_view bytes, std::size_t begin) -> std::optional<Line>
{
    const std::size_t lineFeed = bytes.find('\n', begin);
    if (lineFeed == std::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t end = lineFeed > begin && bytes[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
    return Line { bytes.substr(begin, end - begin), lineFeed + 1 };
}

/// The value after the colon; empty for a line without one.
auto valueOf(std::string_view line) -> std::string_view
{
    const std::size_t colon = line.find(':');
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return value;
}

/// Whether a line is a field or a comment. Names of fields that this product does not know are allowed before a colon.
auto isField(std::string_view line) -> bool
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos) {
        return name == "data" || name == "id" || name == "event" || name == "retry";
    }
    return std::all_of(name.begin(), name.end(), [](char each) {
        return absl::ascii_isalnum(static_cast<unsigned char>(each)) || each == '-' || each == '_';
    });
}

} // namespace

auto EventSplitter::feed(std::string_view bytes) -> void
{
    buffer_.erase(0, consumed_);
    parsed_ -= consumed_;
    blockBegin_ -= consumed_;
    consumed_ = 0;
    buffer_.append(bytes);
}

auto EventSplitter::next() -> std::optional<StreamEvent>
{
    const std::string_view bytes = buffer_;
    while (const auto line = isMalformed_ ? std::nullopt : lineAt(bytes, parsed_)) {
        parsed_ = line->end;
        if (line->text.empty()) {
            const bool isEvent = std::exchange(hasData_, false);
            StreamEvent event = std::exchange(partial_, {});
            blockBegin_ = parsed_;
            if (isEvent) {
                event.raw = bytes.substr(consumed_, parsed_ - consumed_);
                consumed_ = parsed_;
                return event;
            }
            continue;
        }
        isMalformed_ = !isField(line->text);
        const std::string_view name = line->text.substr(0, line->text.find(':'));
        if (name == "data") {
            partial_.data.append(hasData_ ? "\n" : "").append(valueOf(line->text));
            hasData_ = true;
        } else if (name == "id") {
            const std::string_view value = valueOf(line->text);
            std::int64_t id = 0;
            partial_.id = absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &id) ? std::optional(id) : std::nullopt;
        }
    }
    return std::nullopt;
}

auto EventSplitter::isMalformed() const -> bool
{
    return isMalformed_;
}

auto EventSplitter::hasPartial() const -> bool
{
    return buffer_.size() > blockBegin_;
}

auto EventSplitter::heldBytes() const -> std::size_t
{
    return buffer_.size() - consumed_;
}

auto EventSplitter::takeRest() -> std::string
{
    std::string rest = buffer_.substr(consumed_, blockBegin_ - consumed_);
    consumed_ = blockBegin_;
    return rest;
}

} // namespace poplardock
