#include "Connection/JobRoutes.h"

#include "Connection/CallerAuthentication.h"
#include "Process/JsonClient.h"
#include "Support/BatchFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

auto submissionText(const std::string &key, const std::string &fields, const std::string &items) -> std::string
{
    return absl::StrCat(
        R"({"job_key":")", key, R"(","class":"sheets",)", fields, R"("due":"2030-01-01T08:00:00+01:00","items":[)", items, "]}");
}

constexpr const char *ITEM = R"({"id":"a","body":{"messages":[]}})";
constexpr const char *MODEL = R"("model":"m",)";

struct JobRoutesFixture
{
    BatchFleet fleet { 1, 1 };
    AllowanceDecision decision = Admitted {};
    int asked = 0;
    JobRoutes routes { fleet.store(), fleet.daemons[0]->fleet, [this](const std::string &, TimePoint) {
                          ++asked;
                          return decision;
                      } };
    Router router;
    std::unique_ptr<HttpService> service;
    std::unique_ptr<JsonClient> client;

    JobRoutesFixture()
    {
        routes.addCallerRoutes(router);
        fleet.startAll();
        JobRoutes::addPeerRoutes(router, *fleet.daemons[0]->dispatcher);
        service = *HttpService::start("127.0.0.1:0", {}, [this](auto &request, auto &response) { router.handle(request, response); });
        client = std::make_unique<JsonClient>(service->address());
        // The fleet's version with a key for each of the teams "t" and "s".
        const auto version = fleet.daemons[0]->fleet.current();
        Configuration::Data data = version->configuration.data();
        for (Team &team : data.teams) {
            team.keys = { { absl::StrCat("key-", team.name), sha256Hex(absl::StrCat("secret-", team.name)), false } };
        }
        fleet.daemons[0]->fleet.install(
            std::make_shared<const FleetVersion>(FleetVersion { 2, 2, *Configuration::create(std::move(data)), version->members }),
            Clock::now() + std::chrono::hours(1));
    }

    auto call(const std::string &method, const std::string &path, const std::string &body = {}, const std::string &team = "t")
        -> HttpResponse
    {
        const auto result = client->call({ method, path, body, { { "Authorization", "Bearer secret-" + team } }, Milliseconds(60000) });
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(result));
        return std::get<HttpResponse>(result);
    }

    auto refusalOf(const std::string &body) -> std::string
    {
        const auto read = Json::parseObject(call("POST", "/v1/jobs", body).body);
        const auto error = (*read)->getObject("error");
        return error.isNull() ? "none" : error->getValue<std::string>("name");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobRoutesSuite, JobRoutesFixture)

// Guards against an endpoint that does not follow the design, and against jobs that other teams can see.
BOOST_AUTO_TEST_CASE(JobGoesFromSubmissionToResults)
{
    const std::string body = submissionText("job:1", MODEL, ITEM);
    BOOST_TEST(call("POST", "/v1/jobs", body).status == 202);
    BOOST_TEST(call("POST", "/v1/jobs", body).status == 202);
    BOOST_TEST((fleet.awaitEnd("t", "job:1").state == JobState::Done));
    BOOST_TEST(call("GET", "/v1/jobs/job:1").body.find(R"("done":1)") != std::string::npos);
    const HttpResponse page = call("GET", "/v1/jobs/job:1/results?from=0&limit=10");
    BOOST_TEST(page.status == 200);
    BOOST_TEST(page.body.find(R"("id":"a")") != std::string::npos);
    BOOST_TEST(page.body.find(R"("next":1)") != std::string::npos);
    BOOST_TEST(call("POST", "/v1/jobs/job:1/cancel").body.find(R"("state":"done")") != std::string::npos);
    BOOST_TEST(call("GET", "/v1/jobs/job:1", {}, "s").status == 404);
    BOOST_TEST(call("POST", "/v1/jobs/job:1/cancel", {}, "s").status == 404);
    BOOST_TEST(call("GET", "/v1/jobs/job:1", {}, "unknown").status == 401);
    BOOST_TEST(call("GET", "/v1/jobs/job:1/results?from=x").status == 400);
    BOOST_TEST(call("GET", "/v1/jobs/job:1/other").status == 404);
}

// Guards against malformed jobs that are accepted, that stop the process, or that draw on the allowance.
BOOST_AUTO_TEST_CASE(MalformedSubmissionsAreRefused)
{
    BOOST_TEST(refusalOf("{") == "malformed_json");
    BOOST_TEST(refusalOf("{}") == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("a/b", MODEL, ITEM)) == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("k", "", ITEM)) == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("k", R"("model":"m","path":"/lookups",)", ITEM)) == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("k", R"("path":"/lookups a",)", ITEM)) == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("k", R"("model":"x",)", ITEM)) == "model_unknown");
    BOOST_TEST(refusalOf(submissionText("k", R"("path":"/x",)", ITEM)) == "route_unknown");
    BOOST_TEST(refusalOf(submissionText("k", R"("model":"m","class":"chat",)", ITEM)) == "class_unknown");
    for (const char *due : { "tomorrow", "infinite-future", "2030-01-01", "2030-01-01T08:00:00", "2030-13-01T08:00:00Z" }) {
        const std::string body = absl::StrCat(R"({"job_key":"k","class":"sheets","model":"m","due":")", due, R"(","items":[)", ITEM, "]}");
        BOOST_TEST(refusalOf(body) == "job_invalid", due);
    }
    BOOST_TEST(refusalOf(submissionText("k", MODEL, "")) == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("k", MODEL, absl::StrCat(ITEM, ",", ITEM))) == "job_invalid");
    BOOST_TEST(refusalOf(submissionText("k", MODEL, R"({"id":"a","body":"text"})")) == "job_invalid");
    const std::string large = R"({"id":"a","body":{"x":")" + std::string(256UL * 1024, 'x') + R"("}})";
    BOOST_TEST(refusalOf(submissionText("k", MODEL, large)) == "body_too_large");
    std::string many = R"({"id":"0","body":{}})";
    for (int index = 1; index <= 100000; ++index) {
        absl::StrAppend(&many, R"(,{"id":")", index, R"(","body":{}})");
    }
    BOOST_TEST(refusalOf(submissionText("k", MODEL, many)) == "job_invalid");
}

// Guards against submissions over the allowance, and against relays that nobody makes.
BOOST_AUTO_TEST_CASE(AllowanceIsAskedForSubmissionsOnly)
{
    decision = OverAllowance { 7 };
    BOOST_TEST(call("POST", "/v1/jobs", submissionText("k", MODEL, ITEM)).status == 429);
    decision = ForwardToHome {};
    BOOST_TEST(refusalOf(submissionText("k", MODEL, ITEM)) == "allowance_unavailable");
    BOOST_TEST(call("GET", "/v1/jobs/k").status == 404);
    BOOST_TEST(asked == 2);
}

BOOST_AUTO_TEST_CASE(YieldOfAPeerReachesTheDispatcher)
{
    BOOST_TEST(call("POST", "/peers/yield", R"({"upstream":1})").status == 400);
    BOOST_REQUIRE(BatchFleet::await([&] {
        call("POST", "/peers/yield", R"({"upstream":"u0"})");
        return fleet.daemons[0]->metrics.counter("batch_yields") > 0;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
