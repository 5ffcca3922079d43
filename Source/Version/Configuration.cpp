#include "Version/Configuration.h"

#include <Poco/Net/SocketAddress.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <initializer_list>
#include <set>

namespace poplardock {

namespace {

constexpr std::size_t SHA256_HEX_LENGTH = 64;

auto checkKeys(const JsonObject &object, std::initializer_list<const char *> known, const std::string &where) -> absl::Status
{
    for (const std::string &name : object.getNames()) {
        const bool isKnown = std::any_of(known.begin(), known.end(), [&name](const char *key) { return name == key; });
        if (!isKnown) {
            return absl::InvalidArgumentError(absl::StrCat("unknown key \"", name, "\" in ", where));
        }
    }
    return absl::OkStatus();
}

auto isSha256(const std::string &text) -> bool
{
    const auto isLowerHex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == SHA256_HEX_LENGTH && std::all_of(text.begin(), text.end(), isLowerHex);
}

auto isName(const std::string &text) -> bool
{
    const auto isAllowed = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), isAllowed);
}

auto isAddress(const std::string &text) -> bool
{
    try {
        const Poco::Net::SocketAddress address(text);
        return address.port() != 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

template<typename Entry>
auto checkNames(const std::vector<Entry> &entries, const char *what, std::vector<std::string> &faults) -> void
{
    std::set<std::string> seen;
    for (const Entry &entry : entries) {
        if (!isName(entry.name)) {
            faults.push_back(absl::StrCat(what, " name \"", entry.name, "\" must have 1 to 64 letters, digits, '-', '_' or '.'"));
        }
        if (!seen.insert(entry.name).second) {
            faults.push_back(absl::StrCat(what, " \"", entry.name, "\" is defined twice"));
        }
    }
}

auto checkTeams(const Configuration::Data &data, std::vector<std::string> &faults) -> void
{
    std::set<std::string> hashes;
    std::set<std::string> ids;
    for (const Team &team : data.teams) {
        if (!(team.ratePerSecond > 0) || team.ratePerSecond > 1e6) {
            faults.push_back(absl::StrCat("team \"", team.name, "\": rate_per_second must be above 0 and at most 1000000"));
        }
        if (!(team.burst >= 1) || team.burst > 1e6) {
            faults.push_back(absl::StrCat("team \"", team.name, "\": burst must be from 1 to 1000000"));
        }
        for (const ApiKey &key : team.keys) {
            if (!isName(key.id) || !ids.insert(key.id).second) {
                faults.push_back(absl::StrCat("team \"", team.name, "\": key id \"", key.id, "\" is malformed or used twice"));
            }
            if (!isSha256(key.sha256) || !hashes.insert(key.sha256).second) {
                faults.push_back(absl::StrCat("key \"", key.id, "\": sha256 must be unique and have 64 lower-case hexadecimal digits"));
            }
        }
    }
}

auto checkClasses(const Configuration::Data &data, std::vector<std::string> &faults) -> void
{
    for (const ServiceClass &entry : data.classes) {
        if (entry.kind == WorkKind::Online && (entry.firstTokenMs <= 0 || entry.tokenGapMs <= 0)) {
            faults.push_back(absl::StrCat("class \"", entry.name, "\": an online class needs first_token_ms and token_gap_ms above 0"));
        }
    }
    const auto isDefault = [&data](const ServiceClass &entry) {
        return entry.name == data.defaultClass && entry.kind == WorkKind::Online;
    };
    if (!data.defaultClass.empty() && std::none_of(data.classes.begin(), data.classes.end(), isDefault)) {
        faults.push_back(absl::StrCat("default_class \"", data.defaultClass, "\" is not an online class"));
    }
}

auto checkRoutes(const Configuration::Data &data, std::vector<std::string> &faults) -> void
{
    std::set<std::string> prefixes;
    for (const Route &route : data.routes) {
        if (!absl::StartsWith(route.prefix, "/") || absl::StartsWith(route.prefix, "/v1/") || !prefixes.insert(route.prefix).second) {
            faults.push_back(
                absl::StrCat("route \"", route.prefix, "\": the prefix must be unique and start with \"/\" but not with \"/v1/\""));
        }
        const auto inGroup = [&route](const Upstream &upstream) {
            return upstream.group == route.group;
        };
        if (std::none_of(data.upstreams.begin(), data.upstreams.end(), inGroup)) {
            faults.push_back(absl::StrCat("route \"", route.prefix, "\": no upstream is in group \"", route.group, "\""));
        }
        const auto isClass = [&route](const ServiceClass &entry) {
            return entry.name == route.serviceClass && entry.kind == WorkKind::Online;
        };
        if (std::none_of(data.classes.begin(), data.classes.end(), isClass)) {
            faults.push_back(absl::StrCat("route \"", route.prefix, "\": \"", route.serviceClass, "\" is not an online class"));
        }
    }
}

auto checkUpstreams(const Configuration::Data &data, std::vector<std::string> &faults) -> void
{
    for (const Upstream &upstream : data.upstreams) {
        if (!isAddress(upstream.address)) {
            faults.push_back(absl::StrCat("upstream \"", upstream.name, "\": address must be \"IP:port\""));
        }
        if (upstream.group.empty()) {
            faults.push_back(absl::StrCat("upstream \"", upstream.name, "\": group is missing"));
        }
        if ((upstream.kind == UpstreamKind::Model) == upstream.models.empty()) {
            faults.push_back(absl::StrCat("upstream \"", upstream.name, "\": models must be given for kind model and for no other"));
        }
    }
}

template<typename Entry, typename Codec>
auto readEntries(const JsonObject &object, const char *key, Codec codec, std::vector<Entry> &entries) -> absl::Status
{
    const auto objects = Json::optionalObjects(object, key);
    if (!objects.ok()) {
        return objects.status();
    }
    for (const JsonObject::Ptr &item : *objects) {
        auto entry = codec(*item);
        if (!entry.ok()) {
            return absl::InvalidArgumentError(absl::StrCat(key, ": ", entry.status().message()));
        }
        entries.push_back(*std::move(entry));
    }
    return absl::OkStatus();
}

template<typename Entry, typename Encoder>
auto toJsonArray(const std::vector<Entry> &entries, Encoder encoder) -> JsonArray::Ptr
{
    JsonArray::Ptr array = new JsonArray;
    for (const Entry &entry : entries) {
        array->add(encoder(entry));
    }
    return array;
}

template<typename Value>
auto assign(absl::StatusOr<Value> value, Value &target, absl::Status &status) -> void
{
    if (value.ok()) {
        target = *std::move(value);
    } else if (status.ok()) {
        status = value.status();
    }
}

auto apiKeyFromJson(const JsonObject &object) -> absl::StatusOr<ApiKey>
{
    ApiKey key;
    absl::Status status = checkKeys(object, { "id", "sha256", "withdrawn" }, "a key");
    assign(Json::requireString(object, "id"), key.id, status);
    assign(Json::requireString(object, "sha256"), key.sha256, status);
    assign(Json::optionalBool(object, "withdrawn", false), key.withdrawn, status);
    return status.ok() ? absl::StatusOr<ApiKey>(std::move(key)) : status;
}

} // namespace

auto teamFromJson(const JsonObject &object) -> absl::StatusOr<Team>
{
    Team team;
    absl::Status status = checkKeys(object, { "name", "rate_per_second", "burst", "keys" }, "a team");
    assign(Json::requireString(object, "name"), team.name, status);
    assign(Json::requireNumber(object, "rate_per_second"), team.ratePerSecond, status);
    assign(Json::requireNumber(object, "burst"), team.burst, status);
    status.Update(readEntries(object, "keys", apiKeyFromJson, team.keys));
    return status.ok() ? absl::StatusOr<Team>(std::move(team)) : status;
}

auto toJson(const Team &team) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("name", team.name);
    object->set("rate_per_second", team.ratePerSecond);
    object->set("burst", team.burst);
    object->set("keys", toJsonArray(team.keys, [](const ApiKey &key) {
                    JsonObject::Ptr entry = new JsonObject;
                    entry->set("id", key.id);
                    entry->set("sha256", key.sha256);
                    entry->set("withdrawn", key.withdrawn);
                    return entry;
                }));
    return object;
}

