#include "Request/RegionFilter.h"

#include <algorithm>

namespace poplardock {

namespace {

auto isListed(const std::vector<std::string> &list, const std::string &region) -> bool
{
    return list.empty() || std::find(list.begin(), list.end(), region) != list.end();
}

} // namespace

RegionFilter::RegionFilter(const std::vector<std::string> &routeRegions,
                           const std::vector<std::string> &teamRegions,
                           const std::map<std::string, std::string> &regions)
{
    if (routeRegions.empty() && teamRegions.empty()) {
        return;
    }
    dataCentres_.emplace();
    for (const auto &[dataCentre, region] : regions) {
        if (isListed(routeRegions, region) && isListed(teamRegions, region)) {
            dataCentres_->insert(dataCentre);
        }
    }
}

auto RegionFilter::isRestricted() const -> bool
{
    return dataCentres_.has_value();
}

auto RegionFilter::allows(const std::string &dataCentre) const -> bool
{
    return !dataCentres_ || dataCentres_->contains(dataCentre);
}

auto RegionFilter::operator<(const RegionFilter &other) const -> bool
{
    return dataCentres_ < other.dataCentres_;
}

} // namespace poplardock
