#include "Request/EventSplitter.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(EventSplitterSuite)

// Guards against forwarding a partial event when the server stops in the middle of one.
BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreReturned)
{
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    const auto first = splitter.next();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->id.value_or(-1) == 1);
    BOOST_TEST(first->data == "a");
    BOOST_TEST(first->raw == "id: 1\ndata: a\n\n");
    BOOST_TEST(!splitter.next().has_value());
    BOOST_TEST(splitter.hasPartial());
    splitter.feed("ta: b\n\n");
    const auto second = splitter.next();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->raw == "id: 2\ndata: b\n\n");
    BOOST_TEST(!splitter.hasPartial());
}

// Guards against losing lines of events that have several data lines, unknown fields or carriage returns.
BOOST_AUTO_TEST_CASE(EventFieldsAreParsed)
{
    EventSplitter splitter;
    splitter.feed("weights: 3\r\nid:7\r\ndata: one\r\ndata:two\r\n\r\ndata: no id\n\n");
    const auto first = splitter.next();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->id.value_or(-1) == 7);
    BOOST_TEST(first->data == "one\ntwo");
    const auto second = splitter.next();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(!second->id.has_value());
    BOOST_TEST(second->data == "no id");
}

// Guards against lost or duplicated bytes when the stream arrives one byte at a time.
BOOST_AUTO_TEST_CASE(SingleBytesGiveTheSameEvents)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    EventSplitter splitter;
    std::string joined;
    for (const char byte : text) {
        splitter.feed(std::string_view(&byte, 1));
        while (const auto event = splitter.next()) {
            joined += event->raw;
        }
    }
    BOOST_TEST(joined == text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
