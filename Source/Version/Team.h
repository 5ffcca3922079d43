#pragma once

#include <string>
#include <vector>

namespace poplardock {

/// A caller's API key. Only its hash is stored, never the key itself.
struct ApiKey
{
    std::string id;
    /// Lower-case hexadecimal SHA-256 of the key.
    std::string sha256;
    bool withdrawn = false;

    auto operator==(const ApiKey &) const -> bool = default;
};

/// A team and its allowance, which applies to all VMs together.
struct Team
{
    std::string name;
    /// In requests per second.
    double ratePerSecond = 0;
    /// In requests.
    double burst = 0;
    std::vector<ApiKey> keys;

    auto operator==(const Team &) const -> bool = default;
};

} // namespace poplardock
