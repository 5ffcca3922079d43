#include "Connection/ClientPool.h"

#include "Fakes/FakeEngine.h"
#include "Support/PlatformFleet.h"
#include "Support/TestEnvironment.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(ClientPoolSuite)

// Guards against a request that waits in vain because its connection was paused for the slow reader of the former answer.
BOOST_AUTO_TEST_CASE(AConnectionIsKeptReading)
{
    constexpr Milliseconds EXCHANGE_TIME { 1000 };
    EventLoop loop;
    FakeEngine engine(loop, "engine");
    ClientPool pool(loop, { {}, EXCHANGE_TIME, Milliseconds(60000) });
    for (int index = 0; index < 3; ++index) {
        std::optional<ExchangeEnd> ended;
        HttpCall call = PlatformFleet::request("/plain/x", "r" + std::to_string(index), "key1");
        pool.acquire("engine", engine.address(), EXCHANGE_TIME, std::nullopt, [&](const std::shared_ptr<ClientChannel> &channel) {
            BOOST_REQUIRE(channel != nullptr);
            channel->setUsableFor(Milliseconds(60000));
            ExchangeHandlers handlers;
            handlers.accepts = [](const MessageHead &) {
                return true;
            };
            handlers.onHead = [](const MessageHead &) {
            };
            handlers.onBody = [client = channel.get()](std::string_view) {
                client->pause();
            };
            handlers.onEnd = [&, channel](ExchangeEnd end) {
                ended = end;
                pool.release("engine", channel);
            };
            channel->exchange(encodeCall(call), std::move(handlers));
        });
        BOOST_TEST(runLoopUntil(
                       loop, [&ended] { return ended.has_value(); }, EXCHANGE_TIME),
                   "request " << index);
        BOOST_TEST((ended == ExchangeEnd::Complete));
    }
    BOOST_TEST(pool.connectCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
