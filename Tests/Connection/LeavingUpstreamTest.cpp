#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

/// Time in which the reports of daemons reach all others.
constexpr Milliseconds NEWS_TIME { 1000 };
constexpr Milliseconds RUN_TIME { 8000 };

/// Daemons before one engine that says that it leaves and one that stays; the entries of both say that they are ready.
class LeavingFleet
{
public:
    explicit LeavingFleet(int daemons)
        : fleet(daemons, 2)
    {
        for (const auto &engine : fleet.engines) {
            engine->behaviour().events = 2;
            engine->behaviour().eventPause = Milliseconds(1);
        }
        leaving().behaviour().isLeaving = true;
    }

    auto leaving() -> FakeEngine &
    {
        return *fleet.engines.front();
    }

    auto send(std::size_t daemon, const std::string &path) -> std::optional<HttpResult>
    {
        const std::string id = absl::StrCat("r", count_++);
        return fleet.call(daemon,
                          path == "/plain/x" ? PlatformFleet::request(path, id, "key1") : PlatformFleet::streamRequest(path, id, "key1"));
    }

    /// Sends requests until the leaving engine has got one.
    auto sendUntilMarked(std::size_t daemon, const std::string &path) -> void
    {
        for (int index = 0; leaving().arrivals().empty() && index < 60; ++index) {
            send(daemon, path);
        }
        BOOST_REQUIRE(leaving().arrivals().size() == 1U);
    }

    /// Makes the other engines decline, so that each further request needs the leaving one, however the estimates of their times differ.
    auto leaveOnlyTheFirst() -> void
    {
        for (std::size_t engine = 1; engine < fleet.engines.size(); ++engine) {
            fleet.engines[engine]->behaviour().declines = true;
        }
    }

    /// Sends further requests, each of which has to be served, and returns how many requests the leaving engine has got in all.
    auto sendMore(std::size_t daemon) -> std::size_t
    {
        for (int index = 0; index < 12; ++index) {
            const auto result = send(daemon, index % 2 == 0 ? "/plain/x" : "/resumed/x");
            BOOST_REQUIRE(result.has_value());
            BOOST_TEST(result->status == 200);
        }
        return leaving().arrivals().size();
    }

    PlatformFleet fleet;

private:
    int count_ = 0;
};

auto entryOf(const FakeEngine &engine, std::int64_t born) -> std::string
{
    std::string text = FakeEngine::entryAt(engine.address(), "ready");
    text.insert(text.size() - 1, absl::StrCat(R"(,"born":)", born));
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingUpstreamSuite)

// Guards against requests to a server that has said in an answer that it leaves, whatever the answer was.
BOOST_AUTO_TEST_CASE(AnyAnswerMarksAServerAtOnce)
{
    struct Case
    {
        std::string path;
        int status = 200;
        bool declines = false;
    };
    for (const Case &each : { Case { "/plain/x" },
                              Case { "/resumed/x" },
                              Case { "/plain/x", 500 },
                              Case { "/resumed/x", 422 },
                              Case { "/plain/x", 200, true },
                              Case { "/resumed/x", 200, true } }) {
        LeavingFleet fleet(1);
        fleet.leaving().behaviour().status = each.status;
        fleet.leaving().behaviour().declines = each.declines;
        fleet.sendUntilMarked(0, each.path);
        BOOST_TEST(fleet.sendMore(0) == 1U, each.path << " " << each.status << " " << each.declines);
    }
}

// Guards against a mark that waits for the end of a stream, and against a stream that is broken off by it.
BOOST_AUTO_TEST_CASE(TheHeadOfAStreamMarksAndTheStreamGoesOn)
{
    LeavingFleet leaving(1);
    leaving.fleet.engines[1]->behaviour().declines = true;
    leaving.leaving().behaviour().events = 60;
    leaving.leaving().behaviour().eventPause = Milliseconds(10);
    leaving.fleet.post(0, PlatformFleet::streamRequest("/stream/x", "long", "key1"));
    BOOST_REQUIRE(leaving.fleet.runUntil([&] { return leaving.leaving().runsOf("long") == 1; }, RUN_TIME));
    leaving.fleet.runFor(Milliseconds(60));
    leaving.fleet.engines[1]->behaviour().declines = false;
    BOOST_TEST(leaving.sendMore(0) == 1U);
    leaving.fleet.runFor(NEWS_TIME);
    BOOST_TEST(leaving.leaving().runsOfRequest("long")[0].isComplete);
}

