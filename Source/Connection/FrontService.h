#pragma once

#include "Connection/CallerExchange.h"
#include "Connection/OnlineRun.h"
#include "Process/FrontParts.h"
#include "Process/Load/AllowanceTable.h"
#include "Request/ResultCode.h"

#include <functional>

namespace poplardock {

/// Decides on each request of a caller: route, key, allowance, admission; then hands it to an online run or to the
/// jobs interface. What cannot be served is refused at once.
/// Thread safety: the loop's thread only.
class FrontService
{
public:
    /// A jobs call of a team that may make it.
    struct JobRequest
    {
        std::shared_ptr<CallerExchange> caller;
        JobCall call;
        RequestTerms terms;
        std::string team;
        /// The batch route of a submission; null for other calls. Belongs to the version.
        const ServiceRoute *route = nullptr;
        ServingVersionPointer version;
    };

    FrontService(FrontParts &parts, AllowanceTable &allowances, std::function<void(const JobRequest &)> onJob);

    auto handle(const std::shared_ptr<CallerExchange> &caller) -> void;
    /// Whether the configuration is recent enough to serve requests with a key.
    [[nodiscard]] auto isFresh(BootTime now) const -> bool;

private:
    auto refuse(const std::shared_ptr<CallerExchange> &caller,
                const RequestTerms &terms,
                ResultCode code,
                const std::string &message,
                std::optional<Milliseconds> retryAfter = std::nullopt) -> void;
    /// Starts the run of a request that its team may make; the order lacks only the group.
    auto admit(OnlineRun::Order order) -> void;

    FrontParts &parts_;
    AllowanceTable &allowances_;
    std::function<void(const JobRequest &)> onJob_;
};

} // namespace poplardock
