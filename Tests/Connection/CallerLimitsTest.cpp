#include "Connection/CallerServer.h"
#include "Support/TestEnvironment.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds IDLE_TIMEOUT { 700 };
constexpr Milliseconds TEST_TIME { 10000 };
constexpr const char *UNFINISHED = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nbegin";

/// A server whose answers are larger than what the sockets take, and one connection to it.
class Fixture
{
public:
    explicit Fixture(HeldBytes::Bounds bounds)
        : account(std::make_shared<HeldBytes>(bounds))
    {
        CallerServer::Options options;
        options.limits = [] {
            return CallerLimits { 16384, 1U << 20U, Milliseconds(3000), IDLE_TIMEOUT };
        };
        options.account = account;
        options.maximumConnections = 2;
        server = *CallerServer::open(loop, "127.0.0.1:0", std::move(options), [](const auto &exchange) {
            exchange->reply({ HttpStatus::OK, {}, std::string(16U << 20U, 'x') });
        });
    }

    struct Client
    {
        std::shared_ptr<Channel> channel;
        std::string received;
        bool hasEnded = false;
    };

    auto connect(const std::string &text, bool reads) -> std::shared_ptr<Client>
    {
        auto client = std::make_shared<Client>();
        Channel::connect(
            loop, server->address(), BootClock::now() + TEST_TIME, {}, [client, text, reads](std::shared_ptr<Channel> channel) {
                client->channel = std::move(channel);
                client->channel->start([client](std::string_view bytes) { client->received.append(bytes); },
                                       [client](ChannelEnd) { client->hasEnded = true; });
                client->channel->send(text);
                if (!reads) {
                    client->channel->pause();
                }
            });
        BOOST_REQUIRE(runLoopUntil(
            loop, [client] { return client->channel != nullptr; }, TEST_TIME));
        return client;
    }

    EventLoop loop;
    std::shared_ptr<HeldBytes> account;
    std::unique_ptr<CallerServer> server;
};

constexpr HeldBytes::Bounds WIDE { 64U << 20U, 1U << 20U, 1U << 16U };

} // namespace

/// Guards against bodies that stop short of their end and keep their memory as long as the connection is open.
BOOST_AUTO_TEST_CASE(ABodyWithoutProgressIsEnded)
{
    Fixture fixture(WIDE);
    const auto client = fixture.connect(UNFINISHED, true);
    BOOST_TEST(runLoopUntil(
        fixture.loop, [&client] { return client->hasEnded; }, TEST_TIME));
    BOOST_TEST(client->received.starts_with("HTTP/1.1 408"));
    BOOST_TEST(runLoopUntil(
        fixture.loop, [&fixture] { return fixture.account->bytes() == 0; }, TEST_TIME));
}

/// Guards against answers that are kept for a caller that does not read.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsNotTakenIsEnded)
{
    Fixture fixture(WIDE);
    const auto client = fixture.connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
    BOOST_TEST(runLoopUntil(
        fixture.loop, [&fixture] { return fixture.account->bytes() > (1U << 20U); }, TEST_TIME));
    BOOST_TEST(runLoopUntil(
        fixture.loop, [&fixture] { return fixture.account->bytes() == 0; }, TEST_TIME));
}

/// Guards against bytes that are read before there is room for the declared length.
BOOST_AUTO_TEST_CASE(ADeclaredLengthWithoutRoomIsRefused)
{
    Fixture fixture({ 60000, 1000, 1000 });
    const auto client = fixture.connect(UNFINISHED, true);
    BOOST_TEST(runLoopUntil(
        fixture.loop, [&client] { return client->hasEnded; }, TEST_TIME));
    BOOST_TEST(client->received.starts_with("HTTP/1.1 503"));
    BOOST_TEST(fixture.account->counts().refused == 1U);
}

/// Guards against unfinished requests that keep new connections out.
BOOST_AUTO_TEST_CASE(TheLongestWaitingConnectionMakesWay)
{
    Fixture fixture(WIDE);
    const auto first = fixture.connect(UNFINISHED, true);
    const auto second = fixture.connect(UNFINISHED, true);
    fixture.loop.runUntil(BootClock::now() + Milliseconds(300));
    const auto third = fixture.connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n", true);
    BOOST_TEST(runLoopUntil(
        fixture.loop, [&] { return first->hasEnded && third->received.starts_with("HTTP/1.1 200"); }, TEST_TIME));
}

} // namespace poplardock
