#include "Process/StateDump.h"

namespace poplardock {

auto StateDump::add(std::string name, Section section) -> void
{
    sections_.emplace_back(std::move(name), std::move(section));
}

auto StateDump::toJson() const -> JsonObject::Ptr
{
    JsonObject::Ptr whole = new JsonObject;
    for (const auto &[name, section] : sections_) {
        whole->set(name, section());
    }
    return whole;
}

} // namespace poplardock
