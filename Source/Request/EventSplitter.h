#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplardock {

/// One server-sent event.
struct StreamEvent
{
    /// Unset when the event has none.
    std::optional<std::int64_t> id;
    /// The bytes as they came, with the blank line at the end.
    std::string raw;
    /// The data lines, joined by line feeds.
    std::string data;

    auto operator==(const StreamEvent &) const -> bool = default;
};

/// Cuts the bytes of a stream into whole events. A server may stop in the middle of one.
/// Thread safety: one thread at a time.
class EventSplitter
{
public:
    auto feed(std::string_view bytes) -> void;
    /// The next whole event, if there is one.
    auto next() -> std::optional<StreamEvent>;
    /// Whether bytes of an unfinished event are left.
    [[nodiscard]] auto hasPartial() const -> bool;

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace poplardock
