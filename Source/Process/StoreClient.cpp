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

auto pathOf(const std::string &kind, const std::string &name) -> std::string
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
    JsonObject whole;
    whole.set("metadata", metadata);
    whole.set("spec", *spec);
    return Json::toText(whole);
}

struct DecodedObject
{
    StoredObject object;
    std::string writerToken;
};

auto decode(const std::string &kind, const JsonObject &whole) -> absl::StatusOr<DecodedObject>
{
    const auto metadata = Json::requireObject(whole, "metadata");
    const auto spec = Json::requireObject(whole, "spec");
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

auto decodeText(const std::string &kind, const std::string &text) -> absl::StatusOr<DecodedObject>
{
    const auto whole = Json::parseObject(text);
    if (!whole.ok()) {
        return absl::UnavailableError("the store sent malformed JSON");
    }
    return decode(kind, **whole);
}

auto statusOf(int httpStatus, bool isCreate, const std::string &what) -> absl::Status
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

/// One line of a watch; nullopt for a bookmark.
auto changeFromLine(const std::string &kind, const std::string &line) -> absl::StatusOr<std::optional<StoredObject>>
{
    const auto event = Json::parseObject(line);
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

auto StoreClient::nextToken() -> std::string
{
    return absl::StrCat(writer_, "-", ++tokens_);
}

auto StoreClient::call(const JsonClient::Call &request, bool isWrite) -> absl::StatusOr<Answer>
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
    if (const auto *answer = std::get_if<HttpResponse>(&result)) {
        if (answer->status >= 500 || answer->status == 429) {
            ++failures_;
            breaker_.recordFailure(Clock::now());
        } else {
            breaker_.recordSuccess();
        }
        return Answer { answer->status, answer->body };
    }
    ++failures_;
    breaker_.recordFailure(Clock::now());
    const auto &failure = std::get<CallFailure>(result);
    if (isWrite && failure.mayHaveRun) {
        return absl::UnknownError(absl::StrCat("the store's answer was lost: ", failure.reason));
    }
    return absl::UnavailableError(absl::StrCat("the store cannot be reached: ", failure.reason));
}

auto StoreClient::get(const std::string &kind, const std::string &name) -> absl::StatusOr<StoredObject>
{
    const auto answer = call({ "GET", pathOf(kind, name), {}, {}, CALL_TIMEOUT }, false);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200) {
        return statusOf(answer->status, false, absl::StrCat(kind, "/", name));
    }
    auto decoded = decodeText(kind, answer->body);
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
    const auto answer = call({ "GET", absl::StrCat(API_ROOT, kind, selector), {}, {}, CALL_TIMEOUT }, false);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200) {
        return statusOf(answer->status, false, kind);
    }
    const auto whole = Json::parseObject(answer->body);
    const auto items = whole.ok() ? Json::optionalObjects(**whole, "items") : absl::StatusOr<std::vector<JsonObject::Ptr>>(whole.status());
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
    StoredObject fresh = object;
    fresh.version = 0;
    return write("POST", absl::StrCat(API_ROOT, object.kind), fresh);
}

auto StoreClient::update(const StoredObject &object) -> absl::StatusOr<StoredObject>
{
    if (object.version == 0) {
        return absl::InvalidArgumentError("an update needs the version that was read");
    }
    return write("PUT", pathOf(object.kind, object.name), object);
}

auto StoreClient::write(const std::string &method, const std::string &path, const StoredObject &object) -> absl::StatusOr<StoredObject>
{
    const std::string token = nextToken();
    const auto body = encode(object, token);
    if (!body.ok()) {
        return body.status();
    }
    const auto answer = call({ method, path, *body, {}, CALL_TIMEOUT }, true);
    if (!answer.ok()) {
        return absl::IsUnknown(answer.status()) ? resolveWrite(object, token, answer.status()) : answer.status();
    }
    if (answer->status >= 500) {
        // A proxy in front of the store may answer 5xx although the write took effect.
        return resolveWrite(object, token, absl::UnknownError(absl::StrCat("the store answered ", answer->status)));
    }
    if (answer->status != 200 && answer->status != 201) {
        return statusOf(answer->status, method == "POST", absl::StrCat(object.kind, "/", object.name));
    }
    auto decoded = decodeText(object.kind, answer->body);
    if (!decoded.ok()) {
        return resolveWrite(object, token, absl::UnknownError("the store's answer to a write is malformed"));
    }
    return std::move(decoded->object);
}

auto StoreClient::resolveWrite(const StoredObject &object, const std::string &token, const absl::Status &lost)
    -> absl::StatusOr<StoredObject>
{
    const auto answer = call({ "GET", pathOf(object.kind, object.name), {}, {}, CALL_TIMEOUT }, false);
    if (!answer.ok() || (answer->status != 200 && answer->status != 404)) {
        return lost;
    }
    if (answer->status == 404) {
        // A create that is still on its way could take effect after this read.
        return object.version == 0 ? absl::StatusOr<StoredObject>(lost) : absl::NotFoundError("the object does not exist");
    }
    auto decoded = decodeText(object.kind, answer->body);
    if (!decoded.ok()) {
        return lost;
    }
    ++resolvedWrites_;
    if (decoded->writerToken == token) {
        return std::move(decoded->object);
    }
    if (object.version == 0) {
        return absl::AlreadyExistsError(absl::StrCat(object.kind, "/", object.name, " exists"));
    }
    if (decoded->object.version == object.version) {
        // The write has not taken effect yet and may still be on its way.
        return lost;
    }
    // NOTE: The version moved on under another token. Either this write lost, or it took effect and was
    // replaced since. Callers that must tell the two apart keep a trace of the write in the spec.
    return absl::AbortedError(absl::StrCat(object.kind, "/", object.name, " has changed"));
}

auto StoreClient::remove(const std::string &kind, const std::string &name, std::uint64_t version) -> absl::Status
{
    const std::string path = absl::StrCat(pathOf(kind, name), "?resourceVersion=", version);
    const auto answer = call({ "DELETE", path, {}, {}, CALL_TIMEOUT }, true);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status == 200 || answer->status == 404) {
        return absl::OkStatus();
    }
    return statusOf(answer->status, false, absl::StrCat(kind, "/", name));
}

auto StoreClient::listVms() -> absl::StatusOr<std::map<std::string, std::string>>
{
    const auto answer = call({ "GET", VM_LIST_PATH, {}, {}, CALL_TIMEOUT }, false);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200) {
        return statusOf(answer->status, false, "the VM list");
    }
    const auto whole = Json::parseObject(answer->body);
    const auto items = whole.ok() ? Json::optionalObjects(**whole, "items") : absl::StatusOr<std::vector<JsonObject::Ptr>>(whole.status());
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
            return statusOf(response.getStatus(), false, path);
        }
        bool isConfirmed = false;
        std::string line;
        while (std::getline(stream, line)) {
            auto change = changeFromLine(kind, line);
            if (!change.ok() || change->has_value()) {
                return change;
            }
            isConfirmed = true;
        }
        // A connection that broke gives no bookmark and confirms nothing.
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
        pathOf(kind, name), "?watch=1&allowWatchBookmarks=true&timeoutSeconds=", WATCH_SECONDS, "&resourceVersion=", knownVersion);
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
