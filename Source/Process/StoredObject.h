#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace poplardock {

/// An object in the platform's store.
struct StoredObject
{
    /// Plural kind, for example "chunks".
    std::string kind;
    std::string name;
    /// The store's resourceVersion; 0 when the object is not stored yet.
    std::uint64_t version = 0;
    std::map<std::string, std::string> labels;
    /// JSON text of the "spec" field; at most 1 MB.
    std::string spec;

    auto operator==(const StoredObject &) const -> bool = default;
};

} // namespace poplardock
