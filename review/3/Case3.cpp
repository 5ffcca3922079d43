// A faulty server sends bytes that are no answer in the body of its answer, and breaks off.

#include "../Support/Deployment.h"
#include "../Support/ScriptedServer.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <set>

namespace poplardock {

namespace {

constexpr const char *KEY = "key1";
constexpr const char *ROUTES
    = R"({"name":"batch","host":"shop.example","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,)"
      R"("service":"models","maxAttempts":3,"targetCompletionMs":18000,"retentionS":60},)"
      R"({"name":"quotes","host":"shop.example","pathPrefix":"/quotes/","kind":"streaming","resumable":true,"timeoutMs":5000,)"
      R"("targetLatencyMs":300,"targetGapMs":300,"service":"models","maxAttempts":3})";
constexpr const char *TENANTS = R"({"name":"weavers","apiKeys":["key1"]})";
constexpr int BATCHES = 5;
constexpr int ITEMS = 120;
constexpr int STREAMS = 450;
constexpr int EVENTS = 12;
constexpr Milliseconds READ_TIME { 60000 };
/// One in so many answers of the faulty server is spoilt: 0.02 of them.
constexpr int SPOILT_PERIOD = 50;
/// Bytes that are no events, with line breaks among them.
constexpr const char *NOISE = "\x15\x03\x01 \x7f noise\n\n<html>\n\nnoise";

class Case
{
public:
    Case()
        : fleet_(loop_, record_, { "dixie-east-a", "dixie-east-b", "dixie-east-c" })
    {
        for (int index = 0; index < 3; ++index) {
            const std::string name = absl::StrCat("server", index);
            servers_.push_back(std::make_unique<ScriptedServer>(
                loop_, name, [this, isFaulty = index == 0 && hasTrouble()](const auto &connection, const MessageHead &head) {
                    answer(connection, head, isFaulty);
                }));
            fleet_.registerServer(name, servers_.back()->address(), 8);
        }
    }

    auto run() -> int
    {
        fleet_.configure(ROUTES, TENANTS);
        for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
            fleet_.start(daemon);
        }
        if (!fleet_.awaitReady(Milliseconds(10000))) {
            record_.write("the daemons did not get ready");
            return CaseExit::NOT_RUN;
        }
        fleet_.sleep(Milliseconds(3000));
        readStreams();
        submitBatches();
        readBatches();
        record_.write(
            absl::StrCat(STREAMS, " streams and ", BATCHES * ITEMS, " items; the faulty server gave ", faultyAnswers_, " answers"));
        record_.write(absl::StrCat(spoilt_.size(),
                                   " requests had a spoilt answer; ",
                                   wrongStreams_,
                                   " streams that look complete and ",
                                   wrongResults_,
                                   " completed items are not the server's whole output; ",
                                   missing_,
                                   " without an answer"));
        if (wrongStreams_ + wrongResults_ > 0) {
            return CaseExit::BROKEN;
        }
        return missing_ > 0 || (hasTrouble() && spoilt_.empty()) ? CaseExit::NOT_RUN : CaseExit::HELD;
    }

private:
    auto answer(const std::shared_ptr<ScriptedServer::Connection> &connection, const MessageHead &head, bool isFaulty) -> void
    {
        const std::string id(head.headers.valueOf("Request-Id"));
        faultyAnswers_ += isFaulty ? 1 : 0;
        if (!isFaulty || faultyAnswers_ % SPOILT_PERIOD != 0) {
            connection->channel->send(streamAnswer(id, EVENTS));
            return;
        }
        spoilt_.insert(id);
        const std::string noise = NOISE;
        connection->channel->send(absl::StrCat(answerHead(200, id),
                                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                                               absl::Hex(noise.size()),
                                               "\r\n",
                                               noise,
                                               "\r\n"));
        // In order, so that the bytes arrive before the end.
        loop_.post([connection] { connection->channel->close(); });
    }

    auto readStreams() -> void
    {
        for (int stream = 0; stream < STREAMS; ++stream) {
            const std::string id = absl::StrCat("quote", stream);
            HttpCall call { "POST", "/quotes/" + id, callerHeaders(id, KEY), "a basket" };
            call.headers.add("Model", "m");
            call.headers.add("Token-Count", "350,60");
            call.headers.add("Deadline-Ms", "5000");
            const HttpResult result = fleet_.call(static_cast<std::size_t>(stream) % 3, call, Milliseconds(5000));
            const bool isWrong = result.status == HttpStatus::OK && result.body != eventsOf(id, EVENTS);
            wrongStreams_ += isWrong ? 1 : 0;
            if (result.status != HttpStatus::OK || spoilt_.contains(id)) {
                record_.write(absl::StrCat(id, ": ", result.status, spoilt_.contains(id) ? ", a server spoilt its answer" : ""));
            }
            if (isWrong) {
                record_.write(absl::StrCat("  the stream looks complete and begins: ", printable(result.body.substr(0, 50))));
            }
        }
    }

    auto submitBatches() -> void
    {
        for (int batch = 0; batch < BATCHES; ++batch) {
            std::string items;
            for (int item = 0; item < ITEMS; ++item) {
                absl::StrAppend(&items,
                                items.empty() ? "" : ",",
                                R"({"id":"b)",
                                batch,
                                "i",
                                item,
                                R"(","path":"/batch/sheet","headers":{"Model":"m","Token-Count":"350,60"},"body":"","tokens":410})");
            }
            const std::string id = absl::StrCat("batch", batch);
            const HttpResult accepted
                = fleet_.call(static_cast<std::size_t>(batch) % 3, submissionCall(id, KEY, items), Milliseconds(4000));
            record_.write(absl::StrCat("submitted ", id, ": ", accepted.status));
        }
    }

    auto readBatches() -> void
    {
        const BootTime deadline = BootClock::now() + READ_TIME;
        for (int batch = 0; batch < BATCHES; ++batch) {
            std::vector<std::pair<std::string, std::string>> results;
            while (results.size() < ITEMS && BootClock::now() < deadline) {
                const auto part
                    = resultsIn(fleet_.call(0, resultsCall(absl::StrCat("batch", batch), KEY, results.size()), Milliseconds(2500)));
                results.insert(results.end(), part.begin(), part.end());
            }
            missing_ += ITEMS - static_cast<int>(results.size());
            for (const auto &[item, text] : results) {
                if (text != absl::StrCat("completed\n", textOf(item, EVENTS))) {
                    ++wrongResults_;
                    record_.write(absl::StrCat(item, " is listed as: ", printable(text.substr(0, 50))));
                }
            }
        }
    }

    static auto printable(const std::string &text) -> std::string
    {
        std::string result;
        for (const char character : text) {
            const bool isPlain = character >= ' ' && character < 0x7f;
            result += isPlain ? std::string(1, character) : character == '\n' ? std::string("\\n") : std::string("?");
        }
        return result;
    }

    EventLoop loop_;
    CaseRecord record_;
    Deployment fleet_;
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    /// Requests whose answer was spoilt at least once.
    std::set<std::string> spoilt_;
    int faultyAnswers_ = 0;
    int wrongStreams_ = 0;
    int wrongResults_ = 0;
    int missing_ = 0;
};

} // namespace

} // namespace poplardock

auto main() -> int
{
    return poplardock::Case().run();
}
