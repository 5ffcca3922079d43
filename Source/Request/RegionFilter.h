#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardock {

/// The data centres that may run a request. Immutable; safe to read from any thread.
class RegionFilter
{
public:
    /// Allows all data centres, those of unknown region too.
    RegionFilter() = default;
    /// Allows the data centres of regions that are in both lists; an empty list allows all. "regions" maps data centres to their
    /// regions; one that it lacks is not allowed if either list is not empty.
    RegionFilter(const std::vector<std::string> &routeRegions,
                 const std::vector<std::string> &teamRegions,
                 const std::map<std::string, std::string> &regions);

    [[nodiscard]] auto isRestricted() const -> bool;
    [[nodiscard]] auto allows(const std::string &dataCentre) const -> bool;

    auto operator==(const RegionFilter &) const -> bool = default;
    /// An order for use as a key.
    auto operator<(const RegionFilter &other) const -> bool;

private:
    /// Unset for all.
    std::optional<std::set<std::string>> dataCentres_;
};

} // namespace poplardock
