#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock {

using JsonObject = Poco::JSON::Object;
using JsonArray = Poco::JSON::Array;

/// Typed access to JSON text over Poco::JSON. All functions are thread-safe on separate values and report
/// malformed input as InvalidArgument, naming the key and the expected type; they do not throw.
namespace Json {

/// Most bytes that the values of one parsed text may take. Small values take far more memory than text: an empty object, three
/// bytes with its comma, takes almost a thousand. The largest configuration that the store accepts stays below.
constexpr std::uint64_t MAXIMUM_PARSED_BYTES = 32U << 20U;

/// An upper estimate of the memory that parseObject() takes for the text, in bytes. Reads brackets, quotes and commas only, so it
/// also holds for malformed text.
auto parsedBytes(std::string_view text) -> std::uint64_t;

/// Bytes that a text takes as a JSON string, the quotes left out: control characters take up to six.
auto encodedBytes(std::string_view text) -> std::size_t;

/// For the documents of "serve": submissions of up to 100,000 items, and lists and shards of its store.
constexpr std::uint64_t MAXIMUM_DOCUMENT_BYTES = 1U << 30U;

/// Parses text whose top level is an object. Nesting deeper than 64 levels and text whose values would take more than "maximumBytes"
/// of memory are errors; nothing is built for the latter.
auto parseObject(const std::string &text, std::uint64_t maximumBytes = MAXIMUM_PARSED_BYTES) -> absl::StatusOr<JsonObject::Ptr>;
auto toText(const JsonObject &object) -> std::string;
auto toText(const JsonArray &array) -> std::string;
/// Serializes any JSON value; strings are quoted and escaped.
auto toText(const Poco::Dynamic::Var &value) -> std::string;

auto requireString(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::string>;
auto requireInteger(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::int64_t>;
auto requireNumber(const JsonObject &object, const std::string &key) -> absl::StatusOr<double>;
auto requireObject(const JsonObject &object, const std::string &key) -> absl::StatusOr<JsonObject::Ptr>;
auto requireArray(const JsonObject &object, const std::string &key) -> absl::StatusOr<JsonArray::Ptr>;

/// Returns the fallback when the key is absent or null; a value of another type is an error.
auto optionalString(const JsonObject &object, const std::string &key, const std::string &fallback) -> absl::StatusOr<std::string>;
auto optionalInteger(const JsonObject &object, const std::string &key, std::int64_t fallback) -> absl::StatusOr<std::int64_t>;
auto optionalNumber(const JsonObject &object, const std::string &key, double fallback) -> absl::StatusOr<double>;
auto optionalBool(const JsonObject &object, const std::string &key, bool fallback) -> absl::StatusOr<bool>;
/// An absent key gives an empty list; an element that is not a string is an error.
auto optionalStrings(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::vector<std::string>>;
/// An absent key gives an empty list; an element that is not an object is an error.
auto optionalObjects(const JsonObject &object, const std::string &key) -> absl::StatusOr<std::vector<JsonObject::Ptr>>;

auto fromStrings(const std::vector<std::string> &values) -> JsonArray::Ptr;

} // namespace Json

} // namespace poplardock
