#include "Fakes/FakeUpstream.h"

#include "Connection/HttpReply.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>
#include <thread>

namespace poplardock {

namespace {

constexpr std::size_t MAXIMUM_BODY_BYTES = 4U << 20U;
constexpr std::int64_t DEFAULT_TOKENS = 16;
constexpr std::int64_t MAXIMUM_TOKENS = 4096;
constexpr std::size_t KEPT_LOAD_SAMPLES = 4096;

auto lastMessage(const JsonObject &request) -> std::string
{
    const JsonArray::Ptr messages = request.getArray("messages");
    if (messages.isNull() || messages->size() == 0) {
        return {};
    }
    const JsonObject::Ptr last = messages->getObject(static_cast<unsigned>(messages->size() - 1));
    return last.isNull() ? std::string() : last->optValue<std::string>("content", "");
}

auto chunkEvent(const std::string &content) -> std::string
{
    JsonObject::Ptr delta = new JsonObject;
    delta->set("content", content);
    JsonObject::Ptr choice = new JsonObject;
    choice->set("index", 0);
    choice->set("delta", delta);
    JsonArray::Ptr choices = new JsonArray;
    choices->add(choice);
    JsonObject event;
    event.set("object", "chat.completion.chunk");
    event.set("choices", choices);
    return absl::StrCat("data: ", Json::toText(event), "\n\n");
}

auto wholeAnswer(const std::string &content, std::int64_t tokens) -> std::string
{
    JsonObject::Ptr message = new JsonObject;
    message->set("role", "assistant");
    message->set("content", content);
    JsonObject::Ptr choice = new JsonObject;
    choice->set("index", 0);
    choice->set("message", message);
    choice->set("finish_reason", "stop");
    JsonArray::Ptr choices = new JsonArray;
    choices->add(choice);
    JsonObject::Ptr usage = new JsonObject;
    usage->set("completion_tokens", tokens);
    JsonObject answer;
    answer.set("object", "chat.completion");
    answer.set("choices", choices);
    answer.set("usage", usage);
    return Json::toText(answer);
}

auto headersOf(const Poco::Net::HTTPServerRequest &request) -> std::string
{
    std::string headers;
    for (const auto &[name, value] : request) {
        absl::StrAppend(&headers, name, ": ", value, "\n");
    }
    return headers;
}

} // namespace

FakeUpstream::FakeUpstream(Options options)
    : options_(std::move(options))
{
}

auto FakeUpstream::start(const std::string &address, Options options) -> absl::StatusOr<std::unique_ptr<FakeUpstream>>
{
    auto upstream = std::unique_ptr<FakeUpstream>(new FakeUpstream(std::move(options)));
    FakeUpstream *self = upstream.get();
    auto service = HttpService::start(
        address, { 1024, 1024 }, [self](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            self->handle(request, response);
        });
    if (!service.ok()) {
        return service.status();
    }
    upstream->service_ = *std::move(service);
    return upstream;
}

auto FakeUpstream::address() const -> std::string
{
    return service_->address();
}

auto FakeUpstream::setFaults(const std::string &json) -> absl::Status
{
    const auto object = Json::parseObject(json);
    if (!object.ok()) {
        return object.status();
    }
    const std::lock_guard lock(mutex_);
    faults_.crashOn = (*object)->optValue("crash_on", faults_.crashOn);
    faults_.resetRequests = (*object)->optValue("reset_requests", faults_.resetRequests);
    faults_.resetAfterTokens = (*object)->optValue("reset_after_tokens", faults_.resetAfterTokens);
    faults_.delayMs = (*object)->optValue("delay_ms", faults_.delayMs);
    faults_.slowFactor = (*object)->optValue("slow_factor", faults_.slowFactor);
    faults_.refuseStatus = (*object)->optValue("refuse_status", faults_.refuseStatus);
    faults_.isLeaving = (*object)->optValue("leaving", faults_.isLeaving);
    return absl::OkStatus();
}

auto FakeUpstream::setCrashHandler(std::function<void()> handler) -> void
{
    const std::lock_guard lock(mutex_);
    crashHandler_ = std::move(handler);
}

auto FakeUpstream::received() -> std::vector<Received>
{
    const std::lock_guard lock(mutex_);
    return received_;
}

auto FakeUpstream::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void
{
    auto read = HttpReply::readBody(request, MAXIMUM_BODY_BYTES);
    if (std::holds_alternative<RequestError>(read)) {
        HttpReply::sendError(response, std::get<RequestError>(read));
        return;
    }
    const auto &body = std::get<std::string>(read);
    const std::string path = HttpReply::pathOf(request);
    if (handleControl(request.getMethod(), path, body, response)) {
        return;
    }
    Faults faults;
    std::function<void()> crash;
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto age = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count();
        index = received_.size();
        received_.push_back({ age, request.getMethod(), path, headersOf(request), body, false });
        ++calls_[path];
        faults = faults_;
        crash = crashHandler_;
        if (faults_.resetRequests > 0) {
            --faults_.resetRequests;
        }
    }
    if (!faults.crashOn.empty() && body.find(faults.crashOn) != std::string::npos) {
        if (!crash) {
            std::_Exit(3);
        }
        crash();
        response.setKeepAlive(false);
        return;
    }
    if (faults.resetRequests > 0) {
        response.setKeepAlive(false);
        return;
    }
    response.set("Load-Report", laggedLoad());
    if (faults.refuseStatus != 0) {
        HttpReply::sendJson(response, static_cast<int>(faults.refuseStatus), R"({"error":{"message":"refused"}})");
        return;
    }
    if (faults.delayMs > 0) {
        std::this_thread::sleep_for(Milliseconds(faults.delayMs));
    }
    bool isAnswered = true;
    if (path == "/v1/chat/completions") {
        isAnswered = answerChat(body, response);
    } else {
        answerService(path, body, response);
    }
    const std::lock_guard lock(mutex_);
    received_[index].answered = isAnswered;
    ++(isAnswered ? finished_ : abandoned_);
}