// Guards against batch items at a leaving server, and against an item's answer that marks nobody.
BOOST_AUTO_TEST_CASE(ItemsObeyAndMark)
{
    LeavingFleet leaving(1);
    BOOST_TEST(leaving.fleet.call(0, PlatformFleet::submission("job", 24, "key1"))->status == 202);
    BOOST_REQUIRE(leaving.fleet.runUntil([&] { return !leaving.leaving().arrivals().empty(); }, RUN_TIME));
    leaving.fleet.runFor(Milliseconds(200));
    const std::size_t marked = leaving.leaving().arrivals().size();
    BOOST_TEST(leaving.sendMore(0) == marked);
    std::vector<JobResult> results;
    leaving.fleet.runUntil([&] { return (results = leaving.fleet.results(0, "job", "key1")).size() == 24; }, RUN_TIME);
    BOOST_TEST(results.size() == 24U);
    BOOST_TEST(leaving.leaving().arrivals().size() == marked);
}

// Guards against a leaving server that each daemon finds out by a request of its own, with the store out of reach, and against
// a daemon that starts later and does not know.
BOOST_AUTO_TEST_CASE(OneAnswerSparesAllDaemons)
{
    LeavingFleet leaving(3);
    leaving.fleet.runFor(Milliseconds(2500));
    FakeObjectStore::Faults silent;
    silent.isSilent = true;
    leaving.fleet.store.setFaults(silent);
    leaving.sendUntilMarked(0, "/plain/x");
    leaving.fleet.runFor(NEWS_TIME);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        BOOST_TEST(leaving.sendMore(daemon) == 1U);
    }
    leaving.fleet.store.setFaults({});
    const std::size_t late = leaving.fleet.startDaemon("late");
    BOOST_REQUIRE(leaving.fleet.runUntil([&] { return leaving.fleet.isReady(late); }, RUN_TIME));
    leaving.fleet.runFor(NEWS_TIME);
    BOOST_TEST(leaving.sendMore(late) == 1U);
}

// Guards against a mark that is taken away by what the store says of the same run, by a history that is gone, or that outlives
// the run: an entry of a later one under the same name and address ends it.
BOOST_AUTO_TEST_CASE(OnlyALaterRunEndsAMark)
{
    LeavingFleet leaving(2);
    leaving.fleet.store.put("servers", leaving.leaving().name(), entryOf(leaving.leaving(), 1000));
    leaving.fleet.runFor(Milliseconds(2500));
    leaving.sendUntilMarked(0, "/plain/x");
    for (const std::int64_t born : { 1000, 900 }) {
        leaving.fleet.store.put("servers", leaving.leaving().name(), entryOf(leaving.leaving(), born));
        leaving.fleet.store.compact();
        leaving.fleet.runFor(Milliseconds(1500));
        BOOST_TEST(leaving.sendMore(0) == 1U);
        BOOST_TEST(leaving.sendMore(1) == 1U);
    }
    leaving.leaving().behaviour().isLeaving = false;
    leaving.fleet.store.put("servers", leaving.leaving().name(), entryOf(leaving.leaving(), 2000));
    leaving.fleet.runFor(Milliseconds(1500));
    leaving.leaveOnlyTheFirst();
    BOOST_TEST(leaving.sendMore(0) == 13U);
    BOOST_TEST(leaving.sendMore(1) == 25U);
}

// Guards against a sound server that is spared because of bytes that belong to no request.
BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestMarksNobody)
{
    LeavingFleet leaving(1);
    leaving.leaving().behaviour().isLeaving = false;
    leaving.leaving().behaviour().sendsStrayAnswer = true;
    leaving.leaving().behaviour().strayAnswerLeaves = true;
    leaving.sendUntilMarked(0, "/plain/x");
    leaving.leaveOnlyTheFirst();
    BOOST_TEST(leaving.sendMore(0) == 13U);
}

// Guards against requests that wait until their deadline, or get no time to come back, when all servers leave.
BOOST_AUTO_TEST_CASE(AllLeavingIsRefusedAtOnce)
{
    LeavingFleet leaving(1);
    leaving.fleet.engines[1]->behaviour().isLeaving = true;
    leaving.send(0, "/plain/x");
    leaving.send(0, "/plain/x");
    const BootTime begin = BootClock::now();
    const auto result = leaving.send(0, "/plain/x");
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->status == 503);
    BOOST_TEST(result->headers.find("Retry-After") != nullptr);
    BOOST_TEST(millisecondsBetween(begin, BootClock::now()) < 200);
    BOOST_TEST(leaving.leaving().arrivals().size() + leaving.fleet.engines[1]->arrivals().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
