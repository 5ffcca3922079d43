#pragma once

#include <string>

namespace poplardock {

/// Maps a path prefix to a group of plain services.
struct Route
{
    std::string prefix;
    std::string group;
    std::string serviceClass;
    /// Whether a request may be sent again after an attempt that may have run.
    bool isRetryable = false;
    /// Whether requests need no API key.
    bool isPublic = false;

    auto operator==(const Route &) const -> bool = default;
};

} // namespace poplardock
