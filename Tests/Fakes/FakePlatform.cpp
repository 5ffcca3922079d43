#include "Fakes/FakePlatform.h"

#include "Connection/HttpReply.h"
#include "Process/Clock.h"

#include <Poco/URI.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <ostream>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_OBJECT_BYTES = 1U << 20U;
constexpr std::size_t MAXIMUM_BODY_BYTES = 4U << 20U;
constexpr const char *API_ROOT = "/apis/poplardock/v1/";

auto queryOf(const std::string &uri) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    for (const auto &[key, value] : Poco::URI(uri).getQueryParameters()) {
        query[key] = value;
    }
    return query;
}

auto versionIn(const std::map<std::string, std::string> &query) -> std::uint64_t
{
    std::uint64_t version = 0;
    const auto found = query.find("resourceVersion");
    return found != query.end() && absl::SimpleAtoi(found->second, &version) ? version : 0;
}

auto hasLabels(const JsonObject &whole, const std::string &selector) -> bool
{
    const JsonObject::Ptr labels = whole.getObject("metadata")->getObject("labels");
    for (const auto &term : absl::StrSplit(selector, ',', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(term, absl::MaxSplits('=', 1));
        if (labels.isNull() || labels->optValue<std::string>(pair.first, "") != pair.second) {
            return false;
        }
    }
    return true;
}

auto eventLine(const char *type, const JsonObject::Ptr &object) -> std::string
{
    JsonObject event;
    event.set("type", type);
    event.set("object", object);
    return Json::toText(event) + "\n";
}

auto bookmarkLine(std::uint64_t version) -> std::string
{
    JsonObject::Ptr metadata = new JsonObject;
    metadata->set("resourceVersion", std::to_string(version));
    JsonObject::Ptr object = new JsonObject;
    object->set("metadata", metadata);
    return eventLine("BOOKMARK", object);
}

auto cutOff(Poco::Net::HTTPServerResponse &response) -> void
{
    // POCO sends nothing for a handler that returns without an answer and closes the connection.
    response.setKeepAlive(false);
}

} // namespace

auto FakePlatform::start(const std::string &address) -> absl::StatusOr<std::unique_ptr<FakePlatform>>
{
    auto platform = std::unique_ptr<FakePlatform>(new FakePlatform);
    FakePlatform *self = platform.get();
    auto service
        = HttpService::start(address, { 512, 512 }, [self](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
              self->handle(request, response);
          });
    if (!service.ok()) {
        return service.status();
    }
    platform->service_ = *std::move(service);
    return platform;
}

auto FakePlatform::address() const -> std::string
{
    return service_->address();
}

auto FakePlatform::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    auto read = HttpReply::readBody(request, MAXIMUM_BODY_BYTES);
    if (std::holds_alternative<RequestError>(read)) {
        HttpReply::sendError(response, std::get<RequestError>(read));
        return;
    }
    const auto &body = std::get<std::string>(read);
    const std::string path = HttpReply::pathOf(request);
    const std::string method = request.getMethod();
    if (!absl::StartsWith(path, "/apis/") || (path == "/apis/platform/v1/vms" && method == "PUT")) {
        const Reply reply = handleControl(method, path, body);
        HttpReply::sendJson(response, reply.status, reply.body);
        return;
    }
    const auto query = queryOf(request.getURI());
    const std::vector<std::string> parts = absl::StrSplit(absl::StripPrefix(path, API_ROOT), absl::MaxSplits('/', 1));
    const std::string kind = absl::StartsWith(path, API_ROOT) ? parts.front() : "vms";
    const std::string name = absl::StartsWith(path, API_ROOT) && parts.size() > 1 ? parts.back() : "";
    const bool isWatch = query.contains("watch");
    const bool isWrite = method != "GET";
    Faults faults;
    {
        const std::lock_guard lock(mutex_);
        ++calls_[absl::StrCat(isWatch ? "WATCH" : method, " ", kind)];
        faults = faults_;
    }
    if (faults.delayMs > 0) {
        std::this_thread::sleep_for(Milliseconds(faults.delayMs));
    }
    if (faults.outage) {
        cutOff(response);
        return;
    }
    if (isWatch) {
        watch(kind, name, query, response);
        return;
    }
    if (isWrite && faults.refuseWrites) {
        HttpReply::sendJson(response, 503, "{}");
        return;
    }
    const Reply reply = handleObjects(method, kind, name, query, body);
    {
        const std::lock_guard lock(mutex_);
        if (isWrite && faults_.loseWriteAnswers > 0) {
            --faults_.loseWriteAnswers;
            cutOff(response);
            return;
        }
        if (faults_.outage) {
            cutOff(response);
            return;
        }
    }
    HttpReply::sendJson(response, reply.status, reply.body);
}

auto FakePlatform::handleControl(const std::string &method, const std::string &path, const std::string &body) -> Reply
{
    if (path == "/faults" && method == "POST") {
        const absl::Status status = setFaults(body);
        return status.ok() ? Reply { 200, "{}" } : Reply { 400, "{}" };
    }
    const std::lock_guard lock(mutex_);
    if (path == "/apis/platform/v1/vms") {
        vms_ = body;
        return { 200, "{}" };
    }
    if (path == "/stats") {
        JsonObject stats;
        for (const auto &[key, count] : calls_) {
            stats.set(key, count);
        }
        return { 200, Json::toText(stats) };
    }
    return { 404, "{}" };
}

