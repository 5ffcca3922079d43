// Clients read the results of large batch submissions after the fronts were stopped and started in turn; see claim.txt.

#include "../Support-3/Deployment.h"
#include "../Support-3/JobReader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

namespace poplardock::review {

namespace {

/// The largest output of the site's batch class: 387 events of 390 bytes, a line feed included. An event holds 7 tokens, and a step
/// takes 2.77 ms and more.
constexpr TokenServer::Shape LARGEST_OUTPUT { 387, 389, 1, Milliseconds(20) };
constexpr int OUTPUT_TOKENS = 2709;
constexpr const char *JOB = "7c41e09b52d6a3f8";
constexpr std::size_t ITEMS = 200;
/// Clients of the batch class: 4 in each of the three zones.
constexpr std::size_t CLIENTS_PER_ZONE = 4;
constexpr Milliseconds READY_TIME { 15000 };
constexpr Milliseconds HEARING_TIME { 3000 };
constexpr Milliseconds RUN_TIME { 50000 };
/// The gap of "roll_term" on the site.
constexpr Milliseconds ROLL_GAP { 2000 };
/// After it the machines are in touch again.
constexpr Milliseconds STABLE_WINDOW { 3000 };
constexpr Milliseconds READ_TIME { 40000 };
constexpr Milliseconds STEP { 100 };
class Trial
{
public:
    Trial(Record &record, const std::string &program, const std::string &folder)
        : record_(record)
        , deployment_(loop_, record, program, folder, LARGEST_OUTPUT)
    {
    }

    auto run() -> int
    {
        if (!deployment_.awaitReady(READY_TIME)) {
            record_.write("the daemons did not become ready");
            return 2;
        }
        deployment_.runFor(HEARING_TIME);
        if (!runJob()) {
            return 2;
        }
        if (playsTrouble()) {
            for (std::size_t front = 0; front < deployment_.fleet->fronts(); ++front) {
                deployment_.fleet->restart(front);
                deployment_.runFor(ROLL_GAP);
            }
            deployment_.runFor(Milliseconds(3000));
            if (!deployment_.awaitReady(READY_TIME)) {
                record_.write("the daemons did not become ready again");
                return 2;
            }
        }
        deployment_.runFor(STABLE_WINDOW);
        return readAgain();
    }

private:
    /// One submission, read by the client that sent it.
    auto runJob() -> bool
    {
        const std::string front = deployment_.fronts()[0];
        std::vector<std::string> items;
        items.reserve(ITEMS);
        for (std::size_t item = 0; item < ITEMS; ++item) {
            items.push_back(absl::StrFormat("e5b2907c14da%04x", item));
        }
        record_.write(absl::StrCat("submit ", JOB, ", ", ITEMS, " items"));
        deployment_.client.submit(front, Deployment::BATCH_PREFIX, JOB, items, OUTPUT_TOKENS, [this, front](int status) {
            record_.write(absl::StrCat("submission ", JOB, ": ", status));
            addReader({ front });
        });
        const bool isDone = await(1, RUN_TIME);
        record_.write(isDone ? "all items were listed and read" : "the items were not listed in time");
        return isDone;
    }

    /// All clients of the tenant read; each belongs to a front of its zone.
    auto readAgain() -> int
    {
        std::vector<int> killsBefore;
        const std::vector<std::string> fronts = deployment_.fronts();
        for (std::size_t front = 0; front < fronts.size(); ++front) {
            killsBefore.push_back(deployment_.fleet->machine(front).memoryKills);
        }
        readers_.clear();
        for (std::size_t client = 0; client < CLIENTS_PER_ZONE * fronts.size(); ++client) {
            const std::size_t front = client % fronts.size();
            std::vector<std::string> order;
            for (std::size_t step = 0; step < fronts.size(); ++step) {
                order.push_back(fronts[(front + step) % fronts.size()]);
            }
            addReader(order);
        }
        const bool areRead = await(readers_.size(), READ_TIME);
        int kills = 0;
        for (std::size_t front = 0; front < fronts.size(); ++front) {
            const auto &machine = deployment_.fleet->machine(front);
            kills += machine.memoryKills - killsBefore[front];
            record_.write(absl::StrFormat("%s: at most %.0f MB of %d, ended by the platform %d times",
                                          machine.name,
                                          machine.peakMb,
                                          Deployment::MEMORY_MB,
                                          machine.memoryKills - killsBefore[front]));
        }
        bool hasAny = false;
        for (const auto &reader : readers_) {
            hasAny = hasAny || !reader->results().empty();
            record_.write(
                absl::StrCat("a client has ", reader->results().size(), " of ", ITEMS, " results, ", reader->failures(), " failed calls"));
        }
        if (areRead) {
            record_.write("all clients read all results");
            return 0;
        }
        // Slow answers alone do not count.
        if (kills == 0) {
            record_.write("not all clients read all results in time, but no process ended");
            return 2;
        }
        record_.write(absl::StrCat("LOST: results that had been read do not come again, ", hasAny ? "or not all of them" : "none of them"));
        return 1;
    }

    auto addReader(const std::vector<std::string> &addresses) -> void
    {
        readers_.push_back(std::make_unique<JobReader>(loop_, deployment_.client, record_, addresses, JOB));
        readers_.back()->start();
    }

    /// Runs until that many readers have all results; false when they have not within the time.
    auto await(std::size_t count, Milliseconds limit) -> bool
    {
        const BootTime deadline = BootClock::now() + limit;
        const auto hasAll = [this, count] {
            return readers_.size() >= count
                   && std::all_of(readers_.begin(), readers_.end(), [](const auto &each) { return each->hasAll(); });
        };
        while (!hasAll() && BootClock::now() < deadline) {
            deployment_.runFor(STEP);
        }
        return hasAll();
    }

    Record &record_;
    EventLoop loop_;
    Deployment deployment_;
    std::vector<std::unique_ptr<JobReader>> readers_;
};

} // namespace

} // namespace poplardock::review

auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: case_12 PROGRAM FOLDER RECORD\n";
        return 2;
    }
    poplardock::review::Record record(argv[3]);
    try {
        return poplardock::review::Trial(record, argv[1], argv[2]).run();
    } catch (const std::exception &exception) {
        record.write(exception.what());
        return 2;
    }
}
