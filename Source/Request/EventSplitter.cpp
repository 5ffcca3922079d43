#include "Request/EventSplitter.h"

#include <absl/strings/numbers.h>

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

auto valueOf(std::string_view line) -> std::string_view
{
    std::string_view value = line.substr(line.find(':') + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

auto EventSplitter::feed(std::string_view bytes) -> void
{
    buffer_.erase(0, consumed_);
    parsed_ -= consumed_;
    consumed_ = 0;
    buffer_.append(bytes);
}

auto EventSplitter::next() -> std::optional<StreamEvent>
{
    const std::string_view bytes = buffer_;
    while (const auto line = lineAt(bytes, parsed_)) {
        parsed_ = line->end;
        if (line->text.empty()) {
            StreamEvent event = std::move(partial_);
            event.raw = bytes.substr(consumed_, parsed_ - consumed_);
            consumed_ = parsed_;
            partial_ = {};
            hasData_ = false;
            return event;
        }
        if (line->text.starts_with("data:")) {
            partial_.data.append(hasData_ ? "\n" : "").append(valueOf(line->text));
            hasData_ = true;
        } else if (line->text.starts_with("id:")) {
            const std::string_view value = valueOf(line->text);
            std::int64_t id = 0;
            partial_.id = absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &id) ? std::optional(id) : std::nullopt;
        }
    }
    return std::nullopt;
}

auto EventSplitter::hasPartial() const -> bool
{
    return partialBytes() > 0;
}

auto EventSplitter::partialBytes() const -> std::size_t
{
    return buffer_.size() - consumed_;
}

} // namespace poplardock