auto serviceClassFromJson(const JsonObject &object) -> absl::StatusOr<ServiceClass>
{
    ServiceClass entry;
    std::string kind;
    absl::Status status = checkKeys(object, { "name", "kind", "first_token_ms", "token_gap_ms" }, "a class");
    assign(Json::requireString(object, "name"), entry.name, status);
    assign(Json::requireString(object, "kind"), kind, status);
    assign(Json::optionalInteger(object, "first_token_ms", 0), entry.firstTokenMs, status);
    assign(Json::optionalInteger(object, "token_gap_ms", 0), entry.tokenGapMs, status);
    if (status.ok() && kind != "online" && kind != "batch") {
        status = absl::InvalidArgumentError("\"kind\" must be \"online\" or \"batch\"");
    }
    entry.kind = kind == "batch" ? WorkKind::Batch : WorkKind::Online;
    return status.ok() ? absl::StatusOr<ServiceClass>(std::move(entry)) : status;
}

auto toJson(const ServiceClass &serviceClass) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("name", serviceClass.name);
    object->set("kind", serviceClass.kind == WorkKind::Batch ? "batch" : "online");
    object->set("first_token_ms", serviceClass.firstTokenMs);
    object->set("token_gap_ms", serviceClass.tokenGapMs);
    return object;
}

