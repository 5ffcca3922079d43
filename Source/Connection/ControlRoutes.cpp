#include "Connection/ControlRoutes.h"

#include "Connection/HttpReply.h"

#include <Poco/URI.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace poplardock {

namespace {

using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;

/// An exchange with 400 members takes about 15 KB.
constexpr std::size_t EXCHANGE_LIMIT = 1U << 20U;
/// A configuration of 5,000 teams takes about 2 MB.
constexpr std::size_t CONFIGURATION_LIMIT = 8U << 20U;
constexpr const char *SHARDS_PREFIX = "/peers/shards/";
constexpr const char *KEYS_PREFIX = "/config/keys/";
constexpr const char *WITHDRAW_SUFFIX = "/withdraw";
constexpr const char *TEAMS_PREFIX = "/config/teams/";
constexpr const char *CLASSES_PREFIX = "/config/classes/";
constexpr const char *UPSTREAMS_PREFIX = "/config/upstreams/";
constexpr const char *MEMBERS_PREFIX = "/members/";
constexpr const char *REMOVE_SUFFIX = "/remove";
constexpr const char *LEAVE_SUFFIX = "/leave";

using ObjectResult = std::variant<JsonObject::Ptr, RequestError>;
using ExpectedResult = std::variant<ConfigurationEditor::Expected, RequestError>;

auto readObject(Request &request) -> ObjectResult
{
    const auto body = HttpReply::readBody(request, CONFIGURATION_LIMIT);
    if (const auto *error = std::get_if<RequestError>(&body)) {
        return *error;
    }
    const auto object = Json::parseObject(std::get<std::string>(body));
    if (!object.ok()) {
        return RequestError { ResultCode::MalformedJson, std::string(object.status().message()) };
    }
    return *object;
}

auto readExpected(const Request &request) -> ExpectedResult
{
    try {
        for (const auto &[key, value] : Poco::URI(request.getURI()).getQueryParameters()) {
            std::uint64_t expected = 0;
            if (key != "expected") {
                continue;
            }
            if (!absl::SimpleAtoi(value, &expected)) {
                return RequestError { ResultCode::InvalidField, "\"expected\" must be a configuration revision" };
            }
            return ConfigurationEditor::Expected(expected);
        }
        return ConfigurationEditor::Expected();
    } catch (const Poco::Exception &) {
        return RequestError { ResultCode::InvalidField, "the query is malformed" };
    }
}

/// The part of the path between prefix and suffix; empty when the path has another form.
auto nameIn(const Request &request, const char *prefix, const char *suffix) -> std::string
{
    const std::string path = HttpReply::pathOf(request);
    std::string_view name = path;
    const bool matches = absl::StartsWith(path, prefix) && absl::EndsWith(path, suffix)
                         && path.size() > std::string_view(prefix).size() + std::string_view(suffix).size();
    if (!matches) {
        return {};
    }
    name.remove_prefix(std::string_view(prefix).size());
    name.remove_suffix(std::string_view(suffix).size());
    return name.find('/') == std::string_view::npos ? std::string(name) : std::string();
}

auto sendResult(Response &response, const ChangeResult &result) -> void
{
    if (const auto *error = std::get_if<RequestError>(&result)) {
        HttpReply::sendError(response, *error);
        return;
    }
    HttpReply::sendJson(response, 200, std::get<ChangeAnswer>(result).toJson());
}

auto invalidField(const absl::Status &status) -> ChangeResult
{
    return RequestError { ResultCode::InvalidField, std::string(status.message()) };
}

/// A change with a JSON body.
using BodyChange = std::function<ChangeResult(const JsonObject &, ConfigurationEditor::Expected)>;

auto runBodyChange(Request &request, Response &response, const BodyChange &change) -> void
{
    const ObjectResult object = readObject(request);
    const ExpectedResult expected = readExpected(request);
    if (const auto *error = std::get_if<RequestError>(&object)) {
        HttpReply::sendError(response, *error);
        return;
    }
    if (const auto *error = std::get_if<RequestError>(&expected)) {
        HttpReply::sendError(response, *error);
        return;
    }
    sendResult(response, change(*std::get<JsonObject::Ptr>(object), std::get<ConfigurationEditor::Expected>(expected)));
}

/// As runBodyChange(), for a change of the entry that the path names.
auto runNamedChange(Request &request, Response &response, const std::string &name, const BodyChange &change) -> void
{
    if (name.empty()) {
        response.setKeepAlive(false);
        HttpReply::sendError(response, { ResultCode::RouteUnknown, {} });
        return;
    }
    runBodyChange(request, response, change);
}

/// As runNamedChange(), for a change that needs no body; a body is read and ignored.
auto runNamedAction(Request &request,
                    Response &response,
                    const std::string &name,
                    const std::function<ChangeResult(ConfigurationEditor::Expected)> &action) -> void
{
    const ExpectedResult expected = readExpected(request);
    const auto body = HttpReply::readBody(request, CONFIGURATION_LIMIT);
    if (name.empty()) {
        HttpReply::sendError(response, { ResultCode::RouteUnknown, {} });
        return;
    }
    if (const auto *error = std::get_if<RequestError>(&body)) {
        HttpReply::sendError(response, *error);
        return;
    }
    if (const auto *error = std::get_if<RequestError>(&expected)) {
        HttpReply::sendError(response, *error);
        return;
    }
    sendResult(response, action(std::get<ConfigurationEditor::Expected>(expected)));
}

auto sendRoot(Response &response, const VersionLoader &loader, const FleetState &state) -> void
{
    const FleetVersionPointer version = state.current();
    const std::optional<TimePoint> confirmedAt = state.confirmedAt();
    const FleetRoot root = loader.inForce().root;
    JsonObject answer;
    const auto rootObject = Json::parseObject(root.toText());
    if (root.revision == 0 || !rootObject.ok()) {
        HttpReply::sendError(response, { ResultCode::ConfigurationStale, "no version is in force", 1 });
        return;
    }
    answer.set("root", *rootObject);
    // The confirmation must belong to the revision of the root.
    if (confirmedAt && version->revision == root.revision && state.current()->revision == root.revision) {
        const auto age = std::chrono::duration_cast<Milliseconds>(Clock::now() - *confirmedAt).count();
        answer.set("confirmed_age_ms", static_cast<std::int64_t>(std::max<std::int64_t>(0, age)) + 1);
    }
    HttpReply::sendJson(response, 200, Json::toText(answer));
}

auto sendShard(const Request &request, Response &response, const VersionLoader &loader, const FleetState &state) -> void
{
    const std::string name = nameIn(request, SHARDS_PREFIX, "");
    if (name == "root") {
        sendRoot(response, loader, state);
        return;
    }
    const auto content = loader.findShard(name);
    if (!content) {
        HttpReply::sendError(response, { ResultCode::RouteUnknown, "this daemon does not hold the shard" });
        return;
    }
    HttpReply::sendJson(response, 200, *content);
}

auto answerExchange(Request &request, Response &response, PeerExchange &exchange) -> void
{
    const auto body = HttpReply::readBody(request, EXCHANGE_LIMIT);
    if (const auto *error = std::get_if<RequestError>(&body)) {
        HttpReply::sendError(response, *error);
        return;
    }
    const auto answer = exchange.handleRequest(std::get<std::string>(body));
    if (!answer.ok()) {
        HttpReply::sendError(response, { ResultCode::InvalidField, std::string(answer.status().message()) });
        return;
    }
    HttpReply::sendJson(response, 200, *answer);
}

auto sendConfiguration(Response &response, const FleetState &state) -> void
{
    const FleetVersionPointer version = state.current();
    if (version->revision == 0) {
        HttpReply::sendError(response, { ResultCode::ConfigurationStale, "no version is in force", 1 });
        return;
    }
    JsonObject answer;
    answer.set("revision", version->revision);
    answer.set("configuration_revision", version->configurationRevision);
    answer.set("configuration", version->configuration.toJson(true));
    HttpReply::sendJson(response, 200, Json::toText(answer));
}

auto applyDocument(ConfigurationEditor &editor, const JsonObject &document, ConfigurationEditor::Expected expected) -> ChangeResult
{
    if (!expected) {
        return RequestError { ResultCode::InvalidField, "\"?expected=N\" must name the configuration revision that was read" };
    }
    return editor.apply(document, *expected);
}

auto addKey(ConfigurationEditor &editor, const JsonObject &body, ConfigurationEditor::Expected expected) -> ChangeResult
{
    const auto team = Json::requireString(body, "team");
    const auto id = Json::requireString(body, "id");
    const auto sha256 = Json::requireString(body, "sha256");
    for (const absl::Status &status : { team.status(), id.status(), sha256.status() }) {
        if (!status.ok()) {
            return invalidField(status);
        }
    }
    return editor.addKey(*team, { *id, *sha256, false }, expected);
}

auto setTeam(ConfigurationEditor &editor, const std::string &name, const JsonObject &body, ConfigurationEditor::Expected expected)
    -> ChangeResult
{
    const auto rate = Json::requireNumber(body, "rate_per_second");
    const auto burst = Json::requireNumber(body, "burst");
    if (!rate.ok() || !burst.ok()) {
        return invalidField(rate.ok() ? burst.status() : rate.status());
    }
    return editor.setTeam(name, *rate, *burst, expected);
}

auto setClass(ConfigurationEditor &editor, const std::string &name, const JsonObject &body, ConfigurationEditor::Expected expected)
    -> ChangeResult
{
    const auto firstToken = Json::requireInteger(body, "first_token_ms");
    const auto tokenGap = Json::requireInteger(body, "token_gap_ms");
    if (!firstToken.ok() || !tokenGap.ok()) {
        return invalidField(firstToken.ok() ? tokenGap.status() : firstToken.status());
    }
    return editor.setClass(name, *firstToken, *tokenGap, expected);
}

} // namespace

