#pragma once

#include "Connection/Router.h"
#include "Process/BatchDispatcher.h"
#include "Process/FleetState.h"
#include "Process/JobStore.h"
#include "Request/AllowanceDecision.h"

#include <functional>
#include <mutex>
#include <string>
#include <variant>

namespace poplardock {

/// Reads and checks a submission, {"job_key","class","model" or "path","due","repeatable","items":[{"id","body"}]},
/// against a configuration. Pure function. Errors: MalformedJson, JobInvalid, BodyTooLarge for an item,
/// ClassUnknown, ModelUnknown, RouteUnknown.
auto parseSubmission(const std::string &text, const std::string &team, const Configuration &configuration)
    -> std::variant<JobSubmission, RequestError>;

/// The routes of callers for batch jobs, and the route of peers for yields. Must outlive the servers that use
/// the routers. Thread-safe once the routes are registered.
class JobRoutes
{
public:
    /// Asked once for each valid submission. Never returns RelayToHome.
    using Allowance = std::function<AllowanceDecision(const std::string &team, TimePoint now)>;

    JobRoutes(JobStore &store, const FleetState &fleet, Allowance allowance);

    /// POST /v1/jobs, GET /v1/jobs/KEY, GET /v1/jobs/KEY/results?from=N&limit=M, POST /v1/jobs/KEY/cancel.
    auto addCallerRoutes(Router &router) -> void;
    /// POST /peers/yield.
    static auto addPeerRoutes(Router &router, BatchDispatcher &dispatcher) -> void;

private:
    using Request = Poco::Net::HTTPServerRequest;
    using Response = Poco::Net::HTTPServerResponse;

    auto submit(Request &request, Response &response) -> void;
    auto read(Request &request, Response &response) -> void;
    auto change(Request &request, Response &response) -> void;
    auto readSubmission(Request &request, const std::string &team) -> std::variant<JobSubmission, RequestError>;
    auto askAllowance(const std::string &team) const -> std::optional<RequestError>;

    JobStore &store_;
    const FleetState &fleet_;
    const Allowance allowance_;
    /// One submission is parsed at a time, since a large one takes several times its size in memory.
    std::mutex parsing_;
};

} // namespace poplardock
