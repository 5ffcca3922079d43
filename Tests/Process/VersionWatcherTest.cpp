#include "Process/VersionWatcher.h"

#include "Connection/CallerAuthentication.h"
#include "Support/ControlDaemon.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

/// Two members whose threads do not run: a commits, b watches.
struct WatcherFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };

    WatcherFixture()
    {
        for (ControlDaemon *daemon : { &a, &b }) {
            BOOST_REQUIRE(daemon->membership->join(Clock::now() + std::chrono::seconds(30)).ok());
        }
        commitBurst(20);
        BOOST_REQUIRE(b.watcher.watchOnce());
        BOOST_REQUIRE(b.revision() == a.revision());
    }

    auto commitBurst(double burst) -> void
    {
        const auto version = a.committer.commit([burst](const FleetVersion &) -> absl::StatusOr<FleetChange> {
            Configuration::Data data = sampleConfiguration();
            data.teams.front().burst = burst;
            return FleetChange { data, std::nullopt };
        });
        BOOST_REQUIRE(version.ok());
    }

    auto set(const std::string &faults) const -> void
    {
        BOOST_REQUIRE(platform->setFaults(faults).ok());
    }

    /// Stores a root that no committer would write.
    auto writeRoot(const std::string &spec) -> void
    {
        auto stored = a.store.get(ROOT_KIND, ROOT_NAME);
        BOOST_REQUIRE(stored.ok());
        stored->spec = spec;
        BOOST_REQUIRE(a.store.update(*stored).ok());
    }

    /// Returns the root of a version above the one in force whose class shard has this content.
    auto rootWithClasses(const std::string &content, bool isStored) -> FleetRoot
    {
        const EncodedFleet original = FleetCodec::encode(*a.state.current(), {});
        FleetRoot root = original.root;
        root.revision = a.revision() + 1;
        root.configurationRevision = root.revision;
        const std::string canonical = Json::toText(**Json::parseObject(content));
        root.classShard = sha256Hex(canonical);
        if (isStored) {
            BOOST_REQUIRE(a.store.create({ SHARD_KIND, root.classShard, 0, {}, canonical }).ok());
        }
        return root;
    }
};

constexpr const char *INVALID_CLASSES = R"({"classes":[],"default_class":"missing"})";
constexpr const char *VALID_CLASSES
    = R"({"classes":[{"name":"chat","kind":"online","first_token_ms":500,"token_gap_ms":43}],"default_class":"chat"})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(VersionWatcherSuite, WatcherFixture)

// Guards against control traffic that grows with the configuration instead of with the change.
BOOST_AUTO_TEST_CASE(ChangeReadsOneShard)
{
    const std::uint64_t reads = platform->callCount("GET shards");
    commitBurst(21);
    BOOST_TEST(b.watcher.watchOnce());
    BOOST_TEST(b.state.current()->configuration.findTeam("bench")->burst == 21);
    BOOST_TEST(platform->callCount("GET shards") == reads + 1);
}

// Guards against a confirmation time later than the time at which the call was sent.
BOOST_AUTO_TEST_CASE(ConfirmationIsDatedFromTheCall)
{
    const TimePoint before = Clock::now();
    BOOST_TEST(b.watcher.watchOnce());
    const TimePoint confirmed = b.state.confirmedAt().value();
    BOOST_TEST((confirmed >= before));
    // The watch lasts one second when nothing changes.
    BOOST_TEST((Clock::now() - confirmed >= Milliseconds(900)));
}

// Guards against a configuration in force that reverts to an older one when the store returns a stale root.
BOOST_AUTO_TEST_CASE(StaleStoreResponseDoesNotRevert)
{
    commitBurst(21);
    BOOST_REQUIRE(b.watcher.fetchFromPeer(a.service->address()).ok());
    const std::uint64_t revision = b.revision();
    BOOST_REQUIRE(revision == a.revision());
    const auto confirmed = b.state.confirmedAt();
    set(R"({"stale_reads":true})");
    BOOST_TEST(!b.watcher.watchOnce());
    BOOST_TEST(b.revision() == revision);
    BOOST_TEST((b.state.confirmedAt() == confirmed));
    set(R"({"stale_reads":false})");
    BOOST_TEST(b.watcher.watchOnce());
    BOOST_TEST((b.state.confirmedAt() > confirmed));
}