auto FakeUpstream::handleControl(const std::string &method,
                                 const std::string &path,
                                 const std::string &body,
                                 Poco::Net::HTTPServerResponse &response) -> bool
{
    if (path == "/faults" && method == "POST") {
        HttpReply::sendJson(response, setFaults(body).ok() ? 200 : 400, "{}");
        return true;
    }
    if (path == "/load") {
        HttpReply::sendJson(response, 200, laggedLoad());
        return true;
    }
    if (path == "/received") {
        HttpReply::sendJson(response, 200, receivedAsJson());
        return true;
    }
    if (path == "/stats") {
        HttpReply::sendJson(response, 200, statsAsJson());
        return true;
    }
    return false;
}

auto FakeUpstream::enterSlot() -> void
{
    std::unique_lock lock(mutex_);
    const std::uint64_t ticket = nextTicket_++;
    recordLoad();
    slotFreed_.wait(lock, [&] { return ticket == servingTicket_ && running_ < options_.slots; });
    ++servingTicket_;
    ++running_;
    recordLoad();
    slotFreed_.notify_all();
}

auto FakeUpstream::leaveSlot() -> void
{
    const std::lock_guard lock(mutex_);
    --running_;
    recordLoad();
    slotFreed_.notify_all();
}

auto FakeUpstream::pause(double milliseconds) -> void
{
    double factor = 1;
    {
        const std::lock_guard lock(mutex_);
        factor = faults_.slowFactor * (1 + options_.slowdownPerRequest * std::max(0, running_ - 1));
    }
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds * factor));
}

auto FakeUpstream::recordLoad() -> void
{
    const int waiting = static_cast<int>(nextTicket_ - servingTicket_);
    if (loads_.size() >= KEPT_LOAD_SAMPLES) {
        loads_.erase(loads_.begin(), loads_.begin() + KEPT_LOAD_SAMPLES / 2);
    }
    loads_.push_back({ Clock::now(), running_, waiting });
}

