#pragma once

#include <string>
#include <vector>

namespace poplardock {

/// A caller's key as the configuration knows it; the key itself is never stored.
struct ApiKey
{
    std::string id;
    /// Lower-case hexadecimal SHA-256 of the key.
    std::string sha256;
    bool withdrawn = false;

    auto operator==(const ApiKey &) const -> bool = default;
};

/// A team and its allowance over all VMs together.
struct Team
{
    std::string name;
    /// Requests per second.
    double ratePerSecond = 0;
    /// Requests.
    double burst = 0;
    std::vector<ApiKey> keys;

    auto operator==(const Team &) const -> bool = default;
};

} // namespace poplardock
