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
constexpr int BATCHES = 8;
constexpr int EVENTS = 5;
constexpr int READS = 15;

class Case
{
public:
    Case()
        : fleet_(loop_, record_, { "dixie-east-a", "dixie-east-b", "dixie-east-c" })
        , server_(loop_, "server0", [this](const auto &connection, const MessageHead &head) { answer(connection, head); })
    {
    }

    auto run() -> int
    {
        fleet_.configure(ROUTES, TENANTS);
        fleet_.registerServer(server_.name(), server_.address(), 8);
        for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
            fleet_.start(daemon);
        }
        if (!fleet_.awaitReady(Milliseconds(10000))) {
            record_.write("the daemons did not get ready");
            return CaseExit::NOT_RUN;
        }
        fleet_.sleep(Milliseconds(3000));
        int wrong = 0;
        int missing = 0;
        for (int batch = 0; batch < BATCHES; ++batch) {
            const std::string id = absl::StrCat("batch", batch);
            const std::string item = absl::StrCat("item", batch);
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
        record_.write(
            absl::StrCat(BATCHES, " items, ", wrong, " given up before ", MAXIMUM_ATTEMPTS, " answers of 500, ", missing, " missing"));
        return wrong > 0 ? CaseExit::BROKEN : missing > 0 ? CaseExit::NOT_RUN : CaseExit::HELD;
    }

private:
    /// The first run of each item fails with 500, and the others are sound. A copy of the 500 is sent when the next request on
    /// that connection has come.
    auto answer(const std::shared_ptr<ScriptedServer::Connection> &connection, const MessageHead &head) -> void
    {
        const std::string item(head.headers.valueOf("Request-Id"));
        if (failures_.contains(item)) {
            record_.write(absl::StrCat("server0 runs ", item, ": 200"));
            connection->channel->send(streamAnswer(item, EVENTS));
            return;
        }
        ++failures_[item];
        record_.write(absl::StrCat("server0 runs ", item, ": 500", hasTrouble() ? ", which it will send once more" : ""));
        const std::string failure = absl::StrCat(answerHead(HttpStatus::SERVER_ERROR, item), "Content-Length: 0\r\n\r\n");
        connection->channel->send(failure);
        connection->lateAnswer = hasTrouble() ? failure : std::string();
    }

    /// As the route says.
    static constexpr int MAXIMUM_ATTEMPTS = 2;

    EventLoop loop_;
    CaseRecord record_;
    Deployment fleet_;
    ScriptedServer server_;
    /// Runs of each item that ended with 500.
    std::map<std::string, int> failures_;
};

} // namespace

} // namespace poplardock

auto main() -> int
{
    return poplardock::Case().run();
}
