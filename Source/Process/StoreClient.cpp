#include "Process/StoreClient.h"

#include "Process/Json.h"
#include "Version/MemberTable.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <istream>

namespace poplardock {

namespace {

constexpr Milliseconds CALL_TIMEOUT { 2000 };
constexpr int WATCH_SECONDS = 1;
constexpr const char *API_ROOT = "/apis/poplardock/v1/";
constexpr const char *VM_LIST_PATH = "/apis/platform/v1/vms";

auto objectPath(const std::string &kind, const std::string &name) -> std::string
{
    return absl::StrCat(API_ROOT, kind, "/", name);
}

auto encode(const StoredObject &object, const std::string &token) -> absl::StatusOr<std::string>
{
    const auto spec = Json::parseObject(object.spec);
    if (!spec.ok()) {
        return spec.status();
    }
    JsonObject::Ptr labels = new JsonObject;
    for (const auto &[key, value] : object.labels) {
        labels->set(key, value);
    }
    JsonObject::Ptr annotations = new JsonObject;
    annotations->set("writer", token);
    JsonObject::Ptr metadata = new JsonObject;
    metadata->set("name", object.name);
    metadata->set("labels", labels);
    metadata->set("annotations", annotations);
    if (object.version != 0) {
        metadata->set("resourceVersion", std::to_string(object.version));
    }
    JsonObject document;
    document.set("metadata", metadata);
    document.set("spec", *spec);
    return Json::toText(document);
}

struct DecodedObject
{
    StoredObject object;
    std::string writerToken;
};

auto decode(const std::string &kind, const JsonObject &document) -> absl::StatusOr<DecodedObject>
{
    const auto metadata = Json::requireObject(document, "metadata");
    const auto spec = Json::requireObject(document, "spec");
    if (!metadata.ok() || !spec.ok()) {
        return absl::UnavailableError("the store sent a malformed object");
    }
    const auto name = Json::requireString(**metadata, "name");
    const auto version = Json::requireString(**metadata, "resourceVersion");
    DecodedObject decoded;
    if (!name.ok() || !version.ok() || !absl::SimpleAtoi(*version, &decoded.object.version)) {
        return absl::UnavailableError("the store sent malformed metadata");
    }
    decoded.object.kind = kind;
    decoded.object.name = *name;
    decoded.object.spec = Json::toText(**spec);
    const JsonObject::Ptr labels = (*metadata)->getObject("labels");
    if (!labels.isNull()) {
        for (const auto &[key, value] : *labels) {
            decoded.object.labels.emplace(key, value.toString());
        }
    }
    const JsonObject::Ptr annotations = (*metadata)->getObject("annotations");
    if (!annotations.isNull()) {
        decoded.writerToken = annotations->optValue<std::string>("writer", "");
    }
    return decoded;
}

auto parseAndDecode(const std::string &kind, const std::string &text) -> absl::StatusOr<DecodedObject>
{
    const auto document = Json::parseObject(text, Json::MAXIMUM_DOCUMENT_BYTES);
    if (!document.ok()) {
        return absl::UnavailableError("the store sent malformed JSON");
    }
    return decode(kind, **document);
}

auto statusFromHttp(int httpStatus, bool isCreate, const std::string &what) -> absl::Status
{
    if (httpStatus == 404) {
        return absl::NotFoundError(absl::StrCat(what, " does not exist"));
    }
    if (httpStatus == 409) {
        return isCreate ? absl::AlreadyExistsError(absl::StrCat(what, " exists")) : absl::AbortedError(absl::StrCat(what, " has changed"));
    }
    if (httpStatus >= 400 && httpStatus < 500 && httpStatus != 429) {
        return absl::InvalidArgumentError(absl::StrCat("the store refused ", what, " with status ", httpStatus));
    }
    return absl::UnavailableError(absl::StrCat("the store answered ", what, " with status ", httpStatus));
}

/// Decodes one line of a watch; nullopt for a bookmark. NotFound when the object was deleted.
auto decodeWatchEvent(const std::string &kind, const std::string &line) -> absl::StatusOr<std::optional<StoredObject>>
{
    const auto event = Json::parseObject(line, Json::MAXIMUM_DOCUMENT_BYTES);
    if (!event.ok()) {
        return event.status();
    }
    const auto type = Json::requireString(**event, "type");
    const auto body = Json::requireObject(**event, "object");
    if (!type.ok() || !body.ok()) {
        return absl::UnavailableError("a watch event lacks type or object");
    }
    if (*type == "BOOKMARK") {
        return std::optional<StoredObject>();
    }
    if (*type == "DELETED") {
        return absl::NotFoundError(absl::StrCat("the watched object of kind ", kind, " was deleted"));
    }
    auto decoded = decode(kind, **body);
    if (!decoded.ok()) {
        return decoded.status();
    }
    return std::optional<StoredObject>(std::move(decoded->object));
}

} // namespace

StoreClient::StoreClient(const std::string &address, std::string writer, Limits limits)
    : client_(address)
    , writer_(std::move(writer))
    , budget_(limits.callsPerSecond, limits.burst, Clock::now())
    , breaker_(stableHash(writer_))
{
}

auto StoreClient::makeWriterToken() -> std::string
{
    return absl::StrCat(writer_, "-", ++lastTokenNumber_);
}

auto StoreClient::call(const JsonClient::Call &request, bool isWrite) -> absl::StatusOr<Response>
{
    const TimePoint now = Clock::now();
    if (!budget_.tryAcquire(now)) {
        return absl::ResourceExhaustedError("the budget of store calls is used up");
    }
    if (!breaker_.allow(now)) {
        return absl::UnavailableError("the store failed repeatedly; calls are suspended");
    }
    ++(isWrite ? writes_ : reads_);
    const CallResult result = client_.call(request);
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        if (response->status >= 500 || response->status == 429) {
            ++failures_;
            breaker_.recordFailure(Clock::now());
        } else {
            breaker_.recordSuccess();
        }
        return Response { response->status, response->body };
    }
    ++failures_;
    breaker_.recordFailure(Clock::now());
    const auto &failure = std::get<CallFailure>(result);
    if (isWrite && failure.mayHaveRun) {
        return absl::UnknownError(absl::StrCat("the store's response to a write was lost: ", failure.reason));
    }
    return absl::UnavailableError(absl::StrCat("the store cannot be reached: ", failure.reason));
}

