#include "Connection/JobRoutes.h"

#include "Connection/CallerAuthentication.h"
#include "Connection/HttpReply.h"
#include "Process/Json.h"
#include "Process/JsonFields.h"

#include <Poco/URI.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_SUBMISSION_BYTES = 64UL * 1024 * 1024;
constexpr std::size_t MAXIMUM_SMALL_BODY_BYTES = 64UL * 1024;
constexpr std::size_t MAXIMUM_ITEM_BYTES = 256UL * 1024;
constexpr std::size_t MAXIMUM_ITEMS = 100000;
constexpr std::size_t MAXIMUM_NAME_BYTES = 128;
constexpr std::int64_t DEFAULT_PAGE_ITEMS = 100;
constexpr std::int64_t MAXIMUM_PAGE_ITEMS = 1000;
constexpr int ACCEPTED = 202;
constexpr const char *JOBS_PATH = "/v1/jobs";
constexpr const char *JOB_PREFIX = "/v1/jobs/";

auto invalid(std::string message) -> RequestError
{
    return { ResultCode::JobInvalid, std::move(message) };
}

auto isJobKey(const std::string &text) -> bool
{
    const auto isAllowed = [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == ':';
    };
    return !text.empty() && text.size() <= MAXIMUM_NAME_BYTES && std::all_of(text.begin(), text.end(), isAllowed);
}

auto readItem(const JsonObject &object, std::size_t position) -> std::variant<JobSubmission::Item, RequestError>
{
    JobSubmission::Item item;
    JsonObject::Ptr body;
    absl::Status status;
    Json::assign(Json::requireString(object, "id"), item.id, status);
    Json::assign(Json::requireObject(object, "body"), body, status);
    if (!status.ok()) {
        return invalid(absl::StrCat("item ", position, ": ", std::string(status.message())));
    }
    if (item.id.empty() || item.id.size() > MAXIMUM_NAME_BYTES) {
        return invalid(absl::StrCat("item ", position, ": \"id\" must have 1 to ", MAXIMUM_NAME_BYTES, " bytes"));
    }
    item.body = Json::toText(*body);
    if (item.body.size() > MAXIMUM_ITEM_BYTES) {
        return RequestError { ResultCode::BodyTooLarge,
                              absl::StrCat("item ", position, ": the body may have at most ", MAXIMUM_ITEM_BYTES, " bytes") };
    }
    return item;
}

auto readItems(const JsonObject &object, JobSubmission &submission) -> std::optional<RequestError>
{
    const auto entries = Json::optionalObjects(object, "items");
    if (!entries.ok()) {
        return invalid(std::string(entries.status().message()));
    }
    if (entries->empty() || entries->size() > MAXIMUM_ITEMS) {
        return invalid(absl::StrCat("\"items\" must have 1 to ", MAXIMUM_ITEMS, " entries"));
    }
    std::set<std::string> ids;
    for (const JsonObject::Ptr &entry : *entries) {
        auto item = readItem(*entry, submission.items.size());
        if (const auto *error = std::get_if<RequestError>(&item)) {
            return *error;
        }
        auto &read = std::get<JobSubmission::Item>(item);
        if (!ids.insert(read.id).second) {
            return invalid(absl::StrCat("item ", submission.items.size(), ": the id \"", read.id, "\" is used twice"));
        }
        submission.items.push_back(std::move(read));
    }
    return std::nullopt;
}

/// Checks that the items have somewhere to run, and what the route says about repeats.
auto checkTarget(const Configuration &configuration, JobSubmission &submission) -> std::optional<RequestError>
{
    if (submission.model.empty() == submission.path.empty()) {
        return invalid("one of \"model\" and \"path\" is expected");
    }
    const ServiceClass *serviceClass = configuration.findClass(submission.serviceClass);
    if (serviceClass == nullptr || serviceClass->kind != WorkKind::Batch) {
        return RequestError { ResultCode::ClassUnknown, absl::StrCat("\"", submission.serviceClass, "\" is not a batch class") };
    }
    if (!submission.model.empty()) {
        return configuration.upstreamsOfModel(submission.model).empty() ? std::optional<RequestError>({ ResultCode::ModelUnknown, {} })
                                                                        : std::nullopt;
    }
    const Route *route = configuration.findRoute(submission.path);
    if (route == nullptr) {
        return RequestError { ResultCode::RouteUnknown, absl::StrCat("no route matches \"", submission.path, "\"") };
    }
    submission.repeatable = submission.repeatable && route->isRetryable;
    return std::nullopt;
}

auto isHeaderSafe(const std::string &path) -> bool
{
    return std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c <= '~'; });
}

auto statusJson(const BatchJob &job) -> std::string
{
    JsonObject object;
    object.set("job_key", job.jobKey);
    object.set("class", job.serviceClass);
    object.set(job.model.empty() ? "path" : "model", job.model.empty() ? job.path : job.model);
    object.set("due", toText(job.due));
    object.set("repeatable", job.isRetryable);
    object.set("state", toString(job.state));
    object.set("items", job.itemCount());
    object.set("done", job.doneItems);
    object.set("failed", job.failedItems);
    return Json::toText(object);
}

