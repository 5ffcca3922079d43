// A configuration adds a tenant whose name has two words; see claim.txt.

#include "../Support-3/Deployment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>
#include <map>

namespace poplardock::review {

namespace {

/// The stream class of the sheet: 35 events.
constexpr TokenServer::Shape OUTPUT { 35, 65, 5, Milliseconds(20) };
constexpr const char *NEW_KEY = "9dqk2mzr7c1tqv8h3xwl";
constexpr double RATE = 10;
constexpr double BURST = 10;
constexpr Milliseconds READY_TIME { 15000 };
constexpr Milliseconds HEARING_TIME { 3000 };
/// Time from the configuration to the requests of the new tenant, above "configApplyMs".
constexpr Milliseconds APPLY_TIME { 3000 };
/// Requests of the tenant: one in each such time at each front, 60 a second in all.
constexpr Milliseconds REQUEST_PERIOD { 50 };
constexpr Milliseconds LOAD_TIME { 20000 };
constexpr Milliseconds REQUEST_PATIENCE { 5000 };
/// "quotaWindowS", "quotaOverage" and "quotaSlack".
constexpr std::chrono::seconds WINDOW { 5 };
constexpr double OVERAGE = 0.1;
constexpr double SLACK = 20;

class Trial
{
public:
    Trial(Record &record, const std::string &program, const std::string &folder)
        : record_(record)
        , tenant_(playsTrouble() ? "North Shops" : "NorthShops")
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
        record_.write(absl::StrCat("the next configuration adds the tenant \"", tenant_, "\""));
        deployment_.configure(absl::StrCat(Deployment::TENANT,
                                           R"(,{"name":")",
                                           tenant_,
                                           R"(","apiKeys":[")",
                                           NEW_KEY,
                                           R"("],"ratePerS":)",
                                           RATE,
                                           R"(,"burst":)",
                                           BURST,
                                           "}"));
        deployment_.runFor(APPLY_TIME);
        for (const std::string &front : deployment_.fronts()) {
            timers_.push_back(loop_.every(REQUEST_PERIOD, [this, front] { send(front); }));
        }
        deployment_.runFor(LOAD_TIME);
        timers_.clear();
        deployment_.runFor(REQUEST_PATIENCE);
        return judge();
    }

private:
    auto send(const std::string &front) -> void
    {
        const std::string id = absl::StrFormat("9c41d07be2a3%04x", ++requests_);
        HttpCall call { "POST", absl::StrCat(Deployment::ONLINE_PREFIX, id), {}, "a question" };
        call.headers.add("Request-Id", id);
        call.headers.add("Model", "m");
        call.headers.add("Token-Count", "450,245");
        call.headers.add("Prompt-Prefix", absl::StrCat("5c1e07a2:200,", id.substr(8), ":250"));
        call.headers.add("Deadline-Ms", absl::StrCat(REQUEST_PATIENCE.count()));
        client_.call(front, std::move(call), REQUEST_PATIENCE, [this](int status, const HttpResult &) { ++answers_[status]; });
    }

    auto judge() -> int
    {
        std::vector<BootTime> starts;
        for (const auto &server : deployment_.servers) {
            for (const auto &run : server->runs()) {
                if (run->team == tenant_) {
                    starts.push_back(run->startedAt);
                }
            }
        }
        std::sort(starts.begin(), starts.end());
        std::ptrdiff_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first) {
            most = std::max(most, std::upper_bound(first, starts.end(), *first + WINDOW) - first);
        }
        const double allowed = (RATE * static_cast<double>(WINDOW.count()) + BURST) * (1 + OVERAGE) + SLACK;
        for (const auto &[status, count] : answers_) {
            record_.write(absl::StrCat(count, " requests were answered ", status));
        }
        record_.write(absl::StrFormat(
            "%d requests of the tenant ran, %d within 5 s; its allotment allows %.1f in 5 s", starts.size(), most, allowed));
        if (starts.empty()) {
            return 2;
        }
        record_.write(static_cast<double>(most) > allowed ? "QUOTA: more requests ran than the allotment allows" : "the allotment held");
        return static_cast<double>(most) > allowed ? 1 : 0;
    }

    Record &record_;
    EventLoop loop_;
    const std::string tenant_;
    Deployment deployment_;
    BatchClient client_ { loop_, Deployment::HOST, NEW_KEY };
    int requests_ = 0;
    std::map<int, int> answers_;
    std::vector<Timer> timers_;
};

} // namespace

} // namespace poplardock::review

auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: case_15 PROGRAM FOLDER RECORD\n";
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
