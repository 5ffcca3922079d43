#include "Connection/CallerAuthentication.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/match.h>

namespace poplardock {

namespace {

constexpr const char *AUTHORIZATION = "Authorization";
constexpr const char *BEARER = "Bearer ";

} // namespace

auto sha256Hex(const std::string &text) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

auto recheckCaller(const Caller &caller, const FleetState &state, TimePoint now) -> std::optional<RequestError>
{
    const FleetVersionPointer version = state.current();
    if (!state.mayAct(now)) {
        return RequestError { ResultCode::ConfigurationStale, {}, 1 };
    }
    const Configuration::KeyOwner owner = version->configuration.findKey(caller.keySha256);
    if (owner.team == nullptr) {
        return RequestError { ResultCode::KeyUnknown, {} };
    }
    if (state.isWithdrawn(*owner.key)) {
        return RequestError { ResultCode::KeyWithdrawn, {} };
    }
    return std::nullopt;
}

auto authenticate(const Poco::Net::HTTPServerRequest &request, const FleetState &state, TimePoint now) -> std::variant<Caller, RequestError>
{
    const auto first = request.find(AUTHORIZATION);
    if (first == request.end()) {
        return RequestError { ResultCode::KeyMissing, {} };
    }
    int count = 0;
    for (const auto &[name, value] : request) {
        count += absl::EqualsIgnoreCase(name, AUTHORIZATION) ? 1 : 0;
    }
    if (count > 1 || !absl::StartsWithIgnoreCase(first->second, BEARER)) {
        return RequestError { ResultCode::HeadersInvalid, "one header \"Authorization: Bearer KEY\" is expected" };
    }
    const std::string hash = sha256Hex(first->second.substr(std::string_view(BEARER).size()));
    const FleetVersionPointer version = state.current();
    const Configuration::KeyOwner owner = version->configuration.findKey(hash);
    Caller caller;
    caller.keySha256 = hash;
    if (const auto error = recheckCaller(caller, state, now)) {
        return *error;
    }
    if (owner.team == nullptr) {
        return RequestError { ResultCode::KeyUnknown, {} };
    }
    caller.team = owner.team->name;
    caller.keyId = owner.key->id;
    return caller;
}

} // namespace poplardock