auto toJson(const ItemResult &item) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("position", item.position);
    object->set("id", item.id);
    object->set("state", toString(item.state));
    if (item.state == ItemState::Done) {
        object->set("status", item.status);
        object->set("body", item.body);
        return object;
    }
    const ResultDescription &row = describe(item.error);
    JsonObject::Ptr error = new JsonObject;
    error->set("code", static_cast<int>(item.error));
    error->set("name", std::string(row.name));
    error->set("message", item.reason.empty() ? std::string(row.meaning) : item.reason);
    error->set("run", std::string(toString(row.run)));
    object->set("error", error);
    return object;
}

auto pageJson(const ResultPage &page) -> std::string
{
    JsonArray::Ptr items = new JsonArray;
    for (const ItemResult &item : page.items) {
        items->add(toJson(item));
    }
    JsonObject object;
    object.set("state", toString(page.state));
    object.set("items", items);
    object.set("next", page.next);
    return Json::toText(object);
}

/// A number from the query, or the fallback when it is absent. Null when it is malformed or out of range.
auto queryNumber(const Poco::Net::HTTPServerRequest &request, const std::string &name, std::int64_t fallback, std::int64_t lowest)
    -> std::optional<std::int64_t>
{
    for (const auto &[key, value] : Poco::URI(request.getURI()).getQueryParameters()) {
        std::int64_t number = 0;
        if (key == name) {
            return absl::SimpleAtoi(value, &number) && number >= lowest ? std::optional<std::int64_t>(number) : std::nullopt;
        }
    }
    return fallback;
}

/// "KEY" or "KEY/ACTION" after the prefix.
auto partsOf(const Poco::Net::HTTPServerRequest &request) -> std::vector<std::string>
{
    const std::string path = HttpReply::pathOf(request);
    return absl::StrSplit(path.substr(std::string_view(JOB_PREFIX).size()), '/');
}

auto sendJob(Poco::Net::HTTPServerResponse &response, const std::variant<BatchJob, RequestError> &result, int status) -> void
{
    if (const auto *error = std::get_if<RequestError>(&result)) {
        HttpReply::sendError(response, *error);
        return;
    }
    HttpReply::sendJson(response, status, statusJson(std::get<BatchJob>(result)));
}

struct AllowanceVisitor
{
    auto operator()(const Admitted &) const -> std::optional<RequestError>
    {
        return std::nullopt;
    }
    auto operator()(const OverAllowance &decision) const -> std::optional<RequestError>
    {
        return RequestError { ResultCode::AllowanceExceeded, {}, decision.retryAfterSeconds };
    }
    auto operator()(const ForwardToHome &) const -> std::optional<RequestError>
    {
        return RequestError { ResultCode::AllowanceUnavailable, "submissions are not relayed", 1 };
    }
    auto operator()(const AllowanceUnavailable &decision) const -> std::optional<RequestError>
    {
        return RequestError { ResultCode::AllowanceUnavailable, decision.reason, 1 };
    }
};

} // namespace

auto parseSubmission(const std::string &text, const std::string &team, const Configuration &configuration)
    -> std::variant<JobSubmission, RequestError>
{
    const auto object = Json::parseObject(text, Json::MAXIMUM_DOCUMENT_BYTES);
    if (!object.ok()) {
        return RequestError { ResultCode::MalformedJson, std::string(object.status().message()) };
    }
    JobSubmission submission;
    submission.team = team;
    std::string due;
    absl::Status status;
    Json::assign(Json::requireString(**object, "job_key"), submission.jobKey, status);
    Json::assign(Json::requireString(**object, "class"), submission.serviceClass, status);
    Json::assign(Json::optionalString(**object, "model", ""), submission.model, status);
    Json::assign(Json::optionalString(**object, "path", ""), submission.path, status);
    Json::assign(Json::requireString(**object, "due"), due, status);
    Json::assign(Json::optionalBool(**object, "repeatable", true), submission.repeatable, status);
    if (!status.ok()) {
        return invalid(std::string(status.message()));
    }
    if (!isJobKey(submission.jobKey)) {
        return invalid(absl::StrCat("\"job_key\" must have 1 to ", MAXIMUM_NAME_BYTES, " letters, digits, '-', '_', '.' or ':'"));
    }
    if (!isHeaderSafe(submission.path)) {
        return invalid("\"path\" has characters that a request path cannot carry");
    }
    const auto time = parseWallTime(due);
    if (!time.ok()) {
        return invalid(absl::StrCat("\"due\": ", std::string(time.status().message())));
    }
    submission.due = *time;
    if (auto error = checkTarget(configuration, submission)) {
        return *std::move(error);
    }
    if (auto error = readItems(**object, submission)) {
        return *std::move(error);
    }
    return submission;
}

JobRoutes::JobRoutes(JobStore &store, const FleetState &fleet, Allowance allowance)
    : store_(store)
    , fleet_(fleet)
    , allowance_(std::move(allowance))
{
}

