#pragma once

#include "Connection/Io/HttpMessage.h"

#include <cstdint>
#include <string>

namespace poplardock {

/// One request of a job.
struct JobItem
{
    /// Unique; also sent to the upstream as the id of the request.
    std::string id;
    std::string path;
    HeaderList headers;
    std::string body;
    /// Prompt tokens plus the maximum number of output tokens.
    std::int64_t tokens = 0;

    auto operator==(const JobItem &) const -> bool = default;
};

/// The final outcome of an item.
struct JobResult
{
    std::string itemId;
    /// False when the item was abandoned without a response.
    bool isCompleted = false;
    /// The data of all events in order, separated by line feeds.
    std::string text;

    auto operator==(const JobResult &) const -> bool = default;
};

} // namespace poplardock
