#include "Connection/OnlinePath.h"

#include "Connection/CallerMessageReader.h"
#include "Connection/RequestRelay.h"
#include "Connection/RequestRun.h"
#include "Request/AdmissionControl.h"
#include "Request/ChatBody.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>

namespace poplardock {

namespace {

constexpr const char *CHAT_PATH = "/v1/chat/completions";
/// Long answers take minutes; an exchange that is stuck must still end.
constexpr std::chrono::seconds CHAT_TIMEOUT { 300 };
constexpr std::chrono::seconds SERVICE_TIMEOUT { 30 };
constexpr int RETRY_AFTER_SECONDS = 1;
constexpr const char *SERVICE_METHODS[] = { "GET", "POST", "PUT", "PATCH", "DELETE" };

auto pathOf(const std::string &uri) -> std::string
{
    return uri.substr(0, uri.find('?'));
}

auto makeIdPrefix(const FleetState &state) -> std::string
{
    return absl::StrCat(state.memberName(), "-", absl::Hex(std::random_device()(), absl::kZeroPad8), "-");
}

auto isServiceMethod(const std::string &method) -> bool
{
    return std::any_of(
        std::begin(SERVICE_METHODS), std::end(SERVICE_METHODS), [&method](const char *candidate) { return method == candidate; });
}

auto findOnlineClass(const Configuration &configuration, const std::string &named, const std::string &fallback)
    -> std::variant<ServiceClass, RequestError>
{
    const std::string &name = named.empty() ? fallback : named;
    const ServiceClass *serviceClass = configuration.findClass(name);
    if (serviceClass == nullptr || serviceClass->kind != WorkKind::Online) {
        return RequestError { ResultCode::ClassUnknown, {} };
    }
    return *serviceClass;
}

} // namespace

OnlinePath::OnlinePath(OnlineParts parts)
    : parts_(std::move(parts))
    , watch_(parts_.state)
    , idPrefix_(makeIdPrefix(parts_.state))
{
}

auto OnlinePath::nextRequestId() -> std::string
{
    return absl::StrCat(idPrefix_, ++lastId_);
}

auto OnlinePath::registerRoutes(Router &callers) -> void
{
    const auto handler = [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
        handleDirect(request, response);
    };
    callers.add("POST", CHAT_PATH, handler);
    callers.addPrefix("", "/", handler);
}

auto OnlinePath::handleDirect(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    const TimePoint now = Clock::now();
    CallerReply reply(request, response);
    auto message = readCallerMessage(request);
    if (const auto *error = std::get_if<RequestError>(&message)) {
        reply.sendError(*error);
        record(reply, now);
        return;
    }
    const auto authenticateCaller = [this, &request] {
        return authenticate(request, parts_.state, Clock::now());
    };
    handle(response, reply, { std::get<CallerMessage>(std::move(message)), nextRequestId(), false, now }, authenticateCaller);
    record(reply, now);
}

auto OnlinePath::handleRelayed(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    const TimePoint now = Clock::now();
    CallerReply reply(request, response);
    auto read = readCallerMessage(request);
    if (const auto *error = std::get_if<RequestError>(&read)) {
        reply.sendError(*error);
        return;
    }
    auto message = std::get<CallerMessage>(std::move(read));
    message.method = request.get(RelayHeader::METHOD, {});
    message.uri = request.get(RelayHeader::URI, {});
    Caller caller;
    caller.team = request.get(RelayHeader::TEAM, {});
    caller.keySha256 = request.get(RelayHeader::KEY_SHA256, {});
    const auto authenticateCaller = [this, &caller]() -> std::variant<Caller, RequestError> {
        if (auto error = recheckCaller(caller, parts_.state, Clock::now())) {
            return *std::move(error);
        }
        const FleetVersionPointer version = parts_.state.current();
        const Configuration::KeyOwner owner = version->configuration.findKey(caller.keySha256);
        if (owner.team == nullptr || owner.team->name != caller.team) {
            return RequestError { ResultCode::KeyUnknown, {} };
        }
        return caller;
    };
    handle(response, reply, { std::move(message), request.get(RelayHeader::REQUEST_ID, nextRequestId()), true, now }, authenticateCaller);
}

auto OnlinePath::handle(Poco::Net::HTTPServerResponse &response,
                        CallerReply &reply,
                        Arrival arrival,
                        const Authenticator &authenticateCaller) -> void
{
    response.set("X-Request-Id", arrival.requestId);
    const bool isRelayed = arrival.isRelayed;
    const auto accepted = accept(std::move(arrival), authenticateCaller);
    if (const auto *error = std::get_if<RequestError>(&accepted)) {
        reply.sendError(*error);
        return;
    }
    admitAndRun(std::get<Accepted>(accepted), isRelayed, reply);
}

auto OnlinePath::accept(Arrival arrival, const Authenticator &authenticateCaller) const -> std::variant<Accepted, RequestError>
{
    Accepted accepted;
    OnlineRequest &request = accepted.request;
    request.id = std::move(arrival.requestId);
    request.message = std::move(arrival.message);
    request.receivedAt = arrival.at;
    const std::string path = pathOf(request.message.uri);
    const bool isChat = path == CHAT_PATH;
    if (isChat ? request.message.method != "POST" : !isServiceMethod(request.message.method)) {
        return RequestError { ResultCode::MethodNotAllowed, {} };
    }
    if (isChat) {
        const auto body = parseChatBody(request.message.body);
        if (const auto *error = std::get_if<RequestError>(&body)) {
            return *error;
        }
        request.model = std::get<ChatBody>(body).model;
        request.sharedParts = std::get<ChatBody>(body).sharedParts;
    }
    const FleetVersionPointer version = parts_.state.current();
    const Configuration &configuration = version->configuration;
    const Route *route = isChat ? nullptr : configuration.findRoute(path);
    if (route == nullptr || !route->isPublic) {
        const auto caller = authenticateCaller();
        if (const auto *error = std::get_if<RequestError>(&caller)) {
            return *error;
        }
        accepted.caller = std::get<Caller>(caller);
        request.team = accepted.caller->team;
    }
    if (!isChat && route == nullptr) {
        return RequestError { ResultCode::RouteUnknown, {} };
    }
    const std::string &fallback = isChat ? configuration.data().defaultClass : route->serviceClass;
    const auto serviceClass = findOnlineClass(configuration, request.message.serviceClass, fallback);
    if (const auto *error = std::get_if<RequestError>(&serviceClass)) {
        return *error;
    }
    request.serviceClass = std::get<ServiceClass>(serviceClass);
    request.group = isChat ? std::string() : route->group;
    request.isRetryable = isChat || route->isRetryable;
    request.deadline = arrival.at + (isChat ? CHAT_TIMEOUT : SERVICE_TIMEOUT);
    if (isChat && upstreamsOf(*version, request).empty()) {
        return RequestError { ResultCode::ModelUnknown, {} };
    }
    return accepted;
}

auto OnlinePath::refuse(const OnlineRequest &request) const -> std::optional<RequestError>
{
    const CrashSubject subject = crashSubjectOf(request);
    const BootTime now = BootClock::now();
    if (!parts_.crashes.refusedUntil(subject, now)) {
        return std::nullopt;
    }
    // Any daemon that gets such a request may try it: those of one team run at few daemons.
    const auto trial = parts_.crashes.dueTrial(subject, now);
    if (trial && parts_.crashes.startTrial(*trial, now)) {
        parts_.metrics.count("online_crash_trials");
        return std::nullopt;
    }
    return RequestError { ResultCode::RequestCrashesUpstreams, {} };
}

auto OnlinePath::refuseIfOverloadedNow(const OnlineRequest &request) const -> std::optional<RequestError>
{
    const TimePoint now = Clock::now();
    const FleetVersionPointer version = parts_.state.current();
    const std::vector<UpstreamLoad> loads = parts_.upstreams.snapshot(upstreamsOf(*version, request));
    auto error = refuseIfOverloaded(loads, request.serviceClass, now);
    if (error && parts_.yieldBatch) {
        // Batch work of another daemon may be the reason; it yields so that later requests are admitted.
        parts_.yieldBatch(fastestCandidate(loads, now)->name);
    }
    return error;
}

auto OnlinePath::admitAndRun(const Accepted &accepted, bool isRelayed, CallerReply &reply) -> void
{
    const OnlineRequest &request = accepted.request;
    if (const auto error = refuse(request)) {
        reply.sendError(*error);
        return;
    }
    CallerWatch::Registration watch(watch_, reply.socket(), accepted.caller);
    if (accepted.caller) {
        const AllowanceDecision decision = parts_.acquireAllowance(request.team, Clock::now());
        if (const auto *over = std::get_if<OverAllowance>(&decision)) {
            reply.sendError({ ResultCode::AllowanceExceeded, {}, over->retryAfterSeconds });
            return;
        }
        if (const auto *unavailable = std::get_if<AllowanceUnavailable>(&decision)) {
            reply.sendError({ ResultCode::AllowanceUnavailable, unavailable->reason, RETRY_AFTER_SECONDS });
            return;
        }
        if (const auto *relay = std::get_if<ForwardToHome>(&decision)) {
            if (isRelayed) {
                reply.sendError({ ResultCode::NotHome, {}, RETRY_AFTER_SECONDS });
            } else {
                relayToHome(parts_, request, *accepted.caller, relay->home, reply, watch);
            }
            return;
        }
    }
    if (const auto error = refuseIfOverloadedNow(request)) {
        reply.sendError(*error);
        return;
    }
    RequestRun(parts_, request, reply, watch).run();
}

auto OnlinePath::record(const CallerReply &reply, TimePoint arrivedAt) -> void
{
    const auto millisecondsSince = [arrivedAt](TimePoint at) {
        return std::chrono::duration<double, std::milli>(at - arrivedAt).count();
    };
    const auto code = reply.code();
    if (!code) {
        return;
    }
    const std::string_view name = describe(*code).name;
    parts_.metrics.count(absl::StrCat("online_", absl::string_view(name.data(), name.size())));
    if (*code != ResultCode::Ok) {
        return;
    }
    parts_.metrics.recordLatency("online_total", millisecondsSince(Clock::now()));
    if (reply.firstByteAt()) {
        parts_.metrics.recordLatency("online_first_byte", millisecondsSince(*reply.firstByteAt()));
    }
}

} // namespace poplardock
