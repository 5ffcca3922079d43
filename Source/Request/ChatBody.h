#pragma once

#include "Request/ResultCode.h"

#include <string>
#include <variant>

namespace poplardock {

/// The fields of a chat completion that decide where and how it runs.
struct ChatBody
{
    std::string model;
    bool isStream = false;

    auto operator==(const ChatBody &) const -> bool = default;
};

/// Checks the body of a chat completion. Errors: MalformedJson; InvalidField for "model", "messages",
/// "stream" and "max_tokens". Other fields are for the upstream to check. Thread-safe.
auto parseChatBody(const std::string &body) -> std::variant<ChatBody, RequestError>;

} // namespace poplardock
