#include "Process/Peers/DaemonReport.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace poplardock {

namespace {

constexpr const char *REPORT_TAG = "report2";
constexpr const char *DIGEST_TAG = "digest1";
constexpr const char *PREEMPTION_TAG = "yield1";
constexpr const char *TOKEN_REQUEST_TAG = "token1";
constexpr const char *TOKEN_RESPONSE_TAG = "tokenanswer1";
constexpr const char *FRESHNESS_REQUEST_TAG = "fresh1";
constexpr const char *FRESHNESS_RESPONSE_TAG = "freshanswer1";

using Words = std::vector<absl::string_view>;

auto appendLoad(std::string &text,
                const WorkCounts &work,
                const std::map<std::string, double> &demand,
                const std::map<std::string, int> &crashes) -> void
{
    for (const auto &[upstream, count] : work) {
        absl::StrAppend(&text, "\nw ", upstream, " ", count.online, " ", count.batch);
    }
    for (const auto &[team, requests] : demand) {
        absl::StrAppendFormat(&text, "\nd %s %.2f", team, requests);
    }
    for (const auto &[fingerprint, count] : crashes) {
        absl::StrAppend(&text, "\nc ", fingerprint, " ", count);
    }
}

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
                                        report.isDraining ? 1 : 0,
                                        " ",
                                        report.hasStoreContact ? 1 : 0,
                                        " ",
                                        report.dataCentre);
        appendLoad(text, report.work, report.demand, report.crashes);
        for (const std::string &job : report.jobs) {
            absl::StrAppend(&text, "\nj ", job);
        }
        return text;
    }

    auto operator()(const DataCentreDigest &digest) const -> std::string
    {
        std::string text
            = absl::StrCat(DIGEST_TAG, " ", digest.sender, " ", digest.sequence, " ", digest.isForwarded ? 1 : 0, " ", digest.dataCentre);
        for (const DigestEntry &entry : digest.daemons) {
            absl::StrAppend(&text, "\nm ", entry.name, " ", entry.address, " ", entry.incarnation, " ", entry.sequence);
            absl::StrAppend(&text, " ", entry.age.count(), " ", entry.isDraining ? 1 : 0, " ", entry.hasStoreContact ? 1 : 0);
            for (const std::string &job : entry.jobs) {
                absl::StrAppend(&text, "\nj ", job);
            }
        }
        appendLoad(text, digest.work, digest.demand, digest.crashes);
        for (const auto &[upstream, daemon] : digest.batchHolders) {
            absl::StrAppend(&text, "\nb ", upstream, " ", daemon);
        }
        return text;
    }

    auto operator()(const PreemptionRequest &request) const -> std::string
    {
        return absl::StrCat(PREEMPTION_TAG, " ", request.upstream);
    }

    auto operator()(const TokenRequest &request) const -> std::string
    {
        return absl::StrCat(TOKEN_REQUEST_TAG, " ", request.team, " ", request.correlationId);
    }

    auto operator()(const TokenResponse &response) const -> std::string
    {
        return absl::StrCat(
            TOKEN_RESPONSE_TAG, " ", response.correlationId, " ", static_cast<int>(response.outcome), " ", response.retryAfter.count());
    }

    auto operator()(const FreshnessRequest &request) const -> std::string
    {
        return absl::StrCat(FRESHNESS_REQUEST_TAG, " ", request.correlationId);
    }

    auto operator()(const FreshnessResponse &response) const -> std::string
    {
        return absl::StrCat(FRESHNESS_RESPONSE_TAG,
                            " ",
                            response.correlationId,
                            " ",
                            response.configurationRevision,
                            " ",
                            response.age.count(),
                            " ",
                            response.upstreamRevision);
    }
};

auto malformed(absl::string_view line) -> absl::Status
{
    return absl::InvalidArgumentError(absl::StrCat("malformed peer message: ", line.substr(0, 80)));
}

/// Parses a line of work, demand or crashes, which reports and digests have in common.
template<typename Message>
auto parseLoadLine(Message &message, const Words &words) -> bool
{
    if (words.size() == 4 && words[0] == "w") {
        WorkCount &count = message.work[std::string(words[1])];
        return absl::SimpleAtoi(words[2], &count.online) && absl::SimpleAtoi(words[3], &count.batch);
    }
    if (words.size() == 3 && words[0] == "d") {
        return absl::SimpleAtod(words[2], &message.demand[std::string(words[1])]);
    }
    return words.size() == 3 && words[0] == "c" && absl::SimpleAtoi(words[2], &message.crashes[std::string(words[1])]);
}

auto parseLine(DaemonReport &report, const Words &words) -> bool
{
    if (words.size() == 2 && words[0] == "j") {
        report.jobs.emplace_back(words[1]);
        return true;
    }
    return parseLoadLine(report, words);
}

