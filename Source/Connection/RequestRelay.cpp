#include "Connection/RequestRelay.h"

#include "Connection/AnswerReceiver.h"
#include "Process/Json.h"

namespace poplardock {

namespace {

constexpr int RETRY_AFTER_SECONDS = 1;

auto makeRelayedRequest(const OnlineRequest &request, const Caller &caller) -> UpstreamRequest
{
    const CallerMessage &message = request.message;
    UpstreamRequest relayed { "POST", RelayHeader::PATH, {}, message.body, request.deadline };
    const auto add = [&relayed](const char *name, const std::string &value) {
        if (!value.empty()) {
            relayed.headers[name] = value;
        }
    };
    add(RelayHeader::TEAM, caller.team);
    add(RelayHeader::KEY_SHA256, caller.keySha256);
    add(RelayHeader::METHOD, message.method);
    add(RelayHeader::URI, message.uri);
    add(RelayHeader::REQUEST_ID, request.id);
    add("Content-Type", message.contentType);
    add("Accept", message.accept);
    add("Service-Class", message.serviceClass);
    add("Idempotency-Key", message.idempotencyKey);
    return relayed;
}

/// True for the answer of a daemon that is not the home of the team; it did not run the request.
auto isNotHome(const UpstreamAnswer &answer, const std::string &body)
{
    if (answer.head.status != describe(ResultCode::NotHome).httpStatus) {
        return false;
    }
    const auto object = Json::parseObject(body);
    if (!object.ok()) {
        return false;
    }
    const auto error = Json::requireObject(**object, "error");
    const auto code = error.ok() ? Json::requireInteger(**error, "code") : error.status();
    return code.ok() && *code == static_cast<int>(ResultCode::NotHome);
}

auto sendRelayFailure(const UpstreamFailure &failure, bool isTooLarge, CallerReply &reply, CallerWatch::Registration &watch) -> void
{
    if (isTooLarge) {
        reply.sendError({ ResultCode::UpstreamAnswerInvalid, "the answer is too large" });
    } else if (failure.isStopped && watch.isKeyInvalid() && reply.isStarted()) {
        reply.sendError({ ResultCode::StreamEnded, {} });
    } else if (failure.isStopped) {
        reply.abandon();
    } else if (failure.run == RunState::NotRun) {
        reply.sendError({ ResultCode::AllowanceUnavailable, {}, RETRY_AFTER_SECONDS });
    } else {
        reply.sendError({ failure.code, "the home of the team's allowance gave no whole answer" });
    }
}

} // namespace

auto relayToHome(const OnlineParts &parts,
                 const OnlineRequest &request,
                 const Caller &caller,
                 const Member &home,
                 CallerReply &reply,
                 CallerWatch::Registration &watch) -> void
{
    parts.metrics.count("online_relayed");
    Upstream peer;
    peer.name = home.name;
    peer.address = home.address;
    AnswerReceiver receiver(reply, watch, false);
    const UpstreamResult result = callUpstream(peer, makeRelayedRequest(request, caller), receiver.handlers(), watch.stopToken());
    const auto *answer = std::get_if<UpstreamAnswer>(&result);
    if (answer == nullptr) {
        sendRelayFailure(std::get<UpstreamFailure>(result), receiver.isTooLarge(), reply, watch);
    } else if (receiver.isStream() && reply.isStarted()) {
        reply.endStream();
    } else if (isNotHome(*answer, receiver.body())) {
        reply.sendError({ ResultCode::AllowanceUnavailable, {}, RETRY_AFTER_SECONDS });
    } else {
        reply.sendWhole(answer->head, receiver.body());
    }
}

} // namespace poplardock
