#include "Request/ChunkTransition.h"

#include <absl/strings/numbers.h>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <random>

namespace poplardock {

namespace {

auto chunkOf(int items, bool isRetryable) -> BatchChunk
{
    BatchChunk chunk;
    chunk.job = "job";
    chunk.isRetryable = isRetryable;
    for (int index = 0; index < items; ++index) {
        BatchItem item;
        item.id = std::to_string(index);
        item.body = "{}";
        chunk.items.push_back(std::move(item));
    }
    return chunk;
}

const ChunkHolder HOLDERS[] = { { "a", "1" }, { "b", "1" }, { "a", "2" } };

/// State of one daemon in the random test: the version it read last, its lease, and the items that it has started under
/// the lease and may now send.
struct View
{
    std::uint64_t version = 0;
    BatchChunk chunk;
    ChunkLease lease;
    std::vector<std::size_t> sendable;
};

/// Simulates a chunk in a store with conditional updates, and daemons that act on views that may be stale.
class RandomRun
{
public:
    RandomRun(std::uint64_t seed, bool isRetryable)
        : random_(seed)
        , stored_(chunkOf(4, isRetryable))
        , sent_(4, 0)
    {
        for (View &view : views_) {
            view.chunk = stored_;
        }
    }

    auto step() -> void
    {
        const auto holder = static_cast<std::size_t>(draw(3));
        View &view = views_[holder];
        switch (draw(8)) {
        case 0:
            view.chunk = stored_;
            view.version = version_;
            break;
        case 1:
            lease(view, HOLDERS[holder]);
            break;
        case 2:
            start(view);
            break;
        case 3:
            send(view);
            break;
        case 7:
            if (draw(40) == 0) {
                write(view, ChunkTransition::cancel(view.chunk));
            }
            break;
        case 6:
            write(view, ChunkTransition::release(view.chunk, view.lease));
            break;
        default:
            commit(view);
        }
    }

private:
    auto draw(int count) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, static_cast<std::size_t>(count - 1))(random_);
    }

    /// A daemon reports that an item has not run only if the item has not been sent.
    auto outcome(bool wasSent) -> ItemOutcome
    {
        switch (draw(4)) {
        case 0:
            return ItemCompleted { "r" };
        case 1:
            return AttemptFailed { "u", wasSent || draw(2) == 0, draw(2) == 0, "lost" };
        case 2:
            return ItemReturned { wasSent || draw(2) == 0 };
        default:
            return ItemFailed { ResultCode::ItemRefused, "no" };
        }
    }

    auto lease(View &view, const ChunkHolder &holder) -> void
    {
        if (write(view, ChunkTransition::lease(view.chunk, holder))) {
            view.lease = { holder, view.chunk.epoch };
            view.sendable.clear();
        }
    }

    auto start(View &view) -> void
    {
        const std::size_t item = draw(4);
        if (write(view, ChunkTransition::start(view.chunk, view.lease, { item }))) {
            view.sendable.push_back(item);
        }
    }

    /// A daemon does not send an item after committing an outcome for it.
    auto commit(View &view) -> void
    {
        const std::size_t item = draw(4);
        if (write(view, ChunkTransition::commit(view.chunk, view.lease, { { item, outcome(sent_[item] > 0) } }))) {
            std::erase(view.sendable, item);
        }
    }

    /// Sends all items started earlier, whatever has changed in the store since, as a daemon does that was suspended.
    auto send(View &view) -> void
    {
        for (const std::size_t item : view.sendable) {
            ++sent_[item];
            if (!stored_.isRetryable) {
                BOOST_TEST(sent_[item] <= 1, "item sent twice");
            }
        }
        view.sendable.clear();
    }

    auto write(View &view, const absl::StatusOr<BatchChunk> &changed) -> bool
    {
        if (!changed.ok() || view.version != version_) {
            return false;
        }
        check(*changed);
        stored_ = *changed;
        view.chunk = *changed;
        view.version = ++version_;
        return true;
    }

    auto check(const BatchChunk &changed) -> void
    {
        BOOST_TEST(!stored_.cancelled, "a cancelled chunk has changed");
        BOOST_TEST(changed.progress > stored_.progress);
        BOOST_TEST(changed.epoch >= stored_.epoch);
        BOOST_TEST((changed.holder == stored_.holder || changed.epoch > stored_.epoch || changed.holder.name.empty()));
        for (std::size_t index = 0; index < stored_.items.size(); ++index) {
            const BatchItem &before = stored_.items[index];
            BOOST_TEST((!before.hasEnded() || before == changed.items[index]), "an ended item has changed");
            BOOST_TEST(changed.items[index].attempts <= MAXIMUM_ATTEMPTS);
        }
    }

    std::mt19937_64 random_;
    BatchChunk stored_;
    std::uint64_t version_ = 0;
    std::vector<int> sent_;
    View views_[3];
};

auto seedOfRun() -> std::uint64_t
{
    std::uint64_t seed = 0;
    const char *text = std::getenv("POPLARDOCK_SEED"); // NOLINT(concurrency-mt-unsafe): read before any thread starts
    return text != nullptr && absl::SimpleAtoi(text, &seed) ? seed : std::random_device {}();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChunkTransitionSuite)

