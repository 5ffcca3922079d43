#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace poplardock {

/// Converts a TOML document to JSON text. Errors: InvalidArgument with file and line. Thread-safe.
auto jsonFromToml(const std::string &text, const std::string &file) -> absl::StatusOr<std::string>;

} // namespace poplardock
