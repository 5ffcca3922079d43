#include "Process/WordCodec.h"

#include <absl/strings/ascii.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(WordCodecSuite)

// Guards against a name from outside that ends a word, a line or a part of a path.
BOOST_AUTO_TEST_CASE(AnyBytesMakeOneWord)
{
    std::string all;
    for (int first = 0; first < 256; ++first) {
        all.push_back(static_cast<char>(first));
        for (const std::string &text :
             { std::string(1, static_cast<char>(first)), "a" + std::string(1, static_cast<char>(first)) + "/", all }) {
            const std::string word = encodeWord(text);
            for (const char each : word) {
                BOOST_TEST((absl::ascii_isgraph(static_cast<unsigned char>(each)) && each != '/' && each != '?' && each != '#'
                            && each != '&' && each != '+'));
            }
            BOOST_TEST((decodeWord(word) == text));
        }
    }
    BOOST_TEST((decodeWord(encodeWord("")) == std::string()));
    // Daemons of earlier versions read these as they are.
    BOOST_TEST(encodeWord("North.Shops-1_a:[::1]") == "North.Shops-1_a:[::1]");
    BOOST_TEST(encodeWord("North Shops") == "North%20Shops");
}

BOOST_AUTO_TEST_CASE(OddWordsAreRefused)
{
    for (const char *word : { "%", "a%2", "%zz", "%2 ", "a b", "a\n", "\x7f", "\xc3\xa4" }) {
        BOOST_TEST(!decodeWord(word).has_value(), word);
    }
    BOOST_TEST(decodeWord(encodeWord(std::string(MAXIMUM_WORD_BYTES, ' '))).has_value());
    BOOST_TEST(!decodeWord(std::string(MAXIMUM_WORD_BYTES + 1, 'a')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
