#include "Process/Json.h"

#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <absl/strings/str_cat.h>

#include <sstream>

namespace poplardock::Json {

namespace {

constexpr std::size_t MAX_NESTING_DEPTH = 64;
/// Memory of Poco's values with their shares of the containers that hold them, on a 64-bit machine.
constexpr std::uint64_t OBJECT_BYTES = 900;
constexpr std::uint64_t ARRAY_BYTES = 160;
constexpr std::uint64_t MEMBER_BYTES = 160;
constexpr std::uint64_t ELEMENT_BYTES = 80;
/// The text of strings stands in the parser's buffer and in the values.
constexpr std::uint64_t TEXT_COPIES = 2;

auto typeMismatch(const std::string &key, const char *expected) -> absl::Status
{
    return absl::InvalidArgumentError(absl::StrCat("\"", key, "\" must be ", expected));
}

auto isPresent(const JsonObject &object, const std::string &key) -> bool
{
    return object.has(key) && !object.isNull(key);
}

} // namespace

auto parsedBytes(std::string_view text) -> std::uint64_t
{
    std::uint64_t bytes = 0;
    std::uint64_t textBytes = 0;
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char next = text[position];
        if (isInString) {
            ++textBytes;
            position += next == '\\' ? 1 : 0;
            isInString = next != '"';
            continue;
        }
        isInString = next == '"';
        bytes += next == '{' ? OBJECT_BYTES : next == '[' ? ARRAY_BYTES : next == ':' ? MEMBER_BYTES : next == ',' ? ELEMENT_BYTES : 0;
    }
    return bytes + TEXT_COPIES * textBytes;
}

auto encodedBytes(std::string_view text) -> std::size_t
{
    constexpr std::size_t LONG_ESCAPE = 6;
    constexpr std::size_t SHORT_ESCAPE = 2;
    std::size_t bytes = 0;
    for (const char next : text) {
        const bool isShort = next == '"' || next == '\\' || (next >= '\b' && next <= '\r' && next != '\v');
        const bool isControl = static_cast<unsigned char>(next) < ' ';
        bytes += isShort ? SHORT_ESCAPE : isControl ? LONG_ESCAPE : 1;
    }
    return bytes;
}

auto parseObject(const std::string &text, std::uint64_t maximumBytes) -> absl::StatusOr<JsonObject::Ptr>
{
    if (const std::uint64_t bytes = parsedBytes(text); bytes > maximumBytes) {
        return absl::InvalidArgumentError(absl::StrCat("the values of the JSON text would take ", bytes, " bytes of memory"));
    }
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MAX_NESTING_DEPTH);
        const Poco::Dynamic::Var value = parser.parse(text);
        if (value.type() != typeid(JsonObject::Ptr)) {
            return absl::InvalidArgumentError("a JSON object is expected");
        }
        return value.extract<JsonObject::Ptr>();
    } catch (const Poco::Exception &exception) {
        return absl::InvalidArgumentError(absl::StrCat("malformed JSON: ", exception.displayText()));
    } catch (const std::exception &exception) {
        return absl::InvalidArgumentError(absl::StrCat("malformed JSON: ", exception.what()));
    }
}

auto toText(const JsonObject &object) -> std::string
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

auto toText(const Poco::Dynamic::Var &value) -> std::string
{
    std::ostringstream stream;
    Poco::JSON::Stringifier::stringify(value, stream);
    return stream.str();
}

auto toText(const JsonArray &array) -> std::string
{
    std::ostringstream stream;
    array.stringify(stream);
    return stream.str();
}

auto requireString(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::string>
{
    const Poco::Dynamic::Var value = object.get(key);
    if (value.isEmpty() || !value.isString()) {
        return typeMismatch(key, "a string");
    }
    return value.extract<std::string>();
}

auto requireInteger(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::int64_t>
{
    const Poco::Dynamic::Var value = object.get(key);
    if (value.isEmpty() || value.isBoolean() || !value.isInteger()) {
        return typeMismatch(key, "an integer");
    }
    try {
        return value.convert<std::int64_t>();
    } catch (const Poco::Exception &) {
        return typeMismatch(key, "a 64-bit integer");
    }
}

auto requireNumber(const JsonObject &object, const std::string &key) -> absl::StatusOr<double>
{
    const Poco::Dynamic::Var value = object.get(key);
    if (value.isEmpty() || value.isBoolean() || !value.isNumeric()) {
        return typeMismatch(key, "a number");
    }
    return value.convert<double>();
}

auto requireObject(const JsonObject &object, const std::string &key) -> absl::StatusOr<JsonObject::Ptr>
{
    const JsonObject::Ptr value = object.getObject(key);
    if (value.isNull()) {
        return typeMismatch(key, "an object");
    }
    return value;
}

auto requireArray(const JsonObject &object, const std::string &key) -> absl::StatusOr<JsonArray::Ptr>
{
    const JsonArray::Ptr value = object.getArray(key);
    if (value.isNull()) {
        return typeMismatch(key, "an array");
    }
    return value;
}

auto optionalString(const JsonObject &object, const std::string &key, const std::string &fallback) -> absl::StatusOr<std::string>
{
    return isPresent(object, key) ? requireString(object, key) : absl::StatusOr<std::string>(fallback);
}

auto optionalInteger(const JsonObject &object, const std::string &key, std::int64_t fallback) -> absl::StatusOr<std::int64_t>
{
    return isPresent(object, key) ? requireInteger(object, key) : absl::StatusOr<std::int64_t>(fallback);
}

auto optionalNumber(const JsonObject &object, const std::string &key, double fallback) -> absl::StatusOr<double>
{
    return isPresent(object, key) ? requireNumber(object, key) : absl::StatusOr<double>(fallback);
}

auto optionalBool(const JsonObject &object, const std::string &key, bool fallback) -> absl::StatusOr<bool>
{
    if (!isPresent(object, key)) {
        return fallback;
    }
    const Poco::Dynamic::Var value = object.get(key);
    if (!value.isBoolean()) {
        return typeMismatch(key, "true or false");
    }
    return value.extract<bool>();
}

auto optionalStrings(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::vector<std::string>>
{
    std::vector<std::string> values;
    if (!isPresent(object, key)) {
        return values;
    }
    const auto array = requireArray(object, key);
    if (!array.ok()) {
        return array.status();
    }
    for (const Poco::Dynamic::Var &value : **array) {
        if (!value.isString()) {
            return typeMismatch(key, "an array of strings");
        }
        values.push_back(value.extract<std::string>());
    }
    return values;
}

auto optionalObjects(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::vector<JsonObject::Ptr>>
{
    std::vector<JsonObject::Ptr> values;
    if (!isPresent(object, key)) {
        return values;
    }
    const auto array = requireArray(object, key);
    if (!array.ok()) {
        return array.status();
    }
    for (const Poco::Dynamic::Var &value : **array) {
        if (value.type() != typeid(JsonObject::Ptr)) {
            return typeMismatch(key, "an array of objects");
        }
        values.push_back(value.extract<JsonObject::Ptr>());
    }
    return values;
}

auto fromStrings(const std::vector<std::string> &values) -> JsonArray::Ptr
{
    JsonArray::Ptr array = new JsonArray;
    for (const std::string &value : values) {
        array->add(value);
    }
    return array;
}

} // namespace poplardock::Json
