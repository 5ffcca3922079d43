#include "Connection/HttpService.h"

#include "Connection/HttpReply.h"
#include "Process/Clock.h"
#include "Process/JsonClient.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

namespace poplardock {

BOOST_AUTO_TEST_SUITE(HttpServiceSuite)

// Guards against a shutdown that drops connections which were accepted and wait for a thread.
BOOST_AUTO_TEST_CASE(ADrainAnswersWhatWasAccepted)
{
    constexpr std::size_t CALLERS = 6;
    const auto service = *HttpService::start("127.0.0.1:0", { 2, 100 }, [](auto & /*request*/, auto &response) {
        std::this_thread::sleep_for(Milliseconds(200));
        HttpReply::sendJson(response, 200, "{}");
    });
    std::vector<CallResult> results(CALLERS);
    {
        std::vector<std::jthread> callers;
        callers.reserve(CALLERS);
        for (CallResult &result : results) {
            callers.emplace_back([&service, &result] {
                JsonClient client(service->address());
                result = client.call({ "POST", "/x", "{}", {}, Milliseconds(5000) });
            });
        }
        std::this_thread::sleep_for(Milliseconds(100));
        service->drain(Clock::now() + Milliseconds(5000));
    }
    for (const CallResult &result : results) {
        const auto *response = std::get_if<HttpResponse>(&result);
        BOOST_TEST((response != nullptr && response->status == 200));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
