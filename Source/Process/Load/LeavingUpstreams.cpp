#include "Process/Load/LeavingUpstreams.h"

#include "Process/BoundedTime.h"
#include "Process/WordCodec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace poplardock {

namespace {

/// A new mark goes with all messages for this time, so that it arrives although datagrams are lost.
constexpr Milliseconds ANNOUNCEMENT_TIME { 1000 };
/// Each mark goes with the messages of a short time in each such period.
constexpr Milliseconds REFRESH_PERIOD { 5000 };
constexpr Milliseconds REFRESH_WINDOW { 250 };
constexpr std::size_t MAXIMUM_NAME_LENGTH = 256;

} // namespace

auto encodeLeavingUpstream(const LeavingUpstream &leaving) -> std::string
{
    return absl::StrCat(encodeWord(leaving.upstream), " ", encodeWord(leaving.address), " ", leaving.startedAtMs, " ", leaving.age.count());
}

auto decodeLeavingUpstream(std::string_view text) -> absl::StatusOr<LeavingUpstream>
{
    constexpr std::size_t WORDS = 4;
    const std::vector<std::string> words = absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    LeavingUpstream leaving;
    std::int64_t ageMs = 0;
    const auto parseName = [](const std::string &word, std::string &name) {
        name = decodeWord(word).value_or(std::string());
        return !name.empty() && name.size() <= MAXIMUM_NAME_LENGTH;
    };
    const bool isValid = words.size() == WORDS && parseName(words[0], leaving.upstream) && parseName(words[1], leaving.address)
                         && absl::SimpleAtoi(words[2], &leaving.startedAtMs) && leaving.startedAtMs >= 0
                         && absl::SimpleAtoi(words[3], &ageMs) && ageMs >= 0;
    if (!isValid) {
        return absl::InvalidArgumentError("malformed mark of a leaving upstream");
    }
    leaving.age = boundedMilliseconds(ageMs);
    return leaving;
}

auto LeavingUpstreams::learn(const std::string &upstream, Mark mark) -> bool
{
    const auto found = marks_.find(upstream);
    if (found == marks_.end()) {
        if (marks_.size() >= MAXIMUM_MARKS) {
            marks_.erase(std::min_element(
                marks_.begin(), marks_.end(), [](const auto &a, const auto &b) { return a.second.statedAt < b.second.statedAt; }));
        }
        marks_.emplace(upstream, std::move(mark));
        return true;
    }
    Mark &known = found->second;
    const bool isSameRun = known.startedAtMs == mark.startedAtMs && known.address == mark.address;
    if (isSameRun) {
        known.statedAt = std::max(known.statedAt, mark.statedAt);
        return false;
    }
    const bool isLater
        = known.startedAtMs != 0 && mark.startedAtMs != 0 ? mark.startedAtMs > known.startedAtMs : mark.statedAt > known.statedAt;
    if (isLater) {
        known = std::move(mark);
    }
    return isLater;
}

auto LeavingUpstreams::recordAnswer(const Upstream &upstream, BootTime now) -> bool
{
    return learn(upstream.name, { upstream.address, upstream.startedAtMs, now, now });
}

auto LeavingUpstreams::isLeaving(const Upstream &upstream, BootTime now) const -> bool
{
    const auto found = marks_.find(upstream.name);
    if (found == marks_.end() || now - found->second.statedAt >= RETENTION) {
        return false;
    }
    const Mark &mark = found->second;
    const bool areRunsKnown = mark.startedAtMs != 0 && upstream.startedAtMs != 0;
    return areRunsKnown ? upstream.startedAtMs <= mark.startedAtMs : upstream.address == mark.address;
}

auto LeavingUpstreams::announceAll(BootTime now) -> void
{
    announceAllUntil_ = now + ANNOUNCEMENT_TIME;
}

auto LeavingUpstreams::states(BootTime now) const -> std::vector<LeavingUpstream>
{
    const bool areAllDue = now < announceAllUntil_ || now.time_since_epoch() % REFRESH_PERIOD < REFRESH_WINDOW;
    std::vector<LeavingUpstream> states;
    for (const auto &[upstream, mark] : marks_) {
        if ((areAllDue || now - mark.learntAt < ANNOUNCEMENT_TIME) && states.size() < MAXIMUM_SENT_MARKS) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - mark.statedAt);
            states.push_back({ upstream, mark.address, mark.startedAtMs, age });
        }
    }
    return states;
}

auto LeavingUpstreams::merge(const std::vector<LeavingUpstream> &states, BootTime now) -> std::vector<LeavingUpstream>
{
    std::vector<LeavingUpstream> news;
    for (const LeavingUpstream &state : states) {
        if (state.age < RETENTION && learn(state.upstream, { state.address, state.startedAtMs, now - state.age, now })) {
            news.push_back(state);
        }
    }
    return news;
}

auto LeavingUpstreams::removeExpired(BootTime now) -> void
{
    std::erase_if(marks_, [now](const auto &each) { return now - each.second.statedAt >= RETENTION; });
}

auto LeavingUpstreams::size() const -> std::size_t
{
    return marks_.size();
}

} // namespace poplardock
