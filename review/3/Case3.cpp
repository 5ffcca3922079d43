// A tenant's batch items have header values with line breaks, behind which another request stands.

#include "../Support/Deployment.h"
#include "Fakes/FakeEngine.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/str_cat.h>

namespace poplardock {

namespace {

constexpr const char *KEY = "key1";
constexpr const char *ROUTES
    = R"({"name":"batch","host":"shop.example","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,)"
      R"("service":"models","maxAttempts":3,"targetCompletionMs":18000,"retentionS":60})";
constexpr const char *TENANTS = R"({"name":"weavers","apiKeys":["key1"]},{"name":"dyers","apiKeys":["key2"]})";
constexpr int BATCHES = 5;
constexpr Milliseconds READ_TIME { 8000 };
/// As JSON text. The value ends the item's own request and begins another one, in the name of another tenant.
constexpr const char *SMUGGLING_VALUE
    = R"(gold\r\nHost: shop.example\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\nPOST /batch/smuggled HTTP/1.1\r\nTenant: dyers\r\nX-Rest: x)";
constexpr const char *SOUND_VALUE = "gold";

class Case
{
public:
    Case()
        : fleet_(loop_, record_, { "dixie-east-a", "dixie-east-b", "dixie-east-c" })
    {
    }

    auto run() -> int
    {
        fleet_.configure(ROUTES, TENANTS);
        for (int index = 0; index < 3; ++index) {
            engines_.push_back(std::make_unique<FakeEngine>(loop_, absl::StrCat("server", index)));
            fleet_.registerServer(engines_.back()->name(), engines_.back()->address(), 8);
        }
        for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
            fleet_.start(daemon);
        }
        if (!fleet_.awaitReady(Milliseconds(10000))) {
            record_.write("the daemons did not get ready");
            return CaseExit::NOT_RUN;
        }
        fleet_.sleep(Milliseconds(2000));
        int answered = 0;
        for (int batch = 0; batch < BATCHES; ++batch) {
            const std::string id = absl::StrCat("batch", batch);
            const HttpResult answer = fleet_.call(
                0,
                submissionCall(id,
                               KEY,
                               absl::StrCat(R"({"id":"item)",
                                            batch,
                                            R"(","path":"/batch/sheet","headers":{"Model":"m","Token-Count":"350,60","X-Colour":")",
                                            hasTrouble() ? SMUGGLING_VALUE : SOUND_VALUE,
                                            R"("},"body":"","tokens":410})")),
                Milliseconds(4000));
            record_.write(absl::StrCat("submitted ", id, ": ", answer.status));
            answered += answer.status == 0 ? 0 : 1;
        }
        fleet_.sleep(READ_TIME);
        return check(answered);
    }

private:
    auto check(int answered) -> int
    {
        int unasked = 0;
        for (const auto &engine : engines_) {
            for (const FakeEngine::Run &run : engine->runs()) {
                std::vector<std::string> tenants;
                for (const HeaderField &field : run.head.headers.fields()) {
                    if (field.name == "Tenant") {
                        tenants.push_back(field.value);
                    }
                }
                const bool isUnasked = run.head.target != "/batch/sheet" || run.head.headers.valueOf("Request-Id").substr(0, 4) != "item"
                                       || tenants != std::vector<std::string> { "weavers" };
                unasked += isUnasked ? 1 : 0;
                record_.write(absl::StrCat(engine->name(),
                                           " runs ",
                                           run.head.method,
                                           " ",
                                           run.head.target,
                                           " id '",
                                           std::string(run.head.headers.valueOf("Request-Id")),
                                           "' first tenant '",
                                           tenants.empty() ? std::string() : tenants.front(),
                                           "'",
                                           isUnasked ? ": nobody sent this" : ""));
            }
        }
        record_.write(absl::StrCat(answered, " submissions answered, ", unasked, " requests ran that nobody sent"));
        return unasked > 0 ? CaseExit::BROKEN : answered < BATCHES ? CaseExit::NOT_RUN : CaseExit::HELD;
    }

    EventLoop loop_;
    CaseRecord record_;
    Deployment fleet_;
    std::vector<std::unique_ptr<FakeEngine>> engines_;
};

} // namespace

} // namespace poplardock

auto main() -> int
{
    return poplardock::Case().run();
}
