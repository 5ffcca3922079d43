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

/// The upstream's response to an item, ready to be stored.
struct ItemResponse
{
    int status = 200;
    std::string body;

    auto operator==(const ItemResponse &) const -> bool = default;
};

/// How one attempt at an item ended.
using ItemAttemptResult = std::variant<ItemResponse, ItemFailed, AttemptFailed, ItemReturned>;

/// Assembles the events of a streamed chat completion into the response body that the same request yields without
/// streaming. Thread safety: one thread.
class StreamedResponse
{
public:
    /// Appends received bytes. Returns false when the response is too large.
    auto append(std::string_view bytes) -> bool;
    /// The assembled body; empty when no event with a choice was decoded.
    [[nodiscard]] auto toBody() const -> std::string;
    [[nodiscard]] auto isTooLarge() const -> bool;

private:
    auto parseLine(const std::string &line) -> void;

    std::string buffer_;
    std::size_t size_ = 0;
    /// Latest value of each top-level field except "choices", such as "id", "model" and "usage".
    std::map<std::string, Poco::Dynamic::Var> fields_;
    std::string content_;
    std::string finishReason_;
    bool hasChoice_ = false;
};

/// One attempt to run a batch item at an upstream.
namespace BatchItemAttempt {

/// Whether to request a streamed response. Requests for a model are streamed, since an engine notices an aborted stream
/// at once and frees the slot. Not streamed are requests whose streamed response differs in more than the text.
auto shouldStream(const BatchJob &job, const std::string &body) -> bool;
/// Builds the request for an item. For a job with a model, the model is set in the body.
auto makeRequest(const BatchJob &job, const std::string &body, TimePoint deadline) -> UpstreamRequest;
/// Classifies the result of a call. "isAlive" tells whether the upstream still accepted connections after one to it
/// was lost. Pure function.
auto classify(const UpstreamResult &result, const std::string &upstream, bool isAlive) -> ItemAttemptResult;
/// What an attempt asks and tells while it runs. All are called from the thread of the attempt.
struct Hooks
{
    /// Whether the upstream still responds; called after a connection was lost.
    std::function<bool(const Upstream &)> isAlive;
    /// False withdraws an item that has not been sent. May be empty.
    std::function<bool()> mayStart = {};
    /// Receives the head of an answer. May be empty.
    std::function<void(const UpstreamHead &)> onHead = {};
};

/// Runs the item and blocks until the attempt has ended.
auto run(const Upstream &upstream,
         const BatchJob &job,
         const std::string &body,
         TimePoint deadline,
         const std::stop_token &stop,
         const Hooks &hooks) -> ItemAttemptResult;

/// Requests the load of the upstream. Returns whether a response came within a second.
auto probe(const Upstream &upstream) -> bool;

} // namespace BatchItemAttempt

} // namespace poplardock
