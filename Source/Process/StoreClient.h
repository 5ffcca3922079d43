#pragma once

#include "Process/CallBudget.h"
#include "Process/CircuitBreaker.h"
#include "Process/JsonClient.h"
#include "Process/StoredObject.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// Store calls since the start of the process, for the state dump.
struct StoreCallCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
    /// Writes with an unknown outcome that was determined by reading the object again.
    std::uint64_t resolvedWrites = 0;

    auto operator==(const StoreCallCounts &) const -> bool = default;
};

/// Client of the platform's object store, which follows the Kubernetes API conventions.
///
/// Errors of all methods: NotFound; AlreadyExists (create); Aborted (version conflict in a conditional update);
/// ResourceExhausted (the daemon's call budget); Unavailable (the call did not take effect);
/// Unknown (a write may have taken effect and the object could not be read again);
/// InvalidArgument (the store refused the object).
/// A write is never retried blindly. It stores a writer token with the object; when the response is lost, the
/// object is read again, and the token in it tells whether the write took effect.
/// Thread safety: all methods may be called from any thread; each blocks for at most two time-outs of 2 s.
class StoreClient
{
public:
    struct Limits
    {
        /// Rate and burst of the token bucket that limits this daemon's store calls.
        double callsPerSecond = 20;
        double burst = 100;
    };

    /// Preconditions: the address is "IP:port"; the writer name is unique in the fleet, so that writer tokens are.
    StoreClient(const std::string &address, std::string writer, Limits limits);

    auto get(const std::string &kind, const std::string &name) -> absl::StatusOr<StoredObject>;
    /// Returns the objects that have all the given labels, sorted by name.
    auto list(const std::string &kind, const std::map<std::string, std::string> &labels) -> absl::StatusOr<std::vector<StoredObject>>;
    /// Creates an object and returns it with its stored version; the version of the argument is ignored.
    auto create(const StoredObject &object) -> absl::StatusOr<StoredObject>;
    /// Replaces the object if its stored version is still object.version, and returns it with its new version.
    /// Precondition: object.version is not 0 (else InvalidArgument).
    auto update(const StoredObject &object) -> absl::StatusOr<StoredObject>;
    /// Deletes the object if its stored version is still the given one. Succeeds when the object does not exist.
    auto remove(const std::string &kind, const std::string &name, std::uint64_t version) -> absl::Status;
    /// Returns the names of the VMs in the platform's VM list, each with its state: "live" or "leaving".
    auto listVms() -> absl::StatusOr<std::map<std::string, std::string>>;

    /// Watches one object for at most 1 s. Returns the object as soon as its version differs from the known one
    /// (0: any version), and nullopt when it has not changed in that time.
    /// The request is bounded so that the store confirms its result no earlier than the request was sent. A line of
    /// an open-ended watch could have waited in a buffer for as long as this process was suspended.
    auto awaitChange(const std::string &kind, const std::string &name, std::uint64_t knownVersion)
        -> absl::StatusOr<std::optional<StoredObject>>;

    /// True while the circuit breaker is open.
    [[nodiscard]] auto isSuspended() const -> bool;
    [[nodiscard]] auto callCounts() const -> StoreCallCounts;

private:
    struct Response
    {
        int status = 0;
        std::string body;
    };

    auto watchOnce(const std::string &kind, const std::string &path) -> absl::StatusOr<std::optional<StoredObject>>;
    auto call(const JsonClient::Call &request, bool isWrite) -> absl::StatusOr<Response>;
    auto write(const std::string &method, const std::string &path, const StoredObject &object) -> absl::StatusOr<StoredObject>;
    auto resolveUncertainWrite(const StoredObject &object, const std::string &token, const absl::Status &unresolved)
        -> absl::StatusOr<StoredObject>;
    auto makeWriterToken() -> std::string;

    JsonClient client_;
    const std::string writer_;
    CallBudget budget_;
    CircuitBreaker breaker_;
    std::atomic<std::uint64_t> lastTokenNumber_ = 0;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> failures_ = 0;
    std::atomic<std::uint64_t> resolvedWrites_ = 0;
};

} // namespace poplardock
