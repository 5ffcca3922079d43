#include "Process/Peers/MessageParts.h"

#include "Process/Peers/DaemonReport.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace poplardock {

namespace {

const BootTime NOW = BootTime() + std::chrono::hours(1);

auto textOf(std::size_t bytes, char first) -> std::string
{
    std::string text(bytes, first);
    for (std::size_t index = 0; index < bytes; index += 997) {
        text[index] = static_cast<char>(index / 997);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessagePartsSuite)

// Guards against a message that no datagram holds and that is never sent, so that its sender counts as gone.
BOOST_AUTO_TEST_CASE(ALongMessageArrivesInParts)
{
    BOOST_TEST((splitMessage("short", 1) == std::vector<std::string> { "short" }));
    BOOST_TEST(splitMessage(std::string(MAXIMUM_MESSAGE_BYTES + 1, 'x'), 1).empty());
    for (const std::size_t bytes : { MAXIMUM_DATAGRAM_BYTES + 1, 3 * MAXIMUM_DATAGRAM_BYTES, MAXIMUM_MESSAGE_BYTES }) {
        const std::string text = textOf(bytes, 'a');
        std::vector<std::string> parts = splitMessage(text, 7);
        MessageAssembler assembler;
        std::reverse(parts.begin(), parts.end());
        for (std::size_t index = 0; index < parts.size(); ++index) {
            constexpr std::size_t LARGEST_DATAGRAM = 65507;
            BOOST_TEST(parts[index].size() <= LARGEST_DATAGRAM);
            BOOST_TEST(MessageAssembler::isPart(parts[index]));
            const auto whole = assembler.add("1:1", parts[index], NOW);
            BOOST_TEST(whole.has_value() == (index + 1 == parts.size()));
            BOOST_TEST((!whole || *whole == text));
        }
        BOOST_TEST(assembler.bytes() == 0U);
    }
}

// Guards against a fleet of the target size whose summaries no daemon gets, for the number and the names of its teams.
BOOST_AUTO_TEST_CASE(TheLargestSummaryCanBeSent)
{
    constexpr int TEAMS = 5000;
    constexpr std::size_t NAME_BYTES = 200;
    FleetSummary summary;
    summary.sender = "daemon";
    summary.incarnation = "i";
    for (int team = 0; team < TEAMS; ++team) {
        summary.demand[absl::StrCat(std::string(NAME_BYTES, '\xc3'), team)] = 1.5;
    }
    MessageAssembler assembler;
    std::optional<std::string> text;
    for (const std::string &part : splitMessage(encodePeerMessage(summary), 1)) {
        text = assembler.add("1:1", part, NOW);
    }
    BOOST_REQUIRE(text.has_value());
    const auto read = decodePeerMessage(*text);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((std::get<FleetSummary>(*read) == summary));
}

// Guards against a message that is put together from parts of several, and against one that is given out twice.
BOOST_AUTO_TEST_CASE(PartsOfDifferentMessagesStayApart)
{
    const auto first = splitMessage(textOf(100000, 'a'), 1);
    const auto second = splitMessage(textOf(100000, 'b'), 2);
    MessageAssembler assembler;
    BOOST_TEST(!assembler.add("1:1", first[0], NOW));
    BOOST_TEST(!assembler.add("2:2", second[1], NOW));
    BOOST_TEST(!assembler.add("1:1", first[0], NOW));
    BOOST_TEST(!assembler.add("1:1", second[1], NOW));
    BOOST_TEST(!assembler.add("1:1", first[1], NOW));
    BOOST_TEST((assembler.add("2:2", second[0], NOW) == textOf(100000, 'b')));
    BOOST_TEST(!assembler.add("2:2", second[0], NOW));
    BOOST_TEST(!assembler.add("2:2", second[1], NOW + MessageAssembler::PART_TIME));
}

// Guards against memory that another program, or lost parts, take for good.
BOOST_AUTO_TEST_CASE(UnfinishedMessagesHaveABoundAndAnEnd)
{
    MessageAssembler assembler;
    for (int sender = 0; sender < 1000; ++sender) {
        static_cast<void>(assembler.add(absl::StrCat(sender), splitMessage(textOf(100000, 'a'), 1)[0], NOW));
        BOOST_TEST(assembler.bytes() <= MessageAssembler::MAXIMUM_BYTES);
    }
    for (const char *odd :
         { "part1 ", "part1 1 0 2", "part1 1 2 2\nx", "part1 1 0 1\nx", "part1 1 0 65\nx", "part1 x 0 2\ny", "part1 1 0 2\n" }) {
        BOOST_TEST(!assembler.add("odd", odd, NOW));
    }
    static_cast<void>(assembler.add("late", "part1 1 0 2\nx", NOW + MessageAssembler::PART_TIME));
    BOOST_TEST(assembler.bytes() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
