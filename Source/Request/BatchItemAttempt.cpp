#include "Request/BatchItemAttempt.h"

#include "Process/JobStore.h"
#include "Process/Json.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr const char *CHAT_PATH = "/v1/chat/completions";
constexpr int TOO_MANY_REQUESTS = 429;
constexpr Milliseconds PROBE_TIMEOUT { 1000 };
constexpr std::size_t MAXIMUM_REASON_BYTES = 120;
constexpr std::string_view DATA_PREFIX = "data:";

auto tooLargeError() -> ItemFailed
{
    return { ResultCode::ItemResultTooLarge, absl::StrCat("the response has more than ", JobStore::MAXIMUM_RESULT_BYTES, " bytes") };
}

/// The results object is JSON text, so a body that does not survive a round trip through JSON cannot be stored.
auto canBeStored(const std::string &body) -> bool
{
    const bool isPlain
        = std::all_of(body.begin(), body.end(), [](char c) { return (c >= ' ' && c <= '~') || c == '\n' || c == '\r' || c == '\t'; });
    if (isPlain) {
        return true;
    }
    JsonObject object;
    object.set("body", body);
    const auto read = Json::parseObject(Json::toText(object));
    return read.ok() && (*read)->optValue<std::string>("body", "") == body;
}

auto classifyResponse(const UpstreamAnswer &response, const std::string &upstream) -> ItemAttemptResult
{
    const int status = response.head.status;
    if (status == TOO_MANY_REQUESTS || status >= 500) {
        return AttemptFailed { upstream, status != TOO_MANY_REQUESTS, false, absl::StrCat("the upstream answered ", status) };
    }
    if (status >= 400) {
        return ItemFailed { ResultCode::ItemRefused,
                            absl::StrCat("the upstream answered ", status, ": ", response.body.substr(0, MAXIMUM_REASON_BYTES)) };
    }
    if (response.body.size() > JobStore::MAXIMUM_RESULT_BYTES) {
        return tooLargeError();
    }
    if (!canBeStored(response.body)) {
        return ItemFailed { ResultCode::UpstreamAnswerInvalid, "the response is not valid text and cannot be stored as JSON" };
    }
    return ItemResponse { status, response.body };
}

} // namespace

auto StreamedResponse::append(std::string_view bytes) -> bool
{
    buffer_.append(bytes);
    std::size_t start = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', start)) {
        parseLine(buffer_.substr(start, end - start));
        start = end + 1;
    }
    buffer_.erase(0, start);
    size_ = content_.size() + buffer_.size();
    return !isTooLarge();
}

auto StreamedResponse::isTooLarge() const -> bool
{
    return size_ > JobStore::MAXIMUM_RESULT_BYTES;
}

auto StreamedResponse::parseLine(const std::string &line) -> void
{
    if (!line.starts_with(DATA_PREFIX)) {
        return;
    }
    const auto event = Json::parseObject(line.substr(DATA_PREFIX.size()));
    if (!event.ok()) {
        return;
    }
    for (const auto &[name, value] : **event) {
        if (name != "choices" && !value.isEmpty()) {
            fields_[name] = value;
        }
    }
    const JsonArray::Ptr choices = (*event)->getArray("choices");
    const JsonObject::Ptr choice = choices.isNull() || choices->size() == 0 ? nullptr : choices->getObject(0);
    if (choice.isNull()) {
        return;
    }
    hasChoice_ = true;
    if (const auto reason = Json::requireString(*choice, "finish_reason"); reason.ok()) {
        finishReason_ = *reason;
    }
    const JsonObject::Ptr delta = choice->getObject("delta");
    if (!delta.isNull()) {
        const auto content = Json::optionalString(*delta, "content", "");
        content_ += content.ok() ? *content : "";
    }
}

auto StreamedResponse::toBody() const -> std::string
{
    if (!hasChoice_) {
        return {};
    }
    JsonObject::Ptr message = new JsonObject;
    message->set("role", "assistant");
    message->set("content", content_);
    JsonObject::Ptr choice = new JsonObject;
    choice->set("index", 0);
    choice->set("message", message);
    choice->set("finish_reason", finishReason_.empty() ? "stop" : finishReason_);
    JsonArray::Ptr choices = new JsonArray;
    choices->add(choice);
    JsonObject response;
    for (const auto &[name, value] : fields_) {
        response.set(name, value);
    }
    response.set("object", "chat.completion");
    response.set("choices", choices);
    return Json::toText(response);
}