auto FakeUpstream::laggedLoad() -> std::string
{
    const TimePoint asOf = Clock::now() - Milliseconds(options_.reportLagMs);
    const std::lock_guard lock(mutex_);
    LoadSample sample;
    const auto found = std::find_if(loads_.rbegin(), loads_.rend(), [asOf](const LoadSample &entry) { return entry.at <= asOf; });
    if (found != loads_.rend()) {
        sample = *found;
    }
    JsonObject report;
    report.set("running", sample.running);
    report.set("waiting", sample.waiting);
    if (faults_.isLeaving) {
        report.set("leaving", true);
    }
    return Json::toText(report);
}

auto FakeUpstream::answerChat(const std::string &body, Poco::Net::HTTPServerResponse &response) -> bool
{
    const auto request = Json::parseObject(body);
    if (!request.ok()) {
        HttpReply::sendJson(response, 400, R"({"error":{"message":"malformed JSON"}})");
        return true;
    }
    const std::int64_t tokens = std::min(MAXIMUM_TOKENS, (*request)->optValue("max_tokens", DEFAULT_TOKENS));
    const std::string echo = absl::StrCat("echo:", lastMessage(**request));
    enterSlot();
    struct SlotGuard
    {
        FakeUpstream *upstream;
        ~SlotGuard()
        {
            upstream->leaveSlot();
        }
    } const guard { this };
    pause(options_.prefillMs);
    response.set("Load-Report", laggedLoad());
    if ((*request)->optValue("stream", false)) {
        return streamTokens(echo, tokens, response);
    }
    std::string content = echo;
    for (std::int64_t token = 1; token < tokens; ++token) {
        pause(options_.tokenMs);
        content += " t";
    }
    HttpReply::sendJson(response, 200, wholeAnswer(content, tokens));
    return true;
}

auto FakeUpstream::streamTokens(const std::string &content, std::int64_t tokens, Poco::Net::HTTPServerResponse &response) -> bool
{
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::int64_t resetAfter = 0;
    {
        const std::lock_guard lock(mutex_);
        resetAfter = faults_.resetAfterTokens;
    }
    std::ostream &stream = response.send();
    for (std::int64_t token = 0; token < tokens; ++token) {
        if (resetAfter > 0 && token == resetAfter) {
            // The connection is broken so that the end of the chunked body is missing.
            response.setKeepAlive(false);
            stream.setstate(std::ios::badbit);
            throw std::runtime_error("stream reset by a fault switch");
        }
        if (token > 0) {
            pause(options_.tokenMs);
        }
        stream << chunkEvent(token == 0 ? content : " t") << std::flush;
        if (!stream.good()) {
            response.setKeepAlive(false);
            return false;
        }
        const std::lock_guard lock(mutex_);
        ++tokensSent_;
    }
    stream << "data: [DONE]\n\n" << std::flush;
    return stream.good();
}

auto FakeUpstream::answerService(const std::string &path, const std::string &body, Poco::Net::HTTPServerResponse &response) -> void
{
    std::uint64_t calls = 0;
    {
        const std::lock_guard lock(mutex_);
        calls = calls_[path];
    }
    JsonObject answer;
    answer.set("upstream", options_.name);
    answer.set("path", path);
    answer.set("calls", calls);
    answer.set("body", body);
    HttpReply::sendJson(response, 200, Json::toText(answer));
}

auto FakeUpstream::receivedAsJson() -> std::string
{
    JsonArray::Ptr items = new JsonArray;
    for (const Received &entry : received()) {
        JsonObject::Ptr item = new JsonObject;
        item->set("at_ms", entry.atMs);
        item->set("method", entry.method);
        item->set("path", entry.path);
        item->set("headers", entry.headers);
        item->set("body", entry.body);
        item->set("answered", entry.answered);
        items->add(item);
    }
    JsonObject whole;
    whole.set("items", items);
    return Json::toText(whole);
}

auto FakeUpstream::statsAsJson() -> std::string
{
    const std::lock_guard lock(mutex_);
    JsonObject stats;
    stats.set("received", received_.size());
    stats.set("finished", finished_);
    stats.set("abandoned", abandoned_);
    stats.set("tokens_sent", tokensSent_);
    stats.set("running", running_);
    stats.set("waiting", nextTicket_ - servingTicket_);
    return Json::toText(stats);
}

} // namespace poplardock
