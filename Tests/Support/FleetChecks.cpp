#include "Support/FleetChecks.h"

#include "Request/ResultCode.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <set>

namespace poplardock {

namespace {

constexpr const char *BATCH_CLASS = "sheets";
constexpr const char *RUN_NOT_RUN = "not_run";

auto itemBody(const JobShape &job, const std::string &id) -> JsonObject::Ptr
{
    JsonObject::Ptr body = new JsonObject;
    if (!job.path.empty()) {
        body->set("name", id);
        return body;
    }
    JsonObject::Ptr message = new JsonObject;
    message->set("role", "user");
    message->set("content", id);
    JsonArray::Ptr messages = new JsonArray;
    messages->add(message);
    body->set("messages", messages);
    body->set("max_tokens", job.tokens);
    return body;
}

auto readResults(const ProcessFleet &fleet, std::size_t daemon, const std::string &jobKey) -> std::vector<JsonObject::Ptr>
{
    const FleetAnswer page = fleet.call(daemon,
                                        { "GET",
                                          absl::StrCat("/v1/jobs/", jobKey, "/results?from=0&limit=1000"),
                                          {},
                                          { { "Authorization", absl::StrCat("Bearer ", KEY_ANNA) } },
                                          Milliseconds(10000) });
    auto items = Json::optionalObjects(*page.json(), "items");
    return items.ok() ? *std::move(items) : std::vector<JsonObject::Ptr> {};
}

auto isRightOutcome(const JsonObject &item, const std::string &id, bool isRepeatable) -> bool
{
    if (item.optValue<std::string>("state", "") == "done") {
        return absl::StrContains(item.optValue<std::string>("body", ""), id);
    }
    const JsonObject::Ptr error = item.getObject("error");
    return !isRepeatable && !error.isNull() && error->optValue("code", 0) == static_cast<int>(ResultCode::ItemMayHaveRun);
}

} // namespace

Deliveries::Deliveries(const ProcessFleet &fleet)
{
    for (std::size_t upstream = 0; upstream < fleet.upstreamCount(); ++upstream) {
        for (const JsonObject::Ptr &item : fleet.received(upstream)) {
            add(item->optValue<std::string>("body", ""));
            headers_.push_back(item->optValue<std::string>("headers", ""));
        }
    }
}

auto Deliveries::countOf(const std::string &id) const -> int
{
    const auto found = counts_.find(id);
    return found == counts_.end() ? 0 : found->second;
}

auto Deliveries::headers() const -> const std::vector<std::string> &
{
    return headers_;
}

auto Deliveries::add(const std::string &body) -> void
{
    const std::size_t end = body.find(".\"");
    const std::size_t start = end == std::string::npos ? std::string::npos : body.rfind('"', end);
    if (start != std::string::npos) {
        ++counts_[body.substr(start + 1, end - start)];
    }
}

auto JobShape::document() const -> std::string
{
    JsonArray::Ptr entries = new JsonArray;
    for (int item = 0; item < items; ++item) {
        const std::string id = absl::StrCat(jobKey, "-", item, ".");
        JsonObject::Ptr entry = new JsonObject;
        entry->set("id", id);
        entry->set("body", itemBody(*this, id));
        entries->add(entry);
    }
    JsonObject job;
    job.set("job_key", jobKey);
    job.set("class", BATCH_CLASS);
    job.set(path.empty() ? "model" : "path", path.empty() ? "tiny" : path);
    job.set("due", "2036-01-01T00:00:00Z");
    job.set("repeatable", isRepeatable);
    job.set("items", entries);
    return Json::toText(job);
}

auto findJobFaults(const ProcessFleet &fleet, std::size_t daemon, const JobShape &job) -> std::vector<std::string>
{
    std::vector<std::string> faults;
    std::set<std::string> ids;
    for (const JsonObject::Ptr &item : readResults(fleet, daemon, job.jobKey)) {
        const auto id = item->optValue<std::string>("id", "");
        if (!ids.insert(id).second) {
            faults.push_back(absl::StrCat("two results of ", id));
        }
        if (!isRightOutcome(*item, id, job.isRepeatable)) {
            faults.push_back(absl::StrCat("wrong outcome: ", Json::toText(*item)));
        }
    }
    if (ids.size() != static_cast<std::size_t>(job.items)) {
        faults.push_back(absl::StrCat(job.jobKey, " has ", ids.size(), " results of ", job.items));
    }
    const Deliveries deliveries(fleet);
    for (const std::string &id : ids) {
        if (!job.isRepeatable && deliveries.countOf(id) > 1) {
            faults.push_back(absl::StrCat(id, " was sent ", deliveries.countOf(id), " times"));
        }
    }
    return faults;
}

auto findRequestFaults(const std::vector<CallOutcome> &outcomes, const Deliveries &deliveries, bool isRepeatable)
    -> std::vector<std::string>
{
    std::vector<std::string> faults;
    for (const CallOutcome &outcome : outcomes) {
        const int delivered = deliveries.countOf(outcome.id);
        if (outcome.answer.isOk() && !absl::StrContains(outcome.answer.body, outcome.id)) {
            faults.push_back(absl::StrCat(outcome.id, " got another answer: ", outcome.answer.body));
        }
        if (!isRepeatable && delivered > 1) {
            faults.push_back(absl::StrCat(outcome.id, " ran ", delivered, " times"));
        }
        if (outcome.answer.run == RUN_NOT_RUN && delivered > 0) {
            faults.push_back(absl::StrCat(outcome.id, " ran and was refused as not run: ", outcome.answer.body));
        }
    }
    return faults;
}

auto findHeaderFaults(const Deliveries &deliveries, const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> faults;
    for (const std::string &headers : deliveries.headers()) {
        if (absl::StrContains(headers, text)) {
            faults.push_back(headers);
        }
    }
    return faults;
}

} // namespace poplardock
