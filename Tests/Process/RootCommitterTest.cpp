#include "Process/RootCommitter.h"

#include "Support/ControlDaemon.h"

#include <boost/test/unit_test.hpp>

namespace poplardock {

namespace {

struct CommitterFixture
{
    std::unique_ptr<FakePlatform> platform = *FakePlatform::start("127.0.0.1:0");
    ControlDaemon a { *platform, "a", 1 };
    ControlDaemon b { *platform, "b", 2 };

    CommitterFixture()
    {
        BOOST_REQUIRE(a.membership->join(Clock::now() + std::chrono::seconds(30)).ok());
        BOOST_REQUIRE(b.watcher.loadInitial().ok());
    }

    auto set(const std::string &faults) const -> void
    {
        BOOST_REQUIRE(platform->setFaults(faults).ok());
    }

    /// Adds one team; adding the same one twice is an error.
    static auto addTeam(const std::string &name) -> RootCommitter::ChangeFunction
    {
        return [name](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
            if (base.configuration.findTeam(name) != nullptr) {
                return absl::FailedPreconditionError("the team exists");
            }
            Configuration::Data data = base.configuration.data();
            data.teams.push_back({ name, 1, 1, {} });
            return FleetChange { data, std::nullopt };
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RootCommitterSuite, CommitterFixture)

// Guards against a lost change when two daemons commit at the same time.
BOOST_AUTO_TEST_CASE(ConcurrentCommitsAllTakeEffect)
{
    constexpr int COMMITS = 10;
    const std::uint64_t before = a.revision();
    std::atomic<int> succeeded = 0;
    const auto commitAll = [&succeeded](ControlDaemon &daemon, const std::string &prefix) {
        for (int number = 0; number < COMMITS; ++number) {
            succeeded += daemon.committer.commit(addTeam(prefix + std::to_string(number))).ok() ? 1 : 0;
        }
    };
    {
        const std::jthread other([&] { commitAll(b, "b"); });
        commitAll(a, "a");
    }
    BOOST_TEST(succeeded == 2 * COMMITS);
    const auto last = a.committer.commit([](const FleetVersion &) -> absl::StatusOr<FleetChange> { return FleetChange(); });
    BOOST_REQUIRE(last.ok());
    BOOST_TEST((*last)->revision == before + 2 * COMMITS);
    BOOST_TEST((*last)->configuration.data().teams.size() == 2U * COMMITS);
}

// Guards against a change that is applied twice or reported as failed when only responses were lost.
BOOST_AUTO_TEST_CASE(LostResponsesAreResolved)
{
    const std::uint64_t before = a.revision();
    set(R"({"lose_write_answers":2})");
    const auto version = a.committer.commit(addTeam("t"));
    BOOST_REQUIRE(version.ok());
    BOOST_TEST((*version)->revision == before + 1);
    BOOST_TEST(a.store.callCounts().resolvedWrites == 2U);
    BOOST_TEST(a.revision() == before + 1);
}

// Guards against a change with an unknown outcome, or one that is made twice, when the store fails right after the
// update took effect and another daemon commits before the writer can read the root again.
BOOST_AUTO_TEST_CASE(UpdateLostInAnOutageIsFoundUnderALaterCommit)
{
    const std::uint64_t before = a.revision();
    absl::StatusOr<FleetVersionPointer> version = absl::UnknownError("not run");
    {
        set(R"({"delay_ms":300})");
        const std::uint64_t updates = platform->callCount("PUT roots");
        const std::jthread writer([&] { version = a.committer.commit(addTeam("t")); });
        BOOST_REQUIRE(eventually([&] { return platform->callCount("PUT roots") > updates; }));
        // The update is pending in the store: it takes effect, but its response is lost.
        set(R"({"outage":true,"delay_ms":0})");
        BOOST_REQUIRE(eventually([&] { return a.store.callCounts().failures > 0; }));
        set(R"({"outage":false})");
        BOOST_REQUIRE(b.committer.commit(addTeam("u")).ok());
    }
    BOOST_REQUIRE_MESSAGE(version.ok(), std::string(version.status().message()));
    const auto last = b.committer.commit([](const FleetVersion &) -> absl::StatusOr<FleetChange> { return FleetChange(); });
    BOOST_REQUIRE(last.ok());
    BOOST_TEST((*last)->revision == before + 2);
    BOOST_TEST((*last)->configuration.findTeam("t") != nullptr);
    BOOST_TEST((*last)->configuration.findTeam("u") != nullptr);
}

// Guards against an error that means "nothing was changed" when the store may have applied the update.
BOOST_AUTO_TEST_CASE(UpdateWithoutAnyResponseIsUnknown)
{
    const std::uint64_t updates = platform->callCount("PUT roots");
    const auto failing = [this](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        // From here on only writes fail: the shard is already stored, and the update of the root gets status 503.
        static_cast<void>(a.store.create({ SHARD_KIND, FleetCodec::encode(base, {}).root.memberShard, 0, {}, "{}" }));
        set(R"({"refuse_writes":true})");
        return FleetChange { std::nullopt, base.members };
    };
    const auto version = a.committer.commit(failing);
    BOOST_TEST(platform->callCount("PUT roots") > updates);
    BOOST_TEST(absl::IsUnknown(version.status()));
}

// Guards against a change that is reported as uncertain when the store was down before anything was written.
BOOST_AUTO_TEST_CASE(OutageBeforeTheChangeIsUnavailable)
{
    set(R"({"outage":true})");
    BOOST_TEST(absl::IsUnavailable(a.committer.commit(addTeam("t")).status()));
}

// Guards against an invalid version that is committed to the root.
BOOST_AUTO_TEST_CASE(InvalidChangeIsNotCommitted)
{
    const std::uint64_t updates = platform->callCount("PUT roots");
    const auto version = a.committer.commit([](const FleetVersion &) -> absl::StatusOr<FleetChange> {
        Configuration::Data data;
        data.defaultClass = "missing";
        return FleetChange { data, std::nullopt };
    });
    BOOST_TEST(absl::IsInvalidArgument(version.status()));
    BOOST_TEST(platform->callCount("PUT roots") == updates);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