auto StoreClient::get(const std::string &kind, const std::string &name) -> absl::StatusOr<StoredObject>
{
    const auto response = call({ "GET", objectPath(kind, name), {}, {}, CALL_TIMEOUT }, false);
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != 200) {
        return statusFromHttp(response->status, false, absl::StrCat(kind, "/", name));
    }
    auto decoded = parseAndDecode(kind, response->body);
    if (!decoded.ok()) {
        return decoded.status();
    }
    return std::move(decoded->object);
}

auto StoreClient::list(const std::string &kind, const std::map<std::string, std::string> &labels)
    -> absl::StatusOr<std::vector<StoredObject>>
{
    std::string selector;
    for (const auto &[key, value] : labels) {
        absl::StrAppend(&selector, selector.empty() ? "?labelSelector=" : ",", key, "=", value);
    }
    const auto response = call({ "GET", absl::StrCat(API_ROOT, kind, selector), {}, {}, CALL_TIMEOUT }, false);
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != 200) {
        return statusFromHttp(response->status, false, kind);
    }
    const auto document = Json::parseObject(response->body, Json::MAXIMUM_DOCUMENT_BYTES);
    const auto items
        = document.ok() ? Json::optionalObjects(**document, "items") : absl::StatusOr<std::vector<JsonObject::Ptr>>(document.status());
    if (!items.ok()) {
        return absl::UnavailableError("the store sent a malformed list");
    }
    std::vector<StoredObject> objects;
    for (const JsonObject::Ptr &item : *items) {
        auto decoded = decode(kind, *item);
        if (!decoded.ok()) {
            return decoded.status();
        }
        objects.push_back(std::move(decoded->object));
    }
    return objects;
}

auto StoreClient::create(const StoredObject &object) -> absl::StatusOr<StoredObject>
{
    StoredObject newObject = object;
    newObject.version = 0;
    return write("POST", absl::StrCat(API_ROOT, object.kind), newObject);
}

auto StoreClient::update(const StoredObject &object) -> absl::StatusOr<StoredObject>
{
    if (object.version == 0) {
        return absl::InvalidArgumentError("an update requires the version that was read");
    }
    return write("PUT", objectPath(object.kind, object.name), object);
}

auto StoreClient::write(const std::string &method, const std::string &path, const StoredObject &object) -> absl::StatusOr<StoredObject>
{
    const std::string token = makeWriterToken();
    const auto body = encode(object, token);
    if (!body.ok()) {
        return body.status();
    }
    const auto response = call({ method, path, *body, {}, CALL_TIMEOUT }, true);
    if (!response.ok()) {
        return absl::IsUnknown(response.status()) ? resolveUncertainWrite(object, token, response.status()) : response.status();
    }
    if (response->status >= 500) {
        // A proxy in front of the store may return 5xx although the write took effect.
        return resolveUncertainWrite(object, token, absl::UnknownError(absl::StrCat("the store answered ", response->status)));
    }
    if (response->status != 200 && response->status != 201) {
        return statusFromHttp(response->status, method == "POST", absl::StrCat(object.kind, "/", object.name));
    }
    auto decoded = parseAndDecode(object.kind, response->body);
    if (!decoded.ok()) {
        return resolveUncertainWrite(object, token, absl::UnknownError("the store's response to a write is malformed"));
    }
    return std::move(decoded->object);
}

