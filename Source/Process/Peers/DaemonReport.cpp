#include "Process/Peers/DaemonReport.h"

#include "Process/BoundedTime.h"
#include "Process/WordCodec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <cmath>
#include <type_traits>

namespace poplardock {

namespace {

constexpr const char *REPORT_TAG = "report3";
constexpr const char *DIGEST_TAG = "digest2";
constexpr const char *SUMMARY_TAG = "summary1";
constexpr const char *ROSTER_REQUEST_TAG = "rosterquestion1";
constexpr const char *ROSTER_TAG = "roster1";
constexpr const char *PREEMPTION_TAG = "yield2";
constexpr const char *TOKEN_REQUEST_TAG = "token1";
constexpr const char *TOKEN_RESPONSE_TAG = "tokenanswer1";
constexpr const char *LIMIT_TOKEN_REQUEST_TAG = "limittoken1";
constexpr const char *LIMIT_TOKEN_GRANT_TAG = "limittokengrant1";
constexpr const char *FRESHNESS_REQUEST_TAG = "fresh1";
constexpr const char *FRESHNESS_RESPONSE_TAG = "freshanswer1";

/// Bytes of a line that cannot be read that are shown.
constexpr std::size_t SHOWN_BYTES = 80;

using Words = std::vector<absl::string_view>;

auto appendLoad(std::string &text, const LoadSums &load) -> void
{
    for (const auto &[upstream, count] : load.work) {
        absl::StrAppend(&text, "\nw ", encodeWord(upstream), " ", count.online, " ", count.batch);
    }
    for (const auto &[team, requests] : load.demand) {
        absl::StrAppendFormat(&text, "\nd %s %.2f", encodeWord(team), requests);
    }
}

auto appendJobs(std::string &text, const std::vector<JobOwner> &jobs) -> void
{
    for (const JobOwner &each : jobs) {
        absl::StrAppend(&text, "\nj ", encodeWord(each.job), " ", encodeWord(each.owner));
    }
}

auto appendCancelledJobs(std::string &text, const std::vector<std::string> &jobs) -> void
{
    for (const std::string &job : jobs) {
        absl::StrAppend(&text, "\nx ", encodeWord(job));
    }
}

auto appendCrashSuspects(std::string &text, const std::vector<CrashSuspect> &suspects) -> void
{
    for (const CrashSuspect &suspect : suspects) {
        absl::StrAppend(&text, "\ns ", encodeCrashSuspect(suspect));
    }
}

auto appendLeavingUpstreams(std::string &text, const std::vector<LeavingUpstream> &upstreams) -> void
{
    for (const LeavingUpstream &upstream : upstreams) {
        absl::StrAppend(&text, "\nv ", encodeLeavingUpstream(upstream));
    }
}

auto appendUpstreamLimits(std::string &text, const std::vector<UpstreamLimit> &limits) -> void
{
    for (const UpstreamLimit &limit : limits) {
        absl::StrAppend(&text, "\nl ", encodeUpstreamLimit(limit));
    }
}

auto appendColdStatements(std::string &text, const std::vector<ColdStatement> &statements) -> void
{
    for (const ColdStatement &statement : statements) {
        absl::StrAppend(&text, "\nk ", encodeColdStatement(statement));
    }
}

auto flag(bool value) -> int
{
    return value ? 1 : 0;
}

/// The last word of a freshness state, which is absent from a daemon that follows no evacuations.
auto evacuationWord(const FreshnessState &state) -> std::string
{
    return state.evacuationRevision == 0 ? std::string() : absl::StrCat(" ", state.evacuationRevision);
}

/// Parses what evacuationWord() writes. "position": where the word stands if it is present.
auto parseEvacuationWord(FreshnessState &state, const Words &words, std::size_t position) -> bool
{
    return words.size() == position || (words.size() == position + 1 && absl::SimpleAtoi(words[position], &state.evacuationRevision));
}

struct EncodeVisitor
{
    auto operator()(const DaemonReport &report) const -> std::string
    {
        const std::vector<std::string> head = { REPORT_TAG,
                                                encodeWord(report.name),
                                                encodeWord(report.incarnation),
                                                absl::StrCat(report.sequence),
                                                absl::StrCat(report.capacity),
                                                absl::StrCat(flag(report.isDraining)),
                                                absl::StrCat(flag(report.hasStoreContact)),
                                                absl::StrCat(flag(report.isToBackup)),
                                                encodeWord(report.dataCentre) };
        std::string text = absl::StrJoin(head, " ");
        appendLoad(text, report);
        for (const std::string &job : report.jobs) {
            absl::StrAppend(&text, "\nj ", encodeWord(job));
        }
        appendCancelledJobs(text, report.cancelledJobs);
        appendCrashSuspects(text, report.crashSuspects);
        appendUpstreamLimits(text, report.upstreamLimits);
        appendColdStatements(text, report.coldStatements);
        appendLeavingUpstreams(text, report.leavingUpstreams);
        return text;
    }

