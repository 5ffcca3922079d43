// A server sends a second copy of its answer 500 late, where the next answer on the connection is due.

#include "../Support/Deployment.h"
#include "../Support/ScriptedServer.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/str_cat.h>

#include <map>

namespace poplardock {

namespace {

constexpr const char *KEY = "key1";
constexpr const char *ROUTES
    = R"({"name":"batch","host":"shop.example","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,)"
      R"("service":"models","maxAttempts":2,"targetCompletionMs":18000,"retentionS":60})";
constexpr const char *TENANTS = R"({"name":"weavers","apiKeys":["key1"]})";
constexpr int BATCHES = 30;
/// Items of a sound batch before each of them.
constexpr int SOUND_ITEMS = 70;
/// The copies stay within this part of the faulty server's answers.
constexpr double LARGEST_DOSE = 0.03;
constexpr int EVENTS = 5;
constexpr int READS = 15;

class Case
{
public:
    Case()
        : fleet_(loop_, record_, { "dixie-east-a", "dixie-east-b", "dixie-east-c" })
        , server_(loop_, "server0", [this](const auto &connection, const MessageHead &head) { answer(connection, head, true); })
        , soundServer_(loop_, "server1", [this](const auto &connection, const MessageHead &head) { answer(connection, head, false); })
    {
    }

    auto run() -> int
    {
        fleet_.configure(ROUTES, TENANTS);
        fleet_.registerServer(server_.name(), server_.address(), 8);
        fleet_.registerServer(soundServer_.name(), soundServer_.address(), 8);
        for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
            fleet_.start(daemon);
        }
        if (!fleet_.awaitReady(Milliseconds(10000))) {
            record_.write("the daemons did not get ready");
            return CaseExit::NOT_RUN;
        }
        fleet_.sleep(Milliseconds(3000));
        int rounds = 0;
        int wrong = 0;
        int missing = 0;
        for (int batch = 0; batch < BATCHES && wrong == 0; ++batch) {
            ++rounds;
            const std::string id = absl::StrCat("batch", batch);
            const std::string item = absl::StrCat("item", batch);
            runSoundBatch(batch);
            const HttpResult accepted = fleet_.call(
                0,
                submissionCall(
                    id,
                    KEY,
                    absl::StrCat(R"({"id":")",
                                 item,
                                 R"(","path":"/batch/sheet","headers":{"Model":"m","Token-Count":"350,60"},"body":"","tokens":410})")),
                Milliseconds(4000));
            record_.write(absl::StrCat("submitted ", id, ": ", accepted.status));
            std::vector<std::pair<std::string, std::string>> results;
            for (int read = 0; read < READS && results.empty(); ++read) {
                results = resultsIn(fleet_.call(1, resultsCall(id, KEY, 0), Milliseconds(2500)));
            }
            missing += results.empty() ? 1 : 0;
            const bool isGivenUp = !results.empty() && results[0].second.rfind("dead_lettered", 0) == 0;
            const int failedRuns = failures_[item];
            wrong += isGivenUp && failedRuns < MAXIMUM_ATTEMPTS ? 1 : 0;
            record_.write(absl::StrCat(
                item, isGivenUp ? " is listed as dead_lettered after " : " is listed, after ", failedRuns, " runs that ended with 500"));
        }
        record_.write(absl::StrCat("server0 sent ", copies_, " copies beside ", answers_, " answers"));
        record_.write(
            absl::StrCat(rounds, " items, ", wrong, " given up before ", MAXIMUM_ATTEMPTS, " answers of 500, ", missing, " missing"));
        return wrong > 0 ? CaseExit::BROKEN : missing > 0 ? CaseExit::NOT_RUN : CaseExit::HELD;
    }

private:
    auto runSoundBatch(int batch) -> void
    {
        const std::string id = absl::StrCat("sound", batch);
        std::string items;
        for (int item = 0; item < SOUND_ITEMS; ++item) {
            absl::StrAppend(&items,
                            items.empty() ? "" : ",",
                            R"({"id":")",
                            id,
                            "i",
                            item,
                            R"(","path":"/batch/sheet","headers":{"Model":"m","Token-Count":"350,60"},"body":"","tokens":410})");
        }
        fleet_.call(0, submissionCall(id, KEY, items), Milliseconds(4000));
        std::size_t listed = 0;
        for (int read = 0; read < READS && listed < SOUND_ITEMS; ++read) {
            listed += resultsIn(fleet_.call(1, resultsCall(id, KEY, listed), Milliseconds(2500))).size();
        }
        record_.write(absl::StrCat(listed, " of ", SOUND_ITEMS, " items of ", id, " are listed"));
    }

    /// The first run of each item of a batch that is not sound fails with 500, and the others are sound. The faulty server sends
    /// a copy of the 500 when the next request on that connection has come.
    auto answer(const std::shared_ptr<ScriptedServer::Connection> &connection, const MessageHead &head, bool isFaulty) -> void
    {
        const std::string item(head.headers.valueOf("Request-Id"));
        const std::string server = isFaulty ? "server0" : "server1";
        answers_ += isFaulty ? 1 : 0;
        const bool isSound = item.rfind("sound", 0) == 0;
        if (failures_.contains(item) || isSound) {
            if (!isSound) {
                record_.write(absl::StrCat(server, " runs ", item, ": 200"));
            }
            connection->channel->send(streamAnswer(item, EVENTS));
            return;
        }
        ++failures_[item];
        const bool isCopied = isFaulty && hasTrouble() && copies_ + 1 <= LARGEST_DOSE * answers_;
        copies_ += isCopied ? 1 : 0;
        record_.write(absl::StrCat(server, " runs ", item, ": 500", isCopied ? ", which it will send once more" : ""));
        const std::string failure = absl::StrCat(answerHead(HttpStatus::SERVER_ERROR, item), "Content-Length: 0\r\n\r\n");
        connection->channel->send(failure);
        connection->lateAnswer = isCopied ? failure : std::string();
    }

    /// As the route says.
    static constexpr int MAXIMUM_ATTEMPTS = 2;

    EventLoop loop_;
    CaseRecord record_;
    Deployment fleet_;
    ScriptedServer server_;
    ScriptedServer soundServer_;
    /// Of the faulty server.
    int answers_ = 0;
    int copies_ = 0;
    /// Runs of each item that ended with 500.
    std::map<std::string, int> failures_;
};

} // namespace

} // namespace poplardock

auto main() -> int
{
    return poplardock::Case().run();
}