auto routeFromJson(const JsonObject &object) -> absl::StatusOr<Route>
{
    Route route;
    absl::Status status = checkKeys(object, { "prefix", "group", "class", "repeatable", "open" }, "a route");
    assign(Json::requireString(object, "prefix"), route.prefix, status);
    assign(Json::requireString(object, "group"), route.group, status);
    assign(Json::requireString(object, "class"), route.serviceClass, status);
    assign(Json::optionalBool(object, "repeatable", false), route.isRetryable, status);
    assign(Json::optionalBool(object, "open", false), route.isPublic, status);
    return status.ok() ? absl::StatusOr<Route>(std::move(route)) : status;
}

auto toJson(const Route &route) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("prefix", route.prefix);
    object->set("group", route.group);
    object->set("class", route.serviceClass);
    object->set("repeatable", route.isRetryable);
    object->set("open", route.isPublic);
    return object;
}

auto upstreamFromJson(const JsonObject &object) -> absl::StatusOr<Upstream>
{
    Upstream upstream;
    std::string kind;
    absl::Status status
        = checkKeys(object, { "name", "address", "group", "kind", "models", "credential", "data_centre", "leaving" }, "an upstream");
    assign(Json::requireString(object, "name"), upstream.name, status);
    assign(Json::requireString(object, "address"), upstream.address, status);
    assign(Json::requireString(object, "group"), upstream.group, status);
    assign(Json::requireString(object, "kind"), kind, status);
    assign(Json::optionalStrings(object, "models"), upstream.models, status);
    assign(Json::optionalString(object, "credential", ""), upstream.credential, status);
    assign(Json::optionalString(object, "data_centre", ""), upstream.dataCentre, status);
    assign(Json::optionalBool(object, "leaving", false), upstream.isDraining, status);
    if (status.ok() && kind != "model" && kind != "service") {
        status = absl::InvalidArgumentError("\"kind\" must be \"model\" or \"service\"");
    }
    upstream.kind = kind == "service" ? UpstreamKind::Service : UpstreamKind::Model;
    return status.ok() ? absl::StatusOr<Upstream>(std::move(upstream)) : status;
}

auto toJson(const Upstream &upstream, bool redacted) -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("name", upstream.name);
    object->set("address", upstream.address);
    object->set("group", upstream.group);
    object->set("kind", upstream.kind == UpstreamKind::Service ? "service" : "model");
    object->set("models", Json::fromStrings(upstream.models));
    if (!redacted) {
        object->set("credential", upstream.credential);
    }
    object->set("data_centre", upstream.dataCentre);
    object->set("leaving", upstream.isDraining);
    return object;
}

Configuration::Configuration(Data data)
    : data_(std::move(data))
{
    for (std::size_t team = 0; team < data_.teams.size(); ++team) {
        teamIndex_.emplace(data_.teams[team].name, team);
        for (std::size_t key = 0; key < data_.teams[team].keys.size(); ++key) {
            keyIndex_.emplace(data_.teams[team].keys[key].sha256, std::make_pair(team, key));
        }
    }
}