auto FakePlatform::setFaults(const std::string &json) -> absl::Status
{
    const auto object = Json::parseObject(json);
    if (!object.ok()) {
        return object.status();
    }
    const std::lock_guard lock(mutex_);
    faults_.outage = (*object)->optValue("outage", faults_.outage);
    faults_.refuseWrites = (*object)->optValue("refuse_writes", faults_.refuseWrites);
    faults_.staleReads = (*object)->optValue("stale_reads", faults_.staleReads);
    faults_.delayMs = (*object)->optValue("delay_ms", faults_.delayMs);
    faults_.loseWriteAnswers = (*object)->optValue("lose_write_answers", faults_.loseWriteAnswers);
    changed_.notify_all();
    return absl::OkStatus();
}

auto FakePlatform::callCount(const std::string &prefix) -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    std::uint64_t sum = 0;
    for (const auto &[key, count] : calls_) {
        sum += absl::StartsWith(key, prefix) ? count : 0;
    }
    return sum;
}

auto FakePlatform::handleObjects(const std::string &method,
                                 const std::string &kind,
                                 const std::string &name,
                                 const std::map<std::string, std::string> &query,
                                 const std::string &body) -> Reply
{
    const std::lock_guard lock(mutex_);
    if (kind == "vms") {
        return { 200, vms_ };
    }
    if (method == "GET") {
        return name.empty() ? list(kind, query) : read(kind, name);
    }
    if (method == "DELETE") {
        return erase(kind, name, query);
    }
    const auto whole = Json::parseObject(body);
    if (!whole.ok() || body.size() > MAXIMUM_OBJECT_BYTES) {
        return { whole.ok() ? 413 : 400, "{}" };
    }
    return method == "POST" ? create(kind, *whole) : replace(kind, name, *whole);
}

auto FakePlatform::create(const std::string &kind, const JsonObject::Ptr &whole) -> Reply
{
    JsonObject::Ptr metadata = whole->getObject("metadata");
    const std::string name = metadata->getValue<std::string>("name");
    auto &objects = objects_[kind];
    if (objects.contains(name)) {
        return { 409, "{}" };
    }
    metadata->set("resourceVersion", std::to_string(++lastVersion_));
    objects[name] = { lastVersion_, whole, nullptr };
    changed_.notify_all();
    return { 201, Json::toText(*whole) };
}

auto FakePlatform::replace(const std::string &kind, const std::string &name, const JsonObject::Ptr &whole) -> Reply
{
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return { 404, "{}" };
    }
    JsonObject::Ptr metadata = whole->getObject("metadata");
    if (metadata->optValue<std::string>("resourceVersion", "") != std::to_string(found->second.version)) {
        return { 409, "{}" };
    }
    metadata->set("resourceVersion", std::to_string(++lastVersion_));
    found->second = { lastVersion_, whole, found->second.whole };
    changed_.notify_all();
    return { 200, Json::toText(*whole) };
}

auto FakePlatform::erase(const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query) -> Reply
{
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return { 404, "{}" };
    }
    const std::uint64_t version = versionIn(query);
    if (version != 0 && version != found->second.version) {
        return { 409, "{}" };
    }
    objects.erase(found);
    changed_.notify_all();
    return { 200, "{}" };
}

auto FakePlatform::read(const std::string &kind, const std::string &name) -> Reply
{
    const auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return { 404, "{}" };
    }
    const bool isStale = faults_.staleReads && !found->second.previous.isNull();
    return { 200, Json::toText(isStale ? *found->second.previous : *found->second.whole) };
}

auto FakePlatform::list(const std::string &kind, const std::map<std::string, std::string> &query) -> Reply
{
    const auto selector = query.find("labelSelector");
    JsonArray::Ptr items = new JsonArray;
    for (const auto &[name, object] : objects_[kind]) {
        if (selector == query.end() || hasLabels(*object.whole, selector->second)) {
            items->add(object.whole);
        }
    }
    JsonObject whole;
    whole.set("items", items);
    return { 200, Json::toText(whole) };
}

auto FakePlatform::watch(const std::string &kind,
                         const std::string &name,
                         const std::map<std::string, std::string> &query,
                         Poco::Net::HTTPServerResponse &response) -> void
{
    const std::uint64_t known = versionIn(query);
    std::int64_t seconds = 1;
    if (const auto found = query.find("timeoutSeconds"); found != query.end()) {
        static_cast<void>(absl::SimpleAtoi(found->second, &seconds));
    }
    const TimePoint deadline = Clock::now() + std::chrono::seconds(seconds);
    std::string line;
    {
        std::unique_lock lock(mutex_);
        const auto isNews = [&] {
            const auto &objects = objects_[kind];
            const auto found = objects.find(name);
            return faults_.outage || (found != objects.end() && found->second.version != known);
        };
        const bool hasNews = changed_.wait_until(lock, deadline, isNews);
        if (faults_.outage) {
            cutOff(response);
            return;
        }
        const Object object = objects_[kind][name];
        const bool isStale = hasNews && faults_.staleReads && !object.previous.isNull();
        line = hasNews ? eventLine("MODIFIED", isStale ? object.previous : object.whole) : bookmarkLine(known);
        if (object.version == 0) {
            objects_[kind].erase(name);
        }
    }
    response.setChunkedTransferEncoding(true);
    response.setContentType("application/json");
    response.setKeepAlive(false);
    response.send() << line << std::flush;
}

} // namespace poplardock