    auto operator()(const DataCentreDigest &digest) const -> std::string
    {
        const std::vector<std::string> head = { DIGEST_TAG,
                                                encodeWord(digest.sender),
                                                encodeWord(digest.incarnation),
                                                absl::StrCat(digest.sequence),
                                                absl::StrCat(digest.rosterVersion),
                                                encodeWord(digest.dataCentre) };
        std::string text = absl::StrJoin(head, " ");
        appendLoad(text, digest);
        appendJobs(text, digest.jobs);
        appendCancelledJobs(text, digest.cancelledJobs);
        appendCrashSuspects(text, digest.crashSuspects);
        appendUpstreamLimits(text, digest.upstreamLimits);
        appendColdStatements(text, digest.coldStatements);
        appendLeavingUpstreams(text, digest.leavingUpstreams);
        return text;
    }

    auto operator()(const FleetSummary &summary) const -> std::string
    {
        const std::vector<std::string> head = { SUMMARY_TAG,
                                                encodeWord(summary.sender),
                                                encodeWord(summary.incarnation),
                                                absl::StrCat(summary.sequence),
                                                absl::StrCat(summary.echoedReport),
                                                absl::StrCat(summary.freshness.configurationRevision),
                                                absl::StrCat(summary.freshness.age.count()),
                                                absl::StrCat(summary.freshness.upstreamRevision) };
        std::string text = absl::StrCat(absl::StrJoin(head, " "), evacuationWord(summary.freshness));
        for (const RosterState &roster : summary.rosters) {
            absl::StrAppend(&text, "\nr ", encodeWord(roster.dataCentre), " ", roster.version, " ", roster.age.count());
        }
        appendLoad(text, summary);
        appendJobs(text, summary.jobs);
        appendCancelledJobs(text, summary.cancelledJobs);
        appendCrashSuspects(text, summary.crashSuspects);
        appendUpstreamLimits(text, summary.upstreamLimits);
        appendColdStatements(text, summary.coldStatements);
        appendLeavingUpstreams(text, summary.leavingUpstreams);
        return text;
    }

    auto operator()(const RosterRequest &request) const -> std::string
    {
        return absl::StrCat(ROSTER_REQUEST_TAG, " ", encodeWord(request.dataCentre));
    }

    auto operator()(const Roster &roster) const -> std::string
    {
        std::string text = absl::StrCat(ROSTER_TAG, " ", roster.version, " ", encodeWord(roster.dataCentre));
        for (const RosterEntry &entry : roster.entries) {
            absl::StrAppend(&text, "\nm ", encodeWord(entry.name), " ", encodeWord(entry.address), " ");
            absl::StrAppend(&text, encodeWord(entry.incarnation), " ", entry.capacity);
            absl::StrAppend(&text, " ", flag(entry.isDraining), " ", flag(entry.hasStoreContact));
        }
        return text;
    }

    auto operator()(const PreemptionRequest &request) const -> std::string
    {
        return absl::StrCat(PREEMPTION_TAG, " ", encodeWord(request.upstream), " ", request.hops);
    }

    auto operator()(const TokenRequest &request) const -> std::string
    {
        return absl::StrCat(TOKEN_REQUEST_TAG, " ", encodeWord(request.team), " ", request.correlationId);
    }

