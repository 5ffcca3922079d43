#pragma once

#include "Connection/Io/HttpMessage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace poplardock {

/// What the reader knows after some bytes.
enum class ReadState
{
    /// The head is not complete.
    Head,
    /// The head is complete and the body is not.
    Body,
    /// The message is complete.
    Done,
    /// The bytes are no message of the protocol.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Reads one HTTP/1.1 message from bytes as they come, over Boost.Beast.
/// Thread safety: one thread at a time.
class MessageReader
{
public:
    enum class Kind
    {
        Request,
        Response,
    };

    /// Bytes that a message may have.
    struct Limits
    {
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

    /// Takes bytes. Those after the end of the message are kept for takeRest().
    auto feed(std::string_view bytes) -> ReadState;
    /// The peer closed the connection: Done if this ends the message properly, else Malformed.
    auto feedEof() -> ReadState;
    [[nodiscard]] auto state() const -> ReadState;
    /// True when at least one byte came.
    [[nodiscard]] auto hasBytes() const -> bool;

    /// Precondition: state() is Body or Done.
    [[nodiscard]] auto head() const -> const MessageHead &;
    /// Decoded bytes of the body that came since the last call.
    auto takeBody() -> std::string;
    /// Bytes after the end of the message.
    auto takeRest() -> std::string;
    /// Whether the connection may carry another message. Precondition: state() is Done.
    [[nodiscard]] auto isKeepAlive() const -> bool;
    /// Whether the message has neither a length nor chunks and ends with its connection.
    [[nodiscard]] auto needsEof() const -> bool;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace poplardock
