#include "Process/CrashSuspects.h"

#include "Process/BoundedTime.h"
#include "Process/WordCodec.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

namespace poplardock {

namespace {

/// Callers retry within seconds. After a longer time the request may well reach a repaired upstream.
constexpr std::chrono::minutes RETENTION { 10 };
/// Observations of the crash of one upstream that lie closer together are of the same crash; an upstream needs longer to
/// start again.
constexpr Milliseconds SAME_CRASH_TIME { 1000 };
constexpr std::size_t REQUEST_CRASH_LIMIT = 2;
constexpr std::size_t PART_CRASH_LIMIT = 3;
constexpr std::size_t PART_REQUEST_LIMIT = 2;
/// Times from the last crash to the next trial of a suspect. They are few enough for the three requests that
/// the platform allows after the fifth crash. A request has one trial only, since its caller may repeat it.
constexpr std::array<Milliseconds, 2> PART_TRIAL_TIMES = { Milliseconds(2000), Milliseconds(30000) };
constexpr std::array<Milliseconds, 1> REQUEST_TRIAL_TIMES = { Milliseconds(60000) };
/// Crashes that lie further apart, once the suspect is refused, are those of separate trials.
constexpr Milliseconds TRIAL_SEPARATION { 1500 };
/// Time until it is the turn of another daemon to send a due trial, which may get more such requests, and the part of it in
/// which the trial may be sent. What is left exceeds the time in which a crash becomes known in the fleet.
constexpr Milliseconds TRIAL_TURN { 1000 };
constexpr Milliseconds TRIAL_SEND_TIME { 500 };
/// Time for which a change is sent, so that the loss of a datagram does no harm.
constexpr Milliseconds ANNOUNCEMENT_TIME { 1000 };
/// How often a refused suspect is sent without a change, and for how long each time: at least the period of the messages.
constexpr Milliseconds REFRESH_PERIOD { 2000 };
constexpr Milliseconds REFRESH_WINDOW { 200 };
/// Refused suspects that are sent without a change; bounds the traffic.
constexpr std::size_t MAXIMUM_REFRESHED = 8;
/// Answers of a part that are closer together need not be told apart. More than the transit time of a message, which
/// makes an answer look later at the recipient.
constexpr Milliseconds ANSWER_RESOLUTION { 100 };
/// A part that was cleared is remembered until no daemon sends the sightings from before.
constexpr std::chrono::seconds CLEARED_RETENTION { 60 };
constexpr std::size_t DIGEST_LENGTH = 16;
constexpr std::size_t MAXIMUM_NAME_LENGTH = 256;
constexpr std::int64_t NEVER_ANSWERED = -1;
constexpr char REQUEST_PREFIX = 'r';
constexpr char PART_PREFIX = 'p';

auto digestOf(const std::string &text) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, DIGEST_LENGTH);
}

auto requestKey(const std::string &fingerprint) -> std::string
{
    return std::string(1, REQUEST_PREFIX) + fingerprint.substr(0, DIGEST_LENGTH);
}

auto partKey(const std::string &part) -> std::string
{
    return std::string(1, PART_PREFIX) + digestOf(part);
}

/// The keys of the request and of its parts, each once.
auto keysOf(const CrashSubject &subject) -> std::vector<std::string>
{
    std::vector<std::string> keys = { requestKey(subject.request) };
    for (const std::string &part : subject.parts) {
        const std::string key = partKey(part);
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            keys.push_back(key);
        }
    }
    return keys;
}

auto isPart(const std::string &key) -> bool
{
    return key.front() == PART_PREFIX;
}

auto isKey(const std::string &key) -> bool
{
    return key.size() == DIGEST_LENGTH + 1 && (key.front() == PART_PREFIX || key.front() == REQUEST_PREFIX);
}

auto crashLimitOf(const std::string &key) -> std::size_t
{
    return isPart(key) ? PART_CRASH_LIMIT : REQUEST_CRASH_LIMIT;
}

