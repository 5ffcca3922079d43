#pragma once

#include "Connection/Router.h"
#include "Process/AllowanceHome.h"

namespace poplardock {

/// Registers POST /peers/loans and POST /peers/handover on the router of the peers address. The home must
/// outlive the router.
auto addAllowanceRoutes(Router &router, AllowanceHome &home) -> void;

} // namespace poplardock
