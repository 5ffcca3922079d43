#include "Process/StateDump.h"

namespace poplardock {

auto StateDump::add(std::string name, Section section) -> void
{
    sections_.emplace_back(std::move(name), std::move(section));
}

auto StateDump::toJson() const -> JsonObject::Ptr
{
    JsonObject::Ptr json = new JsonObject;
    for (const auto &[name, section] : sections_) {
        json->set(name, section());
    }
    return json;
}

} // namespace poplardock
