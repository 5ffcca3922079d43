#pragma once

#include "Request/ResultCode.h"

#include <string>
#include <variant>
#include <vector>

namespace poplardock {

/// The fields of a chat completion request that decide where and how it runs.
struct ChatBody
{
    std::string model;
    bool isStream = false;
    /// Ids of the messages that other requests may share, in order: all but the last, at most MAXIMUM_SHARED_PARTS.
    std::vector<std::string> sharedParts;

    static constexpr std::size_t MAXIMUM_SHARED_PARTS = 32;

    auto operator==(const ChatBody &) const -> bool = default;
};

/// Parses and validates the body of a chat completion request. Errors: MalformedJson; InvalidField for "model",
/// "messages", "stream" and "max_tokens". All other fields are left to the upstream to validate. Thread-safe.
auto parseChatBody(const std::string &body) -> std::variant<ChatBody, RequestError>;

} // namespace poplardock
