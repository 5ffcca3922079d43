#include "Process/ConfigurationEditor.h"

#include "Process/Log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace poplardock {

namespace {

/// An accepted change must be in force everywhere within this time.
constexpr Milliseconds CONFIRMATION_WAIT { 5000 };
constexpr std::int64_t SHORTEST_PERIOD_MS = 500;
constexpr std::int64_t LONGEST_PERIOD_MS = 1500;

template<typename Entry>
auto findEntry(std::vector<Entry> &entries, const std::string &name) -> Entry *
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&name](const Entry &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

auto findKey(Configuration::Data &data, const std::string &keyId) -> ApiKey *
{
    for (Team &team : data.teams) {
        for (ApiKey &key : team.keys) {
            if (key.id == keyId) {
                return &key;
            }
        }
    }
    return nullptr;
}

auto errorOf(const absl::Status &status) -> RequestError
{
    const std::string message(status.message());
    switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
        return { ResultCode::ConfigurationInvalid, message };
    case absl::StatusCode::kUnknown:
    case absl::StatusCode::kDataLoss:
        return { ResultCode::ConfigurationUncertain, message };
    case absl::StatusCode::kResourceExhausted:
        return { ResultCode::StoreBudgetExhausted, message, 1 };
    default:
        return { ResultCode::StoreUnavailable, message, 1 };
    }
}

auto noSuchKey(const std::string &keyId) -> RequestError
{
    return { ResultCode::TeamUnknown, absl::StrCat("no key has the id \"", keyId, "\"") };
}

/// Marks the key as withdrawn.
auto withdrawal(const std::string &keyId)
{
    return [keyId](Configuration::Data &data) -> std::optional<RequestError> {
        ApiKey *key = findKey(data, keyId);
        if (key == nullptr) {
            return noSuchKey(keyId);
        }
        key->withdrawn = true;
        return std::nullopt;
    };
}

auto completeCredentials(const Configuration::Data &old, Configuration::Data &document) -> void
{
    for (Upstream &upstream : document.upstreams) {
        const auto known
            = std::find_if(old.upstreams.begin(), old.upstreams.end(), [&](const Upstream &entry) { return entry.name == upstream.name; });
        if (upstream.credential.empty() && known != old.upstreams.end()) {
            upstream.credential = known->credential;
        }
    }
}

auto withdrawnKeys(const Configuration::Data &data, const std::set<std::string> &tombstones) -> std::vector<ApiKey>
{
    std::vector<ApiKey> keys;
    for (const Team &team : data.teams) {
        std::copy_if(team.keys.begin(), team.keys.end(), std::back_inserter(keys), [&tombstones](const ApiKey &key) {
            return key.withdrawn || tombstones.contains(key.id);
        });
    }
    return keys;
}

/// A value is the reason to refuse a document that gives a withdrawn key its rights back.
auto checkWithdrawals(const std::vector<ApiKey> &withdrawn, const Configuration::Data &document) -> std::optional<RequestError>
{
    for (const Team &team : document.teams) {
        for (const ApiKey &key : team.keys) {
            const bool wasWithdrawn = std::any_of(
                withdrawn.begin(), withdrawn.end(), [&key](const ApiKey &old) { return old.id == key.id || old.sha256 == key.sha256; });
            if (wasWithdrawn && !key.withdrawn) {
                return RequestError { ResultCode::ConfigurationInvalid,
                                      absl::StrCat("key \"", key.id, "\" is withdrawn and cannot be put back; add a new one") };
            }
        }
    }
    return std::nullopt;
}

} // namespace

auto ChangeAnswer::isInForce() const -> bool
{
    return 2 * confirmedBy > members;
}

auto ChangeAnswer::toJson() const -> std::string
{
    JsonObject object;
    object.set("revision", revision);
    object.set("configuration_revision", configurationRevision);
    object.set("members", static_cast<std::uint64_t>(members));
    object.set("confirmed_by", static_cast<std::uint64_t>(confirmedBy));
    object.set("in_force", isInForce());
    object.set("tombstone", isTombstone);
    return Json::toText(object);
}

