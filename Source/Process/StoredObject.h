#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace poplardock {

/// One object of the platform's store.
struct StoredObject
{
    /// Plural kind, for example "chunks".
    std::string kind;
    std::string name;
    /// The store's resourceVersion; 0 for an object that is not stored yet.
    std::uint64_t version = 0;
    std::map<std::string, std::string> labels;
    /// JSON text of the "spec" field; at most 1 MB.
    std::string spec;

    auto operator==(const StoredObject &) const -> bool = default;
};

} // namespace poplardock