/// Time from the last crash of a suspect to its next trial after that many; unset if there is to be none.
auto trialTimeOf(const std::string &key, std::size_t trials) -> std::optional<Milliseconds>
{
    if (isPart(key)) {
        return trials < PART_TRIAL_TIMES.size() ? std::optional(PART_TRIAL_TIMES.at(trials)) : std::nullopt;
    }
    return trials < REQUEST_TRIAL_TIMES.size() ? std::optional(REQUEST_TRIAL_TIMES.at(trials)) : std::nullopt;
}

auto ageOf(BootTime at, BootTime now) -> Milliseconds
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - at));
}

auto isWithin(BootTime a, BootTime b, Milliseconds time) -> bool
{
    return a - b < time && b - a < time;
}

} // namespace

auto crashFingerprint(const std::string &team, const std::string &path, const std::string &body) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    // The length prefixes keep different requests from hashing the same text.
    engine.update(absl::StrCat(team.size(), ":", team, path.size(), ":", path));
    engine.update(body);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

auto promptPartId(const std::string &text) -> std::string
{
    return digestOf(text);
}

auto encodeCrashSuspect(const CrashSuspect &suspect) -> std::string
{
    std::string text
        = absl::StrCat(suspect.key, " ", suspect.depth, " ", suspect.answeredAge ? suspect.answeredAge->count() : NEVER_ANSWERED);
    for (const CrashSighting &sighting : suspect.sightings) {
        absl::StrAppend(&text, " ", encodeWord(sighting.upstream), " ", sighting.request, " ", sighting.age.count());
    }
    return text;
}

auto decodeCrashSuspect(std::string_view text) -> absl::StatusOr<CrashSuspect>
{
    constexpr std::size_t HEAD_WORDS = 3;
    constexpr std::size_t SIGHTING_WORDS = 3;
    const std::vector<std::string> words = absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    CrashSuspect suspect;
    std::int64_t answeredMs = 0;
    const auto invalid = [text] {
        return absl::InvalidArgumentError(
            absl::StrCat("malformed crash suspect: ", absl::string_view(text.data(), std::min<std::size_t>(text.size(), 80))));
    };
    if (words.size() < HEAD_WORDS || (words.size() - HEAD_WORDS) % SIGHTING_WORDS != 0 || !isKey(words[0])
        || !absl::SimpleAtoi(words[1], &suspect.depth) || !absl::SimpleAtoi(words[2], &answeredMs) || answeredMs < NEVER_ANSWERED) {
        return invalid();
    }
    suspect.key = words[0];
    if (answeredMs != NEVER_ANSWERED) {
        suspect.answeredAge = boundedMilliseconds(answeredMs);
    }
    for (std::size_t index = HEAD_WORDS; index < words.size(); index += SIGHTING_WORDS) {
        std::int64_t ageMs = 0;
        const auto upstream = decodeWord(words[index]);
        const bool isValid = upstream && !upstream->empty() && upstream->size() <= MAXIMUM_NAME_LENGTH && !words[index + 1].empty()
                             && words[index + 1].size() <= DIGEST_LENGTH && absl::SimpleAtoi(words[index + 2], &ageMs) && ageMs >= 0;
        if (!isValid) {
            return invalid();
        }
        suspect.sightings.push_back({ *upstream, words[index + 1], boundedMilliseconds(ageMs) });
    }
    return suspect;
}

