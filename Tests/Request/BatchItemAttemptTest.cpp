#include "Request/BatchItemAttempt.h"

#include "Fakes/FakeUpstream.h"
#include "Process/JobStore.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

auto modelJob() -> BatchJob
{
    BatchJob job;
    job.model = "m";
    return job;
}

auto makeResponse(int status, std::string body) -> UpstreamResult
{
    return UpstreamAnswer { { status, {} }, std::move(body) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(BatchItemAttemptSuite)

// Guards against a stored response that differs from the response to the same request without streaming.
BOOST_AUTO_TEST_CASE(StreamedResponseIsAssembled)
{
    const auto fake = *FakeUpstream::start("127.0.0.1:0", {});
    Upstream upstream;
    upstream.name = "u";
    upstream.address = fake->address();
    const std::string body = R"({"max_tokens":3,"messages":[{"role":"user","content":"hello"}]})";
    BOOST_REQUIRE(BatchItemAttempt::shouldStream(modelJob(), body));
    const auto alive = [](const Upstream &) {
        return true;
    };
    const auto result = BatchItemAttempt::run(upstream, modelJob(), body, Clock::now() + std::chrono::seconds(60), {}, { alive });
    BOOST_REQUIRE(std::holds_alternative<ItemResponse>(result));
    const auto read = Json::parseObject(std::get<ItemResponse>(result).body);
    BOOST_REQUIRE(read.ok());
    const auto message = (*read)->getArray("choices")->getObject(0)->getObject("message");
    BOOST_TEST(message->getValue<std::string>("content") == "echo:hello t t");
    BOOST_TEST(fake->received().at(0).body.find(R"("model":"m")") != std::string::npos);
}

// Guards against losing text when a read ends in the middle of an event, and against storing endless streams.
BOOST_AUTO_TEST_CASE(EventsMayBeSplitAnywhere)
{
    const std::string events = "data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
                               "data: {\"choices\":[{\"delta\":{\"content\":\"b\"},\"finish_reason\":\"length\"}]}\n\n"
                               "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    StreamedResponse whole;
    StreamedResponse pieces;
    BOOST_TEST(whole.append(events));
    for (const char &c : events) {
        BOOST_TEST(pieces.append({ &c, 1 }));
    }
    BOOST_TEST(whole.toBody() == pieces.toBody());
    for (const char *part : { R"("content":"ab")", R"("finish_reason":"length")", R"("id":"x")", R"("completion_tokens":2)" }) {
        BOOST_TEST(whole.toBody().find(part) != std::string::npos);
    }
    BOOST_TEST(!pieces.append(std::string(JobStore::MAXIMUM_RESULT_BYTES + 1, 'x')));
    BOOST_TEST(StreamedResponse().toBody().empty());
}

// Guards against retrying items that the upstream refused, and against failing items that may succeed later.
BOOST_AUTO_TEST_CASE(UpstreamResultsAreClassified)
{
    const auto classify = [](const UpstreamResult &result, bool isAlive = true) {
        return BatchItemAttempt::classify(result, "u", isAlive);
    };
    BOOST_TEST(std::holds_alternative<ItemResponse>(classify(makeResponse(200, "{}"))));
    BOOST_TEST((std::get<ItemFailed>(classify(makeResponse(422, "no"))).error == ResultCode::ItemRefused));
    BOOST_TEST(!std::get<AttemptFailed>(classify(makeResponse(429, ""))).mayHaveRun);
    BOOST_TEST(std::get<AttemptFailed>(classify(makeResponse(503, ""))).mayHaveRun);
    BOOST_TEST((std::get<ItemFailed>(classify(makeResponse(200, std::string(JobStore::MAXIMUM_RESULT_BYTES + 1, 'x')))).error
                == ResultCode::ItemResultTooLarge));
    UpstreamFailure lost { RunState::MayHaveRun, ResultCode::UpstreamLost, "lost", true, false };
    BOOST_TEST(std::get<AttemptFailed>(classify(lost, false)).isCrash);
    BOOST_TEST(!std::get<AttemptFailed>(classify(lost, true)).isCrash);
    lost.isStopped = true;
    BOOST_TEST(std::get<ItemReturned>(classify(lost)).mayHaveRun);
    BOOST_TEST(!std::get<ItemReturned>(classify(UpstreamFailure { RunState::NotRun, ResultCode::UpstreamConnectFailed, "" })).mayHaveRun);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
