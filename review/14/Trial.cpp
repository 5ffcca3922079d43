// A server leaves while a front of a data centre starts again; see claim.txt.

#include "../Support-3/Deployment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <iostream>
#include <map>
#include <optional>

namespace poplardock::review {

namespace {

/// The stream class of the sheet: 35 events. An event holds 7 tokens, and a step takes 2.77 ms and more.
constexpr TokenServer::Shape OUTPUT { 35, 65, 1, Milliseconds(20) };
constexpr Milliseconds READY_TIME { 15000 };
constexpr Milliseconds HEARING_TIME { 3000 };
/// Requests at each front.
constexpr Milliseconds REQUEST_PERIOD { 100 };
constexpr Milliseconds REQUEST_PATIENCE { 5000 };
constexpr Milliseconds DOWN_TIME { 500 };
/// Time in which the front that was killed lists the servers.
constexpr Milliseconds LIST_TIME { 3000 };
/// "drainMs", and the time for which the server serves on after that.
constexpr Milliseconds DRAIN_TIME { 2000 };
constexpr Milliseconds SERVE_TIME { 3000 };
/// One kill and one removal each; one server of the twelve leaves in each round.
constexpr std::size_t ROUNDS = 9;
constexpr Milliseconds PAUSE { 3000 };

class Trial
{
public:
    Trial(Record &record, const std::string &program, const std::string &folder)
        : record_(record)
        , deployment_(loop_, record, program, folder, OUTPUT, { "dixie-east-a", "dixie-east-b", "dixie-east-b", "dixie-east-b" })
    {
    }

    auto run() -> int
    {
        if (!deployment_.awaitReady(READY_TIME)) {
            record_.write("the daemons did not become ready");
            return 2;
        }
        deployment_.runFor(HEARING_TIME);
        for (std::size_t front = 0; front < deployment_.fronts().size(); ++front) {
            timers_.push_back(loop_.every(REQUEST_PERIOD, [this, front] { send(front); }));
        }
        deployment_.runFor(HEARING_TIME);
        int late = 0;
        for (std::size_t round = 0; round < ROUNDS && late == 0; ++round) {
            late = playRound(round);
            deployment_.runFor(PAUSE);
        }
        timers_.clear();
        deployment_.runFor(REQUEST_PATIENCE);
        for (const auto &[status, count] : answers_) {
            record_.write(absl::StrCat(count, " requests were answered ", status));
        }
        record_.write(late > 0 ? absl::StrCat("DRAIN: ", late, " requests of undisturbed fronts reached a server that had left")
                               : "no request reached a server that had left");
        return late > 0 ? 1 : 0;
    }

private:
    /// Returns the requests that reached the server too late from fronts that were not killed.
    auto playRound(std::size_t round) -> int
    {
        // One of the three fronts of a data centre, in turn.
        const std::size_t killed = 1 + round % 3;
        TokenServer &server = *deployment_.servers[round];
        std::optional<BootTime> leftAt;
        const auto leave = [this, &server, &leftAt] {
            if (!leftAt) {
                leftAt = BootClock::now();
                record_.write(absl::StrCat("the entry of ", server.name(), " is removed"));
                deployment_.store.erase("servers", server.name());
            }
        };
        if (playsTrouble()) {
            deployment_.fleet->kill(killed, DOWN_TIME);
            deployment_.runFor(DOWN_TIME);
            deployment_.store.setListHandler(leave);
            const BootTime deadline = BootClock::now() + LIST_TIME;
            while (!leftAt && BootClock::now() < deadline) {
                deployment_.runFor(Milliseconds(10));
            }
            deployment_.store.setListHandler({});
        }
        leave();
        deployment_.runFor(DRAIN_TIME + SERVE_TIME);
        int late = 0;
        for (const auto &run : server.runs()) {
            const std::size_t front = frontOf_.at(run->request);
            if (run->startedAt > *leftAt + DRAIN_TIME && (front != killed || !playsTrouble())) {
                ++late;
                record_.write(absl::StrFormat("request %s of %s reaches %s %.0f ms after its entry was removed",
                                              run->request,
                                              deployment_.fleet->machine(front).name,
                                              server.name(),
                                              millisecondsBetween(*leftAt, run->startedAt)));
            }
        }
        return late;
    }

    auto send(std::size_t front) -> void
    {
        const std::string id = absl::StrFormat("9c41d07be2a3%04x", ++requests_);
        frontOf_[id] = front;
        HttpCall call { "POST", absl::StrCat(Deployment::ONLINE_PREFIX, id), {}, "a question" };
        call.headers.add("Request-Id", id);
        call.headers.add("Model", "m");
        call.headers.add("Token-Count", "450,245");
        call.headers.add("Prompt-Prefix", absl::StrCat("5c1e07a2:200,", id.substr(8), ":250"));
        call.headers.add("Deadline-Ms", absl::StrCat(REQUEST_PATIENCE.count()));
        deployment_.client.call(
            deployment_.fronts()[front], std::move(call), REQUEST_PATIENCE, [this](int status, const HttpResult &) { ++answers_[status]; });
    }

    Record &record_;
    EventLoop loop_;
    Deployment deployment_;
    int requests_ = 0;
    std::map<std::string, std::size_t> frontOf_;
    std::map<int, int> answers_;
    std::vector<Timer> timers_;
};

} // namespace

} // namespace poplardock::review

auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: case_14 PROGRAM FOLDER RECORD\n";
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
