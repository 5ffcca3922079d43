#include "Process/Peers/DaemonReport.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace poplardock {

namespace {

constexpr const char *REPORT_TAG = "report1";
constexpr const char *YIELD_TAG = "yield1";
constexpr const char *TOKEN_TAG = "token1";
constexpr const char *TOKEN_ANSWER_TAG = "tokenanswer1";
constexpr const char *FRESHNESS_TAG = "fresh1";
constexpr const char *FRESHNESS_ANSWER_TAG = "freshanswer1";

using Words = std::vector<absl::string_view>;

struct EncodeVisitor
{
    auto operator()(const DaemonReport &report) const -> std::string
    {
        std::string text = absl::StrCat(REPORT_TAG,
                                        " ",
                                        report.name,
                                        " ",
                                        report.incarnation,
                                        " ",
                                        report.sequence,
                                        " ",
                                        report.isLeaving ? 1 : 0,
                                        " ",
                                        report.hasStore ? 1 : 0);
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

    auto operator()(const TokenRequest &request) const -> std::string
    {
        return absl::StrCat(TOKEN_TAG, " ", request.team, " ", request.number);
    }

    auto operator()(const TokenAnswer &answer) const -> std::string
    {
        return absl::StrCat(TOKEN_ANSWER_TAG, " ", answer.number, " ", static_cast<int>(answer.outcome), " ", answer.retryAfter.count());
    }

    auto operator()(const FreshnessRequest &request) const -> std::string
    {
        return absl::StrCat(FRESHNESS_TAG, " ", request.number);
    }

    auto operator()(const FreshnessAnswer &answer) const -> std::string
    {
        return absl::StrCat(FRESHNESS_ANSWER_TAG,
                            " ",
                            answer.number,
                            " ",
                            answer.configurationRevision,
                            " ",
                            answer.age.count(),
                            " ",
                            answer.upstreamRevision);
    }
};

auto malformed(absl::string_view line) -> absl::Status
{
    return absl::InvalidArgumentError(absl::StrCat("malformed peer message: ", line.substr(0, 80)));
}

auto readDetail(DaemonReport &report, const Words &words) -> bool
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

/// Messages of one line.
auto decodeShort(const Words &words) -> absl::StatusOr<PeerMessage>
{
    if (words.size() == 2 && words[0] == YIELD_TAG) {
        return YieldRequest { std::string(words[1]) };
    }
    TokenRequest token;
    if (words.size() == 3 && words[0] == TOKEN_TAG && absl::SimpleAtoi(words[2], &token.number)) {
        token.team = std::string(words[1]);
        return token;
    }
    TokenAnswer tokenAnswer;
    int outcome = 0;
    std::int64_t milliseconds = 0;
    if (words.size() == 4 && words[0] == TOKEN_ANSWER_TAG && absl::SimpleAtoi(words[1], &tokenAnswer.number)
        && absl::SimpleAtoi(words[2], &outcome) && absl::SimpleAtoi(words[3], &milliseconds) && outcome >= 0
        && outcome <= static_cast<int>(TokenAnswer::Outcome::NotHome)) {
        tokenAnswer.outcome = static_cast<TokenAnswer::Outcome>(outcome);
        tokenAnswer.retryAfter = Milliseconds(milliseconds);
        return tokenAnswer;
    }
    FreshnessRequest freshness;
    if (words.size() == 2 && words[0] == FRESHNESS_TAG && absl::SimpleAtoi(words[1], &freshness.number)) {
        return freshness;
    }
    FreshnessAnswer answer;
    if (words.size() == 5 && words[0] == FRESHNESS_ANSWER_TAG && absl::SimpleAtoi(words[1], &answer.number)
        && absl::SimpleAtoi(words[2], &answer.configurationRevision) && absl::SimpleAtoi(words[3], &milliseconds)
        && absl::SimpleAtoi(words[4], &answer.upstreamRevision) && milliseconds >= 0) {
        answer.age = Milliseconds(milliseconds);
        return answer;
    }
    return malformed(words.front());
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
    if (lines.size() == 1 && head[0] != REPORT_TAG) {
        return decodeShort(head);
    }
    constexpr std::size_t HEAD_WORDS = 6;
    DaemonReport report;
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
