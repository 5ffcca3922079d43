#include "Connection/Io/MessageReader.h"
#include "Process/Batch/OwnedJob.h"
#include "Process/Peers/DaemonReport.h"
#include "Request/EventSplitter.h"
#include "Support/TestEnvironment.h"
#include "platform/ConfigurationFormat.h"
#include "platform/HeaderFormat.h"
#include "platform/JobFormat.h"
#include "platform/SettingsFile.h"
#include "platform/StoreFormat.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

namespace poplardock::platform {

namespace {

constexpr std::uint32_t DEFAULT_SEED = 20261205;
constexpr int DEFAULT_INPUTS = 20000;
constexpr int MAXIMUM_CHANGES = 4;
constexpr std::size_t MAXIMUM_INPUT_BYTES = 16384;

/// A number from the environment, for longer runs by hand.
auto numberFromEnvironment(const char *name, std::uint32_t fallback) -> std::uint32_t
{
    std::uint32_t value = fallback;
    return absl::SimpleAtoi(environmentVariable(name, ""), &value) ? value : fallback;
}

/// Pieces that have troubled decoders.
const std::vector<std::string> PIECES { "null",
                                        "true",
                                        "-1",
                                        "1e400",
                                        "-0.0",
                                        "nan",
                                        "inf",
                                        "99999999999999999999999999",
                                        "9223372036854775807",
                                        "-9223372036854775808",
                                        "4294967296",
                                        std::string(300, '['),
                                        std::string(300, '{'),
                                        R"({"a":)",
                                        "[]",
                                        "{}",
                                        R"("\udcff")",
                                        R"(\u0000)",
                                        "\xff\xfe",
                                        "\xc0\x80",
                                        std::string(1, '\0'),
                                        "\r\n",
                                        "\r\n\r\n",
                                        "\n\n",
                                        ":",
                                        "=",
                                        " ",
                                        ",",
                                        "\"" };

/// Changes sound inputs at random.
class Mutator
{
public:
    auto mutate(std::string text) -> std::string
    {
        for (int changes = 1 + at(MAXIMUM_CHANGES); changes > 0; --changes) {
            const int position = at(static_cast<int>(text.size()) + 1);
            const int length = std::min(at(12), static_cast<int>(text.size()) - position);
            switch (at(5)) {
            case 0:
                text.replace(position, length, PIECES[at(static_cast<int>(PIECES.size()))]);
                break;
            case 1:
                text.erase(position, length);
                break;
            case 2:
                text.insert(position, text.substr(position, length * 8));
                break;
            case 3:
                text.insert(position, 1, static_cast<char>(at(256)));
                break;
            default:
                text.resize(at(8) == 0 ? position : static_cast<int>(text.size()));
                break;
            }
            text.resize(std::min(text.size(), MAXIMUM_INPUT_BYTES));
        }
        return text;
    }

