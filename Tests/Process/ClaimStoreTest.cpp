#include "Process/ClaimStore.h"

#include "Fakes/FakePlatform.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace poplardock {

namespace {

struct ClaimFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    StoreClient firstStore { platform->address(), "d1", { 1000, 1000 } };
    StoreClient secondStore { platform->address(), "d2", { 1000, 1000 } };
    ClaimStore first { firstStore };
    ClaimStore second { secondStore };
    const ClaimRequest request { "blue", "order-1", "POST", "/hold", "{}" };

    static auto codeOf(const std::variant<Claim, RecordedResponse, RequestError> &result) -> ResultCode
    {
        const auto *error = std::get_if<RequestError>(&result);
        return error == nullptr ? ResultCode::Ok : error->code;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimStoreSuite, ClaimFixture)

// Guards against two daemons that both run a request that they receive at the same time.
BOOST_AUTO_TEST_CASE(OneOfManyClaimsWins)
{
    std::atomic<int> claimed = 0;
    {
        std::vector<std::jthread> callers;
        callers.reserve(8);
        for (int caller = 0; caller < 8; ++caller) {
            callers.emplace_back([this, caller, &claimed] {
                claimed += std::holds_alternative<Claim>((caller % 2 == 0 ? first : second).claim(request)) ? 1 : 0;
            });
        }
    }
    BOOST_TEST(claimed == 1);
}

// Guards against a response that the store changes, and against returning it for a different request.
BOOST_AUTO_TEST_CASE(RecordedResponseComesBackUnchanged)
{
    const auto claim = first.claim(request);
    BOOST_REQUIRE(std::holds_alternative<Claim>(claim));
    BOOST_TEST((codeOf(second.claim(request)) == ResultCode::ClaimPending));
    const RecordedResponse response { 201, "application/octet-stream", std::string("\0\xff\n{\"\r", 6) };
    BOOST_TEST(first.record(std::get<Claim>(claim), response).ok());
    const auto again = second.claim(request);
    BOOST_REQUIRE(std::holds_alternative<RecordedResponse>(again));
    BOOST_TEST((std::get<RecordedResponse>(again) == response));
    ClaimRequest other = request;
    other.body = "[]";
    BOOST_TEST((codeOf(second.claim(other)) == ResultCode::ClaimConflict));
    other = request;
    other.path = "/look";
    BOOST_TEST((codeOf(second.claim(other)) == ResultCode::ClaimConflict));
    other = request;
    other.team = "red";
    BOOST_TEST(std::holds_alternative<Claim>(second.claim(other)));
}

// Guards against a key that stays claimed although its request was never sent.
BOOST_AUTO_TEST_CASE(ReleasedKeyCanBeClaimedAgain)
{
    const auto claim = first.claim(request);
    BOOST_REQUIRE(std::holds_alternative<Claim>(claim));
    BOOST_TEST(first.release(std::get<Claim>(claim)).ok());
    BOOST_TEST(std::holds_alternative<Claim>(second.claim(request)));
}

// Guards against a claim that fails although the store created it and only the store's response was lost.
BOOST_AUTO_TEST_CASE(LostStoreResponseStillClaims)
{
    BOOST_REQUIRE(platform->setFaults(R"({"lose_write_answers":1})").ok());
    BOOST_TEST(std::holds_alternative<Claim>(first.claim(request)));
    BOOST_TEST((codeOf(second.claim(request)) == ResultCode::ClaimPending));
}

BOOST_AUTO_TEST_CASE(OversizedResponseIsNotRecorded)
{
    const auto claim = first.claim(request);
    BOOST_REQUIRE(std::holds_alternative<Claim>(claim));
    BOOST_TEST(!first.record(std::get<Claim>(claim), { 200, "text/plain", std::string((256U << 10U) + 1, 'x') }).ok());
    BOOST_TEST((codeOf(second.claim(request)) == ResultCode::ClaimPending));
    BOOST_TEST(first.record(std::get<Claim>(claim), { 200, "text/plain", std::string(256U << 10U, 'x') }).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