auto JobRoutes::addCallerRoutes(Router &router) -> void
{
    router.add("POST", JOBS_PATH, [this](Request &request, Response &response) { submit(request, response); });
    router.addPrefix("GET", JOB_PREFIX, [this](Request &request, Response &response) { read(request, response); });
    router.addPrefix("POST", JOB_PREFIX, [this](Request &request, Response &response) { change(request, response); });
}

auto JobRoutes::addPeerRoutes(Router &router, BatchDispatcher &dispatcher) -> void
{
    router.add("POST", "/peers/yield", [&dispatcher](Request &request, Response &response) {
        const auto body = HttpReply::readBody(request, MAXIMUM_SMALL_BODY_BYTES);
        if (const auto *error = std::get_if<RequestError>(&body)) {
            HttpReply::sendError(response, *error);
            return;
        }
        const auto object = Json::parseObject(std::get<std::string>(body));
        const auto upstream = object.ok() ? Json::requireString(**object, "upstream") : object.status();
        if (!upstream.ok()) {
            HttpReply::sendError(response, { ResultCode::InvalidField, std::string(upstream.status().message()) });
            return;
        }
        dispatcher.preempt(*upstream);
        HttpReply::sendJson(response, Poco::Net::HTTPResponse::HTTP_OK, "{}");
    });
}

auto JobRoutes::askAllowance(const std::string &team) const -> std::optional<RequestError>
{
    return std::visit(AllowanceVisitor {}, allowance_(team, Clock::now()));
}

auto JobRoutes::readSubmission(Request &request, const std::string &team) -> std::variant<JobSubmission, RequestError>
{
    const auto body = HttpReply::readBody(request, MAXIMUM_SUBMISSION_BYTES);
    if (const auto *error = std::get_if<RequestError>(&body)) {
        return *error;
    }
    const std::lock_guard lock(parsing_);
    return parseSubmission(std::get<std::string>(body), team, fleet_.current()->configuration);
}

auto JobRoutes::submit(Request &request, Response &response) -> void
{
    const auto caller = authenticate(request, fleet_, Clock::now());
    if (const auto *error = std::get_if<RequestError>(&caller)) {
        // The body was not read, so the connection cannot be used again.
        response.setKeepAlive(false);
        HttpReply::sendError(response, *error);
        return;
    }
    const std::string &team = std::get<Caller>(caller).team;
    const auto submission = readSubmission(request, team);
    if (const auto *error = std::get_if<RequestError>(&submission)) {
        HttpReply::sendError(response, *error);
        return;
    }
    if (const auto error = askAllowance(team)) {
        HttpReply::sendError(response, *error);
        return;
    }
    sendJob(response, store_.accept(std::get<JobSubmission>(submission)), ACCEPTED);
}

auto JobRoutes::read(Request &request, Response &response) -> void
{
    const auto caller = authenticate(request, fleet_, Clock::now());
    if (const auto *error = std::get_if<RequestError>(&caller)) {
        HttpReply::sendError(response, *error);
        return;
    }
    const std::string &team = std::get<Caller>(caller).team;
    const std::vector<std::string> parts = partsOf(request);
    if (parts.size() == 1) {
        sendJob(response, store_.status(team, parts[0]), Poco::Net::HTTPResponse::HTTP_OK);
        return;
    }
    if (parts.size() != 2 || parts[1] != "results") {
        HttpReply::sendError(response, { ResultCode::RouteUnknown, {} });
        return;
    }
    const auto from = queryNumber(request, "from", 0, 0);
    const auto limit = queryNumber(request, "limit", DEFAULT_PAGE_ITEMS, 1);
    if (!from || !limit) {
        HttpReply::sendError(response, { ResultCode::InvalidField, "\"from\" must be 0 or more and \"limit\" 1 or more" });
        return;
    }
    const auto page = store_.results(team, parts[0], *from, std::min(*limit, MAXIMUM_PAGE_ITEMS));
    if (const auto *error = std::get_if<RequestError>(&page)) {
        HttpReply::sendError(response, *error);
        return;
    }
    HttpReply::sendJson(response, Poco::Net::HTTPResponse::HTTP_OK, pageJson(std::get<ResultPage>(page)));
}

auto JobRoutes::change(Request &request, Response &response) -> void
{
    const auto caller = authenticate(request, fleet_, Clock::now());
    const auto body = HttpReply::readBody(request, MAXIMUM_SMALL_BODY_BYTES);
    for (const auto *error : { std::get_if<RequestError>(&caller), std::get_if<RequestError>(&body) }) {
        if (error != nullptr) {
            HttpReply::sendError(response, *error);
            return;
        }
    }
    const std::vector<std::string> parts = partsOf(request);
    if (parts.size() != 2 || parts[1] != "cancel") {
        HttpReply::sendError(response, { ResultCode::RouteUnknown, {} });
        return;
    }
    sendJob(response, store_.cancel(std::get<Caller>(caller).team, parts[0]), Poco::Net::HTTPResponse::HTTP_OK);
}

} // namespace poplardock