    /// A number from 0 up to the limit, without it.
    auto at(int limit) -> int
    {
        return static_cast<int>(random_() % static_cast<std::uint32_t>(std::max(limit, 1)));
    }

private:
    std::mt19937 random_ { numberFromEnvironment("POPLARDOCK_MUTATION_SEED", DEFAULT_SEED) };
};

/// Gives the decoder its sound inputs and many that were changed; an exception fails the test and names the input.
auto tryInputs(const std::vector<std::string> &sound, const std::function<void(const std::string &)> &decode) -> void
{
    Mutator mutator;
    const std::uint32_t inputs = numberFromEnvironment("POPLARDOCK_MUTATIONS", DEFAULT_INPUTS);
    for (std::uint32_t index = 0; index < inputs; ++index) {
        const std::string &base = sound[index % sound.size()];
        const std::string input = index < sound.size() ? base : mutator.mutate(base);
        try {
            decode(input);
        } catch (const std::exception &exception) {
            BOOST_ERROR("input " << index << ": " << exception.what() << ": " << absl::CHexEscape(input.substr(0, 400)));
            return;
        }
    }
}

/// Feeds the input in pieces.
template<typename Feed>
auto feedInPieces(const std::string &input, Feed feed) -> void
{
    constexpr std::size_t PIECE_BYTES = 37;
    for (std::size_t begin = 0; begin < input.size(); begin += PIECE_BYTES) {
        feed(std::string_view(input).substr(begin, PIECE_BYTES));
    }
}

auto readMessage(MessageReader::Kind kind, const std::string &input) -> void
{
    MessageReader reader(kind, { 4096, 65536 });
    feedInPieces(input, [&reader](std::string_view piece) {
        reader.feed(piece);
        reader.takeBody();
    });
    reader.feedEof();
    if (reader.state() == ReadState::Done) {
        decodeRequestMetadata(reader.head().headers);
        decodeResponseMetadata(reader.head());
        decodeJobCall(reader.head(), decodeRequestMetadata(reader.head().headers), true);
        static_cast<void>(reader.head().headers.withoutHopByHop());
    }
}

const std::string CONFIGURATION
    = R"({"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"m","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300},{"name":"r3","host":"h","pathPrefix":"/j/","kind":"batch","split":[{"service":"m","weight":90},{"service":"n","weight":10}],"maxAttempts":3,"targetCompletionMs":18000,"retentionS":60.5}],"services":[{"name":"m","maxConnections":300,"engine":{"slots":8,"stride":7}}],"limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":3,"idleTimeoutMs":4},"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"ratePerS":60,"burst":30}]})";
const std::string UPSTREAM
    = R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","sequence":4,"born":1796465292841,"coldRemainingMs":0})";
const std::string SUBMISSION
    = R"({"items":[{"id":"e5b2","path":"/p/3","headers":{"Model":"m","Token-Count":"540,400"},"body":"q83vEjRWeJA=","tokens":940},{"id":"e5b3","path":"/p/4"}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderMutationSuite)

// Guards against bytes from outside that make a decoder let an exception out or, under the sanitizers, read outside of them.
BOOST_AUTO_TEST_CASE(MessagesAreDecodedWithoutAnException)
{
    tryInputs({ "POST /p/2f HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 3\r\nDeadline-Ms: 5000\r\nToken-Count: 1460,80\r\n"
                "Prompt-Prefix: 5c1e:800,91bd:410\r\nAuthorization: Bearer k\r\nConnection: close, X\r\n\r\nabc",
                "GET /-/lots/j1?after=12 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n" },
              [](const std::string &input) { readMessage(MessageReader::Kind::Request, input); });
    tryInputs(
        { "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\nServer-Load: 3,0,8\r\nServer-Limit: 2.5\r\nKeep-Alive: timeout=5\r\n"
          "Content-Length: 3\r\n\r\nabc",
          "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 0.5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n\r\nuntil the end" },
        [](const std::string &input) { readMessage(MessageReader::Kind::Response, input); });
    tryInputs({ "id: 1\ndata: a\n\n: ping\n\nid: 2\ndata: b\ndata: c\nweight-versions: 3\n\n", "id:7\r\ndata:x\r\n\r\n" },
              [](const std::string &input) {
                  EventSplitter splitter;
                  feedInPieces(input, [&splitter](std::string_view piece) {
                      splitter.feed(piece);
                      while (splitter.next()) { }
                  });
                  splitter.takeRest();
              });
}

// Guards against the same with datagrams of peers.
BOOST_AUTO_TEST_CASE(PeerMessagesAreDecodedWithoutAnException)
{
    DaemonReport report;
    report.name = "d1";
    report.dataCentre = "a";
    report.incarnation = "i1";
    report.jobs = { "j1" };
    report.cancelledJobs = { "j2" };
    report.leavingUpstreams = { { "u", "10.0.0.1:80", 5, Milliseconds(7) } };
    report.work["u"] = { 1, 2 };
    report.demand["t"] = 2.5;
    DataCentreDigest digest;
    digest.sender = "d1";
    digest.incarnation = "i1";
    digest.dataCentre = "a";
    digest.jobs = { { "j1", "d2" } };
    FleetSummary summary;
    summary.sender = "d1";
    summary.incarnation = "i1";
    summary.rosters = { { "a", 3, Milliseconds(4) } };
    Roster roster;
    roster.dataCentre = "a";
    roster.entries = { { "d1", "10.0.0.1:7660", "i1", 1, false, true } };
    std::vector<std::string> sound { encodePeerMessage(report),
                                     encodePeerMessage(digest),
                                     encodePeerMessage(summary),
                                     encodePeerMessage(roster),
                                     encodePeerMessage(FreshnessRequest { 3 }) };
    for (const std::string &text : sound) {
        BOOST_TEST(decodePeerMessage(text).ok(), text);
    }
    tryInputs(sound, [](const std::string &input) { static_cast<void>(decodePeerMessage(input)); });
}

