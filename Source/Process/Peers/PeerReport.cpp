#include "Process/Peers/PeerReport.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace poplardock {

namespace {

constexpr const char *REPORT_TAG = "report1";
constexpr const char *YIELD_TAG = "yield1";

using Words = std::vector<absl::string_view>;

struct EncodeVisitor
{
    auto operator()(const PeerReport &report) const -> std::string
    {
        std::string text
            = absl::StrCat(REPORT_TAG, " ", report.name, " ", report.incarnation, " ", report.sequence, " ", report.isLeaving ? 1 : 0, " ", report.hasStore ? 1 : 0);
        for (const auto &[upstream, count] : report.work) {
            absl::StrAppend(&text, "\nw ", upstream, " ", count.online, " ", count.batch);
        }
        for (const auto &[team, demand] : report.demand) {
            absl::StrAppendFormat(&text, "\nd %s %.2f", team, demand);
        }
        for (const std::string &job : report.jobs) {
            absl::StrAppend(&text, "\nj ", job);
        }
        for (const auto &[fingerprint, deaths] : report.crashes) {
            absl::StrAppend(&text, "\nc ", fingerprint, " ", deaths);
        }
        return text;
    }

    auto operator()(const YieldRequest &request) const -> std::string
    {
        return absl::StrCat(YIELD_TAG, " ", request.upstream);
    }
};

auto malformed(absl::string_view line) -> absl::Status
{
    return absl::InvalidArgumentError(absl::StrCat("malformed peer message: ", line.substr(0, 80)));
}

auto readDetail(PeerReport &report, const Words &words) -> bool
{
    if (words.size() == 4 && words[0] == "w") {
        WorkCount &count = report.work[std::string(words[1])];
        return absl::SimpleAtoi(words[2], &count.online) && absl::SimpleAtoi(words[3], &count.batch);
    }
    if (words.size() == 3 && words[0] == "d") {
        return absl::SimpleAtod(words[2], &report.demand[std::string(words[1])]);
    }
    if (words.size() == 2 && words[0] == "j") {
        report.jobs.emplace_back(words[1]);
        return true;
    }
    return words.size() == 3 && words[0] == "c" && absl::SimpleAtoi(words[2], &report.crashes[std::string(words[1])]);
}

} // namespace

auto encodePeerMessage(const PeerMessage &message) -> std::string
{
    return std::visit(EncodeVisitor(), message);
}

auto decodePeerMessage(std::string_view text) -> absl::StatusOr<PeerMessage>
{
    const std::vector<absl::string_view> lines = absl::StrSplit(absl::string_view(text.data(), text.size()), '\n');
    const Words head = absl::StrSplit(lines.front(), ' ');
    if (head.size() == 2 && head[0] == YIELD_TAG) {
        return YieldRequest { std::string(head[1]) };
    }
    constexpr std::size_t HEAD_WORDS = 6;
    PeerReport report;
    if (head.size() != HEAD_WORDS || head[0] != REPORT_TAG || !absl::SimpleAtoi(head[3], &report.sequence)) {
        return malformed(lines.front());
    }
    report.name = std::string(head[1]);
    report.incarnation = std::string(head[2]);
    report.isLeaving = head[4] == "1";
    report.hasStore = head[5] == "1";
    for (std::size_t index = 1; index < lines.size(); ++index) {
        if (!readDetail(report, absl::StrSplit(lines[index], ' '))) {
            return malformed(lines[index]);
        }
    }
    return report;
}

} // namespace poplardock