    auto operator()(const TokenResponse &response) const -> std::string
    {
        return absl::StrCat(
            TOKEN_RESPONSE_TAG, " ", response.correlationId, " ", static_cast<int>(response.outcome), " ", response.retryAfter.count());
    }

    auto operator()(const LimitTokenRequest &request) const -> std::string
    {
        return absl::StrCat(LIMIT_TOKEN_REQUEST_TAG, " ", encodeWord(request.upstream));
    }

    auto operator()(const LimitTokenGrant &grant) const -> std::string
    {
        return absl::StrCat(LIMIT_TOKEN_GRANT_TAG, " ", encodeWord(grant.upstream));
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
                            response.state.configurationRevision,
                            " ",
                            response.state.age.count(),
                            " ",
                            response.state.upstreamRevision,
                            evacuationWord(response.state));
    }
};

auto malformed(absl::string_view line) -> absl::Status
{
    return absl::InvalidArgumentError(absl::StrCat("malformed peer message: ", line.substr(0, SHOWN_BYTES)));
}

/// Reads a word that encodeWord() has written.
auto parseName(absl::string_view word, std::string &name) -> bool
{
    auto text = decodeWord(word);
    if (!text) {
        return false;
    }
    name = *std::move(text);
    return true;
}

/// Parses a line of work or demand.
auto parseLoadLine(LoadSums &load, const Words &words) -> bool
{
    std::string name;
    if (words.size() < 2 || !parseName(words[1], name)) {
        return false;
    }
    if (words.size() == 4 && words[0] == "w") {
        WorkCount count;
        if (!absl::SimpleAtoi(words[2], &count.online) || !absl::SimpleAtoi(words[3], &count.batch)) {
            return false;
        }
        load.work[name] = count;
        return true;
    }
    double demand = 0;
    if (words.size() != 3 || words[0] != "d" || !absl::SimpleAtod(words[2], &demand) || !std::isfinite(demand) || demand < 0) {
        return false;
    }
    load.demand[name] = demand;
    return true;
}

auto parseJobOwner(std::vector<JobOwner> &jobs, const Words &words) -> bool
{
    JobOwner owner;
    if (words.size() != 3 || words[0] != "j" || !parseName(words[1], owner.job) || !parseName(words[2], owner.owner)) {
        return false;
    }
    jobs.push_back(std::move(owner));
    return true;
}

/// Parses a line with the name of one job.
auto parseJob(std::vector<std::string> &jobs, const char *tag, const Words &words) -> bool
{
    std::string job;
    if (words.size() != 2 || words[0] != tag || !parseName(words[1], job)) {
        return false;
    }
    jobs.push_back(std::move(job));
    return true;
}

/// The text of a line without its first word. Precondition: at least two words.
auto textAfterTag(const Words &words) -> std::string_view
{
    const absl::string_view last = words.back();
    return { words[1].data(), static_cast<std::size_t>(last.data() + last.size() - words[1].data()) };
}

/// Adds a value that stands behind a tag; false for any other line, and for a malformed value.
template<typename Value>
auto parseTagged(std::vector<Value> &values, const char *tag, const Words &words, absl::StatusOr<Value> (*decode)(std::string_view)) -> bool
{
    if (words.size() < 2 || words[0] != tag) {
        return false;
    }
    auto value = decode(textAfterTag(words));
    if (!value.ok()) {
        return false;
    }
    values.push_back(*std::move(value));
    return true;
}

auto parseLine(DaemonReport &report, const Words &words) -> bool
{
    return parseJob(report.jobs, "j", words) || parseJob(report.cancelledJobs, "x", words)
           || parseTagged(report.crashSuspects, "s", words, decodeCrashSuspect)
           || parseTagged(report.upstreamLimits, "l", words, decodeUpstreamLimit)
           || parseTagged(report.coldStatements, "k", words, decodeColdStatement)
           || parseTagged(report.leavingUpstreams, "v", words, decodeLeavingUpstream) || parseLoadLine(report, words);
}

auto parseLine(DataCentreDigest &digest, const Words &words) -> bool
{
    return parseJobOwner(digest.jobs, words) || parseJob(digest.cancelledJobs, "x", words)
           || parseTagged(digest.crashSuspects, "s", words, decodeCrashSuspect)
           || parseTagged(digest.upstreamLimits, "l", words, decodeUpstreamLimit)
           || parseTagged(digest.coldStatements, "k", words, decodeColdStatement)
           || parseTagged(digest.leavingUpstreams, "v", words, decodeLeavingUpstream) || parseLoadLine(digest, words);
}

auto parseLine(FleetSummary &summary, const Words &words) -> bool
{
    if (words.size() == 4 && words[0] == "r") {
        RosterState state;
        std::int64_t age = 0;
        const bool isValid = parseName(words[1], state.dataCentre) && absl::SimpleAtoi(words[2], &state.version)
                             && absl::SimpleAtoi(words[3], &age) && age >= 0;
        if (isValid) {
            state.age = boundedMilliseconds(age);
            summary.rosters.push_back(std::move(state));
        }
        return isValid;
    }
    return parseJobOwner(summary.jobs, words) || parseJob(summary.cancelledJobs, "x", words)
           || parseTagged(summary.crashSuspects, "s", words, decodeCrashSuspect)
           || parseTagged(summary.upstreamLimits, "l", words, decodeUpstreamLimit)
           || parseTagged(summary.coldStatements, "k", words, decodeColdStatement)
           || parseTagged(summary.leavingUpstreams, "v", words, decodeLeavingUpstream) || parseLoadLine(summary, words);
}

auto parseLine(Roster &roster, const Words &words) -> bool
{
    constexpr std::size_t ENTRY_WORDS = 7;
    if (words.size() != ENTRY_WORDS || words[0] != "m") {
        return false;
    }
    RosterEntry entry;
    entry.isDraining = words[5] == "1";
    entry.hasStoreContact = words[6] == "1";
    const bool isValid = parseName(words[1], entry.name) && parseName(words[2], entry.address) && parseName(words[3], entry.incarnation)
                         && absl::SimpleAtoi(words[4], &entry.capacity);
    if (isValid) {
        roster.entries.push_back(std::move(entry));
    }
    return isValid;
}

template<typename Message>
auto parseLines(Message message, const std::vector<absl::string_view> &lines, std::vector<std::string> *unreadable)
    -> absl::StatusOr<PeerMessage>
{
    for (std::size_t index = 1; index < lines.size(); ++index) {
        if (parseLine(message, absl::StrSplit(lines[index], ' '))) {
            continue;
        }
        // A roster without one of its daemons would be another roster.
        if (std::is_same_v<Message, Roster>) {
            return malformed(lines[index]);
        }
        if (unreadable != nullptr) {
            unreadable->emplace_back(lines[index].substr(0, SHOWN_BYTES));
        }
    }
    return message;
}

/// Decodes the messages that consist of a single line.
auto decodeSingleLine(const Words &words) -> absl::StatusOr<PeerMessage>
{
    std::string name;
    const bool hasName = words.size() > 1 && parseName(words[1], name);
    PreemptionRequest preemption;
    if (hasName && words.size() == 3 && words[0] == PREEMPTION_TAG && absl::SimpleAtoi(words[2], &preemption.hops)) {
        preemption.upstream = name;
        return preemption;
    }
    if (hasName && words.size() == 2 && words[0] == ROSTER_REQUEST_TAG) {
        return RosterRequest { name };
    }
    if (hasName && words.size() == 2 && words[0] == LIMIT_TOKEN_REQUEST_TAG) {
        return LimitTokenRequest { name };
    }
    if (hasName && words.size() == 2 && words[0] == LIMIT_TOKEN_GRANT_TAG) {
        return LimitTokenGrant { name };
    }
    TokenRequest tokenRequest;
    if (hasName && words.size() == 3 && words[0] == TOKEN_REQUEST_TAG && absl::SimpleAtoi(words[2], &tokenRequest.correlationId)) {
        tokenRequest.team = name;
        return tokenRequest;
    }
    TokenResponse tokenResponse;
    int outcome = 0;
    std::int64_t milliseconds = 0;
    if (words.size() == 4 && words[0] == TOKEN_RESPONSE_TAG && absl::SimpleAtoi(words[1], &tokenResponse.correlationId)
        && absl::SimpleAtoi(words[2], &outcome) && absl::SimpleAtoi(words[3], &milliseconds) && outcome >= 0
        && outcome <= static_cast<int>(TokenResponse::Outcome::NotHome)) {
        tokenResponse.outcome = static_cast<TokenResponse::Outcome>(outcome);
        tokenResponse.retryAfter = boundedMilliseconds(milliseconds);
        return tokenResponse;
    }
    FreshnessRequest freshnessRequest;
    if (words.size() == 2 && words[0] == FRESHNESS_REQUEST_TAG && absl::SimpleAtoi(words[1], &freshnessRequest.correlationId)) {
        return freshnessRequest;
    }
    FreshnessResponse freshnessResponse;
    constexpr std::size_t FRESHNESS_WORDS = 5;
    if (words[0] == FRESHNESS_RESPONSE_TAG && parseEvacuationWord(freshnessResponse.state, words, FRESHNESS_WORDS)
        && absl::SimpleAtoi(words[1], &freshnessResponse.correlationId)
        && absl::SimpleAtoi(words[2], &freshnessResponse.state.configurationRevision) && absl::SimpleAtoi(words[3], &milliseconds)
        && absl::SimpleAtoi(words[4], &freshnessResponse.state.upstreamRevision) && milliseconds >= 0) {
        freshnessResponse.state.age = boundedMilliseconds(milliseconds);
        return freshnessResponse;
    }
    return malformed(words.front());
}

} // namespace