// Guards against the same with what the store holds of other writers.
BOOST_AUTO_TEST_CASE(StoredObjectsAreDecodedWithoutAnException)
{
    const std::string object = R"({"metadata":{"name":"a","revision":4,"finalizers":[]},"spec":)" + UPSTREAM + R"(,"status":null})";
    tryInputs({ R"({"items":[)" + object + "," + object + R"(],"hasMore":true,"at":9})" }, [](const std::string &input) {
        const auto list = decodeList("servers", input);
        for (const StoredObject &each : list.ok() ? list->objects : std::vector<StoredObject>()) {
            static_cast<void>(decodeUpstream(each));
            static_cast<void>(jobRecordFrom(each));
        }
    });
    tryInputs({ R"({"events":[{"deleted":true,"object":)" + object + R"(}],"at":6})" },
              [](const std::string &input) { static_cast<void>(decodeEvents("servers", input)); });
    tryInputs({ object }, [](const std::string &input) { static_cast<void>(decodeObject("servers", input)); });
    tryInputs({ UPSTREAM }, [](const std::string &input) { static_cast<void>(decodeUpstream({ "servers", "i", 3, {}, input })); });
    tryInputs({ CONFIGURATION }, [](const std::string &input) {
        static_cast<void>(decodeConfiguration({ "config", "main", 3, {}, input }));
    });
    JobRecord record;
    record.id = "j1";
    tryInputs({ toStored(record).spec }, [](const std::string &input) {
        static_cast<void>(jobRecordFrom({ "jobs", "j1", 3, {}, input }));
    });
}

// Guards against the same with submissions, handed-over progress and settings, and against accepting what is refused later.
BOOST_AUTO_TEST_CASE(JobsAndSettingsAreDecodedWithoutAnException)
{
    BOOST_TEST(decodeSubmission(SUBMISSION).ok());
    tryInputs({ SUBMISSION }, [](const std::string &input) {
        const auto items = decodeSubmission(input);
        for (const JobItem &item : items.ok() ? *items : std::vector<JobItem>()) {
            // What is accepted must make one request.
            BOOST_TEST(checkItem(item).ok());
            const std::string text = encodeItems({ item });
            BOOST_TEST(decodeItems(text).ok(), text);
        }
    });
    tryInputs(
        { R"({"total":2,"nextToken":2,"results":[{"id":"a","state":"completed","text":"x\ny"},{"id":"b","state":"dead_lettered","text":""}]})" },
        [](const std::string &input) { static_cast<void>(decodeResults(input)); });
    JobRecord record;
    record.id = "j1";
    const auto items = decodeItems(SUBMISSION);
    BOOST_REQUIRE(items.ok());
    tryInputs(
        { R"({"items":[{"id":"e5b2","text":"x","events":2,"failures":1,"last_event":2},{"id":"e5b3","text":"y","events":3,"completed":true}]})" },
        [&](const std::string &input) {
            OwnedJob job(record, *items, {});
            static_cast<void>(job.applyProgress(input));
        });
    tryInputs({ "nodeName=front-a-1\nserves=front,control\nipAddress=10.1.0.5\nzone=east-a\nlisten.front=10.1.0.5:8405\n"
                "listen.ready=10.1.0.5:8406\ninternalPorts=7660,7675\nbounds.graceS=8.5\nplatform.address=10.200.1.7:8408\n" },
              [](const std::string &input) { static_cast<void>(parseSettings(input, "s.conf")); });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock::platform