// Guards against any sequence of transitions on stale views that changes an ended item or a cancelled chunk, or sends a
// non-retryable item twice.
BOOST_AUTO_TEST_CASE(RandomTransitionsKeepTheInvariants)
{
    const std::uint64_t seed = seedOfRun();
    BOOST_TEST_MESSAGE("POPLARDOCK_SEED=" << seed);
    for (std::uint64_t round = 0; round < 400; ++round) {
        BOOST_TEST_CONTEXT("POPLARDOCK_SEED=" << seed << " round " << round)
        {
            RandomRun run(seed + round, round % 2 == 0);
            for (int step = 0; step < 300; ++step) {
                run.step();
            }
        }
    }
}

// Guards against accepting a late commit, release or renewal of a holder that was replaced.
BOOST_AUTO_TEST_CASE(OldLeaseIsRefused)
{
    const auto first = ChunkTransition::lease(chunkOf(1, true), HOLDERS[0]);
    const auto second = ChunkTransition::lease(*first, HOLDERS[1]);
    const ChunkLease old { HOLDERS[0], first->epoch };
    BOOST_TEST(absl::IsFailedPrecondition(ChunkTransition::commit(*second, old, { { 0, ItemCompleted { "r" } } }).status()));
    BOOST_TEST(absl::IsFailedPrecondition(ChunkTransition::release(*second, old).status()));
    const auto again = ChunkTransition::lease(*second, HOLDERS[0]);
    BOOST_TEST(absl::IsFailedPrecondition(ChunkTransition::renew(*again, old).status()));
}

// Guards against a job that never ends because every attempt at one of its items fails.
BOOST_AUTO_TEST_CASE(TooManyFailedAttemptsFailAnItem)
{
    const auto leased = ChunkTransition::lease(chunkOf(1, true), HOLDERS[0]);
    const ChunkLease lease { HOLDERS[0], leased->epoch };
    absl::StatusOr<BatchChunk> chunk = *leased;
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; ++attempt) {
        BOOST_TEST(!chunk->items[0].hasEnded());
        chunk = ChunkTransition::commit(*chunk, lease, { { 0, AttemptFailed { "u", true, false, "500" } } });
        BOOST_REQUIRE(chunk.ok());
    }
    BOOST_TEST((chunk->items[0].error == ResultCode::ItemAttemptsExhausted));
    BOOST_TEST(chunk->items[0].excluded.size() == 1U);
}

// Guards against an item that ends, or may not run at any upstream, because upstreams crashed while they ran it.
BOOST_AUTO_TEST_CASE(CrashesOfUpstreamsDoNotFailAnItem)
{
    const auto leased = ChunkTransition::lease(chunkOf(2, true), HOLDERS[0]);
    const ChunkLease lease { HOLDERS[0], leased->epoch };
    absl::StatusOr<BatchChunk> chunk = *leased;
    constexpr int CRASHES = 20;
    for (int crash = 0; crash < CRASHES; ++crash) {
        chunk = ChunkTransition::commit(*chunk, lease, { { 0, AttemptFailed { "u", true, true, "died" } } });
        BOOST_REQUIRE(chunk.ok());
        BOOST_TEST((chunk->items[0].state == ItemState::Waiting));
    }
    BOOST_TEST(chunk->items[0].crashes == CRASHES);
    BOOST_TEST(chunk->items[0].attempts == 0);
    BOOST_TEST(chunk->items[0].excluded.empty());
    chunk = ChunkTransition::commit(*chunk, lease, { { 0, ItemCompleted { "r" } } });
    BOOST_REQUIRE(chunk.ok());
    BOOST_TEST((chunk->items[0].state == ItemState::Done));
    // An item that may not be repeated has one attempt, whatever ended it.
    const auto once = ChunkTransition::lease(chunkOf(1, false), HOLDERS[0]);
    const ChunkLease onceLease { HOLDERS[0], once->epoch };
    const auto started = ChunkTransition::start(*once, onceLease, { 0 });
    const auto ended = ChunkTransition::commit(*started, onceLease, { { 0, AttemptFailed { "u", true, true, "died" } } });
    BOOST_REQUIRE(ended.ok());
    BOOST_TEST((ended->items[0].error == ResultCode::ItemMayHaveRun));
}

// Guards against running a non-retryable item again that a lost holder may have sent.
BOOST_AUTO_TEST_CASE(StartedItemsOfALostHolderFail)
{
    const auto leased = ChunkTransition::lease(chunkOf(2, false), HOLDERS[0]);
    const auto started = ChunkTransition::start(*leased, { HOLDERS[0], leased->epoch }, { 1 });
    const auto taken = ChunkTransition::lease(*started, HOLDERS[1]);
    BOOST_TEST((taken->items[0].state == ItemState::Waiting));
    BOOST_TEST((taken->items[1].error == ResultCode::ItemMayHaveRun));
}

// Guards against a codec that loses a field, so that a daemon would take its own write for that of another.
BOOST_AUTO_TEST_CASE(CodecKeepsEveryField)
{
    BatchChunk chunk = chunkOf(3, false);
    chunk.number = 7;
    chunk.epoch = 3;
    chunk.holder = HOLDERS[2];
    chunk.progress = 12;
    chunk.cancelled = true;
    chunk.items[0].body = R"({"text":"quotes \" and \\ and / and umlaut: ü"})";
    chunk.items[1] = { "x", "{}", ItemState::Failed, 2, 1, { "u", "v" }, "", ResultCode::ItemRefused, "because" };
    chunk.items[2] = { "y", "{}", ItemState::Done, 0, 0, {}, "job-7-3-0", ResultCode::Ok, "" };
    const auto text = Json::parseObject(Json::toText(*toJson(chunk)));
    const auto read = batchChunkFromJson(**text);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == chunk));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
