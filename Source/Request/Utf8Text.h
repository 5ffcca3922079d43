#pragma once

#include <string_view>

namespace poplardock {

/// Whether the bytes are text in UTF-8: no overlong forms, no surrogates, nothing beyond U+10FFFF. Thread-safe.
auto isUtf8(std::string_view bytes) -> bool;

} // namespace poplardock
