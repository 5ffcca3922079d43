#include "Request/AnswerVerdict.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace poplardock {

namespace {

using Framing = AnswerEnding::Framing;
using Connection = AnswerEnding::Connection;

struct Case
{
    std::string name;
    AnswerEnding ending;
    AnswerVerdict verdict = AnswerVerdict::Lost;
};

const std::vector<Case> CASES {
    { "a head that breaks off", { false, 0, Framing::Delimited, false, Connection::Finished, true }, AnswerVerdict::Lost },
    { "a whole answer", { true, 200, Framing::Delimited, true, Connection::Open, true }, AnswerVerdict::Whole },
    { "an early answer with a length", { true, 200, Framing::Delimited, true, Connection::Open, false }, AnswerVerdict::Whole },
    { "a body short of its length", { true, 200, Framing::Delimited, false, Connection::Finished, true }, AnswerVerdict::Lost },
    { "a body without a length", { true, 200, Framing::UntilClose, false, Connection::Finished, true }, AnswerVerdict::MayBeCut },
    { "one that is reset", { true, 200, Framing::UntilClose, false, Connection::Broken, true }, AnswerVerdict::Lost },
    { "one that is still open", { true, 200, Framing::UntilClose, false, Connection::Open, true }, AnswerVerdict::Lost },
    { "one that ends during the upload", { true, 200, Framing::UntilClose, false, Connection::Finished, false }, AnswerVerdict::Lost },
    { "an early error without a length", { true, 413, Framing::UntilClose, false, Connection::Finished, false }, AnswerVerdict::Whole },
    { "an error that is reset", { true, 500, Framing::UntilClose, false, Connection::Broken, true }, AnswerVerdict::Lost },
    { "status 000", { true, 0, Framing::Delimited, true, Connection::Open, true }, AnswerVerdict::NotAnAnswer },
    { "status 600", { true, 600, Framing::UntilClose, false, Connection::Finished, true }, AnswerVerdict::NotAnAnswer },
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerVerdictSuite)

// Guards against the start of an answer, or bytes that are none, that pass for a whole one.
BOOST_AUTO_TEST_CASE(EndingsAreJudged)
{
    for (const Case &each : CASES) {
        BOOST_TEST((judgeAnswer(each.ending) == each.verdict), each.name);
    }
}

BOOST_AUTO_TEST_CASE(StatusesOutsideTheProtocolAreNone)
{
    for (const int status : { -1, 0, 1, 99, 101, 600, 999, 2000 }) {
        BOOST_TEST(!isAnswerStatus(status), status);
    }
    for (const int status : { 100, 102, 200, 299, 404, 503, 599 }) {
        BOOST_TEST(isAnswerStatus(status), status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