auto StoreClient::resolveUncertainWrite(const StoredObject &object, const std::string &token, const absl::Status &unresolved)
    -> absl::StatusOr<StoredObject>
{
    const auto response = call({ "GET", objectPath(object.kind, object.name), {}, {}, CALL_TIMEOUT }, false);
    if (!response.ok() || (response->status != 200 && response->status != 404)) {
        return unresolved;
    }
    if (response->status == 404) {
        // A create that is still in flight could take effect after this read.
        return object.version == 0 ? absl::StatusOr<StoredObject>(unresolved) : absl::NotFoundError("the object does not exist");
    }
    auto decoded = parseAndDecode(object.kind, response->body);
    if (!decoded.ok()) {
        return unresolved;
    }
    ++resolvedWrites_;
    if (decoded->writerToken == token) {
        return std::move(decoded->object);
    }
    if (object.version == 0) {
        return absl::AlreadyExistsError(absl::StrCat(object.kind, "/", object.name, " exists"));
    }
    if (decoded->object.version == object.version) {
        // The write has not taken effect yet and may still be in flight.
        return unresolved;
    }
    // NOTE: The object has a newer version with another writer's token. Either this write conflicted, or it took
    // effect and was overwritten since. Callers that must tell the two apart record the write in the spec.
    return absl::AbortedError(absl::StrCat(object.kind, "/", object.name, " has changed"));
}

auto StoreClient::remove(const std::string &kind, const std::string &name, std::uint64_t version) -> absl::Status
{
    const std::string path = absl::StrCat(objectPath(kind, name), "?resourceVersion=", version);
    const auto response = call({ "DELETE", path, {}, {}, CALL_TIMEOUT }, true);
    if (!response.ok()) {
        return response.status();
    }
    if (response->status == 200 || response->status == 404) {
        return absl::OkStatus();
    }
    return statusFromHttp(response->status, false, absl::StrCat(kind, "/", name));
}

auto StoreClient::listVms() -> absl::StatusOr<std::map<std::string, std::string>>
{
    const auto response = call({ "GET", VM_LIST_PATH, {}, {}, CALL_TIMEOUT }, false);
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != 200) {
        return statusFromHttp(response->status, false, "the VM list");
    }
    const auto document = Json::parseObject(response->body, Json::MAXIMUM_DOCUMENT_BYTES);
    const auto items
        = document.ok() ? Json::optionalObjects(**document, "items") : absl::StatusOr<std::vector<JsonObject::Ptr>>(document.status());
    if (!items.ok()) {
        return absl::UnavailableError("the platform sent a malformed VM list");
    }
    std::map<std::string, std::string> vms;
    for (const JsonObject::Ptr &item : *items) {
        vms.emplace(item->optValue<std::string>("name", ""), item->optValue<std::string>("state", "live"));
    }
    return vms;
}

auto StoreClient::watchOnce(const std::string &kind, const std::string &path) -> absl::StatusOr<std::optional<StoredObject>>
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(client_.address()) };
        session.setTimeout(Poco::Timespan(std::chrono::microseconds(CALL_TIMEOUT).count()));
        Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(false);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return statusFromHttp(response.getStatus(), false, path);
        }
        bool isConfirmed = false;
        std::string line;
        while (std::getline(stream, line)) {
            auto change = decodeWatchEvent(kind, line);
            if (!change.ok() || change->has_value()) {
                return change;
            }
            isConfirmed = true;
        }
        // A broken connection sends no bookmark, so that the object is not confirmed as unchanged.
        return isConfirmed ? absl::StatusOr<std::optional<StoredObject>>(std::nullopt) : absl::UnavailableError("the watch ended early");
    } catch (const Poco::Exception &exception) {
        return absl::UnavailableError(absl::StrCat("the watch failed: ", exception.displayText()));
    }
}

auto StoreClient::awaitChange(const std::string &kind, const std::string &name, std::uint64_t knownVersion)
    -> absl::StatusOr<std::optional<StoredObject>>
{
    const TimePoint now = Clock::now();
    if (!budget_.tryAcquire(now)) {
        return absl::ResourceExhaustedError("the budget of store calls is used up");
    }
    if (!breaker_.allow(now)) {
        return absl::UnavailableError("the store failed repeatedly; calls are suspended");
    }
    ++reads_;
    const std::string path = absl::StrCat(
        objectPath(kind, name), "?watch=1&allowWatchBookmarks=true&timeoutSeconds=", WATCH_SECONDS, "&resourceVersion=", knownVersion);
    auto change = watchOnce(kind, path);
    if (absl::IsUnavailable(change.status())) {
        ++failures_;
        breaker_.recordFailure(Clock::now());
    } else {
        breaker_.recordSuccess();
    }
    return change;
}

auto StoreClient::isSuspended() const -> bool
{
    return breaker_.isOpen();
}

auto StoreClient::callCounts() const -> StoreCallCounts
{
    return { reads_.load(), writes_.load(), failures_.load(), resolvedWrites_.load() };
}

} // namespace poplardock
