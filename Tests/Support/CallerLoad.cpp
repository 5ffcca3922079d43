#include "Support/CallerLoad.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace poplardock {

namespace {

constexpr const char *CHAT_PATH = "/v1/chat/completions";
constexpr int NO_ANSWER = -1;

} // namespace

CallerLoad::CallerLoad(std::string address, Options options)
    : options_(std::move(options))
    , client_(std::move(address))
{
    for (int thread = 0; thread < options_.threads; ++thread) {
        threads_.emplace_back([this, thread](const std::stop_token &stop) { run(stop, thread); });
    }
}

CallerLoad::~CallerLoad()
{
    stop();
}

auto CallerLoad::stop() -> void
{
    for (std::jthread &thread : threads_) {
        thread.request_stop();
    }
    threads_.clear();
}

auto CallerLoad::requestFor(const std::string &id) const -> JsonClient::Call
{
    JsonClient::Call request { "POST", options_.path, {}, {}, options_.timeout };
    request.headers["Authorization"] = absl::StrCat("Bearer ", options_.key);
    if (options_.hasIdempotencyKeys) {
        request.headers["Idempotency-Key"] = id;
    }
    request.body = options_.path == CHAT_PATH ? absl::StrCat(
                       R"({"model":"tiny","max_tokens":)", options_.tokens, R"(,"messages":[{"role":"user","content":")", id, R"("}]})")
                                              : absl::StrCat(R"({"id":")", id, R"("})");
    return request;
}

auto CallerLoad::run(const std::stop_token &stop, int thread) -> void
{
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options_.threads / options_.perSecond));
    TimePoint next = Clock::now() + interval * thread / options_.threads;
    while (!stop.stop_requested()) {
        if (const TimePoint now = Clock::now(); now < next) {
            std::this_thread::sleep_for(std::min<Duration>(next - now, Milliseconds(50)));
            continue;
        }
        // A thread that was held up does not send the missed requests in one go.
        next = std::max(next + interval, Clock::now() - interval);
        CallOutcome outcome;
        // The dot ends the number, so that no id is a part of another one.
        outcome.id = absl::StrCat(options_.prefix, "-", nextId_++, ".");
        outcome.sentAt = Clock::now();
        outcome.answer = readAnswer(client_.call(requestFor(outcome.id)));
        outcome.endedAt = Clock::now();
        const std::lock_guard lock(mutex_);
        outcomes_.push_back(std::move(outcome));
    }
}

auto CallerLoad::outcomes() const -> std::vector<CallOutcome>
{
    const std::lock_guard lock(mutex_);
    return outcomes_;
}

auto CallerLoad::countsByCode() const -> std::map<int, int>
{
    std::map<int, int> counts;
    for (const CallOutcome &outcome : outcomes()) {
        ++counts[outcome.answer.status == 0 ? NO_ANSWER : outcome.answer.code];
    }
    return counts;
}

auto CallerLoad::crossedAnswers() const -> std::vector<std::string>
{
    std::vector<std::string> crossed;
    for (const CallOutcome &outcome : outcomes()) {
        if (outcome.answer.isOk() && !absl::StrContains(outcome.answer.body, outcome.id)) {
            crossed.push_back(absl::StrCat(outcome.id, ": ", outcome.answer.body));
        }
    }
    return crossed;
}

auto describeCounts(const std::map<int, int> &counts) -> std::string
{
    std::string text;
    for (const auto &[code, count] : counts) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", code, " x ", count);
    }
    return text;
}

} // namespace poplardock
