#include "Connection/BodyDecoder.h"

#include <algorithm>

namespace poplardock {

namespace {

constexpr int MAXIMUM_SIZE_DIGITS = 8;
/// Limit for one chunk extension and for all trailers together.
constexpr std::size_t MAXIMUM_FRAMING_BYTES = 8192;
constexpr int NOT_A_DIGIT = -1;

auto hexDigit(char byte) -> int
{
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    const char lower = static_cast<char>(byte | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : NOT_A_DIGIT;
}

auto hasNoBody(const Poco::Net::HTTPResponse &head) -> bool
{
    return head.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || head.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

} // namespace

BodyDecoder::BodyDecoder(const Poco::Net::HTTPResponse &head)
{
    if (hasNoBody(head)) {
        return;
    }
    if (head.getChunkedTransferEncoding()) {
        framing_ = Framing::Chunked;
        return;
    }
    if (!head.hasContentLength()) {
        framing_ = Framing::UntilClose;
        return;
    }
    framing_ = Framing::Length;
    remaining_ = static_cast<std::uint64_t>(std::max<Poco::Int64>(0, head.getContentLength64()));
}

BodyDecoder::BodyDecoder(Framing framing)
    : framing_(framing)
{
}

auto BodyDecoder::framing() const -> Framing
{
    return framing_;
}

auto BodyDecoder::isComplete() const -> bool
{
    switch (framing_) {
    case Framing::Empty:
        return true;
    case Framing::Length:
        return remaining_ == 0;
    case Framing::Chunked:
        return state_ == ChunkState::Done;
    case Framing::UntilClose:
        return false;
    }
    return false;
}

auto BodyDecoder::push(std::string_view received, std::string &body) -> bool
{
    switch (framing_) {
    case Framing::Empty:
        return received.empty();
    case Framing::Length:
        if (received.size() > remaining_) {
            return false;
        }
        remaining_ -= received.size();
        body.append(received);
        return true;
    case Framing::Chunked:
        return pushChunked(received, body);
    case Framing::UntilClose:
        body.append(received);
        return true;
    }
    return false;
}

auto BodyDecoder::pushChunked(std::string_view received, std::string &body) -> bool
{
    while (!received.empty()) {
        if (state_ != ChunkState::Data) {
            if (!pushFramingByte(received.front())) {
                return false;
            }
            received.remove_prefix(1);
            continue;
        }
        const std::size_t length = std::min<std::uint64_t>(remaining_, received.size());
        body.append(received.substr(0, length));
        received.remove_prefix(length);
        remaining_ -= length;
        if (remaining_ == 0) {
            state_ = ChunkState::DataEnd;
        }
    }
    return true;
}

auto BodyDecoder::pushFramingByte(char byte) -> bool
{
    if (++framingBytes_ > MAXIMUM_FRAMING_BYTES) {
        return false;
    }
    switch (state_) {
    case ChunkState::Size:
        if (const int digit = hexDigit(byte); digit != NOT_A_DIGIT) {
            remaining_ = remaining_ * 16 + static_cast<std::uint64_t>(digit);
            return ++sizeDigits_ <= MAXIMUM_SIZE_DIGITS;
        }
        state_ = ChunkState::Extension;
        return sizeDigits_ > 0 && (byte == '\r' || byte == ';' || byte == ' ' || (byte == '\n' && endSizeLine()));
    case ChunkState::Extension:
        return byte != '\n' || endSizeLine();
    case ChunkState::DataEnd:
        if (byte == '\n') {
            state_ = ChunkState::Size;
            sizeDigits_ = 0;
            return true;
        }
        return byte == '\r';
    case ChunkState::Trailer:
        if (byte == '\n') {
            state_ = lineLength_ == 0 ? ChunkState::Done : ChunkState::Trailer;
            lineLength_ = 0;
        } else if (byte != '\r') {
            ++lineLength_;
        }
        return true;
    case ChunkState::Data:
    case ChunkState::Done:
        return false;
    }
    return false;
}

auto BodyDecoder::endSizeLine() -> bool
{
    state_ = remaining_ == 0 ? ChunkState::Trailer : ChunkState::Data;
    framingBytes_ = 0;
    return true;
}

} // namespace poplardock
