#include "Connection/Io/MessageReader.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr MessageReader::Limits LIMITS { 1024, 4096 };

auto readResponse(const std::string &bytes) -> MessageReader
{
    MessageReader reader(MessageReader::Kind::Response, LIMITS);
    reader.feed(bytes);
    return reader;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessageReaderSuite)

// Guards against bytes that are lost when a message arrives split at arbitrary positions.
BOOST_AUTO_TEST_CASE(SplitInputGivesTheSameMessage)
{
    const std::string text
        = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\nNEXT";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        MessageReader reader(MessageReader::Kind::Request, LIMITS);
        for (std::size_t at = 0; at < text.size(); at += step) {
            reader.feed(std::string_view(text).substr(at, step));
        }
        BOOST_TEST((reader.state() == ReadState::Done), "step " << step);
        BOOST_TEST(reader.head().target == "/a");
        BOOST_TEST(reader.takeBody() == "hello world");
        BOOST_TEST(reader.takeRest() == "NEXT");
        BOOST_TEST(reader.isKeepAlive());
    }
}

// Guards against a truncated response that is taken for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedResponseIsMalformed)
{
    MessageReader withLength = readResponse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    BOOST_TEST((withLength.feedEof() == ReadState::Malformed));
    MessageReader chunked = readResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    BOOST_TEST((chunked.feedEof() == ReadState::Malformed));
    MessageReader inHead = readResponse("HTTP/1.1 200 OK\r\nContent-");
    BOOST_TEST((inHead.feedEof() == ReadState::Malformed));
    MessageReader withoutLength = readResponse("HTTP/1.1 200 OK\r\nServer: x\r\n\r\nwhole");
    BOOST_TEST(withoutLength.needsEof());
    BOOST_TEST((withoutLength.feedEof() == ReadState::Done));
    BOOST_TEST(withoutLength.takeBody() == "whole");
}

// Guards against bytes other than HTTP that are taken for a response, and against unbounded heads and bodies.
BOOST_AUTO_TEST_CASE(MalformedAndOversizedMessagesAreRejected)
{
    BOOST_TEST((readResponse("these are no HTTP bytes\r\n\r\n").state() == ReadState::Malformed));
    MessageReader head(MessageReader::Kind::Request, LIMITS);
    BOOST_TEST((head.feed("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a')) == ReadState::HeadTooLarge));
    MessageReader body(MessageReader::Kind::Request, LIMITS);
    BOOST_TEST((body.feed("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n") == ReadState::BodyTooLarge));
    MessageReader chunks(MessageReader::Kind::Request, LIMITS);
    const std::string chunk = "800\r\n" + std::string(2048, 'a') + "\r\n";
    BOOST_TEST((chunks.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk) == ReadState::BodyTooLarge));
}

// Guards against a connection that is pooled although the peer announced that it closes it.
BOOST_AUTO_TEST_CASE(ConnectionCloseEndsKeepAlive)
{
    BOOST_TEST(!readResponse("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").isKeepAlive());
    BOOST_TEST(readResponse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").isKeepAlive());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
