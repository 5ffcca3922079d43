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
    /// The bytes as received, including the blank line at the end.
    std::string raw;
    /// The values of the data lines, joined by line feeds.
    std::string data;

    auto operator==(const StreamEvent &) const -> bool = default;
};

/// Splits a byte stream into complete server-sent events. The stream may end in the middle of an event, which is then
/// never returned.
/// Thread safety: one thread at a time.
class EventSplitter
{
public:
    auto feed(std::string_view bytes) -> void;
    /// Returns the next complete event, or nothing when more bytes are needed.
    auto next() -> std::optional<StreamEvent>;
    /// Whether bytes remain that next() has not returned. Once next() has returned nothing, they are an incomplete
    /// event.
    [[nodiscard]] auto hasPartial() const -> bool;
    /// How many bytes they are.
    [[nodiscard]] auto partialBytes() const -> std::size_t;

private:
    std::string buffer_;
    /// Bytes of the events that were returned.
    std::size_t consumed_ = 0;
    /// End of the last whole line, and what the lines of the incomplete event hold. Kept between calls, so that an event
    /// that arrives in many pieces is read once.
    std::size_t parsed_ = 0;
    StreamEvent partial_;
    bool hasData_ = false;
};

} // namespace poplardock