auto ControlRoutes::addPeerRoutes(Router &router, PeerExchange &exchange, const VersionLoader &loader, const FleetState &state) -> void
{
    router.add(
        "POST", "/peers/exchange", [&exchange](Request &request, Response &response) { answerExchange(request, response, exchange); });
    router.addPrefix(
        "GET", SHARDS_PREFIX, [&loader, &state](Request &request, Response &response) { sendShard(request, response, loader, state); });
}

auto ControlRoutes::addOperatorRoutes(Router &router, ConfigurationEditor &editor, const FleetState &state) -> void
{
    using Expected = ConfigurationEditor::Expected;
    router.add("GET", "/config", [&state](Request &, Response &response) { sendConfiguration(response, state); });
    router.add("PUT", "/config", [&editor](Request &request, Response &response) {
        runBodyChange(request, response, [&](const JsonObject &body, Expected expected) { return applyDocument(editor, body, expected); });
    });
    router.add("POST", "/config/keys", [&editor](Request &request, Response &response) {
        runBodyChange(request, response, [&](const JsonObject &body, Expected expected) { return addKey(editor, body, expected); });
    });
    router.addPrefix("POST", KEYS_PREFIX, [&editor](Request &request, Response &response) {
        const std::string name = nameIn(request, KEYS_PREFIX, WITHDRAW_SUFFIX);
        runNamedAction(request, response, name, [&](Expected) { return editor.withdrawKey(name); });
    });
    router.addPrefix("PUT", TEAMS_PREFIX, [&editor](Request &request, Response &response) {
        const std::string name = nameIn(request, TEAMS_PREFIX, "");
        runNamedChange(
            request, response, name, [&](const JsonObject &body, Expected expected) { return setTeam(editor, name, body, expected); });
    });
    router.addPrefix("PUT", CLASSES_PREFIX, [&editor](Request &request, Response &response) {
        const std::string name = nameIn(request, CLASSES_PREFIX, "");
        runNamedChange(
            request, response, name, [&](const JsonObject &body, Expected expected) { return setClass(editor, name, body, expected); });
    });
    router.addPrefix("POST", UPSTREAMS_PREFIX, [&editor](Request &request, Response &response) {
        const std::string name = nameIn(request, UPSTREAMS_PREFIX, LEAVE_SUFFIX);
        runNamedAction(request, response, name, [&](Expected expected) { return editor.leaveUpstream(name, expected); });
    });
}

auto ControlRoutes::addMemberRoutes(Router &router, const std::function<absl::Status(const std::string &name)> &remove) -> void
{
    router.addPrefix("POST", MEMBERS_PREFIX, [remove](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
        const std::string path(absl::StripPrefix(HttpReply::pathOf(request), MEMBERS_PREFIX));
        const std::string name(absl::StripSuffix(path, REMOVE_SUFFIX));
        if (name.empty() || name.size() == path.size()) {
            HttpReply::sendError(response, { ResultCode::RouteUnknown, {} });
            return;
        }
        const absl::Status status = remove(name);
        if (status.ok()) {
            HttpReply::sendJson(response, 200, "{}");
            return;
        }
        const ResultCode code = absl::IsNotFound(status)  ? ResultCode::MemberUnknown
                                : absl::IsUnknown(status) ? ResultCode::ConfigurationUncertain
                                                          : ResultCode::StoreUnavailable;
        HttpReply::sendError(response, { code, std::string(status.message()) });
    });
}

} // namespace poplardock
