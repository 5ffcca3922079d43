#pragma once

#include "Connection/Io/HttpMessage.h"

#include <cstdint>
#include <string>

namespace poplardock {

/// One request of a job.
struct JobItem
{
    /// Unique; also the id of the request at an upstream.
    std::string id;
    std::string path;
    HeaderList headers;
    std::string body;
    /// Prompt tokens and the most output tokens together.
    std::int64_t tokens = 0;

    auto operator==(const JobItem &) const -> bool = default;
};

/// The final outcome of an item.
struct JobResult
{
    std::string itemId;
    /// False when the item was given up.
    bool isCompleted = false;
    /// Data of all events in order, separated by line feeds.
    std::string text;

    auto operator==(const JobResult &) const -> bool = default;
};

} // namespace poplardock
