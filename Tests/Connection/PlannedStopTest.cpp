#include "Support/PlatformFleet.h"

#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace poplardock {

namespace {

/// A connection of a caller that the test writes and reads piece by piece beside the fleet's loop.
class CallerSocket
{
public:
    explicit CallerSocket(PlatformFleet &fleet)
        : fleet_(fleet)
        , socket_(Poco::Net::SocketAddress(fleet.daemons[0]->callersAddress()))
    {
    }

    auto send(std::string_view bytes) -> void
    {
        BOOST_REQUIRE(socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size())) == static_cast<int>(bytes.size()));
    }

    /// Everything that comes until the text has come or the time is over.
    auto readUntil(const std::string &text, Milliseconds time) -> const std::string &
    {
        fleet_.runUntil(
            [this, &text] {
                char buffer[4096];
                while (!hasEnded_ && socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                    const int count = socket_.receiveBytes(buffer, sizeof buffer);
                    hasEnded_ = count <= 0;
                    received_.append(buffer, static_cast<std::size_t>(std::max(0, count)));
                }
                return hasEnded_ || absl::StrContains(received_, text);
            },
            time);
        return received_;
    }

private:
    PlatformFleet &fleet_;
    Poco::Net::StreamSocket socket_;
    std::string received_;
    bool hasEnded_ = false;
};

/// A fleet of one daemon with that much time for a shutdown.
auto startFleet(PlatformFleet &fleet, Milliseconds shutdown) -> void
{
    fleet.adjustSettings = [shutdown](FrontSettings &settings) {
        settings.bounds.shutdown = shutdown;
    };
    fleet.startDaemon("daemon0");
    fleet.awaitReady();
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStopSuite)

// Guards against a request that comes late in the grace, is passed on, and is cut without an answer at its end, also one that may not
// be repeated.
BOOST_AUTO_TEST_CASE(ALateRequestThatMayNotFitIsRefusedAsNotRun)
{
    PlatformFleet fleet(0, 1);
    startFleet(fleet, Milliseconds(4500));
    fleet.engines[0]->behaviour().isSilent = true;
    const std::string bytes = encodeCall(PlatformFleet::request("/plain/x", "late", "key1"));
    fleet.daemons[0]->beginShutdown();
    fleet.runFor(Milliseconds(1200));
    CallerSocket caller(fleet);
    caller.send(bytes.substr(0, bytes.size() / 2));
    fleet.runFor(Milliseconds(1800));
    caller.send(bytes.substr(bytes.size() / 2));
    BOOST_TEST(absl::StartsWith(caller.readUntil("\r\n\r\n", Milliseconds(300)), "HTTP/1.1 503 "));
    BOOST_TEST(fleet.engines[0]->arrivals().empty());
}

// Guards against a daemon that refuses what it can still serve.
BOOST_AUTO_TEST_CASE(ALateRequestThatFitsIsServed)
{
    PlatformFleet fleet(0, 1);
    startFleet(fleet, Milliseconds(6500));
    const std::string bytes = encodeCall(PlatformFleet::request("/plain/x", "late", "key1"));
    fleet.daemons[0]->beginShutdown();
    fleet.runFor(Milliseconds(2000));
    CallerSocket caller(fleet);
    caller.send(bytes.substr(0, bytes.size() / 2));
    fleet.runFor(Milliseconds(1000));
    caller.send(bytes.substr(bytes.size() / 2));
    BOOST_TEST(absl::StartsWith(caller.readUntil("\r\n\r\n", Milliseconds(500)), "HTTP/1.1 200 "));
}

// Guards against connections that end without an answer because the process stood still when it would have read their requests.
BOOST_AUTO_TEST_CASE(ADaemonThatStoodStillAnswersWhatTheKernelAccepted)
{
    PlatformFleet fleet(0, 1);
    startFleet(fleet, Milliseconds(7500));
    CallerSocket kept(fleet);
    kept.send(encodeCall(PlatformFleet::request("/plain/x", "early", "key1")));
    BOOST_REQUIRE(absl::StartsWith(kept.readUntil("answer to body of early", Milliseconds(500)), "HTTP/1.1 200 "));
    fleet.daemons[0]->beginShutdown();
    fleet.runFor(Milliseconds(2000));
    std::vector<std::unique_ptr<CallerSocket>> callers;
    for (const std::string id : { "a", "b", "c" }) {
        callers.push_back(std::make_unique<CallerSocket>(fleet));
        callers.back()->send(encodeCall(PlatformFleet::request("/plain/x", id, "key1")));
    }
    kept.send(encodeCall(PlatformFleet::request("/plain/x", "late", "key1")));
    std::this_thread::sleep_for(Milliseconds(1000));
    for (const auto &caller : callers) {
        const std::string received = caller->readUntil("answer to ", Milliseconds(500));
        BOOST_TEST(absl::StartsWith(received, "HTTP/1.1 200 "), received);
    }
    BOOST_TEST(absl::StrContains(kept.readUntil("answer to body of late", Milliseconds(500)), "answer to body of late"));
    BOOST_TEST(fleet.runUntil([&fleet] { return fleet.daemons[0]->hasStopped(); }, Milliseconds(1000)));
}

// Guards against a connection that ends without an answer because the request's server is still at work at the end of the grace.
BOOST_AUTO_TEST_CASE(AnUnfinishedRequestIsAnsweredAtTheEnd)
{
    PlatformFleet fleet(0, 1);
    startFleet(fleet, Milliseconds(3600));
    fleet.engines[0]->behaviour().isSilent = true;
    fleet.daemons[0]->beginShutdown();
    fleet.runFor(Milliseconds(500));
    CallerSocket caller(fleet);
    caller.send(encodeCall(PlatformFleet::request("/plain/x", "r", "key1")));
    BOOST_TEST(absl::StartsWith(caller.readUntil("\r\n\r\n", Milliseconds(3200)), "HTTP/1.1 502 "));
    BOOST_TEST(fleet.engines[0]->arrivals().size() == 1U);
    BOOST_TEST(fleet.runUntil([&fleet] { return fleet.daemons[0]->hasStopped(); }, Milliseconds(1000)));
}

// Guards against a request that was read behind another one and is dropped without an answer because the daemon drains.
BOOST_AUTO_TEST_CASE(APipelinedRequestIsAnsweredBeforeTheConnectionCloses)
{
    PlatformFleet fleet(0, 1);
    startFleet(fleet, Milliseconds(6000));
    fleet.engines[0]->behaviour().eventPause = Milliseconds(60);
    CallerSocket caller(fleet);
    caller.send(encodeCall(PlatformFleet::streamRequest("/stream/x", "first", "key1"))
                + encodeCall(PlatformFleet::request("/once/x", "second", "key1")));
    BOOST_REQUIRE(fleet.runUntil([&fleet] { return fleet.engines[0]->runsOf("first") == 1; }, Milliseconds(1000)));
    fleet.daemons[0]->beginShutdown();
    const std::string received = caller.readUntil("answer to ", Milliseconds(3000));
    BOOST_TEST(absl::StrContains(received, "0\r\n\r\nHTTP/1.1 200 "));
    BOOST_TEST(absl::StrContains(received.substr(received.rfind("HTTP/1.1 ")), "Connection: close"));
    BOOST_TEST(fleet.engines[0]->runsOf("second") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
