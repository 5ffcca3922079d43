#include "Process/PeerExchange.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr std::size_t PEERS_PER_ROUND = 7;
constexpr std::int64_t SHORTEST_PERIOD_MS = 900;
constexpr std::int64_t LONGEST_PERIOD_MS = 1100;
/// Below FRESHNESS_BOUND, so that one lost exchange does not make a member count as not heard.
constexpr Milliseconds EXCHANGE_TIMEOUT { 1500 };
/// Pause between rounds while an operator waits for a change to be in force.
constexpr Milliseconds FIRST_AWAIT_PAUSE { 50 };
constexpr Milliseconds LONGEST_AWAIT_PAUSE { 500 };
/// Claims above the revision in force by more than this are ignored: at 580 configuration changes and 168
/// membership changes a day it takes over three years to get there.
constexpr std::uint64_t MAXIMUM_REVISION_LEAD = 1'000'000;
/// Members that were heard within this time are left out of messages, and count as heard for a removal.
/// Naming all of 8 members made each daemon send 3.7 instead of 1.8 KB/s.
constexpr Milliseconds REPORTED_SILENCE { 3000 };
/// Withdrawals that await the store; more are not taken from peers.
constexpr std::size_t MAXIMUM_TOMBSTONES = 1000;
constexpr std::size_t MAXIMUM_KEY_ID_LENGTH = 64;
/// Ages above this are taken as this one, so that no arithmetic on them overflows.
constexpr std::int64_t MAXIMUM_AGE_MS = 3600 * 1000;

auto toMilliseconds(Duration duration) -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

auto findKeyById(const Configuration &configuration, const std::string &keyId) -> const ApiKey *
{
    for (const Team &team : configuration.data().teams) {
        for (const ApiKey &key : team.keys) {
            if (key.id == keyId) {
                return &key;
            }
        }
    }
    return nullptr;
}

auto readSilence(const JsonObject &message) -> std::map<std::string, Milliseconds>
{
    std::map<std::string, Milliseconds> silence;
    const JsonObject::Ptr heard = message.getObject("heard");
    if (heard.isNull()) {
        return silence;
    }
    for (const std::string &name : heard->getNames()) {
        if (const auto age = Json::requireInteger(*heard, name); age.ok() && *age >= 0) {
            silence[name] = Milliseconds(std::min(*age, MAXIMUM_AGE_MS));
        }
    }
    return silence;
}

} // namespace

PeerExchange::PeerExchange(FleetState &state, VersionWatcher &watcher, PeerClients &peers, std::uint64_t seed)
    : state_(state)
    , watcher_(watcher)
    , peers_(peers)
    , random_(seed)
{
}

PeerExchange::~PeerExchange()
{
    stop();
}

auto PeerExchange::addField(const std::string &name, Producer producer, Consumer consumer) -> void
{
    fields_[name] = { std::move(producer), std::move(consumer) };
}

auto PeerExchange::setIncarnation(const std::string &incarnation) -> void
{
    const std::lock_guard lock(mutex_);
    incarnation_ = incarnation;
}

auto PeerExchange::pendingTombstones(const FleetVersion &version) const -> std::vector<std::string>
{
    std::vector<std::string> pending;
    for (const std::string &keyId : state_.tombstones()) {
        // A key that this version does not know is relayed by the members that know it, and a removed key by
        // nobody.
        const ApiKey *key = findKeyById(version.configuration, keyId);
        if (key != nullptr && !key->withdrawn) {
            pending.push_back(keyId);
        }
    }
    return pending;
}

