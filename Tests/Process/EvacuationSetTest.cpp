#include "Process/Load/EvacuationSet.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr BootTime START { std::chrono::seconds(100) };

auto listAt(std::uint64_t revision, const std::map<std::string, std::uint64_t> &objects) -> StoreList
{
    StoreList list;
    list.revision = revision;
    for (const auto &[name, version] : objects) {
        list.objects.push_back({ "evacuations", name, version, {}, "{}" });
    }
    return list;
}

auto eventAt(std::uint64_t revision, const std::string &name, bool isRemoved) -> StoreEvents
{
    StoreEvents events;
    events.revision = revision;
    events.events.push_back({ { "evacuations", name, revision, {}, "{}" }, isRemoved });
    return events;
}

using Names = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationSetSuite)

// Guards against a list, a watch or a feed that was read before the evacuation and ends it, or that was read during it and begins
// it again after its end.
BOOST_AUTO_TEST_CASE(AnOlderStateUndoesNothing)
{
    EvacuationSet set;
    set.applyList(listAt(10, {}), START);
    const EvacuationSnapshot before = set.snapshot(START);
    BOOST_TEST(set.applyEvents(eventAt(20, "east-a", false), START).size() == 1U);
    const EvacuationSnapshot during = set.snapshot(START);
    BOOST_TEST(set.applyList(listAt(15, {}), START).empty());
    BOOST_TEST(set.applySnapshot(before, START).empty());
    BOOST_TEST((set.names() == Names { "east-a" }));
    BOOST_TEST(set.applyEvents(eventAt(30, "east-a", true), START).size() == 1U);
    BOOST_TEST(set.applyList(listAt(25, { { "east-a", 20 } }), START).empty());
    BOOST_TEST(set.applyEvents(eventAt(20, "east-a", false), START).empty());
    BOOST_TEST(set.applySnapshot(during, START).empty());
    BOOST_TEST(set.names().empty());
    BOOST_TEST(set.syncedRevision() == 30U);
}

// Guards against a daemon that misses a change because the others name a revision that it seems to know already.
BOOST_AUTO_TEST_CASE(EachChangeRaisesTheRevisionThatIsNamed)
{
    EvacuationSet set;
    BOOST_TEST(set.revision() == 0U);
    // An evacuation that others still hold may have ended before this first list.
    set.applyList(listAt(10, { { "east-a", 4 } }), START);
    BOOST_TEST(set.revision() == 10U);
    set.applyEvents(eventAt(12, "east-b", false), START);
    BOOST_TEST(set.revision() == 12U);
    set.applyList(listAt(40, { { "east-a", 4 }, { "east-b", 12 } }), START);
    BOOST_TEST(set.revision() == 12U);
    // Ended at some time between 40 and 50.
    const auto ended = set.applyList(listAt(50, { { "east-a", 4 } }), START);
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].dataCentre == "east-b");
    BOOST_TEST(!ended[0].hasBegun);
    BOOST_TEST(set.revision() == 50U);
    // Withdrawn and requested again between two lists: others may have seen the withdrawal.
    BOOST_TEST(set.applyList(listAt(70, { { "east-a", 65 } }), START).empty());
    BOOST_TEST(set.revision() == 65U);
}

// Guards against an object that is written twice and counts as a new evacuation, and against one that ends another data centre's.
BOOST_AUTO_TEST_CASE(TwiceWrittenAndTwoDataCentres)
{
    EvacuationSet set;
    set.applyList(listAt(10, {}), START);
    BOOST_TEST(set.applyEvents(eventAt(11, "east-a", false), START).size() == 1U);
    BOOST_TEST(set.applyEvents(eventAt(12, "east-a", false), START + Milliseconds(500)).empty());
    BOOST_TEST((set.entries().at("east-a").since == START));
    BOOST_TEST(set.applyEvents(eventAt(13, "nowhere", false), START).size() == 1U);
    BOOST_TEST((set.names() == Names { "east-a", "nowhere" }));
    BOOST_TEST(set.applyEvents(eventAt(14, "nowhere", true), START).size() == 1U);
    BOOST_TEST((set.names() == Names { "east-a" }));
}

// Guards against a feed whose text loses a name, an age or a revision, and against names and texts that break it.
BOOST_AUTO_TEST_CASE(FeedsCarryTheWholeSet)
{
    EvacuationSet set;
    set.applyList(listAt(10, {}), START);
    set.applyEvents(eventAt(11, "east a", false), START);
    set.applyEvents(eventAt(12, "line\nbreak", false), START);
    set.applyEvents(eventAt(13, "", false), START);
    BOOST_TEST((set.names() == Names { "east a" }));
    const BootTime later = START + Milliseconds(700);
    const auto feed = decodeEvacuations(encodeEvacuations(set.snapshot(later)));
    BOOST_REQUIRE(feed.ok());
    BOOST_TEST((*feed == set.snapshot(later)));
    EvacuationSet other;
    other.applyList(listAt(9, { { "east-b", 3 } }), later);
    const auto changes = other.applySnapshot(*feed, later);
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST((changes[0] == EvacuationChange { "east a", true, 11, Milliseconds(700) }));
    BOOST_TEST(!changes[1].hasBegun);
    BOOST_TEST((other.entries().at("east a").since == START));
    BOOST_TEST(other.revision() == set.revision());
    BOOST_TEST(other.syncedRevision() == 13U);
    for (const char *text : { "",
                              "evacuations1 1 1",
                              "evacuations1 x 1 0",
                              "evacuations1 1 1 -1",
                              "evacuations1 1 1 0\ne 1 0",
                              "evacuations1 1 1 0\nx 1 0 a" }) {
        BOOST_TEST(!decodeEvacuations(text).ok(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
