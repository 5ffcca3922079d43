// A daemon freezes; the one that takes its batches over loses the store for some seconds right after its claim.

#include "../Support/Deployment.h"
#include "Fakes/FakeEngine.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <csignal>
#include <map>

namespace poplardock {

namespace {

constexpr const char *KEY = "key1";
constexpr const char *ROUTES
    = R"({"name":"batch","host":"shop.example","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,)"
      R"("service":"models","maxAttempts":3,"targetCompletionMs":18000,"retentionS":60})";
constexpr const char *TENANTS = R"({"name":"weavers","apiKeys":["key1"]})";
constexpr std::size_t BATCHES = 12;
constexpr std::size_t ITEMS = 6;
constexpr int EVENTS = 60;
constexpr Milliseconds EVENT_PAUSE { 20 };
constexpr int SERVERS = 12;
constexpr int SLOTS = 8;
constexpr int ROUNDS = 7;
/// For how long the store turns one machine away.
constexpr Milliseconds REFUSAL { 550 };
/// Every how often a daemon lists the batches in the store.
constexpr Milliseconds LIST_PERIOD { 2000 };
/// Time after such a list at which a daemon is frozen.
constexpr Milliseconds FREEZE_PHASE { 1800 };
constexpr Milliseconds FREEZE { 4000 };
constexpr Milliseconds READ_TIME { 20000 };

auto itemsOf(const std::string &batch) -> std::string
{
    std::string items;
    for (std::size_t item = 0; item < ITEMS; ++item) {
        absl::StrAppend(&items,
                        items.empty() ? "" : ",",
                        R"({"id":")",
                        batch + "i" + std::to_string(item),
                        R"(","path":"/batch/item","headers":{"Model":"m","Token-Count":"350,60"},"body":"","tokens":410})");
    }
    return items;
}

class Case
{
public:
    Case()
        : fleet_(loop_,
                 record_,
                 { "dixie-east-a",
                   "dixie-east-a",
                   "dixie-east-a",
                   "dixie-east-b",
                   "dixie-east-b",
                   "dixie-east-b",
                   "dixie-east-c",
                   "dixie-east-c" })
        , listedAt_(fleet_.daemons.size())
    {
        fleet_.onStoreAnswer = [this](std::size_t daemon, const std::string &body) {
            if (absl::StrContains(body, R"("hasMore")") && absl::StrContains(body, R"("owner_incarnation")")) {
                listedAt_[daemon] = BootClock::now();
            }
        };
    }

    auto run() -> int
    {
        fleet_.configure(ROUTES, TENANTS);
        for (int index = 0; index < SERVERS; ++index) {
            engines_.push_back(std::make_unique<FakeEngine>(loop_, absl::StrCat("server", index)));
            engines_.back()->behaviour().events = EVENTS;
            engines_.back()->behaviour().eventPause = EVENT_PAUSE;
            fleet_.registerServer(engines_.back()->name(), engines_.back()->address(), SLOTS);
        }
        for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
            fleet_.start(daemon);
        }
        if (!fleet_.awaitReady(Milliseconds(10000))) {
            record_.write("the daemons did not get ready");
            return CaseExit::NOT_RUN;
        }
        fleet_.sleep(Milliseconds(3000));
        for (int round = 0; round < ROUNDS && wrong_ == 0; ++round) {
            const std::size_t owner = static_cast<std::size_t>(round) % fleet_.daemons.size();
            if (!submitAll(owner, round)) {
                return CaseExit::NOT_RUN;
            }
            if (hasTrouble()) {
                disturb(owner);
            } else {
                hasDisturbed_ = true;
            }
            readAll(round);
        }
        record_.write(absl::StrCat(wrong_, " results with a wrong text, ", missing_, " items without a result"));
        if (wrong_ > 0) {
            return CaseExit::BROKEN;
        }
        return missing_ > 0 || !hasDisturbed_ ? CaseExit::NOT_RUN : CaseExit::HELD;
    }