auto PeerExchange::makeMessage() const -> std::string
{
    FleetVersionPointer version;
    std::optional<TimePoint> confirmedAt;
    do {
        // The confirmation must belong to the revision that the message names.
        version = state_.current();
        confirmedAt = state_.confirmedAt();
    } while (state_.current()->revision != version->revision);
    const TimePoint now = Clock::now();
    JsonObject message;
    message.set("from", state_.memberName());
    {
        const std::lock_guard lock(mutex_);
        message.set("incarnation", incarnation_);
    }
    // A member that heard of a revision and has not read it yet must pass it on; otherwise a daemon under the
    // majority rule would go on acting on the old one.
    message.set("revision", std::max(version->revision, state_.highestKnownRevision()));
    message.set("in_force", version->revision);
    if (confirmedAt) {
        message.set("confirmed_age_ms",
                    static_cast<std::int64_t>(std::max(Milliseconds(0), toMilliseconds(now - *confirmedAt)).count()) + 1);
    }
    message.set("contact", state_.hasStoreContact(now));
    JsonObject::Ptr heard = new JsonObject;
    for (const auto &[name, age] : silence(now)) {
        if (age >= REPORTED_SILENCE) {
            heard->set(name, static_cast<std::int64_t>(age.count()));
        }
    }
    if (heard->size() > 0) {
        message.set("heard", heard);
    }
    if (const auto tombstones = pendingTombstones(*version); !tombstones.empty()) {
        message.set("tombstones", Json::fromStrings(tombstones));
    }
    for (const auto &[name, field] : fields_) {
        const Poco::Dynamic::Var value = field.producer();
        if (!value.isEmpty()) {
            message.set(name, value);
        }
    }
    return Json::toText(message);
}

auto PeerExchange::silence(TimePoint now) const -> std::map<std::string, Milliseconds>
{
    const FleetVersionPointer version = state_.current();
    const std::map<std::string, TimePoint> heardAt = state_.heardAt();
    const std::lock_guard lock(mutex_);
    std::map<std::string, Milliseconds> silence;
    for (const Member &member : version->members.members()) {
        if (member.name == state_.memberName()) {
            continue;
        }
        const auto known = knownSince_.find({ member.name, member.incarnation });
        TimePoint since = known == knownSince_.end() ? now : known->second;
        if (const auto heard = heardAt.find(member.name); heard != heardAt.end()) {
            since = std::max(since, heard->second);
        }
        silence[member.name] = std::max(Milliseconds(0), toMilliseconds(now - since));
    }
    return silence;
}

auto PeerExchange::isPlausible(std::uint64_t revision) const -> bool
{
    const std::uint64_t current = state_.current()->revision;
    return current > 0 && revision <= current + MAXIMUM_REVISION_LEAD;
}

auto PeerExchange::raiseMonotone(const JsonObject &message) -> absl::Status
{
    const auto revision = Json::requireInteger(message, "revision");
    const auto tombstones = Json::optionalStrings(message, "tombstones");
    for (const absl::Status &status : { revision.status(), tombstones.status() }) {
        if (!status.ok()) {
            return status;
        }
    }
    const auto highest = static_cast<std::uint64_t>(std::max<std::int64_t>(0, *revision));
    if (isPlausible(highest)) {
        state_.noteRevision(highest);
    }
    std::size_t held = pendingTombstones(*state_.current()).size();
    for (const std::string &keyId : *tombstones) {
        if (held < MAXIMUM_TOMBSTONES && !keyId.empty() && keyId.size() <= MAXIMUM_KEY_ID_LENGTH) {
            state_.addTombstone(keyId);
            ++held;
        }
    }
    return absl::OkStatus();
}

auto PeerExchange::consumeFields(const JsonObject &message, const ExchangeSource &source) -> void
{
    for (const auto &[name, field] : fields_) {
        const Poco::Dynamic::Var value = message.get(name);
        if (value.isEmpty()) {
            continue;
        }
        try {
            field.consumer(value, source);
        } catch (const std::exception &exception) {
            Log::warning(Part::Peer, absl::StrCat("Field ", name, " of ", source.member, " was not taken: ", exception.what()));
        }
    }
}

auto PeerExchange::acceptAnswer(const Member &member, const JsonObject &message, TimePoint sentAt, std::uint64_t sentRevision)
    -> absl::Status
{
    const auto from = Json::requireString(message, "from");
    const auto incarnation = Json::requireString(message, "incarnation");
    const auto revision = Json::requireInteger(message, "in_force");
    const auto age = Json::optionalInteger(message, "confirmed_age_ms", -1);
    const absl::Status raised = raiseMonotone(message);
    for (const absl::Status &status : { from.status(), incarnation.status(), revision.status(), age.status(), raised }) {
        if (!status.ok()) {
            return status;
        }
    }
    if (*from != member.name || *incarnation != member.incarnation) {
        return absl::FailedPreconditionError(absl::StrCat(member.address, " is not ", member.name, " ", member.incarnation));
    }
    state_.recordHeard(member, sentAt, sentRevision);
    const auto peerRevision = static_cast<std::uint64_t>(std::max<std::int64_t>(0, *revision));
    if (*age >= 0) {
        state_.confirm(isPlausible(peerRevision) ? peerRevision : 0, sentAt - Milliseconds(std::min(*age, MAXIMUM_AGE_MS)), false);
    }
    if (peerRevision > state_.current()->revision) {
        watcher_.scheduleFetch(peerRevision, member.address);
    }
    const std::vector<std::string> tombstones = Json::optionalStrings(message, "tombstones").value_or(std::vector<std::string>());
    {
        const std::lock_guard lock(mutex_);
        reports_[member.name] = { *incarnation, peerRevision, sentAt, readSilence(message), { tombstones.begin(), tombstones.end() } };
    }
    consumeFields(message, { member.name, true, sentAt });
    return absl::OkStatus();
}

