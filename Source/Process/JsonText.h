#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplardock::JsonText {

/// Finds the parts of a JSON text by its brackets and quotes, without reading what is in them, so that a part which no parser
/// accepts leaves the others readable. Does not recurse: texts may be nested to any depth.
/// The parts refer to the text. Thread-safe.

/// The values of an object by their keys, which are not unescaped; of a key that stands twice, the last one.
/// Errors: InvalidArgument for a text that is no object.
auto members(std::string_view text) -> absl::StatusOr<std::map<std::string, std::string_view, std::less<>>>;

/// The elements of an array. Errors: InvalidArgument for a text that is no array.
auto elements(std::string_view text) -> absl::StatusOr<std::vector<std::string_view>>;

} // namespace poplardock::JsonText
