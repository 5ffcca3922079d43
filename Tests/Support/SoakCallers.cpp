#include "Support/SoakCallers.h"

#include "Support/PlatformFleet.h"
#include "platform/Adapter.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr Milliseconds REQUEST_PERIOD { 30 };
/// The team with an allowance of 5 a second sends 20.
constexpr Milliseconds DYERS_PERIOD { 50 };
/// Of requests that crash engines, in the seeds that have them.
constexpr Milliseconds CRASHING_PERIOD { 300 };
constexpr std::uint64_t CRASHING_SEEDS = 4;
constexpr std::uint64_t FIRST_CRASHING_SEED = 2;
constexpr Milliseconds JOB_PERIOD { 900 };
constexpr Milliseconds READ_PERIOD { 60 };
constexpr Milliseconds CANCEL_PERIOD { 700 };
constexpr Milliseconds JOB_CALL_TIME { 4000 };
/// Time over its own patience after which a caller gives up.
constexpr Milliseconds SLACK { 1500 };
constexpr Milliseconds RESUBMIT_PAUSE { 300 };
constexpr int SUBMISSIONS = 12;
constexpr int ITEMS = 6;
constexpr int CANCELLED_SHARE = 5;
constexpr ClientPool::Options POOL { {}, Milliseconds(1000), Milliseconds(10000) };

} // namespace

SoakCallers::SoakCallers(FrontProcesses &fleet, std::uint64_t seed)
    : fleet_(fleet)
    , random_(seed)
    , pool_(fleet.loop, POOL)
    , client_(fleet.loop, pool_)
    , hasCrashingPart_(seed % CRASHING_SEEDS == FIRST_CRASHING_SEED)
{
}

auto SoakCallers::start() -> void
{
    requestTimer_ = fleet_.loop.every(REQUEST_PERIOD, [this] { sendNext(); });
    dyersTimer_ = fleet_.loop.every(DYERS_PERIOD, [this] { send(randomDaemon(), "plain", "key2"); });
    if (hasCrashingPart_) {
        crashingTimer_ = fleet_.loop.every(CRASHING_PERIOD, [this] { sendCrashing(); });
    }
    jobTimer_ = fleet_.loop.every(JOB_PERIOD, [this] { submitNext(); });
    readTimer_ = fleet_.loop.every(READ_PERIOD, [this] { readNext(); });
    cancelTimer_ = fleet_.loop.every(CANCEL_PERIOD, [this] { cancelNext(); });
}

auto SoakCallers::stop() -> void
{
    requestTimer_.cancel();
    dyersTimer_.cancel();
    crashingTimer_.cancel();
    jobTimer_.cancel();
    cancelTimer_.cancel();
}

auto SoakCallers::setThirdKey(const std::string &key) -> void
{
    thirdKey_ = key;
}

auto SoakCallers::requests() const -> const std::map<std::string, SoakRequest> &
{
    return requests_;
}

auto SoakCallers::jobs() const -> const std::map<std::string, SoakJob> &
{
    return jobs_;
}

auto SoakCallers::randomDaemon() -> std::size_t
{
    return random_() % fleet_.daemons.size();
}

auto SoakCallers::call(std::size_t daemon, const HttpCall &request, Milliseconds time, HttpClient::Handler handler) -> void
{
    client_.call(fleet_.daemons[daemon].callers->address(), request, BootClock::now() + time, std::move(handler));
}

auto SoakCallers::sendNext() -> void
{
    static const std::vector<std::string> ROUTES = { "plain", "once", "resumed", "stream" };
    const std::string &route = ROUTES[random_() % ROUTES.size()];
    const bool usesThird = !thirdKey_.empty() && random_() % 2 == 0;
    send(randomDaemon(), route, usesThird ? thirdKey_ : "key1");
}

auto SoakCallers::send(std::size_t daemon, const std::string &route, const std::string &key) -> void
{
    sendRequest({ absl::StrCat("q", ++lastRequest_), route, key, daemon, BootClock::now(), {}, 0, {}, false, false });
}

auto SoakCallers::sendCrashing() -> void
{
    sendRequest({ absl::StrCat("q", ++lastRequest_), "resumed", "key1", randomDaemon(), BootClock::now(), {}, 0, {}, false, true });
}

