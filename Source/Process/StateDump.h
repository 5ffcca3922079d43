#pragma once

#include "Process/Json.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace poplardock {

/// Collects the state of the parts of a process on request. Register all sections before the first dump; after
/// that it is safe for use from many threads. Sections must not hold caller keys or upstream credentials.
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