auto parseLine(DataCentreDigest &digest, const Words &words) -> bool
{
    constexpr std::size_t ENTRY_WORDS = 8;
    if (words.size() == ENTRY_WORDS && words[0] == "m") {
        DigestEntry entry;
        std::int64_t age = 0;
        const bool isValid = absl::SimpleAtoi(words[4], &entry.sequence) && absl::SimpleAtoi(words[5], &age) && age >= 0;
        entry.name = std::string(words[1]);
        entry.address = std::string(words[2]);
        entry.incarnation = std::string(words[3]);
        entry.age = Milliseconds(age);
        entry.isDraining = words[6] == "1";
        entry.hasStoreContact = words[7] == "1";
        digest.daemons.push_back(std::move(entry));
        return isValid;
    }
    if (words.size() == 2 && words[0] == "j" && !digest.daemons.empty()) {
        digest.daemons.back().jobs.emplace_back(words[1]);
        return true;
    }
    if (words.size() == 3 && words[0] == "b") {
        digest.batchHolders.insert_or_assign(std::string(words[1]), std::string(words[2]));
        return true;
    }
    return parseLoadLine(digest, words);
}

template<typename Message>
auto parseLines(Message message, const std::vector<absl::string_view> &lines) -> absl::StatusOr<PeerMessage>
{
    for (std::size_t index = 1; index < lines.size(); ++index) {
        if (!parseLine(message, absl::StrSplit(lines[index], ' '))) {
            return malformed(lines[index]);
        }
    }
    return message;
}

/// Decodes the messages that consist of a single line.
auto decodeSingleLine(const Words &words) -> absl::StatusOr<PeerMessage>
{
    if (words.size() == 2 && words[0] == PREEMPTION_TAG) {
        return PreemptionRequest { std::string(words[1]) };
    }
    TokenRequest tokenRequest;
    if (words.size() == 3 && words[0] == TOKEN_REQUEST_TAG && absl::SimpleAtoi(words[2], &tokenRequest.correlationId)) {
        tokenRequest.team = std::string(words[1]);
        return tokenRequest;
    }
    TokenResponse tokenResponse;
    int outcome = 0;
    std::int64_t milliseconds = 0;
    if (words.size() == 4 && words[0] == TOKEN_RESPONSE_TAG && absl::SimpleAtoi(words[1], &tokenResponse.correlationId)
        && absl::SimpleAtoi(words[2], &outcome) && absl::SimpleAtoi(words[3], &milliseconds) && outcome >= 0
        && outcome <= static_cast<int>(TokenResponse::Outcome::NotHome)) {
        tokenResponse.outcome = static_cast<TokenResponse::Outcome>(outcome);
        tokenResponse.retryAfter = Milliseconds(milliseconds);
        return tokenResponse;
    }
    FreshnessRequest freshnessRequest;
    if (words.size() == 2 && words[0] == FRESHNESS_REQUEST_TAG && absl::SimpleAtoi(words[1], &freshnessRequest.correlationId)) {
        return freshnessRequest;
    }
    FreshnessResponse freshnessResponse;
    if (words.size() == 5 && words[0] == FRESHNESS_RESPONSE_TAG && absl::SimpleAtoi(words[1], &freshnessResponse.correlationId)
        && absl::SimpleAtoi(words[2], &freshnessResponse.configurationRevision) && absl::SimpleAtoi(words[3], &milliseconds)
        && absl::SimpleAtoi(words[4], &freshnessResponse.upstreamRevision) && milliseconds >= 0) {
        freshnessResponse.age = Milliseconds(milliseconds);
        return freshnessResponse;
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
    constexpr std::size_t REPORT_WORDS = 7;
    DaemonReport report;
    if (head[0] == REPORT_TAG && head.size() == REPORT_WORDS && absl::SimpleAtoi(head[3], &report.sequence)) {
        report.name = std::string(head[1]);
        report.incarnation = std::string(head[2]);
        report.isDraining = head[4] == "1";
        report.hasStoreContact = head[5] == "1";
        report.dataCentre = std::string(head[6]);
        return parseLines(std::move(report), lines);
    }
    constexpr std::size_t DIGEST_WORDS = 5;
    DataCentreDigest digest;
    if (head[0] == DIGEST_TAG && head.size() == DIGEST_WORDS && absl::SimpleAtoi(head[2], &digest.sequence)) {
        digest.sender = std::string(head[1]);
        digest.isForwarded = head[3] == "1";
        digest.dataCentre = std::string(head[4]);
        return parseLines(std::move(digest), lines);
    }
    return lines.size() == 1 ? decodeSingleLine(head) : malformed(lines.front());
}

} // namespace poplardock