namespace BatchItemAttempt {

auto shouldStream(const BatchJob &job, const std::string &body) -> bool
{
    const auto object = Json::parseObject(body);
    if (job.model.empty() || !object.ok()) {
        return false;
    }
    for (const char *key : { "n", "tools", "functions", "logprobs", "stream", "stream_options" }) {
        if ((*object)->has(key)) {
            return false;
        }
    }
    return true;
}

auto makeRequest(const BatchJob &job, const std::string &body, TimePoint deadline) -> UpstreamRequest
{
    UpstreamRequest request;
    request.path = job.model.empty() ? job.path : CHAT_PATH;
    request.headers["Content-Type"] = "application/json";
    request.body = body;
    request.deadline = deadline;
    const auto parsed = Json::parseObject(body);
    if (job.model.empty() || !parsed.ok()) {
        return request;
    }
    JsonObject changed(**parsed);
    changed.set("model", job.model);
    changed.set("stream", shouldStream(job, body));
    request.body = Json::toText(changed);
    return request;
}

auto classify(const UpstreamResult &result, const std::string &upstream, bool isAlive) -> ItemAttemptResult
{
    if (const auto *response = std::get_if<UpstreamAnswer>(&result)) {
        return classifyResponse(*response, upstream);
    }
    const auto &failure = std::get<UpstreamFailure>(result);
    const bool mayHaveRun = failure.run != RunState::NotRun;
    if (failure.isStopped) {
        return ItemReturned { mayHaveRun };
    }
    if (!mayHaveRun) {
        // The upstream is unreachable. If this counted as an attempt, a short outage would fail all items.
        return ItemReturned { false };
    }
    return AttemptFailed { upstream, true, failure.isConnectionLost && !isAlive, failure.reason };
}

auto run(const Upstream &upstream,
         const BatchJob &job,
         const std::string &body,
         TimePoint deadline,
         const std::stop_token &stop,
         const Hooks &hooks) -> ItemAttemptResult
{
    const auto &isAlive = hooks.isAlive;
    const UpstreamRequest request = makeRequest(job, body, deadline);
    UpstreamHandlers handlers;
    handlers.mayStart = hooks.mayStart;
    handlers.onHead = [&hooks](const UpstreamHead &head) {
        if (hooks.onHead) {
            hooks.onHead(head);
        }
        return true;
    };
    if (!shouldStream(job, body)) {
        const UpstreamResult result = callUpstream(upstream, request, handlers, stop);
        const auto *failure = std::get_if<UpstreamFailure>(&result);
        return classify(result, upstream.name, failure == nullptr || !failure->isConnectionLost || isAlive(upstream));
    }
    StreamedResponse streamed;
    std::string plain;
    bool isEventStream = false;
    handlers.onHead = [&isEventStream, receiveHead = handlers.onHead](const UpstreamHead &head) {
        for (const auto &[name, value] : head.headers) {
            isEventStream = isEventStream || (absl::EqualsIgnoreCase(name, "content-type") && absl::StartsWith(value, "text/event-stream"));
        }
        return receiveHead(head);
    };
    handlers.onData = [&](std::string_view bytes) {
        if (isEventStream) {
            return streamed.append(bytes);
        }
        plain.append(bytes);
        return plain.size() <= JobStore::MAXIMUM_RESULT_BYTES;
    };
    UpstreamResult result = callUpstream(upstream, request, handlers, stop);
    if (streamed.isTooLarge() || plain.size() > JobStore::MAXIMUM_RESULT_BYTES) {
        return tooLargeError();
    }
    if (auto *response = std::get_if<UpstreamAnswer>(&result)) {
        response->body = isEventStream ? streamed.toBody() : plain;
    }
    const auto *failure = std::get_if<UpstreamFailure>(&result);
    return classify(result, upstream.name, failure == nullptr || !failure->isConnectionLost || isAlive(upstream));
}

auto probe(const Upstream &upstream) -> bool
{
    UpstreamRequest request;
    request.method = "GET";
    request.path = "/load";
    request.deadline = Clock::now() + PROBE_TIMEOUT;
    return std::holds_alternative<UpstreamAnswer>(callUpstream(upstream, request, {}, {}));
}

} // namespace BatchItemAttempt

} // namespace poplardock
