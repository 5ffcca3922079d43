#pragma once

#include "Connection/CallerExchange.h"
#include "Connection/UpstreamRun.h"
#include "Request/OnlineChoice.h"
#include "Request/ResultCode.h"

#include <memory>
#include <set>

namespace poplardock {

/// One admitted online request: attempts at upstreams until one answers, and the answer to the caller.
///
/// A request that may be repeated goes to another upstream when an attempt is lost or stalls; a stream that may be
/// resumed goes on there after its last whole event. Any other request is sent again only when the upstream stated
/// that it did not run.
/// Thread safety: the loop's thread only. The run keeps itself alive until the caller has its answer or is gone.
class OnlineRun : public std::enable_shared_from_this<OnlineRun>
{
public:
    struct Order
    {
        std::shared_ptr<CallerExchange> caller;
        ServingVersionPointer version;
        /// Belongs to the version.
        const ServiceRoute *route = nullptr;
        std::string group;
        /// Empty for an open route.
        std::string team;
        /// Where the request may run.
        RegionFilter regions;
        RequestTerms terms;
        /// What the crash of an upstream is attributed to.
        CrashSubject subject;
        /// The first attempt is made although the request is refused as one that crashes upstreams.
        bool isCrashTrial = false;
    };

    /// When a request is answered at the latest: its caller's patience or its route's timeout has passed.
    static auto deadlineOf(BootTime receivedAt, const RequestTerms &terms, const ServiceRoute &route) -> BootTime;

    OnlineRun(FrontParts &parts, Order order);
    OnlineRun(const OnlineRun &) = delete;
    auto operator=(const OnlineRun &) -> OnlineRun & = delete;
    OnlineRun(OnlineRun &&) = delete;
    auto operator=(OnlineRun &&) -> OnlineRun & = delete;
    ~OnlineRun();

    /// Call once after construction.
    auto start() -> void;

private:
    auto tryNext() -> void;
    auto startRun(const UpstreamView &view, const OnlineChoice &choice) -> void;
    auto makeRoomAt(const std::string &upstream) -> void;
    auto takeHead(const MessageHead &head) -> void;
    auto takeBody(std::string_view bytes) -> void;
    auto takeEvent(const StreamEvent &event) -> void;
    /// Ends the attempt, whose upstream does not go on where the caller's stream broke off.
    auto refuseHole(std::int64_t eventId) -> void;
    auto takeRunEnd(RunEnd end) -> void;
    auto answer() -> void;
    auto armWaitCheck(int checks) -> void;
    auto armStall(double milliseconds) -> void;
    auto stall() -> void;
    [[nodiscard]] auto mayMove() const -> bool;
    auto giveUp(ResultCode code, const char *reason) -> void;
    auto expire() -> void;
    auto callerGone() -> void;
    auto end() -> void;
    [[nodiscard]] auto isStream() const -> bool;

    FrontParts &parts_;
    const Order order_;
    BootTime deadline_;
    std::shared_ptr<UpstreamRun> run_;
    std::set<std::string> excluded_;
    HttpResult result_;
    /// Attempts that may have run.
    int attempts_ = 0;
    int declines_ = 0;
    /// Those of them that lack the version of the weights that the request names.
    int versionDeclines_ = 0;
    std::int64_t lastEventId_ = 0;
    bool hasEvents_ = false;
    /// The next event has to follow the last one of a former attempt.
    bool isJoining_ = false;
    bool mayHaveRun_ = false;
    bool isOver_ = false;
    double waitMs_ = 0;
    Timer deadlineTimer_;
    Timer stallTimer_;
    Timer waitTimer_;
};

} // namespace poplardock
