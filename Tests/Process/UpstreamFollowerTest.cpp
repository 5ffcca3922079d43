#include "Process/Load/UpstreamFollower.h"

#include "Fakes/FakeEngine.h"
#include "Fakes/FakeObjectStore.h"
#include "Process/Peers/PeerFetch.h"
#include "Support/TestEnvironment.h"
#include "platform/Adapter.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

constexpr Milliseconds REMOVAL_BOUND { 2000 };
constexpr Milliseconds TIME { 3000 };
/// By then a fetch has ended, whatever its outcome.
constexpr Milliseconds FETCH_TIME = PEER_FETCH_TIMEOUT + Milliseconds(50);
constexpr ClientPool::Options POOL { {}, Milliseconds(500), Milliseconds(5000) };

/// One daemon's view of the upstreams, and the address at which others fetch it.
class Daemon
{
public:
    Daemon(EventLoop &loop, const FakeObjectStore &platformStore)
        : loop_(loop)
        , store_(loop, dialect_, platformStore.address())
        , directory_("east-a", limits_, leaving_)
        , pool_(loop, POOL)
        , client_(loop, pool_)
        , follower_(loop, store_, dialect_, directory_, client_, REMOVAL_BOUND)
    {
        CallerServer::Options options;
        options.limits = [] {
            return CallerLimits { 16384, 4U << 20U };
        };
        server_ = *CallerServer::open(loop, "127.0.0.1:0", std::move(options), [this](const auto &exchange) {
            lastTarget_ = exchange->head().target;
            exchange->reply(answer_.empty() ? follower_.responseForPeer(exchange->head().target) : HttpResult { 200, {}, answer_ });
        });
        follower_.watch().setWatching(false);
    }

    auto list() -> void
    {
        const BootTime begin = BootClock::now();
        follower_.watch().refresh();
        BOOST_TEST(runLoopUntil(
            loop_, [this, begin] { return follower_.watch().confirmedAt() >= begin; }, TIME));
    }

    /// Asks the other daemon for what it knows beyond this one.
    auto fetchFrom(const Daemon &other) -> void
    {
        follower_.fetchFromPeer(other.server_->address());
        runLoopUntil(
            loop_, [] { return false; }, FETCH_TIME);
    }

    /// Answers this text to other daemons from then on; empty for the true answer.
    auto setAnswer(std::string answer) -> void
    {
        answer_ = std::move(answer);
    }

    /// Whether the daemon takes the upstream's entry for present.
    [[nodiscard]] auto knows(const std::string &upstream) const -> bool
    {
        const HttpResult all = follower_.responseForPeer(absl::StrCat(UpstreamFollower::PEER_PATH, "0/2/1"));
        const HttpResult first = all.status == 200 ? all : follower_.responseForPeer(absl::StrCat(UpstreamFollower::PEER_PATH, 0));
        return absl::StrContains(first.body, absl::StrCat("\npresent ", upstream, " "));
    }

    /// The target of the last call of another daemon.
    [[nodiscard]] auto lastTarget() const -> const std::string &
    {
        return lastTarget_;
    }

    [[nodiscard]] auto follower() -> UpstreamFollower &
    {
        return follower_;
    }

private:
    EventLoop &loop_;
    WireDialect dialect_ = platform::makeAdapter();
    ObjectStore store_;
    UpstreamLimits limits_ { "daemon" };
    LeavingUpstreams leaving_;
    UpstreamDirectory directory_;
    ClientPool pool_;
    HttpClient client_;
    UpstreamFollower follower_;
    std::string answer_;
    std::string lastTarget_;
    std::unique_ptr<CallerServer> server_;
};

struct Fixture
{
    EventLoop loop;
    FakeObjectStore store { loop };
    Daemon first { loop, store };
    Daemon second { loop, store };
    Daemon third { loop, store };

