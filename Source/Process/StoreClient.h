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

/// Counts of calls since the start, for the state dump.
struct StoreCallCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
    std::uint64_t resolvedWrites = 0;

    auto operator==(const StoreCallCounts &) const -> bool = default;
};

/// The platform's object store over the Kubernetes API conventions.
///
/// Errors of all methods: NotFound; AlreadyExists (create); Aborted (the conditional update lost);
/// ResourceExhausted (the daemon's call budget); Unavailable (the call did not take effect);
/// Unknown (a write may have taken effect and the object could not be read again);
/// InvalidArgument (the store refused the object).
/// A write is never repeated blindly: it carries a writer token, and after a lost answer the object is read
/// again and the token decides.
/// Thread safety: all methods may be called from any thread; each blocks for at most two time-outs of 2 s.
class StoreClient
{
public:
    struct Limits
    {
        /// Store calls per second of this daemon, and the burst above it.
        double callsPerSecond = 20;
        double burst = 100;
    };

    /// Precondition: the address is "IP:port". The writer name makes writer tokens unique in the fleet.
    StoreClient(const std::string &address, std::string writer, Limits limits);

    auto get(const std::string &kind, const std::string &name) -> absl::StatusOr<StoredObject>;
    /// Objects whose labels equal every given label, sorted by name.
    auto list(const std::string &kind, const std::map<std::string, std::string> &labels) -> absl::StatusOr<std::vector<StoredObject>>;
    /// Stores a new object; the version of the argument is ignored. Returns it with its version.
    auto create(const StoredObject &object) -> absl::StatusOr<StoredObject>;
    /// Replaces the object if its stored version is still object.version. Returns it with its new version.
    auto update(const StoredObject &object) -> absl::StatusOr<StoredObject>;
    /// Removes the object if its stored version is still the given one. A missing object is success.
    auto remove(const std::string &kind, const std::string &name, std::uint64_t version) -> absl::Status;
    /// Names of the VMs that the platform's list shows, with "live" or "leaving".
    auto listVms() -> absl::StatusOr<std::map<std::string, std::string>>;

    /// Watches one object for one second, as a request with an end, so that the time at which the request
    /// was sent is a lower bound for the time at which the store confirmed the answer. A confirmation taken
    /// from an open-ended watch could be a buffered line that is as old as a pause of this process.
    /// Returns the object as soon as its version differs from the known one (0: any version), and nullopt
    /// when it has not changed in that second.
    auto awaitChange(const std::string &kind, const std::string &name, std::uint64_t knownVersion)
        -> absl::StatusOr<std::optional<StoredObject>>;

    /// True while the circuit breaker refuses calls.
    [[nodiscard]] auto isSuspended() const -> bool;
    [[nodiscard]] auto callCounts() const -> StoreCallCounts;

private:
    struct Answer
    {
        int status = 0;
        std::string body;
    };

    auto watchOnce(const std::string &kind, const std::string &path) -> absl::StatusOr<std::optional<StoredObject>>;
    auto call(const JsonClient::Call &request, bool isWrite) -> absl::StatusOr<Answer>;
    auto write(const std::string &method, const std::string &path, const StoredObject &object) -> absl::StatusOr<StoredObject>;
    auto resolveWrite(const StoredObject &object, const std::string &token, const absl::Status &lost) -> absl::StatusOr<StoredObject>;
    auto nextToken() -> std::string;

    JsonClient client_;
    const std::string writer_;
    CallBudget budget_;
    CircuitBreaker breaker_;
    std::atomic<std::uint64_t> tokens_ = 0;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> failures_ = 0;
    std::atomic<std::uint64_t> resolvedWrites_ = 0;
};

} // namespace poplardock
