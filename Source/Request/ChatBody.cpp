#include "Request/ChatBody.h"

#include "Process/CrashSuspects.h"
#include "Process/Json.h"

#include <algorithm>

namespace poplardock {

namespace {

auto sharedPartsOf(const std::vector<JsonObject::Ptr> &messages) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    const std::size_t count = std::min(messages.size() - 1, ChatBody::MAXIMUM_SHARED_PARTS);
    for (std::size_t index = 0; index < count; ++index) {
        parts.push_back(promptPartId(Json::toText(*messages[index])));
    }
    return parts;
}

auto invalidField(const absl::Status &status) -> RequestError
{
    return { ResultCode::InvalidField, std::string(status.message()) };
}

} // namespace

auto parseChatBody(const std::string &body) -> std::variant<ChatBody, RequestError>
{
    const auto object = Json::parseObject(body);
    if (!object.ok()) {
        return RequestError { ResultCode::MalformedJson, std::string(object.status().message()) };
    }
    const auto model = Json::requireString(**object, "model");
    if (!model.ok()) {
        return invalidField(model.status());
    }
    const auto messages = Json::optionalObjects(**object, "messages");
    if (!messages.ok()) {
        return invalidField(messages.status());
    }
    if (messages->empty()) {
        return RequestError { ResultCode::InvalidField, "\"messages\" must be a list of at least one object" };
    }
    const auto isStream = Json::optionalBool(**object, "stream", false);
    if (!isStream.ok()) {
        return invalidField(isStream.status());
    }
    const auto maximumTokens = Json::optionalInteger(**object, "max_tokens", 1);
    if (!maximumTokens.ok()) {
        return invalidField(maximumTokens.status());
    }
    if (*maximumTokens < 1) {
        return RequestError { ResultCode::InvalidField, "\"max_tokens\" must be at least 1" };
    }
    return ChatBody { *model, *isStream, sharedPartsOf(*messages) };
}

} // namespace poplardock
