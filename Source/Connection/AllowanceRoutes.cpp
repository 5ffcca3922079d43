#include "Connection/AllowanceRoutes.h"

#include "Connection/HttpReply.h"

namespace poplardock {

namespace {

/// Both messages have a few hundred bytes.
constexpr std::size_t MAXIMUM_BODY_BYTES = 64U << 10U;

using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;

/// Reads and decodes the body. Unset when an error was sent.
template<typename Message>
auto readMessage(Request &request, Response &response, absl::StatusOr<Message> (*decode)(const JsonObject &)) -> std::optional<Message>
{
    const auto body = HttpReply::readBody(request, MAXIMUM_BODY_BYTES);
    if (const auto *error = std::get_if<RequestError>(&body)) {
        HttpReply::sendError(response, *error);
        return std::nullopt;
    }
    const auto object = Json::parseObject(std::get<std::string>(body));
    if (!object.ok()) {
        HttpReply::sendError(response, { ResultCode::MalformedJson, std::string(object.status().message()) });
        return std::nullopt;
    }
    auto message = decode(**object);
    if (!message.ok()) {
        HttpReply::sendError(response, { ResultCode::InvalidField, std::string(message.status().message()) });
        return std::nullopt;
    }
    return *std::move(message);
}

/// The error in the usual shape, with the revision by which this daemon is not the home.
auto notHomeText(const NotHomeResponse &answer) -> std::string
{
    auto object = Json::parseObject(RequestError { ResultCode::NotHome, {} }.toJson());
    (*object)->set("revision", static_cast<std::int64_t>(answer.revision));
    return Json::toText(**object);
}

auto handleLoan(AllowanceHome &home, Request &request, Response &response) -> void
{
    const auto message = readMessage<LoanRequest>(request, response, loanRequestFromJson);
    if (!message) {
        return;
    }
    const HomeResponse answer = home.lend(*message);
    if (const auto *granted = std::get_if<LoanResponse>(&answer)) {
        HttpReply::sendJson(response, 200, Json::toText(*toJson(*granted)));
        return;
    }
    if (const auto *notHome = std::get_if<NotHomeResponse>(&answer)) {
        HttpReply::sendJson(response, describe(ResultCode::NotHome).httpStatus, notHomeText(*notHome));
        return;
    }
    HttpReply::sendError(response, { ResultCode::AllowanceUnavailable, std::get<HomeNotActing>(answer).reason, 1 });
}

auto handleHandover(AllowanceHome &home, Request &request, Response &response) -> void
{
    const auto message = readMessage<HandoverRequest>(request, response, handoverRequestFromJson);
    if (!message) {
        return;
    }
    const HandoverResponse answer = home.handOver(*message);
    HttpReply::sendJson(response, 200, Json::toText(*toJson(answer, home.now())));
}

} // namespace

auto addAllowanceRoutes(Router &router, AllowanceHome &home) -> void
{
    router.add("POST", "/peers/loans", [&home](Request &request, Response &response) { handleLoan(home, request, response); });
    router.add("POST", "/peers/handover", [&home](Request &request, Response &response) { handleHandover(home, request, response); });
}

} // namespace poplardock
