#pragma once

#include "Connection/UpstreamCall.h"
#include "Request/ChunkTransition.h"
#include "Version/BatchJob.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace poplardock {

/// The answer of an item, ready to be stored.
struct ItemResponse
{
    int status = 200;
    std::string body;

    auto operator==(const ItemResponse &) const -> bool = default;
};

/// How one run of an item ended.
using ItemAttemptResult = std::variant<ItemResponse, ItemFailed, AttemptFailed, ItemReturned>;

/// Puts the events of a streamed chat answer together to the answer that the same request gives without a
/// stream. Used by one thread.
class StreamedResponse
{
public:
    /// Takes the next bytes. False when the answer is too large.
    auto append(std::string_view bytes) -> bool;
    /// The whole answer; empty when no event was understood.
    [[nodiscard]] auto toBody() const -> std::string;
    [[nodiscard]] auto isTooLarge() const -> bool;

private:
    auto parseLine(const std::string &line) -> void;

    std::string buffer_;
    std::size_t size_ = 0;
    /// Fields of the last event beside "choices", such as "id", "model" and "usage".
    std::map<std::string, Poco::Dynamic::Var> fields_;
    std::string content_;
    std::string finishReason_;
    bool hasChoice_ = false;
};

/// One run of one batch item at one upstream.
namespace BatchItemAttempt {

/// Model requests are streamed, since an engine sees a broken stream at once and frees its place. Requests
/// whose streamed form differs in more than the text are sent plain.
auto shouldStream(const BatchJob &job, const std::string &body) -> bool;
/// The request for an item. The body of a model item gets the job's model.
auto makeRequest(const BatchJob &job, const std::string &body, TimePoint deadline) -> UpstreamRequest;
/// Pure function. "isAlive" tells whether the upstream still accepted connections after it broke one.
auto classify(const UpstreamResult &result, const std::string &upstream, bool isAlive) -> ItemAttemptResult;
/// Runs the item and blocks until it has ended. The probe is asked after a connection was lost.
auto run(const Upstream &upstream,
         const BatchJob &job,
         const std::string &body,
         TimePoint deadline,
         const std::stop_token &stop,
         const std::function<bool(const Upstream &)> &isAlive) -> ItemAttemptResult;

/// Asks the upstream for its load and tells whether it answered within a second.
auto probe(const Upstream &upstream) -> bool;

} // namespace BatchItemAttempt

} // namespace poplardock