auto CrashSuspects::addSighting(Suspect &suspect, const Sighting &sighting) -> bool
{
    if (suspect.answeredAt && sighting.at <= *suspect.answeredAt) {
        return false;
    }
    const auto known = std::find_if(suspect.sightings.begin(), suspect.sightings.end(), [&sighting](const Sighting &each) {
        return each.upstream == sighting.upstream && each.request == sighting.request && isWithin(each.at, sighting.at, SAME_CRASH_TIME);
    });
    if (known != suspect.sightings.end()) {
        // The earliest time: messages that circulate must not keep a crash from expiring.
        known->at = std::min(known->at, sighting.at);
        return false;
    }
    const auto oldest
        = std::min_element(suspect.sightings.begin(), suspect.sightings.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    if (suspect.sightings.size() < MAXIMUM_SIGHTINGS) {
        suspect.sightings.push_back(sighting);
        return true;
    }
    if (sighting.at <= oldest->at) {
        return false;
    }
    *oldest = sighting;
    return true;
}

auto CrashSuspects::clearUpTo(Suspect &suspect, BootTime answeredAt) -> void
{
    suspect.answeredAt = answeredAt;
    std::erase_if(suspect.sightings, [answeredAt](const Sighting &each) { return each.at <= answeredAt; });
}

auto CrashSuspects::dropExpired(BootTime now) -> void
{
    for (auto &[key, suspect] : suspects_) {
        std::erase_if(suspect.sightings, [now](const Sighting &each) { return now - each.at >= RETENTION; });
    }
    std::erase_if(suspects_, [now](const auto &each) {
        const Suspect &suspect = each.second;
        return suspect.sightings.empty() && (!suspect.answeredAt || now - *suspect.answeredAt >= CLEARED_RETENTION);
    });
}

auto CrashSuspects::removeExpired(BootTime now) -> void
{
    const std::lock_guard lock(mutex_);
    refused_.reset();
    dropExpired(now);
}

auto CrashSuspects::add(const std::string &key, int depth, const Sighting &sighting, BootTime now) -> bool
{
    Suspect &suspect = suspects_[key];
    suspect.depth = std::max(suspect.depth, depth);
    if (!addSighting(suspect, sighting)) {
        return false;
    }
    suspect.changedAt = now;
    return true;
}

auto CrashSuspects::dropExcess(BootTime now) -> void
{
    refused_.reset();
    dropExpired(now);
    while (suspects_.size() > MAXIMUM_SUSPECTS) {
        suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second.sightings.size(), a.second.changedAt) < std::pair(b.second.sightings.size(), b.second.changedAt);
        }));
    }
}

auto CrashSuspects::refused() const -> const std::map<std::string, Refusal> &
{
    if (refused_) {
        return *refused_;
    }
    refused_.emplace();
    const CrashNumbers numbers = numberCrashes();
    std::set<int> explained;
    while (auto culprit = findCulprit(numbers, explained)) {
        explained.merge(culprit->crashes);
        refused_->emplace(culprit->key, culprit->refusal);
    }
    return *refused_;
}

auto CrashSuspects::numberCrashes() const -> CrashNumbers
{
    std::map<std::string, std::set<BootTime>> timesOf;
    for (const auto &[key, suspect] : suspects_) {
        for (const Sighting &sighting : suspect.sightings) {
            timesOf[sighting.upstream].insert(sighting.at);
        }
    }
    CrashNumbers numbers;
    int last = 0;
    for (const auto &[upstream, times] : timesOf) {
        std::optional<BootTime> previous;
        for (const BootTime at : times) {
            if (!previous || at - *previous >= SAME_CRASH_TIME) {
                ++last;
            }
            previous = at;
            numbers[{ upstream, at }] = last;
        }
    }
    return numbers;
}

