#include "Support/OddServer.h"
#include "Support/PlatformFleet.h"
#include "Support/RawServer.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <future>

namespace poplardock {

namespace {

/// Well before the timeout of the routes, 3 s.
constexpr Milliseconds END_TIME { 1500 };
/// Time in which a daemon finds a new server, also right after its start.
constexpr Milliseconds LISTING_TIME { 1700 };

/// What follows the first head on a connection that carries a HEAD request and then one for a path that has no route.
struct Exchange
{
    std::string head;
    std::string rest;
};

class HeadFleet : public PlatformFleet
{
public:
    HeadFleet()
        : PlatformFleet(1, 0)
    {
    }

    auto addServer(const std::string &headers) -> void
    {
        server_ = std::make_unique<OddServer>(absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n", headers, "\r\n"),
                                              OddServer::Ending::Hold);
        store.put("servers", "odd", FakeEngine::entryAt(server_->address(), "ready"));
        runFor(LISTING_TIME);
    }

    auto exchange(const std::string &path) -> Exchange
    {
        const std::string common = "Host: shop\r\nAuthorization: Bearer key1\r\nWait-Ms: 3000\r\n";
        const std::string bytes = absl::StrCat(
            "HEAD ", path, " HTTP/1.1\r\nRequest-Id: r\r\n", common, "\r\nGET /none HTTP/1.1\r\nConnection: close\r\n", common, "\r\n");
        auto answer = std::async(std::launch::async, exchangeRaw, daemons[0]->callersAddress(), bytes, false);
        const auto hasEnded = [&answer] {
            return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        };
        BOOST_TEST(runUntil(hasEnded, END_TIME), path << " is answered too late");
        runUntil(hasEnded, Milliseconds(8000));
        const std::string text = answer.get();
        const std::size_t end = std::min(text.size(), text.find("\r\n\r\n") + 4);
        return { text.substr(0, end), text.substr(end) };
    }

private:
    std::unique_ptr<OddServer> server_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HeadRequestSuite)

// Guards against a daemon that waits for the body that a server's head announces and never sends.
BOOST_AUTO_TEST_CASE(TheServersHeadIsTheWholeAnswer)
{
    HeadFleet fleet;
    for (const std::string path : { "/plain/x", "/once/x" }) {
        fleet.addServer("Content-Length: 5\r\n");
        const Exchange exchange = fleet.exchange(path);
        BOOST_TEST(absl::StartsWith(exchange.head, "HTTP/1.1 200 "), exchange.head);
        BOOST_TEST(absl::StrContains(exchange.head, "Content-Length: 5\r\n"), exchange.head);
        BOOST_TEST(absl::StartsWith(exchange.rest, "HTTP/1.1 404 "), exchange.rest);
    }
}

// Guards against the end of a chunked body after a head without one.
BOOST_AUTO_TEST_CASE(AStreamsHeadIsTheWholeAnswer)
{
    HeadFleet fleet;
    fleet.addServer("Content-Type: text/event-stream\r\n");
    const Exchange exchange = fleet.exchange("/stream/x");
    BOOST_TEST(absl::StartsWith(exchange.head, "HTTP/1.1 200 "), exchange.head);
    BOOST_TEST(absl::StartsWith(exchange.rest, "HTTP/1.1 404 "), exchange.rest);
}

// Guards against the text of a refusal, which the caller would take for the answer to its next request.
BOOST_AUTO_TEST_CASE(ARefusalHasNoBody)
{
    HeadFleet fleet;
    const Exchange exchange = fleet.exchange("/none");
    BOOST_TEST(absl::StartsWith(exchange.head, "HTTP/1.1 404 "), exchange.head);
    BOOST_TEST(absl::StartsWith(exchange.rest, "HTTP/1.1 404 "), exchange.rest);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
