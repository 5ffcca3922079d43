#pragma once

#include "Connection/Io/HttpMessage.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplardock {

/// Progress of a MessageReader.
enum class ReadState
{
    /// The head is not complete.
    Head,
    /// The head is complete and the body is not.
    Body,
    /// The message is complete.
    Done,
    /// The bytes are not a valid HTTP/1.1 message.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Incremental parser for one HTTP/1.1 message, over Boost.Beast.
/// Thread safety: one thread at a time.
class MessageReader
{
public:
    enum class Kind
    {
        Request,
        Response,
        /// The response to a HEAD request: no body follows, whatever length the head states.
        ResponseToHead,
    };

    /// Maximum sizes of a message, in bytes.
    struct Limits
    {
        /// Also the limit of a chunk's head and of the trailers.
        std::uint32_t headBytes = 0;
        std::uint64_t bodyBytes = 0;

        auto operator==(const Limits &) const -> bool = default;
    };

    MessageReader(Kind kind, Limits limits);
    MessageReader(const MessageReader &) = delete;
    auto operator=(const MessageReader &) -> MessageReader & = delete;
    MessageReader(MessageReader &&) noexcept;
    auto operator=(MessageReader &&) noexcept -> MessageReader &;
    ~MessageReader();

    /// Parses further bytes. Those after the end of the message are kept for takeRest().
    auto feed(std::string_view bytes) -> ReadState;
    /// To be called when the peer closed the connection: Done if that completes the message, Malformed if it truncates
    /// it. A state that is already final stays.
    auto feedEof() -> ReadState;
    [[nodiscard]] auto state() const -> ReadState;
    /// Whether at least one byte was fed.
    [[nodiscard]] auto hasBytes() const -> bool;

    /// Precondition: state() is Body or Done.
    [[nodiscard]] auto head() const -> const MessageHead &;
    /// The length of the body that the head states; unset without one, and before the head is complete.
    [[nodiscard]] auto declaredBytes() const -> std::optional<std::uint64_t>;
    /// Bytes of memory taken by the decoded body and by what is not parsed yet, spare capacity included.
    [[nodiscard]] auto heldBytes() const -> std::size_t;
    /// Returns and clears the decoded bytes of the body that were parsed since the last call.
    auto takeBody() -> std::string;
    /// Returns and clears the bytes after the end of the message.
    auto takeRest() -> std::string;
    /// Whether the connection may be used for another message. Precondition: state() is Done.
    [[nodiscard]] auto isKeepAlive() const -> bool;
    /// Whether the message has neither a Content-Length nor chunks, so that the end of the connection ends it.
    [[nodiscard]] auto needsEof() const -> bool;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace poplardock
