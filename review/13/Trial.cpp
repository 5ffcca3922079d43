// A configuration adds a public route while a batch submission runs; see claim.txt.

#include "../Support-3/Deployment.h"
#include "../Support-3/JobReader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

namespace poplardock::review {

namespace {

/// The usual output of the site's batch class: 242 events of 65 bytes. An event holds 7 tokens, and a step takes 2.77 ms and more.
constexpr TokenServer::Shape OUTPUT { 242, 65, 1, Milliseconds(20) };
constexpr int OUTPUT_TOKENS = 1694;
constexpr const char *JOB = "7c41e09b52d6a3f8";
constexpr std::size_t ITEMS = 10;
/// A page without a key for whatever no other route of the host takes.
constexpr const char *PUBLIC_ROUTE
    = R"({"name":"shop-page","host":"ficu95.example","pathPrefix":"/","kind":"idempotent","service":"loom-models","timeoutMs":1000,)"
      R"("targetLatencyMs":100,"maxAttempts":2,"priority":2,"public":true})";
constexpr Milliseconds READY_TIME { 15000 };
constexpr Milliseconds HEARING_TIME { 3000 };
/// Time for which the submission runs before the configuration changes.
constexpr Milliseconds RUN_TIME { 2500 };
/// "configApplyMs" and "settleMs".
constexpr Milliseconds APPLY_TIME { 2000 };
constexpr Milliseconds SETTLE_TIME { 1000 };
constexpr Milliseconds READ_TIME { 30000 };
constexpr Milliseconds STEP { 100 };

class Trial
{
public:
    Trial(Record &record, const std::string &program, const std::string &folder)
        : record_(record)
        , deployment_(loop_, record, program, folder, OUTPUT)
    {
    }

    auto run() -> int
    {
        if (!deployment_.awaitReady(READY_TIME)) {
            record_.write("the daemons did not become ready");
            return 2;
        }
        deployment_.runFor(HEARING_TIME);
        submit();
        deployment_.runFor(RUN_TIME);
        if (reader_ == nullptr) {
            record_.write("the submission was not accepted");
            return 2;
        }
        if (playsTrouble()) {
            record_.write("the next configuration adds a public route with the prefix /");
            deployment_.configure(Deployment::TENANT, PUBLIC_ROUTE);
        }
        deployment_.runFor(APPLY_TIME + SETTLE_TIME);
        const int before = reader_->notFound();
        const BootTime deadline = BootClock::now() + READ_TIME;
        while (!reader_->hasAll() && BootClock::now() < deadline) {
            deployment_.runFor(STEP);
        }
        return judge(reader_->notFound() - before);
    }

private:
    auto submit() -> void
    {
        std::vector<std::string> items;
        items.reserve(ITEMS);
        for (std::size_t item = 0; item < ITEMS; ++item) {
            items.push_back(absl::StrFormat("e5b2907c14da%04x", item));
        }
        record_.write(absl::StrCat("submit ", JOB, ", ", ITEMS, " items"));
        deployment_.client.submit(deployment_.fronts()[0], Deployment::BATCH_PREFIX, JOB, items, OUTPUT_TOKENS, [this](int status) {
            record_.write(absl::StrCat("submission ", JOB, ": ", status));
            if (status == HttpStatus::ACCEPTED) {
                reader_ = std::make_unique<JobReader>(loop_, deployment_.client, record_, deployment_.fronts(), JOB);
                reader_->start();
            }
        });
    }

    auto judge(int notFound) -> int
    {
        int complete = 0;
        for (const auto &server : deployment_.servers) {
            complete += static_cast<int>(
                std::count_if(server->runs().begin(), server->runs().end(), [](const auto &run) { return run->isComplete; }));
        }
        record_.write(
            absl::StrCat("servers finished ", complete, " runs; the client has ", reader_->results().size(), " of ", ITEMS, " results"));
        if (notFound > 0) {
            record_.write(
                absl::StrCat("LOST: ", notFound, " calls were answered 404, more than settleMs after the submission was accepted"));
            return 1;
        }
        record_.write(reader_->hasAll() ? "all results were read" : "not all results were read in time");
        return reader_->hasAll() ? 0 : 2;
    }

    Record &record_;
    EventLoop loop_;
    Deployment deployment_;
    std::unique_ptr<JobReader> reader_;
};

} // namespace

} // namespace poplardock::review

auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: case_13 PROGRAM FOLDER RECORD\n";
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
