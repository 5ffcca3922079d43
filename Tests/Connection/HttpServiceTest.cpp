#include "Connection/HttpService.h"

#include "Connection/HttpReply.h"
#include "Process/Clock.h"

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

BOOST_AUTO_TEST_SUITE(HttpServiceSuite)

// Guards against a shutdown that drops connections which were accepted and wait for a thread.
BOOST_AUTO_TEST_CASE(ADrainAnswersWhatWasAccepted)
{
    constexpr Milliseconds HANDLER_TIME { 800 };
    /// Long enough for the service to accept all, and shorter than the handler, so that most of them wait for a thread.
    constexpr Milliseconds ACCEPT_TIME { 500 };
    constexpr std::string_view REQUEST = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
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
        std::array<char, 256> answer {};
        const int count = caller.receiveBytes(answer.data(), static_cast<int>(answer.size()));
        BOOST_TEST(absl::StartsWith(absl::string_view(answer.data(), static_cast<std::size_t>(std::max(0, count))), "HTTP/1.1 200"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
