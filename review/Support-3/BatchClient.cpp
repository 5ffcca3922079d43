#include "BatchClient.h"

#include "Process/Json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace poplardock::review {

namespace {

/// The time limit of a submission on the sheet.
constexpr Milliseconds SUBMIT_PATIENCE { 4000 };
/// A read is kept waiting for 1 s at most, and waits 1.5 s longer.
constexpr Milliseconds READ_WAIT { 1000 };
constexpr Milliseconds READ_PATIENCE { 2500 };
/// Clients allow a new connection one second.
constexpr Milliseconds CONNECT_TIME { 1000 };

/// A call with the pool of its one connection.
struct Call
{
    Call(EventLoop &loop)
        : pool(loop, { { 1500, 1000 }, CONNECT_TIME, Milliseconds(1) })
        , client(loop, pool)
    {
    }

    ClientPool pool;
    HttpClient client;
};

auto pageFrom(const HttpResult &result) -> ResultPage
{
    ResultPage page;
    page.status = result.status;
    const auto object = Json::parseObject(result.body);
    if (result.status != HttpStatus::OK || !object.ok()) {
        return page;
    }
    page.total = (*object)->getValue<std::size_t>("total");
    page.next = (*object)->getValue<std::size_t>("nextToken");
    const auto entries = (*object)->getArray("results");
    for (std::size_t index = 0; index < entries->size(); ++index) {
        const auto entry = entries->getObject(static_cast<unsigned>(index));
        page.results.push_back(
            { entry->getValue<std::string>("id"), entry->getValue<std::string>("state"), entry->getValue<std::string>("text") });
    }
    return page;
}

} // namespace

BatchClient::BatchClient(EventLoop &loop, std::string host, std::string key)
    : loop_(loop)
    , host_(std::move(host))
    , key_(std::move(key))
{
}

auto BatchClient::call(const std::string &address,
                       HttpCall call,
                       Milliseconds patience,
                       std::function<void(int, const HttpResult &)> handler) -> void
{
    call.headers.set("Host", host_);
    call.headers.set("Authorization", absl::StrCat("Bearer ", key_));
    auto state = std::make_shared<Call>(loop_);
    state->client.call(
        address, call, BootClock::now() + patience, [this, state, handler = std::move(handler)](const HttpCallOutcome &outcome) {
            const auto *result = std::get_if<HttpResult>(&outcome);
            handler(result == nullptr ? 0 : result->status, result == nullptr ? HttpResult() : *result);
            // The call's connection is still in use by the caller of this handler.
            loop_.post([state] { static_cast<void>(state); });
        });
}

auto BatchClient::submit(const std::string &address,
                         const std::string &path,
                         const std::string &id,
                         const std::vector<std::string> &items,
                         int outputTokens,
                         std::function<void(int)> handler) -> void
{
    std::vector<std::string> entries;
    entries.reserve(items.size());
    constexpr int PROMPT_TOKENS = 350;
    for (const std::string &item : items) {
        entries.push_back(absl::StrCat(R"({"id":")",
                                       item,
                                       R"(","path":")",
                                       path,
                                       item,
                                       R"(","headers":{"Model":"m","Token-Count":")",
                                       PROMPT_TOKENS,
                                       ",",
                                       outputTokens,
                                       R"(","Prompt-Prefix":"9c2e41:100,)",
                                       item.substr(0, 8),
                                       R"(:250"},"body":")",
                                       absl::Base64Escape(absl::StrCat("prompt of ", item)),
                                       R"(","tokens":)",
                                       PROMPT_TOKENS + outputTokens,
                                       "}"));
    }
    HttpCall request { "POST", absl::StrCat(path, id), {}, absl::StrCat(R"({"items":[)", absl::StrJoin(entries, ","), "]}") };
    request.headers.add("Request-Id", id);
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Deadline-Ms", absl::StrCat(SUBMIT_PATIENCE.count()));
    call(address, std::move(request), SUBMIT_PATIENCE, [handler = std::move(handler)](int status, const HttpResult &) { handler(status); });
}

auto BatchClient::readResults(const std::string &address,
                              const std::string &id,
                              std::size_t after,
                              std::function<void(const ResultPage &)> handler) -> void
{
    HttpCall request { "GET", absl::StrCat("/-/lots/", id, "?after=", after), {}, {} };
    request.headers.add("Wait-Ms", absl::StrCat(READ_WAIT.count()));
    call(address, std::move(request), READ_PATIENCE, [handler = std::move(handler)](int status, const HttpResult &result) {
        handler(status == 0 ? ResultPage() : pageFrom(result));
    });
}

} // namespace poplardock::review