ConfigurationEditor::ConfigurationEditor(FleetState &state, RootCommitter &committer, PeerExchange &exchange, std::uint64_t seed)
    : state_(state)
    , committer_(committer)
    , exchange_(exchange)
    , random_(seed)
{
}

ConfigurationEditor::~ConfigurationEditor()
{
    stop();
}

auto ConfigurationEditor::commitEdit(const Edit &edit, Expected expected) -> Outcome
{
    std::optional<RequestError> refusal;
    const auto compute = [&](const FleetVersion &base) -> absl::StatusOr<FleetChange> {
        if (expected && base.configurationRevision != *expected) {
            refusal = RequestError { ResultCode::ConfigurationConflict,
                                     absl::StrCat("the configuration revision is ", base.configurationRevision, ", not ", *expected) };
            return absl::FailedPreconditionError(refusal->message);
        }
        Configuration::Data data = FleetCodec::sorted(base.configuration.data());
        const Configuration::Data before = data;
        refusal = edit(data);
        if (refusal) {
            return absl::FailedPreconditionError(refusal->message);
        }
        data = FleetCodec::sorted(std::move(data));
        return data == before ? FleetChange() : FleetChange { std::move(data), std::nullopt };
    };
    const auto version = committer_.commit(compute);
    if (version.ok()) {
        return { *version, std::nullopt };
    }
    return { nullptr, refusal && absl::IsFailedPrecondition(version.status()) ? refusal : errorOf(version.status()) };
}

auto ConfigurationEditor::answerFor(const FleetVersion &version) -> ChangeAnswer
{
    const ConfirmationCount count = exchange_.awaitRevision(version.revision, Clock::now() + CONFIRMATION_WAIT);
    return { version.revision, version.configurationRevision, count.members, count.confirmedBy, false };
}

auto ConfigurationEditor::change(const Edit &edit, Expected expected) -> ChangeResult
{
    const Outcome outcome = commitEdit(edit, expected);
    if (outcome.error) {
        return *outcome.error;
    }
    Log::info(Part::Operator, absl::StrCat("Committed configuration revision ", outcome.version->configurationRevision, "."));
    return answerFor(*outcome.version);
}

auto ConfigurationEditor::apply(const JsonObject &document, std::uint64_t expected) -> ChangeResult
{
    const auto configuration = Configuration::fromJson(document);
    if (!configuration.ok()) {
        return RequestError { ResultCode::ConfigurationInvalid, std::string(configuration.status().message()) };
    }
    const auto edit = [this, &configuration](Configuration::Data &data) -> std::optional<RequestError> {
        Configuration::Data merged = configuration->data();
        completeCredentials(data, merged);
        auto refusal = checkWithdrawals(withdrawnKeys(data, state_.tombstones()), merged);
        data = std::move(merged);
        return refusal;
    };
    return change(edit, expected);
}

auto ConfigurationEditor::withdrawKey(const std::string &keyId) -> ChangeResult
{
    Configuration::Data known = state_.current()->configuration.data();
    const bool isKnown = findKey(known, keyId) != nullptr;
    if (isKnown) {
        // In force before the commit, which may take long while the store is slow.
        state_.addTombstone(keyId);
        exchange_.exchangeNow();
    }
    const Outcome outcome = commitEdit(withdrawal(keyId), std::nullopt);
    if (!outcome.error) {
        Log::info(Part::Operator, absl::StrCat("Withdrew key ", keyId, "."));
        return answerFor(*outcome.version);
    }
    if (!isKnown || outcome.error->code == ResultCode::TeamUnknown) {
        return *outcome.error;
    }
    Log::warning(Part::Operator, absl::StrCat("Withdrew key ", keyId, " without the store: ", outcome.error->message));
    const ConfirmationCount count = exchange_.awaitTombstone(keyId, Clock::now() + CONFIRMATION_WAIT);
    const FleetVersionPointer version = state_.current();
    return ChangeAnswer { version->revision, version->configurationRevision, count.members, count.confirmedBy, true };
}