auto PeerExchange::exchangeWith(const Member &member) -> absl::Status
{
    // Read before the message is made, so that the message names at least this revision.
    const std::uint64_t sentRevision = state_.current()->revision;
    const std::string body = makeMessage();
    const TimePoint sentAt = Clock::now();
    const CallResult result = peers_.clientFor(member.address)->call({ "POST", "/peers/exchange", body, {}, EXCHANGE_TIMEOUT });
    const auto *answer = std::get_if<HttpResponse>(&result);
    {
        const std::lock_guard lock(mutex_);
        ++counts_.messagesSent;
        counts_.bytesSent += body.size();
        counts_.messagesReceived += answer != nullptr ? 1 : 0;
        counts_.bytesReceived += answer != nullptr ? answer->body.size() : 0;
        counts_.failures += answer == nullptr || answer->status != 200 ? 1 : 0;
    }
    if (answer == nullptr || answer->status != 200) {
        return absl::UnavailableError(absl::StrCat(member.name, " did not answer"));
    }
    const auto message = Json::parseObject(answer->body);
    return message.ok() ? acceptAnswer(member, **message, sentAt, sentRevision) : message.status();
}

auto PeerExchange::handleRequest(const std::string &body) -> absl::StatusOr<std::string>
{
    const auto message = Json::parseObject(body);
    if (!message.ok()) {
        return message.status();
    }
    const auto from = Json::requireString(**message, "from");
    absl::Status status = from.status();
    status.Update(raiseMonotone(**message));
    if (!status.ok()) {
        return status;
    }
    consumeFields(**message, { *from, false, Clock::now() });
    const FleetVersionPointer version = state_.current();
    const Member *sender = version->members.find(*from);
    const std::int64_t revision = Json::requireInteger(**message, "in_force").value_or(0);
    if (sender != nullptr && revision > static_cast<std::int64_t>(version->revision)) {
        watcher_.scheduleFetch(static_cast<std::uint64_t>(revision), sender->address);
    }
    std::string answer = makeMessage();
    const std::lock_guard lock(mutex_);
    ++counts_.messagesReceived;
    ++counts_.messagesSent;
    counts_.bytesReceived += body.size();
    counts_.bytesSent += answer.size();
    return answer;
}

auto PeerExchange::noteMembers(TimePoint now) -> void
{
    const FleetVersionPointer version = state_.current();
    std::vector<std::string> addresses;
    std::map<std::pair<std::string, std::string>, TimePoint> known;
    for (const Member &member : version->members.members()) {
        addresses.push_back(member.address);
    }
    peers_.retain(addresses);
    const std::lock_guard lock(mutex_);
    for (const Member &member : version->members.members()) {
        const std::pair<std::string, std::string> key { member.name, member.incarnation };
        const auto found = knownSince_.find(key);
        known[key] = found == knownSince_.end() ? now : found->second;
    }
    knownSince_ = std::move(known);
    std::erase_if(reports_, [&version](const auto &entry) {
        const Member *member = version->members.find(entry.first);
        return member == nullptr || member->incarnation != entry.second.incarnation;
    });
}

auto PeerExchange::startRound() -> void
{
    noteMembers(Clock::now());
    const FleetVersionPointer version = state_.current();
    std::vector<Member> candidates;
    {
        const std::lock_guard lock(mutex_);
        isRoundWanted_ = false;
        for (const Member &member : version->members.members()) {
            if (member.name != state_.memberName() && !busy_.contains(member.name)) {
                candidates.push_back(member);
            }
        }
        std::shuffle(candidates.begin(), candidates.end(), random_);
        candidates.resize(std::min(candidates.size(), PEERS_PER_ROUND));
        for (Member &member : candidates) {
            busy_.insert(member.name);
            queue_.push_back(std::move(member));
        }
    }
    changed_.notify_all();
}

