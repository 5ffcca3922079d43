#pragma once

#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace poplardock {

/// Longest text that stands as one word in a message between daemons, in bytes.
inline constexpr std::size_t MAXIMUM_WORD_BYTES = 4096;

/// A text as one word of a line, one part of a path or one value of a query: all bytes but visible ASCII characters, and the characters
/// "%", "/", "?", "#", "&" and "+", are written as "%" and two hexadecimal digits, as in URLs. Most names stay as they are. Precondition:
/// at most MAXIMUM_WORD_BYTES bytes, or the recipient leaves out what holds the word. Thread-safe.
auto encodeWord(absl::string_view text) -> std::string;
/// Reverses encodeWord(). Unset for a word that encodeWord() does not write, but the characters after "%" need no escape. Thread-safe.
auto decodeWord(absl::string_view word) -> std::optional<std::string>;

} // namespace poplardock
