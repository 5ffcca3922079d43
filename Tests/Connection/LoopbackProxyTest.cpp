#include "Support/LoopbackProxy.h"

#include "Connection/HttpClient.h"
#include "Fakes/FakeEngine.h"
#include "Support/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds CALL_TIME { 2000 };

/// A client that reaches an engine through a proxy.
class Path
{
public:
    Path()
        : engine(loop, "engine")
        , proxy(loop, "127.0.0.1:0", engine.address())
        , pool_(loop, { {}, Milliseconds(500), Milliseconds(5000) })
        , client_(loop, pool_)
    {
    }

    /// The outcome of a stream and the time that it took.
    auto call() -> std::pair<HttpCallOutcome, std::int64_t>
    {
        std::optional<HttpCallOutcome> outcome;
        const BootTime begin = BootClock::now();
        client_.call(proxy.address(),
                     PlatformFleet::streamRequest("/x", "s", ""),
                     begin + CALL_TIME,
                     [&outcome](const HttpCallOutcome &result) { outcome = result; });
        while (!outcome) {
            loop.runUntil(BootClock::now() + Milliseconds(1));
        }
        return { *outcome, std::chrono::duration_cast<Milliseconds>(BootClock::now() - begin).count() };
    }

    EventLoop loop;
    FakeEngine engine;
    LoopbackProxy proxy;

private:
    ClientPool pool_;
    HttpClient client_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoopbackProxySuite)

// Guards against a proxy that disturbs what it should only forward, or hides the end of a connection from one side:
// the soak would then test something else.
BOOST_AUTO_TEST_CASE(EndsAndBytesPassThrough)
{
    Path path;
    const auto whole = path.call();
    BOOST_REQUIRE(std::holds_alternative<HttpResult>(whole.first));
    BOOST_TEST(std::get<HttpResult>(whole.first).status == 200);
    path.engine.behaviour().breakAfterEvents = 2;
    for (int repeat = 0; repeat < 20; ++repeat) {
        const auto broken = path.call();
        BOOST_TEST(std::holds_alternative<HttpCallFailure>(broken.first));
        BOOST_TEST(broken.second < 500, "the break was seen after " << broken.second << " ms");
    }
}

// Guards against faults that have no effect, or an effect on the other direction.
BOOST_AUTO_TEST_CASE(FaultsDisturbAsAsked)
{
    Path path;
    LoopbackProxy::Faults faults;
    faults.delay = Milliseconds(100);
    path.proxy.setFaults(faults);
    BOOST_TEST(path.call().second >= 200);
    faults = {};
    faults.holdsAnswers = true;
    path.proxy.setFaults(faults);
    const std::size_t runs = path.engine.runs().size();
    BOOST_TEST(std::holds_alternative<HttpCallFailure>(path.call().first));
    BOOST_TEST(path.engine.runs().size() == runs + 1);
    faults = {};
    faults.holdsRequests = true;
    path.proxy.setFaults(faults);
    BOOST_TEST(std::holds_alternative<HttpCallFailure>(path.call().first));
    BOOST_TEST(path.engine.runs().size() == runs + 1);
    faults = {};
    faults.refuses = true;
    path.proxy.setFaults(faults);
    BOOST_TEST(path.call().second < 500);
    path.proxy.setFaults({});
    BOOST_TEST(std::holds_alternative<HttpResult>(path.call().first));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
