#include "Request/CallerIdentity.h"

#include <algorithm>

namespace poplardock {

namespace {

auto teamOfKey(const ServingVersion &version, const std::string &key) -> CallerIdentity
{
    if (key.empty()) {
        return { nullptr, ResultCode::KeyMissing };
    }
    const ServedTeam *team = version.findTeamOfKey(key);
    return team == nullptr ? CallerIdentity { nullptr, ResultCode::KeyUnknown } : CallerIdentity { team, std::nullopt };
}

auto isPublicBatch(const ServiceRoute &route) -> bool
{
    return route.kind == RouteKind::Batch && route.isPublic;
}

} // namespace

auto identifyCaller(const ServingVersion &version, const ServiceRoute *route, const std::string &key, bool isFresh) -> CallerIdentity
{
    if (!version.hasTeams() || (route != nullptr && route->isPublic)) {
        return {};
    }
    // An old configuration may hold a key that was withdrawn, and may lack one that was added.
    return isFresh ? teamOfKey(version, key) : CallerIdentity { nullptr, ResultCode::ConfigurationStale };
}

auto identifyJobCaller(
    const ServingVersion &version, const ServiceRoute *route, std::string_view host, const std::string &key, bool isFresh) -> CallerIdentity
{
    if (!version.hasTeams()) {
        return {};
    }
    if (!isFresh) {
        return { nullptr, ResultCode::ConfigurationStale };
    }
    const CallerIdentity identity = teamOfKey(version, key);
    const auto &routes = version.data().routes;
    const bool isOpen
        = route != nullptr ? isPublicBatch(*route) : std::any_of(routes.begin(), routes.end(), [host](const ServiceRoute &each) {
              return each.host == host && isPublicBatch(each);
          });
    return identity.refusal && isOpen ? CallerIdentity() : identity;
}

} // namespace poplardock
