#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace poplardock {

/// Takes the body out of the bytes that follow the head of an HTTP message, and knows whether it is whole.
/// POCO's chunked reader is not used because it reports a premature end of the body as a clean end and does
/// not return before its buffer is full. Not thread-safe.
class BodyDecoder
{
public:
    enum class Framing
    {
        Empty,
        Length,
        Chunked,
        /// The body ends with the connection, so a truncated one cannot be told from a whole one.
        UntilClose,
    };

    explicit BodyDecoder(const Poco::Net::HTTPResponse &head);
    /// For a body whose framing is known and that gives no length.
    explicit BodyDecoder(Framing framing);

    /// Appends the body bytes among the received ones. False when the framing is malformed; the decoder is
    /// of no further use then.
    auto push(std::string_view received, std::string &body) -> bool;
    /// True when the last byte of the body was received; never for UntilClose.
    [[nodiscard]] auto isComplete() const -> bool;
    [[nodiscard]] auto framing() const -> Framing;

private:
    enum class ChunkState
    {
        Size,
        Extension,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    auto pushChunked(std::string_view received, std::string &body) -> bool;
    /// Handles one byte outside of chunk data.
    auto pushFramingByte(char byte) -> bool;
    auto endSizeLine() -> bool;

    Framing framing_ = Framing::Empty;
    /// Bytes left of the body or of the chunk.
    std::uint64_t remaining_ = 0;
    ChunkState state_ = ChunkState::Size;
    int sizeDigits_ = 0;
    /// Length of the current trailer line.
    std::size_t lineLength_ = 0;
    std::size_t framingBytes_ = 0;
};

} // namespace poplardock
