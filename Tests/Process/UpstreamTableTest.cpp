#include "Process/UpstreamTable.h"

#include "Fakes/FakeUpstream.h"
#include "Support/FreePort.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

const TimePoint NOW = TimePoint() + std::chrono::hours(1);

auto makeUpstream(const std::string &name, const std::string &address) -> Upstream
{
    return { name, address, "models", UpstreamKind::Model, { "m" }, {}, "dc1", false };
}

auto install(FleetState &state, std::uint64_t revision, const std::vector<Upstream> &upstreams) -> void
{
    FleetVersion version;
    version.revision = revision;
    Configuration::Data data;
    data.upstreams = upstreams;
    version.configuration = *Configuration::create(std::move(data));
    state.install(std::make_shared<const FleetVersion>(std::move(version)), Clock::now());
}

/// Waits until polls have made the condition true. The deadline is only reached when the test fails.
template<typename Condition>
auto waitUntil(Condition condition) -> bool
{
    const TimePoint deadline = Clock::now() + std::chrono::seconds(60);
    while (!condition()) {
        if (Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamTableSuite)

// Guards against sending requests to an upstream that keeps failing, and against an ejection that never ends.
BOOST_AUTO_TEST_CASE(RepeatedFailuresEjectForGrowingTimes)
{
    const FleetState state("d1");
    UpstreamTable table(state);
    const auto fail = [&table](int times, TimePoint at) {
        for (int failure = 0; failure < times; ++failure) {
            table.recordStart("a", WorkKind::Online);
            table.recordFinish("a", WorkKind::Online, { true, {}, {} }, at);
        }
        return table.snapshotOf("a").ejectedUntil;
    };
    BOOST_TEST((fail(2, NOW) < NOW));
    const TimePoint first = fail(1, NOW);
    BOOST_TEST((first == NOW + std::chrono::seconds(1)));
    // Failures of requests that were in flight when the ejection began do not extend it.
    BOOST_TEST((fail(5, NOW) == first));
    BOOST_TEST((fail(1, first) == first + std::chrono::seconds(2)));
    table.recordStart("a", WorkKind::Online);
    table.recordFinish("a", WorkKind::Online, { false, 5, 50 }, first);
    BOOST_TEST((table.snapshotOf("a").ejectedUntil < NOW));
    BOOST_TEST((fail(2, first) < NOW));
}

// Guards against confusing online and batch requests, and against requests that stay counted after they ended.
BOOST_AUTO_TEST_CASE(OnlineAndBatchInFlightAreCountedSeparately)
{
    const FleetState state("d1");
    UpstreamTable table(state);
    {
        const InFlightRequest online(table, "a", WorkKind::Online);
        const InFlightRequest batch(table, "a", WorkKind::Batch);
        const InFlightRequest secondBatch(table, "a", WorkKind::Batch);
        BOOST_TEST(table.snapshotOf("a").ownOnline == 1);
        BOOST_TEST(table.snapshotOf("a").ownBatch == 2);
    }
    BOOST_TEST(table.snapshotOf("a").ownOnline + table.snapshotOf("a").ownBatch == 0);
}

// Guards against a collapse of the slot estimate because of one report taken just before a waiting request started.
BOOST_AUTO_TEST_CASE(SlotsAreEstimatedFromReportsWithWaitingRequests)
{
    const FleetState state("d1");
    UpstreamTable table(state);
    table.recordReport("a", { 40, 0 }, NOW);
    BOOST_TEST(!table.snapshotOf("a").slots.has_value());
    table.recordReport("a", { 16, 9 }, NOW);
    table.recordReport("a", { 0, 1 }, NOW);
    BOOST_TEST(table.snapshotOf("a").slots.value() > 14);
    table.recordReport("a", { 24, 0 }, NOW);
    BOOST_TEST(table.snapshotOf("a").slots.value() == 24);
}

// Guards against a mark that an answer from before takes away, that a new run does not end, or that lasts for ever.
BOOST_AUTO_TEST_CASE(AMarkOfLeavingEndsWithALaterAnswer)
{
    const FleetState state("d1");
    UpstreamTable table(state);
    BOOST_TEST(table.recordLeaving("a", true, NOW, NOW + Milliseconds(10)));
    BOOST_TEST(!table.recordLeaving("a", true, NOW, NOW + Milliseconds(20)));
    BOOST_TEST(table.isLeaving("a", NOW + Milliseconds(20)));
    BOOST_TEST(!table.isLeaving("b", NOW + Milliseconds(20)));
    table.recordLeaving("a", false, NOW + Milliseconds(5), NOW + Milliseconds(30));
    BOOST_TEST(table.isLeaving("a", NOW + Milliseconds(30)));
    table.recordLeaving("a", false, NOW + Milliseconds(15), NOW + Milliseconds(40));
    BOOST_TEST(!table.isLeaving("a", NOW + Milliseconds(40)));
    table.recordLeaving("a", true, NOW, NOW);
    BOOST_TEST(table.isLeaving("a", NOW + std::chrono::minutes(9)));
    BOOST_TEST(!table.isLeaving("a", NOW + std::chrono::minutes(11)));
}

// Guards against missing that an idle upstream says it leaves, since no request shows it.
BOOST_AUTO_TEST_CASE(PollsShowAnUpstreamThatLeaves)
{
    FleetState state("d1");
    UpstreamTable table(state);
    const auto fake = *FakeUpstream::start("127.0.0.1:0", {});
    const Upstream upstream = makeUpstream("a", fake->address());
    install(state, 1, { upstream });
    BOOST_REQUIRE(fake->setFaults(R"({"leaving":true})").ok());
    table.startPolling();
    BOOST_TEST(waitUntil([&] { return table.isLeaving("a", Clock::now()); }));
    BOOST_TEST(table.choose({ &upstream }, {}, Clock::now()) == nullptr);
    BOOST_REQUIRE(fake->setFaults(R"({"leaving":false})").ok());
    BOOST_TEST(waitUntil([&] { return !table.isLeaving("a", Clock::now()); }));
    BOOST_TEST(table.choose({ &upstream }, {}, Clock::now()) == &upstream);
}

// Guards against missing that an idle upstream went down, came back or was removed, since no request shows it.
BOOST_AUTO_TEST_CASE(PollsDetectCrashReturnAndRemoval)
{
    FleetState state("d1");
    UpstreamTable table(state);
    const std::string address = absl::StrCat("127.0.0.1:", freePort());
    auto fake = *FakeUpstream::start(address, { .reportLagMs = 0 });
    install(state, 1, { makeUpstream("a", address) });
    table.startPolling();
    BOOST_TEST(waitUntil([&] { return table.snapshotOf("a").reportedAt.has_value(); }));
    fake.reset();
    BOOST_TEST(waitUntil([&] { return table.snapshotOf("a").ejectedUntil == TimePoint::max(); }));
    fake = *FakeUpstream::start(address, {});
    BOOST_TEST(waitUntil([&] { return table.snapshotOf("a").ejectedUntil != TimePoint::max(); }));
    install(state, 2, {});
    BOOST_TEST(waitUntil([&] { return table.toJson(Clock::now())->size() == 0; }));
}

// Guards against one hanging upstream that blocks the polls of the others.
BOOST_AUTO_TEST_CASE(HangingUpstreamDoesNotStopThePolls)
{
    FleetState state("d1");
    UpstreamTable table(state);
    // Accepts connections into its backlog and never responds.
    const Poco::Net::ServerSocket hanging(Poco::Net::SocketAddress("127.0.0.1:0"), 16);
    const auto fake = *FakeUpstream::start("127.0.0.1:0", {});
    install(state, 1, { makeUpstream("a", hanging.address().toString()), makeUpstream("b", fake->address()) });
    table.startPolling();
    BOOST_TEST(waitUntil([&] { return table.snapshotOf("a").ejectedUntil == TimePoint::max(); }));
    BOOST_TEST(table.snapshotOf("b").reportedAt.has_value());
    BOOST_TEST((table.snapshotOf("b").ejectedUntil != TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