auto encodePeerMessage(const PeerMessage &message) -> std::string
{
    return std::visit(EncodeVisitor(), message);
}

auto decodePeerMessage(std::string_view text, std::vector<std::string> *unreadable) -> absl::StatusOr<PeerMessage>
{
    const std::vector<absl::string_view> lines = absl::StrSplit(absl::string_view(text.data(), text.size()), '\n');
    const Words head = absl::StrSplit(lines.front(), ' ');
    constexpr std::size_t REPORT_WORDS = 9;
    DaemonReport report;
    if (head[0] == REPORT_TAG && head.size() == REPORT_WORDS && absl::SimpleAtoi(head[3], &report.sequence)
        && absl::SimpleAtoi(head[4], &report.capacity) && parseName(head[1], report.name) && parseName(head[2], report.incarnation)
        && parseName(head[8], report.dataCentre)) {
        report.isDraining = head[5] == "1";
        report.hasStoreContact = head[6] == "1";
        report.isToBackup = head[7] == "1";
        return parseLines(std::move(report), lines, unreadable);
    }
    constexpr std::size_t DIGEST_WORDS = 6;
    DataCentreDigest digest;
    if (head[0] == DIGEST_TAG && head.size() == DIGEST_WORDS && absl::SimpleAtoi(head[3], &digest.sequence)
        && absl::SimpleAtoi(head[4], &digest.rosterVersion) && parseName(head[1], digest.sender) && parseName(head[2], digest.incarnation)
        && parseName(head[5], digest.dataCentre)) {
        return parseLines(std::move(digest), lines, unreadable);
    }
    constexpr std::size_t SUMMARY_WORDS = 8;
    FleetSummary summary;
    std::int64_t age = 0;
    if (head[0] == SUMMARY_TAG && parseEvacuationWord(summary.freshness, head, SUMMARY_WORDS)
        && absl::SimpleAtoi(head[3], &summary.sequence) && absl::SimpleAtoi(head[4], &summary.echoedReport)
        && absl::SimpleAtoi(head[5], &summary.freshness.configurationRevision) && absl::SimpleAtoi(head[6], &age) && age >= 0
        && absl::SimpleAtoi(head[7], &summary.freshness.upstreamRevision) && parseName(head[1], summary.sender)
        && parseName(head[2], summary.incarnation)) {
        summary.freshness.age = boundedMilliseconds(age);
        return parseLines(std::move(summary), lines, unreadable);
    }
    Roster roster;
    if (head[0] == ROSTER_TAG && head.size() == 3 && absl::SimpleAtoi(head[1], &roster.version) && parseName(head[2], roster.dataCentre)) {
        return parseLines(std::move(roster), lines, unreadable);
    }
    return lines.size() == 1 ? decodeSingleLine(head) : malformed(lines.front());
}

} // namespace poplardock