// Guards against an invalid version that is applied in part, and against one that makes every daemon stale.
BOOST_AUTO_TEST_CASE(InvalidVersionKeepsTheOldInForceAndConfirmed)
{
    const std::uint64_t revision = b.revision();
    const std::string specs[] = { rootWithClasses(INVALID_CLASSES, true).toText(), R"({"revision":"x"})" };
    for (const std::string &spec : specs) {
        writeRoot(spec);
        const TimePoint before = Clock::now();
        BOOST_TEST(b.watcher.watchOnce());
        BOOST_TEST(b.watcher.watchOnce());
        BOOST_TEST(b.revision() == revision);
        BOOST_TEST((b.state.confirmedAt().value() >= before));
        BOOST_TEST(b.state.mayAct(Clock::now()));
    }
    // The next valid change is based on the version in force and comes into force.
    commitBurst(22);
    BOOST_TEST(b.watcher.watchOnce());
    BOOST_TEST(b.revision() > revision);
    BOOST_TEST(b.state.current()->configuration.findTeam("bench")->burst == 22);
}

// Guards against a daemon that starts without a version because the stored one is invalid.
BOOST_AUTO_TEST_CASE(StartWithAnInvalidStoredVersionUsesThatOfPeers)
{
    writeRoot(rootWithClasses(INVALID_CLASSES, true).toText());
    ControlDaemon c { *platform, "c", 3 };
    BOOST_TEST(c.membership->join(Clock::now() + std::chrono::seconds(30)).ok());
    BOOST_TEST(c.state.current()->configuration.findTeam("bench") != nullptr);
    BOOST_TEST(c.state.current()->members.members().size() == 3U);
}

// Guards against a daemon that keeps acting on an old version because a shard of the new one cannot be read yet.
BOOST_AUTO_TEST_CASE(DaemonIsStaleWhileAShardIsUnreadable)
{
    const FleetRoot root = rootWithClasses(VALID_CLASSES, false);
    writeRoot(root.toText());
    BOOST_TEST(!b.watcher.watchOnce());
    BOOST_TEST(!b.state.mayAct(Clock::now()));
    BOOST_REQUIRE(a.store.create({ SHARD_KIND, root.classShard, 0, {}, VALID_CLASSES }).ok());
    BOOST_TEST(b.watcher.watchOnce());
    BOOST_TEST(b.revision() == root.revision);
    BOOST_TEST(b.state.mayAct(Clock::now()));
}

// Guards against a fleet that stays stale for ever because the store has lost a shard.
BOOST_AUTO_TEST_CASE(VersionWithALostShardIsRefusedAndSuperseded)
{
    const FleetRoot root = rootWithClasses(VALID_CLASSES, false);
    writeRoot(root.toText());
    int loads = 1;
    while (!b.watcher.watchOnce() && loads < 100) {
        ++loads;
    }
    BOOST_TEST(loads < 100);
    BOOST_TEST(b.revision() < root.revision);
    const auto raised = b.committer.commit([](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        return FleetChange { std::nullopt, base.members };
    });
    BOOST_REQUIRE(raised.ok());
    BOOST_TEST((*raised)->revision > root.revision);
    BOOST_TEST(b.state.mayAct(Clock::now()));
}

// Guards against a daemon that stays outdated when it cannot reach the store but its peers have a newer version.
BOOST_AUTO_TEST_CASE(PeerServesAVersionInAnOutage)
{
    commitBurst(21);
    set(R"({"outage":true})");
    BOOST_TEST(!b.watcher.watchOnce());
    BOOST_TEST(b.watcher.fetchFromPeer(a.service->address()).ok());
    BOOST_TEST(b.revision() == a.revision());
    BOOST_TEST((b.state.confirmedAt().value() <= a.state.confirmedAt().value()));
}

// Guards against a start with an outdated version because the store returned a stale root.
BOOST_AUTO_TEST_CASE(StartUsesTheHighestOfStoreAndPeers)
{
    commitBurst(21);
    set(R"({"stale_reads":true})");
    ControlDaemon c { *platform, "c", 3 };
    BOOST_TEST(c.watcher.loadInitial().ok());
    BOOST_TEST(c.revision() == a.revision());
}

// Guards against an older build that acts on its version after a newer build has committed another format.
BOOST_AUTO_TEST_CASE(DaemonIsStaleAfterANewerFormat)
{
    JsonObject::Ptr root = *Json::parseObject(FleetCodec::encode(*a.state.current(), {}).root.toText());
    root->set("format", FLEET_FORMAT + 1);
    writeRoot(Json::toText(*root));
    BOOST_TEST(!b.watcher.watchOnce());
    BOOST_TEST(!b.state.mayAct(Clock::now()));
    const auto change = b.committer.commit([](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        return FleetChange { std::nullopt, base.members };
    });
    BOOST_TEST(absl::IsFailedPrecondition(change.status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