auto CrashSuspects::findCulprit(const CrashNumbers &numbers, const std::set<int> &explained) const -> std::optional<Culprit>
{
    std::optional<Culprit> best;
    std::tuple<std::size_t, bool, std::size_t, int> bestRank;
    for (const auto &[key, suspect] : suspects_) {
        std::map<int, BootTime> crashes;
        std::set<std::string> requests;
        for (const Sighting &sighting : suspect.sightings) {
            const int number = numbers.at({ sighting.upstream, sighting.at });
            if (!explained.contains(number)) {
                crashes[number] = std::max(crashes[number], sighting.at);
                requests.insert(sighting.request);
            }
        }
        if (crashes.size() < crashLimitOf(key) || (isPart(key) && requests.size() < PART_REQUEST_LIMIT)) {
            continue;
        }
        // Among equals a part, which explains more requests, and of parts the deeper one, which fewer sound requests share.
        const std::tuple rank { crashes.size(), isPart(key), requests.size(), suspect.depth };
        if (best && rank <= bestRank) {
            continue;
        }
        bestRank = rank;
        best.emplace();
        best->key = key;
        std::vector<BootTime> times;
        for (const auto &[number, at] : crashes) {
            best->crashes.insert(number);
            times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        best->refusal = refusalOf(key, times);
    }
    return best;
}

auto CrashSuspects::refusalOf(const std::string &key, const std::vector<BootTime> &times) -> Refusal
{
    const std::size_t limit = crashLimitOf(key);
    std::size_t trials = 0;
    for (std::size_t index = limit; index < times.size(); ++index) {
        trials += times[index] - times[index - 1] > TRIAL_SEPARATION ? 1 : 0;
    }
    Refusal refusal { times[times.size() - limit] + RETENTION, std::nullopt };
    if (const auto time = trialTimeOf(key, trials)) {
        refusal.trialAt = times.back() + *time;
    }
    return refusal;
}

auto CrashSuspects::recordCrash(const CrashSubject &subject, const std::string &upstream, BootTime now) -> void
{
    const std::lock_guard lock(mutex_);
    const Sighting sighting { upstream, subject.request.substr(0, DIGEST_LENGTH), now };
    add(requestKey(subject.request), 0, sighting, now);
    int depth = 0;
    for (const std::string &part : subject.parts) {
        add(partKey(part), ++depth, sighting, now);
    }
    dropExcess(now);
}

auto CrashSuspects::recordAnswer(const CrashSubject &subject, BootTime now) -> void
{
    const std::lock_guard lock(mutex_);
    if (suspects_.empty()) {
        return;
    }
    bool hasChanged = false;
    for (const std::string &key : keysOf(subject)) {
        const auto found = suspects_.find(key);
        if (found != suspects_.end() && !found->second.sightings.empty()) {
            clearUpTo(found->second, now);
            found->second.changedAt = now;
            hasChanged = true;
        }
    }
    if (hasChanged) {
        dropExcess(now);
    }
}

auto CrashSuspects::refusedKeysOf(const CrashSubject &subject, BootTime now) const -> std::vector<std::string>
{
    const std::map<std::string, Refusal> &refusals = refused();
    if (refusals.empty()) {
        return {};
    }
    std::vector<std::string> keys = keysOf(subject);
    std::erase_if(keys, [&refusals, now](const std::string &key) {
        const auto found = refusals.find(key);
        return found == refusals.end() || found->second.until <= now;
    });
    return keys;
}

auto CrashSuspects::refusedUntil(const CrashSubject &subject, BootTime now) const -> std::optional<BootTime>
{
    const std::lock_guard lock(mutex_);
    std::optional<BootTime> until;
    for (const std::string &key : refusedKeysOf(subject, now)) {
        const Refusal &refusal = refused().at(key);
        // An answer to a trial ends the refusal.
        const BootTime end = refusal.trialAt ? std::max(*refusal.trialAt, now) + TRIAL_TURN : refusal.until;
        until = std::max(until.value_or(now), end);
    }
    return until;
}

auto CrashSuspects::dueTrial(const CrashSubject &subject, BootTime now) const -> std::optional<CrashTrial>
{
    const std::lock_guard lock(mutex_);
    const std::vector<std::string> keys = refusedKeysOf(subject, now);
    if (keys.size() != 1) {
        return std::nullopt;
    }
    const std::string &key = keys.front();
    const std::optional<BootTime> trialAt = refused().at(key).trialAt;
    if (!trialAt || now < *trialAt || (now - *trialAt) % TRIAL_TURN >= TRIAL_SEND_TIME || now < suspects_.at(key).trialUntil) {
        return std::nullopt;
    }
    return CrashTrial { key, absl::StrCat("trial/", key, "/", (now - *trialAt) / TRIAL_TURN) };
}

auto CrashSuspects::startTrial(const CrashTrial &trial, BootTime now) -> bool
{
    const std::lock_guard lock(mutex_);
    const auto found = suspects_.find(trial.suspect);
    if (found == suspects_.end() || now < found->second.trialUntil) {
        return false;
    }
    found->second.trialUntil = now + TRIAL_TURN;
    return true;
}

auto CrashSuspects::crashCount(const std::string &fingerprint, BootTime now) const -> int
{
    const std::lock_guard lock(mutex_);
    const auto found = suspects_.find(requestKey(fingerprint));
    if (found == suspects_.end()) {
        return 0;
    }
    const std::vector<Sighting> &sightings = found->second.sightings;
    return static_cast<int>(
        std::count_if(sightings.begin(), sightings.end(), [now](const Sighting &each) { return now - each.at < RETENTION; }));
}

auto CrashSuspects::stateOf(const std::string &key, const Suspect &suspect, BootTime now) -> CrashSuspect
{
    CrashSuspect state { key, suspect.depth, {}, {} };
    if (suspect.answeredAt) {
        state.answeredAge = ageOf(*suspect.answeredAt, now);
    }
    for (const Sighting &sighting : suspect.sightings) {
        state.sightings.push_back({ sighting.upstream, sighting.request, ageOf(sighting.at, now) });
    }
    return state;
}

auto CrashSuspects::announceRefused(BootTime now) -> void
{
    const std::lock_guard lock(mutex_);
    announceRefusedUntil_ = now + ANNOUNCEMENT_TIME;
}

auto CrashSuspects::states(BootTime now) const -> std::vector<CrashSuspect>
{
    const std::lock_guard lock(mutex_);
    std::vector<CrashSuspect> due;
    std::size_t refreshed = 0;
    for (const auto &[key, suspect] : suspects_) {
        bool isDue = now - suspect.changedAt < ANNOUNCEMENT_TIME || (now < announceRefusedUntil_ && refused().contains(key));
        if (!isDue && refreshed < MAXIMUM_REFRESHED && refused().contains(key)) {
            ++refreshed;
            // Spreads the suspects over the period.
            const Milliseconds phase(std::hash<std::string>()(key) % static_cast<std::size_t>(REFRESH_PERIOD.count()));
            isDue = (now.time_since_epoch() + phase) % REFRESH_PERIOD < REFRESH_WINDOW;
        }
        if (isDue) {
            due.push_back(stateOf(key, suspect, now));
        }
    }
    // Suspects with the most crashes first: the others are probably sound.
    std::stable_sort(due.begin(), due.end(), [](const auto &a, const auto &b) { return a.sightings.size() > b.sightings.size(); });
    std::size_t sightings = 0;
    const auto excess = std::find_if(due.begin(), due.end(), [&sightings](const CrashSuspect &each) {
        sightings += std::max<std::size_t>(1, each.sightings.size());
        return sightings > MAXIMUM_SENT_SIGHTINGS;
    });
    due.erase(excess, due.end());
    return due;
}

auto CrashSuspects::allStates(BootTime now) const -> std::vector<CrashSuspect>
{
    const std::lock_guard lock(mutex_);
    std::vector<CrashSuspect> states;
    for (const auto &[key, suspect] : suspects_) {
        states.push_back(stateOf(key, suspect, now));
    }
    return states;
}

auto CrashSuspects::merge(const std::vector<CrashSuspect> &states, BootTime now) -> void
{
    const std::lock_guard lock(mutex_);
    bool hasChanged = false;
    for (const CrashSuspect &state : states) {
        hasChanged = (isKey(state.key) && mergeState(state, now)) || hasChanged;
    }
    if (hasChanged) {
        dropExcess(now);
    }
}

auto CrashSuspects::mergeState(const CrashSuspect &state, BootTime now) -> bool
{
    bool hasChanged = false;
    if (state.answeredAge && *state.answeredAge < CLEARED_RETENTION) {
        Suspect &suspect = suspects_[state.key];
        const BootTime answeredAt = now - *state.answeredAge;
        if (!suspect.answeredAt || answeredAt - *suspect.answeredAt > ANSWER_RESOLUTION) {
            clearUpTo(suspect, answeredAt);
            suspect.changedAt = now;
            hasChanged = true;
        }
    }
    for (const CrashSighting &sighting : state.sightings) {
        if (sighting.age < RETENTION) {
            hasChanged = add(state.key, state.depth, { sighting.upstream, sighting.request, now - sighting.age }, now) || hasChanged;
        }
    }
    return hasChanged;
}

} // namespace poplardock