auto SoakCallers::sendRequest(const SoakRequest &newRequest) -> void
{
    const std::string id = newRequest.id;
    const std::string path = absl::StrCat("/", newRequest.route, "/", id);
    const bool isStream = newRequest.route == "resumed" || newRequest.route == "stream";
    HttpCall request = isStream ? PlatformFleet::streamRequest(path, id, newRequest.key) : PlatformFleet::request(path, id, newRequest.key);
    request.headers.set("Deadline-Ms", absl::StrCat(PATIENCE.count()));
    if (isStream && hasCrashingPart_) {
        const std::string crashing = newRequest.isCrashing ? absl::StrCat(FrontProcesses::CRASHING_PART, ":50,") : "";
        request.headers.set("Prompt-Prefix", absl::StrCat("shared:200,", crashing, "own-", id, ":50"));
    }
    requests_[id] = newRequest;
    call(newRequest.daemon, request, PATIENCE + SLACK, [this, id](const HttpCallOutcome &outcome) {
        SoakRequest &record = requests_[id];
        record.endedAt = BootClock::now();
        record.hasEnded = true;
        if (const auto *result = std::get_if<HttpResult>(&outcome)) {
            record.status = result->status;
            record.body = result->body;
        }
    });
}

auto SoakCallers::submitNext() -> void
{
    const std::string id = absl::StrCat("job", ++lastJob_);
    SoakJob job;
    job.id = id;
    job.itemCount = ITEMS;
    job.isCancelWanted = lastJob_ % CANCELLED_SHARE == 0;
    jobs_[id] = job;
    submit(id, 1);
}

auto SoakCallers::submit(const std::string &id, int attempt) -> void
{
    const HttpCall request = PlatformFleet::submission(id, ITEMS, "key1");
    call(randomDaemon(), request, JOB_CALL_TIME, [this, id, attempt](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        SoakJob &job = jobs_[id];
        if (result != nullptr && result->status == HttpStatus::ACCEPTED) {
            job.isAccepted = true;
            return;
        }
        // A caller whose only submission was refused does not come again, so that the promise can be checked.
        if (attempt == 1 && result != nullptr && result->status == HttpStatus::UNAVAILABLE) {
            job.isRefused = true;
            return;
        }
        if (attempt < SUBMISSIONS) {
            retries_.push_back(fleet_.loop.at(BootClock::now() + RESUBMIT_PAUSE, [this, id, attempt] { submit(id, attempt + 1); }));
        }
    });
}

auto SoakCallers::cancelNext() -> void
{
    for (auto &[id, job] : jobs_) {
        if (!job.isAccepted || !job.isCancelWanted || job.cancelledAt) {
            continue;
        }
        const HttpCall request { "DELETE", "/-/lots/" + id, PlatformFleet::request("", "c-" + id, "key1").headers, {} };
        call(randomDaemon(), request, JOB_CALL_TIME, [this, name = id](const HttpCallOutcome &outcome) {
            const auto *result = std::get_if<HttpResult>(&outcome);
            SoakJob &cancelled = jobs_[name];
            if (result != nullptr && result->status == HttpStatus::OK && !cancelled.cancelledAt) {
                cancelled.cancelledAt = BootClock::now();
            }
        });
    }
}

auto SoakCallers::readNext() -> void
{
    std::vector<std::string> open;
    for (const auto &[id, job] : jobs_) {
        if (job.isAccepted && job.results.size() < job.itemCount) {
            open.push_back(id);
        }
    }
    if (open.empty()) {
        return;
    }
    const std::string id = open[nextRead_++ % open.size()];
    readOnce(randomDaemon(), id, [this, id](const std::optional<std::vector<JobResult>> &results) {
        if (results) {
            takeResults(jobs_[id], *results);
        }
    });
}

auto SoakCallers::readOnce(std::size_t daemon, const std::string &job, std::function<void(std::optional<std::vector<JobResult>>)> handler)
    -> void
{
    const HttpCall request { "GET", absl::StrCat("/-/lots/", job, "?after=0"), PlatformFleet::request("", "r-" + job, "key1").headers, {} };
    call(daemon, request, JOB_CALL_TIME, [handler = std::move(handler)](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        if (result == nullptr || result->status != HttpStatus::OK) {
            handler(std::nullopt);
            return;
        }
        auto decoded = platform::makeAdapter().decodeResults(result->body);
        handler(decoded.ok() ? std::optional(*std::move(decoded)) : std::nullopt);
    });
}

auto SoakCallers::takeResults(SoakJob &job, const std::vector<JobResult> &results) -> void
{
    const std::size_t common = std::min(job.results.size(), results.size());
    if (!std::equal(results.begin(), results.begin() + static_cast<std::ptrdiff_t>(common), job.results.begin())) {
        job.disagreements.push_back(absl::StrCat("two readers of ", job.id, " got different results at the same position"));
    }
    if (results.size() > job.results.size()) {
        job.results = results;
    }
}

auto SoakCallers::areAllDone() const -> bool
{
    const bool areRequestsDone = std::all_of(requests_.begin(), requests_.end(), [](const auto &each) { return each.second.hasEnded; });
    return areRequestsDone && std::all_of(jobs_.begin(), jobs_.end(), [](const auto &each) {
               const SoakJob &job = each.second;
               return !job.isAccepted || job.isCancelWanted || job.results.size() >= job.itemCount;
           });
}

} // namespace poplardock
