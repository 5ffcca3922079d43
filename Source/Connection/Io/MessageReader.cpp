#include "Connection/Io/MessageReader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <variant>

namespace poplardock {

namespace http = boost::beast::http;
using BeastView = boost::beast::string_view;

namespace {

auto toString(BeastView view) -> std::string
{
    return { view.data(), view.size() };
}

/// Stores the head and the decoded body that Beast's parser reports.
template<bool isRequest>
class MessageCollector : public http::basic_parser<isRequest>
{
public:
    MessageHead head;
    std::string body;

private:
    using Error = boost::beast::error_code;

    auto on_request_impl(http::verb /*verb*/, BeastView method, BeastView target, int /*version*/, Error & /*error*/) -> void override
    {
        head.method = toString(method);
        head.target = toString(target);
    }
    auto on_response_impl(int code, BeastView /*reason*/, int /*version*/, Error & /*error*/) -> void override
    {
        head.status = code;
    }
    auto on_field_impl(http::field /*field*/, BeastView name, BeastView value, Error & /*error*/) -> void override
    {
        head.headers.add(toString(name), toString(value));
    }
    auto on_header_impl(Error & /*error*/) -> void override
    {
    }
    auto on_body_init_impl(const boost::optional<std::uint64_t> &length, Error & /*error*/) -> void override
    {
        // A body that grows step by step takes up to three times its size. Answers are taken in pieces.
        if (isRequest && length) {
            body.reserve(*length);
        }
    }
    auto on_body_impl(BeastView bytes, Error & /*error*/) -> std::size_t override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    auto on_chunk_header_impl(std::uint64_t /*size*/, BeastView /*extensions*/, Error & /*error*/) -> void override
    {
    }
    auto on_chunk_body_impl(std::uint64_t /*remain*/, BeastView bytes, Error & /*error*/) -> std::size_t override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    auto on_finish_impl(Error & /*error*/) -> void override
    {
    }
};

} // namespace

struct MessageReader::Parser
{
    Parser(Kind kind, Limits limits)
        : unreadLimit(limits.headBytes)
    {
        if (kind != Kind::Request) {
            collector.emplace<MessageCollector<false>>().skip(kind == Kind::ResponseToHead);
        }
        std::visit(
            [&limits](auto &each) {
                each.eager(true);
                each.header_limit(limits.headBytes);
                each.body_limit(limits.bodyBytes);
            },
            collector);
    }

    /// Parses the bytes, which are "unread" or follow nothing unread, and keeps in "unread" those that were not consumed.
    auto parse(auto &each, std::string_view bytes) -> ReadState
    {
        std::size_t consumed = 0;
        while (!each.is_done() && consumed < bytes.size()) {
            boost::beast::error_code error;
            const std::size_t count = each.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
            consumed += count;
            if (error == http::error::need_more) {
                break;
            }
            if (error) {
                unread.clear();
                return toReadState(error);
            }
            if (count == 0) {
                break;
            }
        }
        // A new string, so that a connection does not keep the capacity for the largest piece that it has read.
        unread = std::string(bytes.substr(consumed));
        if (each.is_done()) {
            return ReadState::Done;
        }
        // The parser sets no limit to the line of a chunk's size with its extensions, nor to trailers.
        if (unread.size() > unreadLimit) {
            unread.clear();
            return each.is_header_done() ? ReadState::Malformed : ReadState::HeadTooLarge;
        }
        return each.is_header_done() ? ReadState::Body : ReadState::Head;
    }

    static auto toReadState(const boost::beast::error_code &error) -> ReadState
    {
        if (error == http::error::header_limit) {
            return ReadState::HeadTooLarge;
        }
        return error == http::error::body_limit ? ReadState::BodyTooLarge : ReadState::Malformed;
    }

    std::variant<MessageCollector<true>, MessageCollector<false>> collector;
    /// Bytes that the parser has not consumed: an incomplete line or chunk header, or what follows the message.
    std::string unread;
    const std::size_t unreadLimit;
    ReadState state = ReadState::Head;
    bool hasBytes = false;
};

MessageReader::MessageReader(Kind kind, Limits limits)
    : parser_(std::make_unique<Parser>(kind, limits))
{
}

MessageReader::MessageReader(MessageReader &&) noexcept = default;
auto MessageReader::operator=(MessageReader &&) noexcept -> MessageReader & = default;
MessageReader::~MessageReader() = default;

auto MessageReader::feed(std::string_view bytes) -> ReadState
{
    Parser &parser = *parser_;
    parser.hasBytes = parser.hasBytes || !bytes.empty();
    const bool isParsing = parser.state == ReadState::Head || parser.state == ReadState::Body;
    if (!isParsing || !parser.unread.empty()) {
        parser.unread.append(bytes);
    }
    if (isParsing) {
        const std::string_view input = parser.unread.empty() ? bytes : std::string_view(parser.unread);
        parser.state = std::visit([&parser, input](auto &each) { return parser.parse(each, input); }, parser.collector);
    }
    return parser.state;
}

auto MessageReader::feedEof() -> ReadState
{
    Parser &parser = *parser_;
    if (parser.state == ReadState::Head) {
        // The parser asserts that it has read at least a line.
        parser.state = ReadState::Malformed;
    }
    if (parser.state != ReadState::Body) {
        return parser.state;
    }
    boost::beast::error_code error;
    std::visit([&error](auto &each) { each.put_eof(error); }, parser.collector);
    parser.state = error ? ReadState::Malformed : ReadState::Done;
    return parser.state;
}

auto MessageReader::state() const -> ReadState
{
    return parser_->state;
}

auto MessageReader::hasBytes() const -> bool
{
    return parser_->hasBytes;
}

auto MessageReader::head() const -> const MessageHead &
{
    return std::visit([](const auto &each) -> const MessageHead & { return each.head; }, parser_->collector);
}

auto MessageReader::declaredBytes() const -> std::optional<std::uint64_t>
{
    return std::visit(
        [](const auto &each) -> std::optional<std::uint64_t> {
            const auto length = each.is_header_done() ? each.content_length() : boost::none;
            return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
        },
        parser_->collector);
}

auto MessageReader::heldBytes() const -> std::size_t
{
    return std::visit([](const auto &each) { return each.body.capacity(); }, parser_->collector) + parser_->unread.capacity();
}

auto MessageReader::takeBody() -> std::string
{
    return std::visit([](auto &each) { return std::exchange(each.body, {}); }, parser_->collector);
}

auto MessageReader::takeRest() -> std::string
{
    return std::exchange(parser_->unread, {});
}

auto MessageReader::isKeepAlive() const -> bool
{
    return std::visit([](const auto &each) { return each.keep_alive(); }, parser_->collector);
}

auto MessageReader::needsEof() const -> bool
{
    return std::visit([](const auto &each) { return each.is_header_done() && each.need_eof(); }, parser_->collector);
}

} // namespace poplardock
