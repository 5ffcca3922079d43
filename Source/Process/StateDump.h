#pragma once

#include "Process/Json.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace poplardock {

/// Assembles the state dump of a process from the sections that its components register.
/// Precondition: sections contain no caller keys and no upstream credentials.
/// Thread safety: toJson() may be called from any thread once all sections are added.
class StateDump
{
public:
    using Section = std::function<JsonObject::Ptr()>;

    auto add(std::string name, Section section) -> void;
    /// {"SECTION":{...},...}
    [[nodiscard]] auto toJson() const -> JsonObject::Ptr;

private:
    std::vector<std::pair<std::string, Section>> sections_;
};

} // namespace poplardock
