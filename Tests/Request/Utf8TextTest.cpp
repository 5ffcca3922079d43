#include "Request/Utf8Text.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(Utf8TextSuite)

// Guards against bytes that a store refuses as no text, and against sound text that is taken for such.
BOOST_AUTO_TEST_CASE(TextIsToldFromOtherBytes)
{
    for (const std::string text : { "",
                                    "plain",
                                    "\x7f",
                                    "\xc2\x80",
                                    "\xc3\xa9",
                                    "\xe2\x82\xac",
                                    "\xed\x9f\xbf",
                                    "\xee\x80\x80",
                                    "\xf0\x9f\x8c\xb3",
                                    "\xf4\x8f\xbf\xbf" }) {
        BOOST_TEST(isUtf8(text), text);
        BOOST_TEST(isUtf8("a" + text + "b"), text);
    }
    for (const std::string bytes : { "\x80",
                                     "\xbf",
                                     "\xc0\x80",
                                     "\xc1\xbf",
                                     "\xc3",
                                     "\xe0\x80\x80",
                                     "\xe2\x82",
                                     "\xed\xa0\x80",
                                     "\xf0\x80\x80\x80",
                                     "\xf0\x9f\x8c",
                                     "\xf4\x90\x80\x80",
                                     "\xf5\x80\x80\x80",
                                     "\xff\xfe" }) {
        BOOST_TEST(!isUtf8(bytes));
        BOOST_TEST(!isUtf8("text " + bytes));
        BOOST_TEST(!isUtf8(bytes + " text"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
