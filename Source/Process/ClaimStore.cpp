#include "Process/ClaimStore.h"

#include "Process/Json.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/SHA2Engine.h>
#include <absl/strings/str_cat.h>

#include <sstream>

namespace poplardock {

namespace {

constexpr const char *KIND = "claims";
/// The Base64 text of a body of this size fits into the store's limit of 1 MB per object.
constexpr std::size_t MAXIMUM_RECORDED_BYTES = 256U << 10U;
constexpr int RETRY_AFTER_SECONDS = 1;

/// The length prefixes keep different lists from hashing the same text.
auto hashOf(std::initializer_list<std::string_view> fields) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    for (const std::string_view field : fields) {
        engine.update(absl::StrCat(field.size(), ":"));
        engine.update(field.data(), field.size());
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

auto nameOf(const ClaimRequest &request) -> std::string
{
    const std::string owner = request.team.empty() ? "open" : request.team;
    return absl::StrCat(owner, "-", hashOf({ request.team, request.idempotencyKey }));
}

auto encode(const std::string &bytes) -> std::string
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

auto decode(const std::string &text) -> std::string
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
}

auto unavailable(const std::string &reason) -> RequestError
{
    return { ResultCode::ClaimUnavailable, reason, RETRY_AFTER_SECONDS };
}

} // namespace

ClaimStore::ClaimStore(StoreClient &store)
    : store_(store)
{
}

auto ClaimStore::claim(const ClaimRequest &request) -> std::variant<Claim, RecordedResponse, RequestError>
{
    const std::string requestHash = hashOf({ request.method, request.path, request.body });
    JsonObject spec;
    spec.set("request", requestHash);
    StoredObject object { KIND, nameOf(request), 0, {}, Json::toText(spec) };
    auto created = store_.create(object);
    if (created.ok()) {
        return Claim { *std::move(created) };
    }
    if (absl::IsAlreadyExists(created.status())) {
        return readClaim(object.name, requestHash);
    }
    return unavailable("the idempotency key could not be claimed; the request was not sent");
}

auto ClaimStore::readClaim(const std::string &name, const std::string &requestHash) -> std::variant<Claim, RecordedResponse, RequestError>
{
    const auto stored = store_.get(KIND, name);
    if (!stored.ok()) {
        return unavailable("the claim of the idempotency key could not be read");
    }
    const auto spec = Json::parseObject(stored->spec);
    if (!spec.ok()) {
        return unavailable("the claim of the idempotency key is malformed");
    }
    if ((*spec)->optValue<std::string>("request", {}) != requestHash) {
        return RequestError { ResultCode::ClaimConflict, {} };
    }
    const int status = (*spec)->optValue("status", 0);
    if (status == 0) {
        return RequestError { ResultCode::ClaimPending, {} };
    }
    return RecordedResponse { status,
                              (*spec)->optValue<std::string>("content_type", {}),
                              decode((*spec)->optValue<std::string>("body", {})) };
}

auto ClaimStore::record(const Claim &claim, const RecordedResponse &response) -> absl::Status
{
    if (response.body.size() > MAXIMUM_RECORDED_BYTES) {
        return absl::OutOfRangeError("the response exceeds the 256 KB that can be recorded");
    }
    auto spec = Json::parseObject(claim.object.spec);
    if (!spec.ok()) {
        return spec.status();
    }
    (*spec)->set("status", response.status);
    (*spec)->set("content_type", response.contentType);
    (*spec)->set("body", encode(response.body));
    StoredObject object = claim.object;
    object.spec = Json::toText(**spec);
    return store_.update(object).status();
}

auto ClaimStore::release(const Claim &claim) -> absl::Status
{
    return store_.remove(KIND, claim.object.name, claim.object.version);
}

} // namespace poplardock