auto ConfigurationEditor::addKey(const std::string &team, const ApiKey &key, Expected expected) -> ChangeResult
{
    if (state_.tombstones().contains(key.id)) {
        return RequestError { ResultCode::ConfigurationInvalid, absl::StrCat("key id \"", key.id, "\" was withdrawn; use a new id") };
    }
    const auto edit = [&](Configuration::Data &data) -> std::optional<RequestError> {
        Team *owner = findEntry(data.teams, team);
        if (owner == nullptr) {
            return RequestError { ResultCode::TeamUnknown, absl::StrCat("there is no team \"", team, "\"") };
        }
        owner->keys.push_back(key);
        return std::nullopt;
    };
    return change(edit, expected);
}

auto ConfigurationEditor::setTeam(const std::string &team, double ratePerSecond, double burst, Expected expected) -> ChangeResult
{
    const auto edit = [&](Configuration::Data &data) -> std::optional<RequestError> {
        Team *entry = findEntry(data.teams, team);
        if (entry == nullptr) {
            data.teams.push_back({ team, ratePerSecond, burst, {} });
            return std::nullopt;
        }
        entry->ratePerSecond = ratePerSecond;
        entry->burst = burst;
        return std::nullopt;
    };
    return change(edit, expected);
}

auto ConfigurationEditor::setClass(const std::string &name, std::int64_t firstTokenMs, std::int64_t tokenGapMs, Expected expected)
    -> ChangeResult
{
    const auto edit = [&](Configuration::Data &data) -> std::optional<RequestError> {
        ServiceClass *entry = findEntry(data.classes, name);
        if (entry == nullptr) {
            data.classes.push_back({ name, WorkKind::Online, firstTokenMs, tokenGapMs });
            return std::nullopt;
        }
        if (entry->kind != WorkKind::Online) {
            return RequestError { ResultCode::InvalidField, absl::StrCat("class \"", name, "\" is a batch class without latency targets") };
        }
        entry->firstTokenMs = firstTokenMs;
        entry->tokenGapMs = tokenGapMs;
        return std::nullopt;
    };
    return change(edit, expected);
}

auto ConfigurationEditor::leaveUpstream(const std::string &name, Expected expected) -> ChangeResult
{
    const auto edit = [&](Configuration::Data &data) -> std::optional<RequestError> {
        Upstream *upstream = findEntry(data.upstreams, name);
        if (upstream == nullptr) {
            return RequestError { ResultCode::UpstreamUnknown, absl::StrCat("there is no upstream \"", name, "\"") };
        }
        upstream->isDraining = true;
        return std::nullopt;
    };
    return change(edit, expected);
}

auto ConfigurationEditor::writeTombstones() -> void
{
    const FleetVersionPointer version = state_.current();
    Configuration::Data data = version->configuration.data();
    for (const std::string &keyId : state_.tombstones()) {
        const ApiKey *key = findKey(data, keyId);
        if (key == nullptr || key->withdrawn) {
            continue;
        }
        const Outcome outcome = commitEdit(withdrawal(keyId), std::nullopt);
        if (outcome.error) {
            Log::debug(Part::Operator, absl::StrCat("The withdrawal of key ", keyId, " is not stored yet: ", outcome.error->message));
            return;
        }
        Log::info(Part::Operator, absl::StrCat("Stored the withdrawal of key ", keyId, "."));
    }
}

auto ConfigurationEditor::start() -> void
{
    thread_ = std::jthread([this](const std::stop_token &stop) {
        // The jitter keeps the members from writing the same withdrawal at the same moment.
        std::uniform_int_distribution<std::int64_t> period(SHORTEST_PERIOD_MS, LONGEST_PERIOD_MS);
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock(mutex_);
                stopped_.wait_for(lock, stop, Milliseconds(period(random_)), [] { return false; });
            }
            if (!stop.stop_requested()) {
                writeTombstones();
            }
        }
    });
}

auto ConfigurationEditor::stop() -> void
{
    thread_.request_stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace poplardock