private:
    auto submitAll(std::size_t owner, int round) -> bool
    {
        batches_.clear();
        for (std::size_t batch = 0; batch < BATCHES; ++batch) {
            const std::string id = absl::StrCat("batch", round, "x", batch);
            const HttpResult answer = fleet_.call(owner, submissionCall(id, KEY, itemsOf(id)), Milliseconds(4000));
            record_.write(absl::StrCat("submitted ", id, " at ", fleet_.daemons[owner].name, ": ", answer.status));
            if (answer.status != HttpStatus::ACCEPTED) {
                return false;
            }
            batches_.push_back(id);
        }
        return true;
    }

    /// The daemon that the record of a batch names as its owner.
    auto ownerOf(const std::string &batch) -> std::size_t
    {
        const std::string spec = fleet_.store.specOf("jobs", batch);
        for (std::size_t daemon = 0; daemon < fleet_.daemons.size(); ++daemon) {
            if (absl::StrContains(spec, absl::StrCat("\"", fleet_.daemons[daemon].name, "\""))) {
                return daemon;
            }
        }
        return fleet_.daemons.size();
    }

    auto disturb(std::size_t owner) -> void
    {
        // A frozen daemon's batches are claimed 1.5 s later; the others list the batches 0.7 s after that.
        const BootTime listedAt = listedAt_[(owner + 1) % listedAt_.size()];
        const auto sinceList = (BootClock::now() - listedAt) % LIST_PERIOD;
        loop_.runUntil(BootClock::now() + (FREEZE_PHASE + LIST_PERIOD - sinceList) % LIST_PERIOD);
        fleet_.daemons[owner].process->signal(SIGSTOP);
        record_.write(absl::StrCat("froze ", fleet_.daemons[owner].name));
        const BootTime frozenAt = BootClock::now();
        std::map<std::size_t, BootTime> claimedAt;
        std::optional<std::size_t> successor;
        runLoopUntil(
            loop_,
            [this, owner, &claimedAt, &successor] {
                for (const std::string &batch : batches_) {
                    const std::size_t daemon = ownerOf(batch);
                    if (daemon == owner || daemon == fleet_.daemons.size() || claimedAt.contains(daemon)) {
                        continue;
                    }
                    const BootTime now = BootClock::now();
                    claimedAt[daemon] = now;
                    const auto untilList = listedAt_[daemon] + LIST_PERIOD - now;
                    if (!successor && untilList > REFUSAL + Milliseconds(30) && untilList < REFUSAL + Milliseconds(300)) {
                        successor = daemon;
                        refuse(daemon);
                    }
                }
                return BootClock::now() - (claimedAt.empty() ? BootClock::now() : claimedAt.begin()->second) > REFUSAL * 2;
            },
            Milliseconds(6000));
        loop_.runUntil(frozenAt + FREEZE);
        fleet_.daemons[owner].process->signal(SIGCONT);
        record_.write(absl::StrCat("woke ", fleet_.daemons[owner].name));
    }

    auto refuse(std::size_t daemon) -> void
    {
        hasDisturbed_ = true;
        FakeObjectStore::Faults faults;
        faults.refuseStatus = HttpStatus::UNAVAILABLE;
        const std::size_t view = fleet_.daemons[daemon].storeView;
        fleet_.store.setViewFaults(view, faults);
        record_.write(absl::StrCat("the store turns ", fleet_.daemons[daemon].name, " away"));
        healTimer_ = loop_.at(BootClock::now() + REFUSAL, [this, daemon, view] {
            fleet_.store.setViewFaults(view, {});
            record_.write(absl::StrCat("the store serves ", fleet_.daemons[daemon].name, " again"));
        });
    }

    auto readAll(int round) -> void
    {
        const BootTime deadline = BootClock::now() + READ_TIME;
        for (const std::string &id : batches_) {
            std::vector<std::pair<std::string, std::string>> results;
            std::size_t reader = static_cast<std::size_t>(round);
            while (results.size() < ITEMS && BootClock::now() < deadline) {
                reader = (reader + 1) % fleet_.daemons.size();
                const auto part = resultsIn(fleet_.call(reader, resultsCall(id, KEY, results.size()), Milliseconds(2500)));
                results.insert(results.end(), part.begin(), part.end());
            }
            missing_ += static_cast<int>(ITEMS - std::min(ITEMS, results.size()));
            for (const auto &[item, text] : results) {
                if (text != absl::StrCat("completed\n", FakeEngine::dataOf(item, EVENTS))) {
                    ++wrong_;
                    const std::string beginning = absl::StrReplaceAll(text.substr(0, 60), { { "\n", " " } });
                    record_.write(absl::StrCat(id, " item ", item, " is not the item's whole output, it begins: ", beginning));
                    recordRuns(item);
                }
            }
        }
    }

    auto recordRuns(const std::string &item) -> void
    {
        for (const auto &engine : engines_) {
            for (const FakeEngine::Run &run : engine->runsOfRequest(item)) {
                record_.write(absl::StrCat("  run at ",
                                           engine->name(),
                                           " asked after event '",
                                           std::string(run.head.headers.valueOf("Last-Event-Id")),
                                           "', ",
                                           run.sent,
                                           " events sent, ",
                                           run.isComplete ? "complete" : "cut"));
            }
        }
    }

    EventLoop loop_;
    CaseRecord record_;
    Deployment fleet_;
    std::vector<std::unique_ptr<FakeEngine>> engines_;
    std::vector<std::string> batches_;
    /// When each daemon last listed the batches in the store.
    std::vector<BootTime> listedAt_;
    Timer healTimer_;
    bool hasDisturbed_ = false;
    int wrong_ = 0;
    int missing_ = 0;
};

} // namespace

} // namespace poplardock

auto main() -> int
{
    return poplardock::Case().run();
}
