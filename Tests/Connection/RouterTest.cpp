#include "Connection/Router.h"

#include "Connection/HttpReply.h"
#include "Connection/HttpService.h"
#include "Process/JsonClient.h"

#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

auto replyWith(const std::string &text) -> Router::Handler
{
    return [text](Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) {
        HttpReply::sendJson(response, 200, text);
    };
}

struct ServiceFixture
{
    ServiceFixture()
    {
        router.add("GET", "/a/b", replyWith("exact"));
        router.addPrefix("", "/a/", replyWith("short"));
        router.addPrefix("POST", "/a/bc/", replyWith("long"));
        router.add("POST", "/body", [](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            auto body = HttpReply::readBody(request, 10);
            if (std::holds_alternative<RequestError>(body)) {
                HttpReply::sendError(response, std::get<RequestError>(body));
                return;
            }
            HttpReply::sendJson(response, 200, std::get<std::string>(body));
        });
        router.add(
            "GET", "/throw", [](Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &) { throw std::runtime_error("fault"); });
    }

    auto ask(const std::string &method, const std::string &path, const std::string &body = {}) -> HttpResponse
    {
        const CallResult result = client.call({ method, path, body, {}, Milliseconds(5000) });
        const auto *answer = std::get_if<HttpResponse>(&result);
        return answer == nullptr ? HttpResponse {} : *answer;
    }

    Router router;
    std::unique_ptr<HttpService> service
        = *HttpService::start("127.0.0.1:0", {}, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
              router.handle(request, response);
          });
    JsonClient client { service->address() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RouterSuite, ServiceFixture)

BOOST_AUTO_TEST_CASE(ExactPathsGoBeforePrefixesAndLongPrefixesBeforeShort)
{
    BOOST_TEST(ask("GET", "/a/b").body == "exact");
    BOOST_TEST(ask("GET", "/a/b?x=1").body == "exact");
    BOOST_TEST(ask("POST", "/a/bc/d").body == "long");
    BOOST_TEST(ask("GET", "/a/bc/d").body == "short");
}

BOOST_AUTO_TEST_CASE(UnknownPathsAndMethodsGetTheirCodes)
{
    BOOST_TEST(ask("GET", "/none").status == 404);
    BOOST_TEST(ask("GET", "/body").status == 405);
}

// Guards against a body that is buffered without limit.
BOOST_AUTO_TEST_CASE(LargeBodiesAreRefused)
{
    BOOST_TEST(ask("POST", "/body", "0123456789").status == 200);
    BOOST_TEST(ask("POST", "/body", "01234567890").status == 413);
}

// Guards against a handler's fault that stops the process.
BOOST_AUTO_TEST_CASE(AFaultInAHandlerIsAnsweredAsInternal)
{
    BOOST_TEST(ask("GET", "/throw").status == 500);
    BOOST_TEST(ask("GET", "/a/b").status == 200);
}

// Guards against a truncated body that is handled as if it were whole.
BOOST_AUTO_TEST_CASE(ATruncatedBodyIsRefused)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(service->address()) };
    const std::string request = "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n0123";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    socket.shutdownSend();
    char answer[64] = {};
    socket.receiveBytes(answer, sizeof answer - 1);
    BOOST_TEST(std::string(answer).find("400") != std::string::npos);
}

// Guards against malformed headers that are answered without the usual error shape.
BOOST_AUTO_TEST_CASE(MalformedHeadersGetTheUsualErrorShape)
{
    const std::vector<std::string> requests = {
        "GET /a/b HTTP/1.1\r\nLong: " + std::string(20000, 'x') + "\r\n\r\n",
        "GET /a/b HTTP/1.1\r\n" + std::string(300, 'n') + ": 1\r\n\r\n",
        "POST /body HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n01234",
    };
    for (const std::string &request : requests) {
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(service->address()) };
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        socket.shutdownSend();
        std::string answer;
        char buffer[512];
        for (int received = 1; received > 0;) {
            received = socket.receiveBytes(buffer, sizeof buffer);
            answer.append(buffer, static_cast<std::size_t>(std::max(received, 0)));
        }
        BOOST_TEST(answer.find("headers_invalid") != std::string::npos, request.substr(0, 40) << " gave " << answer);
    }
    BOOST_TEST(ask("GET", "/a/b").status == 200);
}

// Guards against a drain that cuts a request that has reached the server.
BOOST_AUTO_TEST_CASE(DrainAnswersWhatHasArrived)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(service->address()) };
    const std::string request = "GET /a/b HTTP/1.1\r\nHost: a\r\n\r\n";
    char buffer[512] = {};
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    BOOST_TEST(socket.receiveBytes(buffer, sizeof buffer) > 0);
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    service->drain(Clock::now() + Milliseconds(5000));
    BOOST_TEST(socket.receiveBytes(buffer, sizeof buffer) > 0);
    BOOST_TEST(std::string(buffer).find("200") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