    auto put(const std::string &upstream) -> void
    {
        store.put("servers", upstream, FakeEngine::entryAt("127.0.0.1:9", "ready"));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamFollowerSuite)

// Guards against an upstream that a daemon keeps for good because its neighbour has just started and knows no former removals.
BOOST_FIXTURE_TEST_CASE(ADaemonThatHasJustListedDoesNotHideRemovals, Fixture)
{
    put("a");
    put("b");
    first.list();
    store.remove("servers", "a");
    put("c");
    second.list();
    first.fetchFrom(second);
    BOOST_TEST(!first.knows("a"));
    BOOST_TEST(first.knows("b"));
    BOOST_TEST(first.knows("c"));
    BOOST_TEST(first.follower().syncedRevision() == second.follower().syncedRevision());
    // What the first one was told, it tells the third one.
    store.remove("servers", "b");
    third.list();
    put("d");
    second.list();
    first.fetchFrom(second);
    third.fetchFrom(first);
    BOOST_TEST(!third.knows("b"));
    BOOST_TEST(third.knows("c"));
    BOOST_TEST(third.knows("d"));
}

// Guards against an entry that came and went while the daemon that is asked did not look, and that the one that asks has seen.
BOOST_FIXTURE_TEST_CASE(AnEntryThatAListPassedOverIsRemoved, Fixture)
{
    put("a");
    second.list();
    put("brief");
    first.list();
    store.remove("servers", "brief");
    put("c");
    second.list();
    first.fetchFrom(second);
    BOOST_TEST(!first.knows("brief"));
    BOOST_TEST(first.knows("a"));
    BOOST_TEST(first.knows("c"));
}

// Guards against a neighbour that never asks: one that has just listed may know no entry as new as a removal before its list.
BOOST_FIXTURE_TEST_CASE(ADaemonThatHasJustListedNamesItsList, Fixture)
{
    put("a");
    put("b");
    first.list();
    store.remove("servers", "b");
    second.list();
    BOOST_TEST(second.follower().revision() > first.follower().syncedRevision());
    first.fetchFrom(second);
    BOOST_TEST(!first.knows("b"));
    BOOST_TEST(first.follower().syncedRevision() == second.follower().revision());
    // Lists while it goes on are no reason for others to ask.
    store.put("other", "x", "{}");
    second.list();
    BOOST_TEST(second.follower().revision() == first.follower().revision());
    // The watch that begins may have missed something.
    store.put("other", "x", "{}");
    second.follower().watch().setWatching(true);
    BOOST_TEST(runLoopUntil(
        loop, [this] { return second.follower().revision() > first.follower().revision(); }, TIME));
}

// Guards against whole feeds after each restart, where nothing has changed for the one that asks.
BOOST_FIXTURE_TEST_CASE(NothingIsRepeatedThatBothKnow, Fixture)
{
    put("a");
    put("b");
    first.list();
    store.put("other", "x", "{}");
    put("c");
    second.list();
    first.fetchFrom(second);
    const std::string feed = second.follower().responseForPeer(second.lastTarget()).body;
    BOOST_TEST(!absl::StrContains(feed, " a "));
    BOOST_TEST(!absl::StrContains(feed, " b "));
    BOOST_TEST(absl::StrContains(feed, "present c "));
    // Otherwise the names are told, not the entries.
    store.remove("servers", "a");
    third.list();
    first.fetchFrom(third);
    const std::string whole = third.follower().responseForPeer(third.lastTarget()).body;
    BOOST_TEST(absl::StrContains(whole, "same b "));
    BOOST_TEST(!absl::StrContains(whole, "present"));
    BOOST_TEST(!first.knows("a"));
}

// Guards against removals that the daemon that is asked has forgotten.
BOOST_FIXTURE_TEST_CASE(MoreRemovalsThanAreKeptAreNotLost, Fixture)
{
    constexpr int COUNT = 1100;
    for (int number = 0; number < COUNT; ++number) {
        put(absl::StrCat("u", number));
    }
    put("stays");
    first.list();
    second.list();
    second.follower().watch().setWatching(true);
    runLoopUntil(
        loop, [] { return false; }, Milliseconds(200));
    for (int number = 0; number < COUNT; ++number) {
        store.remove("servers", absl::StrCat("u", number));
    }
    BOOST_TEST(runLoopUntil(
        loop, [this] { return !second.knows(absl::StrCat("u", COUNT - 1)); }, TIME));
    second.follower().watch().setWatching(false);
    first.fetchFrom(second);
    int kept = 0;
    for (int number = 0; number < COUNT; ++number) {
        kept += first.knows(absl::StrCat("u", number)) ? 1 : 0;
    }
    BOOST_TEST(kept == 0);
    BOOST_TEST(first.knows("stays"));
}

// Guards against an older view that takes away what a newer one has, and against a daemon that knows nothing and says so with a feed.
BOOST_FIXTURE_TEST_CASE(AnOlderViewTakesNothingAway, Fixture)
{
    put("a");
    second.list();
    put("b");
    store.remove("servers", "a");
    first.list();
    const std::uint64_t revision = first.follower().syncedRevision();
    first.fetchFrom(second);
    first.fetchFrom(third);
    BOOST_TEST(!first.knows("a"));
    BOOST_TEST(first.knows("b"));
    BOOST_TEST(first.follower().syncedRevision() == revision);
    third.fetchFrom(third);
    BOOST_TEST(!third.follower().hasSynced());
    third.fetchFrom(second);
    BOOST_TEST(third.follower().hasSynced());
    BOOST_TEST(third.knows("a"));
}

// Guards against one odd line that hides all others, and against a feed that is taken for whole although a line of it was lost.
BOOST_FIXTURE_TEST_CASE(AnOddLineCostsItself, Fixture)
{
    put("a");
    put("z");
    first.list();
    const std::uint64_t synced = first.follower().syncedRevision();
    const std::string spec = store.specOf("servers", "a");
    second.setAnswer(absl::StrCat("revision2 99 99 0 0\npresent b 98 ", spec, "\nodd\npresent c x ", spec, "\npresent d 99 ", spec));
    first.fetchFrom(second);
    for (const char *name : { "a", "b", "d", "z" }) {
        BOOST_TEST(first.knows(name), name);
    }
    BOOST_TEST(first.follower().syncedRevision() == synced);
    for (const char *feed : { "revision2 99 99 98 0", "revision 99 99", "revision2 99 99 0", "" }) {
        second.setAnswer(feed);
        first.fetchFrom(second);
        BOOST_TEST(first.follower().syncedRevision() == synced, feed);
    }
}

// Guards against two daemons that differ for good, whatever the cause: the one that notices lists the store.
BOOST_FIXTURE_TEST_CASE(ADaemonThatDiffersFromAnotherListsTheStore, Fixture)
{
    put("a");
    put("b");
    first.list();
    const std::uint64_t synced = first.follower().syncedRevision();
    store.remove("servers", "b");
    second.setAnswer(absl::StrCat("revision2 ", synced + 1, " ", synced + 1, " ", synced, " 12345"));
    first.fetchFrom(second);
    BOOST_TEST(runLoopUntil(
        loop, [this] { return !first.knows("b"); }, TIME));
    BOOST_TEST(first.knows("a"));
}

// Guards against a daemon of an earlier version, which takes any answer for complete, beside daemons of this one.
BOOST_FIXTURE_TEST_CASE(ADaemonOfAnEarlierVersionIsToldNoPart, Fixture)
{
    put("a");
    second.list();
    const std::uint64_t synced = second.follower().syncedRevision();
    const auto answerTo = [this](std::uint64_t revision) {
        return second.follower().responseForPeer(absl::StrCat(UpstreamFollower::PEER_PATH, revision));
    };
    BOOST_TEST(answerTo(synced - 1).status == HttpStatus::CONFLICT);
    BOOST_TEST(answerTo(synced).status == HttpStatus::OK);
    BOOST_TEST(answerTo(synced).body == absl::StrCat("revision ", synced, " ", synced));
    BOOST_TEST(second.follower().responseForPeer("/upstreams/x").status == HttpStatus::BAD_REQUEST);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
