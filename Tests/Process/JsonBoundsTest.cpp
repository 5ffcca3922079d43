#include "Process/Json.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <malloc.h>

namespace poplardock {

namespace {

/// An object whose only member is an array of that many equal elements.
auto arrayOf(std::size_t count, const std::string &element) -> std::string
{
    std::string text = R"({"values":[)" + element;
    for (std::size_t index = 1; index < count; ++index) {
        absl::StrAppend(&text, ",", element);
    }
    return text + "]}";
}

auto membersOf(std::size_t count, const std::string &value) -> std::string
{
    std::string text = R"({"first":)" + value;
    for (std::size_t index = 1; index < count; ++index) {
        absl::StrAppend(&text, ",\"", index, "\":", value);
    }
    return text + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonBoundsSuite)

// Guards against text of legal size whose values take hundreds of times its memory: 347,000 empty objects in an entry of 1 MB took
// 300 MB, and ended each daemon that listed it.
BOOST_AUTO_TEST_CASE(TextOfManySmallValuesIsRefused)
{
    constexpr std::size_t VALUE_BYTES = 1048576;
    for (const std::string element : { "{}", "[{}]", R"({"a":0})", R"({"a":{"b":{}}})" }) {
        const std::string text = arrayOf(VALUE_BYTES / (element.size() + 1), element);
        BOOST_TEST(!Json::parseObject(text).ok(), element);
        BOOST_TEST(!Json::parseObject(R"({"nested":)" + text + "}").ok(), element);
    }
    BOOST_TEST(!Json::parseObject(membersOf(VALUE_BYTES / 10, "{}")).ok());
}

// Guards against an estimate that some kind of value exceeds.
BOOST_AUTO_TEST_CASE(ValuesTakeNoMoreThanTheEstimate)
{
    constexpr std::size_t COUNT = 5000;
    std::vector<std::string> texts;
    for (const std::string element : { "{}", "[]", "1", "1.5", "null", "true", R"("")", R"({"a":1})", R"({"a":{}})", R"([[],[{}]])" }) {
        texts.push_back(arrayOf(COUNT, element));
        texts.push_back(membersOf(COUNT, element));
    }
    texts.push_back(arrayOf(COUNT, '"' + std::string(500, 'x') + '"'));
    for (const std::string &text : texts) {
        const auto before = mallinfo2().uordblks;
        const auto parsed = Json::parseObject(text);
        const auto after = mallinfo2().uordblks;
        BOOST_REQUIRE(parsed.ok());
        BOOST_TEST(after <= before + Json::parsedBytes(text), text.substr(0, 40) << ": " << after - before << " bytes");
    }
}

// Guards against a bound that refuses the largest configuration or submission that the platform takes.
BOOST_AUTO_TEST_CASE(SoundTextOfTheLargestSizeIsParsed)
{
    constexpr std::size_t CONFIGURATION_BYTES = 1048576;
    const std::string team = R"({"name":"team","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"priority":1,"ratePerS":60,"burst":30})";
    BOOST_TEST(Json::parseObject(arrayOf(CONFIGURATION_BYTES / (team.size() + 1), team)).ok());
    constexpr std::size_t SUBMISSION_BYTES = 4194304;
    constexpr std::size_t ITEMS = 200;
    const std::string item
        = absl::StrCat(R"({"id":"i","path":"/p","headers":{"Model":"m","Token-Count":"1,2","Prompt-Prefix":"a:1"},"tokens":3,"body":")",
                       std::string(SUBMISSION_BYTES / ITEMS - 110, 'a'),
                       "\"}");
    BOOST_TEST(Json::parseObject(arrayOf(ITEMS, item)).ok());
}

// Guards against quotes and brackets inside strings that are taken for values.
BOOST_AUTO_TEST_CASE(BracketsInStringsCostTheirText)
{
    const std::string text = absl::StrCat(R"({"a":"\")", std::string(1U << 20U, '{'), R"(\\","b":[]})");
    BOOST_TEST(Json::parsedBytes(text) < 4U << 20U);
    BOOST_TEST(Json::parseObject(text).ok());
    BOOST_TEST(!Json::parseObject(R"({"a":"unfinished)").ok());
}

// Guards against texts that take more room in the store than was reckoned, or are read back changed.
BOOST_AUTO_TEST_CASE(EncodedTextHasTheStatedSize)
{
    std::string all;
    for (int code = 0; code < 128; ++code) {
        all += static_cast<char>(code);
    }
    all += "\u00e9\u2028\U0001F9F5";
    JsonObject object;
    object.set("text", all);
    const std::string text = Json::toText(object);
    BOOST_TEST(Json::encodedBytes(all) + std::string_view(R"({"text":""})").size() == text.size());
    const auto read = Json::parseObject(text);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((Json::requireString(**read, "text").value_or("") == all));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
