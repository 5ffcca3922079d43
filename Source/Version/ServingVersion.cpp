#include "Version/ServingVersion.h"

#include "Connection/CallerAuthentication.h"

#include <algorithm>

namespace poplardock {

ServingVersion::ServingVersion(Data data)
    : data_(std::move(data))
{
    for (std::size_t index = 0; index < data_.teams.size(); ++index) {
        for (const ApiKey &key : data_.teams[index].team.keys) {
            teamIndexByKeyHash_.emplace(key.sha256, index);
        }
        hasRegions_ = hasRegions_ || !data_.teams[index].allowedRegions.empty();
    }
    for (const ServiceRoute &route : data_.routes) {
        hasRegions_ = hasRegions_ || !route.allowedRegions.empty();
    }
}

auto ServingVersion::hasRegions() const -> bool
{
    return hasRegions_;
}

auto ServingVersion::data() const -> const Data &
{
    return data_;
}

auto ServingVersion::findRoute(std::string_view host, std::string_view path) const -> const ServiceRoute *
{
    path = path.substr(0, path.find('?'));
    const ServiceRoute *longest = nullptr;
    for (const ServiceRoute &route : data_.routes) {
        const bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches && (longest == nullptr || route.prefix.size() > longest->prefix.size())) {
            longest = &route;
        }
    }
    return longest;
}

auto ServingVersion::findTeamOfKey(const std::string &key) const -> const ServedTeam *
{
    const auto found = teamIndexByKeyHash_.find(sha256Hex(key));
    return found == teamIndexByKeyHash_.end() ? nullptr : &data_.teams[found->second];
}

auto ServingVersion::findTeam(const std::string &name) const -> const ServedTeam *
{
    const auto found
        = std::find_if(data_.teams.begin(), data_.teams.end(), [&name](const ServedTeam &served) { return served.team.name == name; });
    return found == data_.teams.end() ? nullptr : &*found;
}

auto ServingVersion::hasTeams() const -> bool
{
    return !data_.teams.empty();
}

auto ServingVersion::operator==(const ServingVersion &other) const -> bool
{
    return data_ == other.data_;
}

} // namespace poplardock
