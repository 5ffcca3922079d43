#pragma once

#include "Connection/Router.h"
#include "Process/ConfigurationEditor.h"
#include "Process/PeerExchange.h"
#include "Process/VersionLoader.h"

#include <functional>
#include <string>

namespace poplardock {

/// Registers the endpoints of the control part. The references must outlive the router.
namespace ControlRoutes {

/// POST /peers/exchange, and GET /peers/shards/HASH; the name "root" in place of a hash gives
/// {"root","confirmed_age_ms"} of the version in force.
auto addPeerRoutes(Router &router, PeerExchange &exchange, const VersionLoader &loader, const FleetState &state) -> void;

/// GET /config                            {"revision","configuration_revision","configuration"}, redacted
/// PUT /config?expected=N                 a whole configuration
/// POST /config/keys                      {"team","id","sha256"}
/// POST /config/keys/ID/withdraw
/// PUT /config/teams/NAME                 {"rate_per_second","burst"}
/// PUT /config/classes/NAME               {"first_token_ms","token_gap_ms"}
/// POST /config/upstreams/NAME/leave
/// Changes answer with ChangeAnswer. All but the withdrawal take "?expected=N", the configuration revision
/// that the change was made against; it is required for a whole configuration.
auto addOperatorRoutes(Router &router, ConfigurationEditor &editor, const FleetState &state) -> void;

/// POST /members/NAME/remove, by which an operator removes a member whose process has ended.
auto addMemberRoutes(Router &router, const std::function<absl::Status(const std::string &name)> &remove) -> void;

} // namespace ControlRoutes

} // namespace poplardock
