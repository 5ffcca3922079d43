#include "Connection/HttpService.h"

#include "Connection/HttpReply.h"
#include "Process/Clock.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <thread>
#include <vector>

namespace poplardock {

namespace {

constexpr std::string_view REQUEST = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

auto hasAnswer(Poco::Net::StreamSocket &caller) -> bool
{
    std::array<char, 256> answer {};
    const int count = caller.receiveBytes(answer.data(), static_cast<int>(answer.size()));
    return absl::StartsWith(absl::string_view(answer.data(), static_cast<std::size_t>(std::max(0, count))), "HTTP/1.1 200");
}

/// Sends a request and closes the connection after the answer. False when the connection breaks.
auto isAnswered(Poco::Net::StreamSocket &caller) -> bool
{
    try {
        caller.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
        const bool isOk = hasAnswer(caller);
        caller.close();
        return isOk;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServiceSuite)

// Guards against a shutdown that drops connections which were accepted and wait for a thread.
BOOST_AUTO_TEST_CASE(ADrainAnswersWhatWasAccepted)
{
    constexpr Milliseconds HANDLER_TIME { 800 };
    /// Long enough for the service to accept all, and shorter than the handler, so that most of them wait for a thread.
    constexpr Milliseconds ACCEPT_TIME { 500 };
    const auto service = *HttpService::start("127.0.0.1:0", { 2, 100 }, [&](auto & /*request*/, auto &response) {
        std::this_thread::sleep_for(HANDLER_TIME);
        HttpReply::sendJson(response, 200, "{}");
    });
    std::vector<Poco::Net::StreamSocket> callers(6);
    for (Poco::Net::StreamSocket &caller : callers) {
        caller.connect(Poco::Net::SocketAddress(service->address()));
        caller.setReceiveTimeout(Poco::Timespan(10, 0));
        caller.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    }
    std::this_thread::sleep_for(ACCEPT_TIME);
    service->drain(Clock::now() + std::chrono::seconds(10));
    for (Poco::Net::StreamSocket &caller : callers) {
        BOOST_TEST(hasAnswer(caller));
    }
}

// Guards against a shutdown that resets connections which the kernel has accepted and the service has not.
BOOST_AUTO_TEST_CASE(ADrainAnswersWhatTheKernelHasAccepted)
{
    constexpr std::size_t CALLERS = 200;
    /// Time between a caller's connection and its request.
    constexpr Milliseconds SEND_DELAY { 300 };
    const auto service = *HttpService::start(
        "127.0.0.1:0", { 4, CALLERS }, [](auto & /*request*/, auto &response) { HttpReply::sendJson(response, 200, "{}"); });
    const Poco::Net::SocketAddress address(service->address());
    std::vector<Poco::Net::StreamSocket> callers(CALLERS);
    for (Poco::Net::StreamSocket &caller : callers) {
        caller.connect(address);
        caller.setReceiveTimeout(Poco::Timespan(10, 0));
    }
    std::jthread draining([&] { service->drain(Clock::now() + std::chrono::seconds(30)); });
    std::this_thread::sleep_for(SEND_DELAY);
    std::size_t answered = 0;
    for (Poco::Net::StreamSocket &caller : callers) {
        answered += isAnswered(caller) ? 1 : 0;
    }
    draining.join();
    BOOST_TEST(answered == CALLERS);
    BOOST_CHECK_THROW(Poco::Net::StreamSocket { address }, Poco::Net::ConnectionRefusedException);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
