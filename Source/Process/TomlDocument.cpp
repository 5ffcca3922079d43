#include "Process/TomlDocument.h"

#include <absl/strings/str_cat.h>
#include <toml++/toml.h>

#include <sstream>

namespace poplardock {

auto jsonFromToml(const std::string &text, const std::string &file) -> absl::StatusOr<std::string>
{
    try {
        const toml::table document = toml::parse(text, file);
        std::ostringstream json;
        json << toml::json_formatter(document);
        return json.str();
    } catch (const toml::parse_error &error) {
        return absl::InvalidArgumentError(absl::StrCat(file, ":", error.source().begin.line, ": ", std::string(error.description())));
    }
}

} // namespace poplardock