auto Configuration::create(Data data) -> absl::StatusOr<Configuration>
{
    std::vector<std::string> faults;
    checkNames(data.teams, "team", faults);
    checkNames(data.classes, "class", faults);
    checkNames(data.upstreams, "upstream", faults);
    checkTeams(data, faults);
    checkClasses(data, faults);
    checkRoutes(data, faults);
    checkUpstreams(data, faults);
    if (!faults.empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(faults, "; "));
    }
    return Configuration(std::move(data));
}

auto Configuration::fromJson(const JsonObject &object) -> absl::StatusOr<Configuration>
{
    Data data;
    absl::Status status = checkKeys(object, { "default_class", "teams", "classes", "routes", "upstreams" }, "the configuration");
    assign(Json::optionalString(object, "default_class", ""), data.defaultClass, status);
    status.Update(readEntries(object, "teams", teamFromJson, data.teams));
    status.Update(readEntries(object, "classes", serviceClassFromJson, data.classes));
    status.Update(readEntries(object, "routes", routeFromJson, data.routes));
    status.Update(readEntries(object, "upstreams", upstreamFromJson, data.upstreams));
    if (!status.ok()) {
        return status;
    }
    return create(std::move(data));
}

auto Configuration::data() const -> const Data &
{
    return data_;
}

auto Configuration::toJson(bool redacted) const -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    object->set("default_class", data_.defaultClass);
    object->set("teams", toJsonArray(data_.teams, [](const Team &team) { return poplardock::toJson(team); }));
    object->set("classes", toJsonArray(data_.classes, [](const ServiceClass &entry) { return poplardock::toJson(entry); }));
    object->set("routes", toJsonArray(data_.routes, [](const Route &route) { return poplardock::toJson(route); }));
    object->set("upstreams",
                toJsonArray(data_.upstreams, [redacted](const Upstream &upstream) { return poplardock::toJson(upstream, redacted); }));
    return object;
}

auto Configuration::findTeam(const std::string &name) const -> const Team *
{
    const auto found = teamIndex_.find(name);
    return found == teamIndex_.end() ? nullptr : &data_.teams[found->second];
}

auto Configuration::findClass(const std::string &name) const -> const ServiceClass *
{
    const auto found
        = std::find_if(data_.classes.begin(), data_.classes.end(), [&name](const ServiceClass &entry) { return entry.name == name; });
    return found == data_.classes.end() ? nullptr : &*found;
}

auto Configuration::findUpstream(const std::string &name) const -> const Upstream *
{
    const auto found
        = std::find_if(data_.upstreams.begin(), data_.upstreams.end(), [&name](const Upstream &entry) { return entry.name == name; });
    return found == data_.upstreams.end() ? nullptr : &*found;
}

auto Configuration::findKey(const std::string &sha256) const -> KeyOwner
{
    const auto found = keyIndex_.find(sha256);
    if (found == keyIndex_.end()) {
        return {};
    }
    const Team &team = data_.teams[found->second.first];
    return { &team, &team.keys[found->second.second] };
}

auto Configuration::findRoute(const std::string &path) const -> const Route *
{
    const Route *longest = nullptr;
    for (const Route &route : data_.routes) {
        const bool matches = absl::StartsWith(path, route.prefix);
        if (matches && (longest == nullptr || route.prefix.size() > longest->prefix.size())) {
            longest = &route;
        }
    }
    return longest;
}

auto Configuration::upstreamsOfModel(const std::string &model) const -> std::vector<const Upstream *>
{
    std::vector<const Upstream *> found;
    for (const Upstream &upstream : data_.upstreams) {
        if (std::find(upstream.models.begin(), upstream.models.end(), model) != upstream.models.end()) {
            found.push_back(&upstream);
        }
    }
    return found;
}

auto Configuration::upstreamsOfGroup(const std::string &group) const -> std::vector<const Upstream *>
{
    std::vector<const Upstream *> found;
    for (const Upstream &upstream : data_.upstreams) {
        if (upstream.group == group) {
            found.push_back(&upstream);
        }
    }
    return found;
}

auto Configuration::operator==(const Configuration &other) const -> bool
{
    return data_ == other.data_;
}

} // namespace poplardock
