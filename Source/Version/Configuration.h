#pragma once

#include "Process/Json.h"
#include "Version/Route.h"
#include "Version/ServiceClass.h"
#include "Version/Team.h"
#include "Version/Upstream.h"

#include <absl/status/statusor.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace poplardock {

/// The teams, classes, routes and upstreams that operators have configured. Immutable after creation; safe to read
/// from any thread.
class Configuration
{
public:
    /// The plain data of a configuration.
    struct Data
    {
        /// Class of online requests that do not specify one.
        std::string defaultClass;
        std::vector<Team> teams;
        std::vector<ServiceClass> classes;
        std::vector<Route> routes;
        std::vector<Upstream> upstreams;

        auto operator==(const Data &) const -> bool = default;
    };

    /// The team and key that a key hash belongs to; pointers live as long as the configuration.
    struct KeyOwner
    {
        const Team *team = nullptr;
        const ApiKey *key = nullptr;

        auto operator==(const KeyOwner &) const -> bool = default;
    };

    /// An empty configuration, in force before the first one is read.
    Configuration() = default;
    Configuration(const Configuration &) = delete;
    auto operator=(const Configuration &) -> Configuration & = delete;
    Configuration(Configuration &&) = default;
    auto operator=(Configuration &&) -> Configuration & = default;
    ~Configuration() = default;

    /// Checks the data as a whole. Errors: InvalidArgument, naming every fault found, separated by "; ".
    static auto create(Data data) -> absl::StatusOr<Configuration>;
    /// Decodes {"default_class","teams","classes","routes","upstreams"}; unknown keys are errors.
    static auto fromJson(const JsonObject &object) -> absl::StatusOr<Configuration>;

    [[nodiscard]] auto data() const -> const Data &;
    /// Includes upstream credentials unless redacted; key hashes are always included.
    [[nodiscard]] auto toJson(bool redacted) const -> JsonObject::Ptr;

    /// Null if no entry has that name. Pointers live as long as the configuration.
    [[nodiscard]] auto findTeam(const std::string &name) const -> const Team *;
    [[nodiscard]] auto findClass(const std::string &name) const -> const ServiceClass *;
    [[nodiscard]] auto findUpstream(const std::string &name) const -> const Upstream *;
    [[nodiscard]] auto findKey(const std::string &sha256) const -> KeyOwner;
    /// The route with the longest prefix of the path, or null.
    [[nodiscard]] auto findRoute(const std::string &path) const -> const Route *;
    /// Upstreams that serve the model, including draining ones.
    [[nodiscard]] auto upstreamsOfModel(const std::string &model) const -> std::vector<const Upstream *>;
    /// Upstreams of the group, including draining ones.
    [[nodiscard]] auto upstreamsOfGroup(const std::string &group) const -> std::vector<const Upstream *>;

    auto operator==(const Configuration &other) const -> bool;

private:
    explicit Configuration(Data data);

    Data data_;
    std::unordered_map<std::string, std::size_t> teamIndex_;
    /// Key hash to (team index, key index).
    std::unordered_map<std::string, std::pair<std::size_t, std::size_t>> keyIndex_;
};

/// JSON codecs of single entries, shared by the configuration document, its shards and operator changes.
auto teamFromJson(const JsonObject &object) -> absl::StatusOr<Team>;
auto toJson(const Team &team) -> JsonObject::Ptr;
auto serviceClassFromJson(const JsonObject &object) -> absl::StatusOr<ServiceClass>;
auto toJson(const ServiceClass &serviceClass) -> JsonObject::Ptr;
auto routeFromJson(const JsonObject &object) -> absl::StatusOr<Route>;
auto toJson(const Route &route) -> JsonObject::Ptr;
auto upstreamFromJson(const JsonObject &object) -> absl::StatusOr<Upstream>;
auto toJson(const Upstream &upstream, bool redacted) -> JsonObject::Ptr;

} // namespace poplardock
