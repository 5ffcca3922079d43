#include "Support/OddServer.h"
#include "Support/PlatformFleet.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

using Ending = OddServer::Ending;

/// Well before the timeouts of the routes that may be repeated, 3 s.
constexpr Milliseconds END_TIME { 1500 };
/// Time in which a daemon finds a new server, also right after its start.
constexpr Milliseconds LISTING_TIME { 1700 };
constexpr std::size_t UPLOAD_BYTES = 3800000;

struct Case
{
    std::string name;
    std::string answer;
    Ending ending = Ending::Reset;
    bool isUpload = false;
};

/// The head of an answer to the request "r" with these lines after the status line.
auto answerWith(const std::string &status, const std::string &lines, const std::string &body) -> std::string
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nRequest-Id: r\r\nServer-Stamp: s\r\n", lines, "\r\n", body);
}

auto cases() -> std::vector<Case>
{
    const std::string whole = "Content-Length: 4\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n";
    return { { "a reset during the upload", answerWith("200 OK", "", "part"), Ending::Reset, true },
             { "an end in order during the upload", answerWith("200 OK", "", "part"), Ending::FinishThenReset, true },
             { "a reset after a body without a length", answerWith("200 OK", "", "part"), Ending::Reset },
             { "a body short of its length", answerWith("200 OK", "Content-Length: 9\r\n", "part"), Ending::Finish },
             { "chunks without their end", answerWith("200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"), Ending::Finish },
             { "status 000", answerWith("000 Nothing", whole, "part"), Ending::Hold },
             { "status 000 before the end of the connection", answerWith("000 Nothing", "", "part"), Ending::Finish },
             { "status 600", answerWith("600 Odd", whole, "part"), Ending::Hold },
             { "status 999", answerWith("999 Odd", whole, "part"), Ending::Hold },
             { "a status of four digits", answerWith("2000 OK", whole, "part"), Ending::Hold },
             { "a status of two digits", answerWith("20 OK", whole, "part"), Ending::Hold },
             { "another protocol", answerWith("101 Switching Protocols", "Upgrade: x\r\n", ""), Ending::Hold },
             { "a head that ends in its middle", head, Ending::Finish },
             { "a head that is reset in its middle", head, Ending::Reset },
             { "a head that ends in a line", head + "Content-Le", Ending::Finish },
             { "a head that ends after the status line", "HTTP/1.1 200 OK\r\n", Ending::Finish },
             { "no answer at all", "", Ending::Finish },
             { "a success without a stamp", "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 4\r\n\r\npart", Ending::Hold } };
}

auto requestOn(const std::string &path, const Case &each) -> HttpCall
{
    HttpCall call = PlatformFleet::request(path, "r", "key1");
    call.body = each.isUpload ? std::string(UPLOAD_BYTES, 'u') : "question";
    return call;
}

/// Whether a caller got a failure that bears no server's stamp, or none at all.
auto isFailure(const std::optional<HttpResult> &result) -> bool
{
    return !result || (result->status >= 500 && result->headers.find("Server-Stamp") == nullptr);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddAnswerSuite)

// Guards against a part of an answer, or bytes that are none, that reach the caller as a whole answer, and against a caller that
// waits until its deadline for an answer that cannot come any more.
BOOST_AUTO_TEST_CASE(WhatIsNoWholeAnswerIsAFailure)
{
    PlatformFleet fleet(1, 0);
    for (const Case &each : cases()) {
        OddServer server(each.answer, each.ending);
        fleet.store.put("servers", "odd", FakeEngine::entryAt(server.address(), "ready"));
        fleet.runFor(LISTING_TIME);
        for (const std::string path : { "/once/x", "/plain/x" }) {
            const int before = server.connectionCount();
            const BootTime begin = BootClock::now();
            const auto result = fleet.call(0, requestOn(path, each));
            BOOST_TEST(isFailure(result), each.name << " on " << path << ": " << (result ? result->status : 0));
            BOOST_TEST((BootClock::now() - begin < END_TIME), each.name << " on " << path << " is awaited for too long");
            BOOST_TEST(server.connectionCount() > before, each.name << " on " << path);
            // The server is left out for a moment after its failure.
            fleet.runFor(Milliseconds(1000));
        }
    }
}

// Guards against streams, and items of jobs, that end as complete with what is no whole answer.
BOOST_AUTO_TEST_CASE(WhatIsNoWholeStreamIsNotComplete)
{
    const std::string stream = "Content-Type: text/event-stream\r\n";
    const std::vector<Case> streams {
        { "a stream that is reset", answerWith("200 OK", stream, "id: 0\ndata: part\n\n"), Ending::Reset },
        { "a stream without its last chunk",
          answerWith("200 OK", stream + "Transfer-Encoding: chunked\r\n", "13\r\nid: 0\ndata: part\n\n\r\n"),
          Ending::Finish },
        { "a stream without a stamp",
          "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Type: text/event-stream\r\nContent-Length: 19\r\n\r\nid: 0\ndata: part\n\n",
          Ending::Hold },
        { "a stream with status 000", answerWith("000 OK", stream + "Content-Length: 19\r\n", "id: 0\ndata: part\n\n"), Ending::Hold },
    };
    PlatformFleet fleet(1, 0);
    for (const Case &each : streams) {
        OddServer server(each.answer, each.ending);
        fleet.store.put("servers", "odd", FakeEngine::entryAt(server.address(), "ready"));
        fleet.runFor(LISTING_TIME);
        for (const std::string path : { "/stream/x", "/resumed/x" }) {
            const auto result = fleet.call(0, PlatformFleet::streamRequest(path, "r", "key1"));
            BOOST_TEST(isFailure(result), each.name << " on " << path);
            fleet.runFor(Milliseconds(1000));
        }
    }
}

// Guards against a request that fails although another server can run it.
BOOST_AUTO_TEST_CASE(ARepeatableRequestGoesElsewhere)
{
    const Case stampless { "", "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 4\r\n\r\npart", Ending::Hold };
    const Case nothing { "", answerWith("000 Nothing", "Content-Length: 4\r\n", "part"), Ending::Hold };
    for (const Case &each : { stampless, nothing }) {
        PlatformFleet fleet(1, 1);
        OddServer server(each.answer, each.ending);
        fleet.store.put("servers", "odd", FakeEngine::entryAt(server.address(), "ready"));
        fleet.runFor(LISTING_TIME);
        for (int index = 0; index < 12; ++index) {
            const auto result = fleet.call(0, PlatformFleet::request("/plain/x", "r", "key1"));
            BOOST_REQUIRE(result.has_value());
            BOOST_TEST(result->status == 200);
            BOOST_TEST(result->headers.find("Server-Stamp") != nullptr);
        }
        BOOST_TEST(server.connectionCount() >= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
