#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplardock {

/// One server-sent event.
struct StreamEvent
{
    /// Unset when the event has no numeric id.
    std::optional<std::int64_t> id;
    /// The bytes as received, including the blank line at the end and the blocks before the event that are no events.
    std::string raw;
    /// The values of the data lines, joined by line feeds.
    std::string data;

    auto operator==(const StreamEvent &) const -> bool = default;
};

/// Splits a byte stream into complete server-sent events: blocks of lines, ended by a blank line, with a "data" field.
/// Other blocks, such as comments, are no events; their bytes come in front of those of the next event. The stream may end
/// in the middle of an event, which is then never returned.
/// Thread safety: one thread at a time.
class EventSplitter
{
public:
    auto feed(std::string_view bytes) -> void;
    /// Returns the next complete event, or nothing when more bytes are needed or the stream is malformed.
    auto next() -> std::optional<StreamEvent>;
    /// Whether a line has come that is neither a field nor a comment.
    [[nodiscard]] auto isMalformed() const -> bool;
    /// Whether the last block has not been ended by a blank line. Call after next() has returned nothing.
    [[nodiscard]] auto hasPartial() const -> bool;
    /// Bytes that next() has not returned.
    [[nodiscard]] auto heldBytes() const -> std::size_t;
    /// Hands out the complete blocks after the last event. Call after next() has returned nothing.
    auto takeRest() -> std::string;

private:
    std::string buffer_;
    /// Bytes of the events that were returned.
    std::size_t consumed_ = 0;
    /// Start of the incomplete block.
    std::size_t blockBegin_ = 0;
    /// End of the last whole line, and what the lines of the incomplete event hold. Kept between calls, so that an event
    /// that arrives in many pieces is read once.
    std::size_t parsed_ = 0;
    StreamEvent partial_;
    bool hasData_ = false;
    bool isMalformed_ = false;
};

} // namespace poplardock