auto PeerExchange::roundLoop(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        startRound();
        std::unique_lock lock(mutex_);
        const Milliseconds period(std::uniform_int_distribution<std::int64_t>(SHORTEST_PERIOD_MS, LONGEST_PERIOD_MS)(random_));
        changed_.wait_for(lock, stop, period, [this] { return isRoundWanted_; });
    }
}

auto PeerExchange::workLoop(const std::stop_token &stop) -> void
{
    while (!stop.stop_requested()) {
        Member member;
        {
            std::unique_lock lock(mutex_);
            if (!changed_.wait(lock, stop, [this] { return !queue_.empty(); })) {
                return;
            }
            member = std::move(queue_.front());
            queue_.pop_front();
        }
        const absl::Status status = exchangeWith(member);
        if (!status.ok()) {
            Log::debug(Part::Peer, absl::StrCat("Exchange with ", member.name, " failed: ", status.message()));
        }
        const std::lock_guard lock(mutex_);
        busy_.erase(member.name);
    }
}

auto PeerExchange::start() -> void
{
    threads_.emplace_back([this](const std::stop_token &stop) { roundLoop(stop); });
    for (std::size_t number = 0; number < PEERS_PER_ROUND; ++number) {
        threads_.emplace_back([this](const std::stop_token &stop) { workLoop(stop); });
    }
}

auto PeerExchange::stop() -> void
{
    for (std::jthread &thread : threads_) {
        thread.request_stop();
    }
    threads_.clear();
}

auto PeerExchange::exchangeNow() -> void
{
    {
        const std::lock_guard lock(mutex_);
        isRoundWanted_ = true;
    }
    changed_.notify_all();
}

auto PeerExchange::countConfirmed(const FleetVersion &version, const ReportTest &isConfirmed) const -> ConfirmationCount
{
    ConfirmationCount count { version.members.members().size(), 0 };
    const std::map<std::string, PeerReport> known = reports();
    for (const Member &member : version.members.members()) {
        const auto report = known.find(member.name);
        const bool isReported = report != known.end() && isConfirmed(version, report->second);
        count.confirmedBy += member.name == state_.memberName() || isReported ? 1 : 0;
    }
    return count;
}

auto PeerExchange::awaitReports(const ReportTest &isConfirmed, TimePoint deadline) -> ConfirmationCount
{
    Milliseconds pause = FIRST_AWAIT_PAUSE;
    while (true) {
        const FleetVersionPointer version = state_.current();
        const ConfirmationCount count = countConfirmed(*version, isConfirmed);
        const TimePoint now = Clock::now();
        if (count.confirmedBy >= count.members || now >= deadline) {
            return count;
        }
        exchangeNow();
        std::this_thread::sleep_until(std::min(deadline, now + pause));
        pause = std::min(2 * pause, LONGEST_AWAIT_PAUSE);
    }
}

auto PeerExchange::awaitRevision(std::uint64_t revision, TimePoint deadline) -> ConfirmationCount
{
    return awaitReports([revision](const FleetVersion &, const PeerReport &report) { return report.revision >= revision; }, deadline);
}

auto PeerExchange::awaitTombstone(const std::string &keyId, TimePoint deadline) -> ConfirmationCount
{
    const auto hasWithdrawn = [&keyId](const FleetVersion &version, const PeerReport &report) {
        const ApiKey *key = findKeyById(version.configuration, keyId);
        const bool isInVersion = key == nullptr || key->withdrawn;
        return report.tombstones.contains(keyId) || (isInVersion && report.revision >= version.revision);
    };
    return awaitReports(hasWithdrawn, deadline);
}

auto PeerExchange::reports() const -> std::map<std::string, PeerReport>
{
    const FleetVersionPointer version = state_.current();
    const std::lock_guard lock(mutex_);
    std::map<std::string, PeerReport> reports;
    for (const auto &[name, report] : reports_) {
        const Member *member = version->members.find(name);
        if (member != nullptr && member->incarnation == report.incarnation) {
            reports.emplace(name, report);
        }
    }
    return reports;
}

auto PeerExchange::counts() const -> ExchangeCounts
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace poplardock
