#include "Support/BatchFleet.h"

#include "Connection/RequestRun.h"

#include <absl/strings/str_cat.h>

#include <thread>

namespace poplardock {

namespace {

constexpr Milliseconds WAIT_TIMEOUT { 60000 };
constexpr Milliseconds WAIT_INTERVAL { 5 };

auto configurationFor(const std::vector<std::unique_ptr<FakeUpstream>> &upstreams) -> Configuration
{
    Configuration::Data data;
    data.classes = { { "chat", WorkKind::Online, 1000, 100 }, { "sheets", WorkKind::Batch, 0, 0 } };
    data.teams = { { "t", 100, 100, {} }, { "s", 100, 100, {} } };
    data.routes = { { "/lookups", "all", "chat", true, false }, { "/holds", "all", "chat", false, false } };
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        Upstream upstream;
        upstream.name = absl::StrCat("u", index);
        upstream.address = upstreams[index]->address();
        upstream.group = "all";
        upstream.models = { "m" };
        data.upstreams.push_back(std::move(upstream));
    }
    auto configuration = Configuration::create(std::move(data));
    return *std::move(configuration);
}

} // namespace

BatchDaemon::BatchDaemon(const std::string &platformAddress, const std::string &name)
    : client(platformAddress, name, { 1000, 1000 })
    , store(client, { 1000, 1000 })
    , fleet(name)
{
}

BatchFleet::BatchFleet(int daemonCount, int upstreamCount, const FakeUpstream::Options &upstreamOptions)
    : platform(*FakePlatform::start("127.0.0.1:0"))
{
    upstreams.reserve(static_cast<std::size_t>(upstreamCount));
    for (int index = 0; index < upstreamCount; ++index) {
        upstreams.emplace_back(*FakeUpstream::start("127.0.0.1:0", upstreamOptions));
    }
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(daemonCount));
    daemons.reserve(static_cast<std::size_t>(daemonCount));
    for (int index = 0; index < daemonCount; ++index) {
        members.push_back({ absl::StrCat("d", index), "127.0.0.1:1", "dc", "r", 1, "i", "" });
    }
    const auto version
        = std::make_shared<const FleetVersion>(FleetVersion { 1, 1, configurationFor(upstreams), *MemberTable::create(members) });
    for (int index = 0; index < daemonCount; ++index) {
        daemons.push_back(std::make_unique<BatchDaemon>(platform->address(), absl::StrCat("d", index)));
        // A confirmation time in the future keeps the version fresh for the whole test.
        daemons.back()->fleet.install(version, Clock::now() + std::chrono::hours(1));
    }
    table = std::make_unique<UpstreamTable>(daemons.front()->fleet);
}

BatchFleet::~BatchFleet()
{
    static_cast<void>(platform->setFaults(R"({"outage":false,"refuse_writes":false,"delay_ms":0})"));
    for (const auto &daemon : daemons) {
        daemon->dispatcher.reset();
    }
}

auto BatchFleet::options() -> BatchDispatcher::Options
{
    BatchDispatcher::Options options;
    options.region = "r";
    options.threads = 16;
    options.writeTiming = { Milliseconds(300), Milliseconds(500) };
    options.leaseTimeout = Milliseconds(2000);
    options.absenceTimeout = Milliseconds(500);
    return options;
}

auto BatchFleet::hooks() -> BatchDispatcher::Hooks
{
    BatchDispatcher::Hooks hooks;
    hooks.incarnation = [] {
        return "i";
    };
    hooks.loadOf = [](const std::string &) {
        return ObservedLoad {};
    };
    hooks.isAlive = [this](const Upstream &) {
        return !areUpstreamsDown;
    };
    hooks.isLeaving = [this](const std::string &upstream) {
        return table->isLeaving(upstream, Clock::now());
    };
    hooks.onHead = [this](const std::string &upstream, const UpstreamHead &head, TimePoint sentAt) {
        noteLeaving(*table, daemons.front()->metrics, upstream, head, sentAt);
    };
    return hooks;
}

auto BatchFleet::startDispatcher(std::size_t daemon) -> void
{
    BatchDaemon &target = *daemons.at(daemon);
    target.dispatcher = std::make_unique<BatchDispatcher>(target.store, target.fleet, target.metrics, options(), hooks());
    target.dispatcher->start();
}

auto BatchFleet::startAll() -> void
{
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        startDispatcher(index);
    }
}

auto BatchFleet::store() -> JobStore &
{
    return daemons.front()->store;
}

auto BatchFleet::receivedCount(const std::string &text) -> int
{
    int count = 0;
    for (const auto &upstream : upstreams) {
        if (!upstream) {
            continue;
        }
        for (const FakeUpstream::Received &entry : upstream->received()) {
            count += entry.body.find(text) == std::string::npos ? 0 : 1;
        }
    }
    return count;
}

auto BatchFleet::awaitEnd(const std::string &team, const std::string &jobKey) -> BatchJob
{
    BatchJob job;
    await([&] {
        const auto found = store().status(team, jobKey);
        if (const auto *read = std::get_if<BatchJob>(&found)) {
            job = *read;
            return job.state != JobState::Open;
        }
        return false;
    });
    return job;
}

auto BatchFleet::await(const std::function<bool()> &condition) -> bool
{
    const TimePoint deadline = Clock::now() + WAIT_TIMEOUT;
    while (!condition()) {
        if (Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(WAIT_INTERVAL);
    }
    return true;
}

auto BatchFleet::modelJob(const std::string &jobKey, int items) -> JobSubmission
{
    JobSubmission submission { "t", jobKey, "sheets", "m", "", *parseWallTime("2030-01-01T00:00:00Z"), true, {} };
    for (int index = 0; index < items; ++index) {
        const std::string id = absl::StrCat("item-", index, ".");
        submission.items.push_back({ id, absl::StrCat(R"({"max_tokens":3,"messages":[{"role":"user","content":")", id, R"("}]})") });
    }
    return submission;
}

auto BatchFleet::pathJob(const std::string &jobKey, const std::string &path, bool repeatable, int items) -> JobSubmission
{
    JobSubmission submission { "t", jobKey, "sheets", "", path, *parseWallTime("2030-01-01T00:00:00Z"), repeatable, {} };
    for (int index = 0; index < items; ++index) {
        const std::string id = absl::StrCat("item-", index, ".");
        submission.items.push_back({ id, absl::StrCat(R"({"name":")", id, R"("})") });
    }
    return submission;
}

} // namespace poplardock
