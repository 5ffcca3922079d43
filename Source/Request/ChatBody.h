#pragma once

#include "Request/ResultCode.h"

#include <string>
#include <variant>

namespace poplardock {

/// The fields of a chat completion request that decide where and how it runs.
struct ChatBody
{
    std::string model;
    bool isStream = false;

    auto operator==(const ChatBody &) const -> bool = default;
};

/// Parses and validates the body of a chat completion request. Errors: MalformedJson; InvalidField for "model",
/// "messages", "stream" and "max_tokens". All other fields are left to the upstream to validate. Thread-safe.
auto parseChatBody(const std::string &body) -> std::variant<ChatBody, RequestError>;

} // namespace poplardock
