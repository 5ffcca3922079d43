#pragma once

#include "Process/Json.h"
#include "Process/JsonClient.h"
#include "Support/ChildProcess.h"
#include "Version/Configuration.h"
#include "Version/MemberTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace poplardock {

/// The answer that a caller or an operator got.
struct FleetAnswer
{
    /// HTTP status; 0 when no full answer came.
    int status = 0;
    std::string body;
    /// Result code and run state of an error in the usual shape; 0 and empty otherwise.
    int code = 0;
    std::string run;

    [[nodiscard]] auto isOk() const -> bool;
    /// The body as JSON; an empty object when it is none.
    [[nodiscard]] auto json() const -> JsonObject::Ptr;
};

/// The server-sent events of one streamed answer.
struct StreamRecord
{
    int status = 0;
    std::vector<std::string> events;
    TimePoint lastEventAt;
    /// True when the stream ended with "[DONE]".
    bool isComplete = false;
};

/// A platform, upstreams and daemons as processes of their own. All are killed by the destructor.
/// Daemons are named "d0", "d1", ...; upstreams "u0", "u1", ... Every upstream serves the model "tiny" or, as a
/// service, the group "services". Thread safety: calls may come from any thread; the rest from one.
class ProcessFleet
{
public:
    struct UpstreamOptions
    {
        bool isService = false;
        /// Further options of the program, for example "--slots".
        std::vector<std::string> arguments;
    };

    struct DaemonOptions
    {
        /// Empty: the platform of the fleet.
        std::string platformAddress;
        std::string vm;
        std::string region = "south";
    };

    /// The platform starts at once.
    ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    auto operator=(const ProcessFleet &) -> ProcessFleet & = delete;
    ProcessFleet(ProcessFleet &&) = delete;
    auto operator=(ProcessFleet &&) -> ProcessFleet & = delete;
    ~ProcessFleet();

    /// These throw std::runtime_error when a process does not serve within a minute.
    auto addUpstream(const UpstreamOptions &options) -> std::size_t;
    auto addDaemon(const DaemonOptions &options) -> std::size_t;
    /// Starts the process again, an upstream on the address that it had.
    auto restartUpstream(std::size_t upstream) -> void;
    auto restartDaemon(std::size_t daemon) -> void;

    auto daemonProcess(std::size_t daemon) -> ChildProcess &;
    auto upstreamProcess(std::size_t upstream) -> ChildProcess &;
    [[nodiscard]] auto callersAddress(std::size_t daemon) const -> std::string;
    [[nodiscard]] auto platformAddress() const -> std::string;
    [[nodiscard]] auto upstreamAddress(std::size_t upstream) const -> std::string;
    [[nodiscard]] auto daemonCount() const -> std::size_t;
    [[nodiscard]] auto upstreamCount() const -> std::size_t;
    /// Lines "TEAM NANOSECONDS" that all daemons have recorded, restarted ones included.
    [[nodiscard]] auto admissions(const std::string &team) const -> std::vector<TimePoint>;
    [[nodiscard]] auto folder() const -> std::string;

    /// A configuration with the upstreams added so far, the online class "chat" and the batch class "sheets", the routes
    /// /lookups (repeatable) and /holds (not repeatable) to the services, and the teams "anna" and "bert" with
    /// the keys KEY_ANNA and KEY_BERT.
    [[nodiscard]] auto configuration() const -> Configuration::Data;
    /// Applies a configuration through a daemon. Throws when it is refused.
    auto apply(std::size_t daemon, const Configuration::Data &data) -> void;
    /// The same, without judging the answer.
    auto tryApply(std::size_t daemon, const std::string &document, std::uint64_t expected) -> FleetAnswer;
    /// Waits until all daemons have the same revision, act, and list each other.
    auto awaitSettled() -> bool;
    /// Settles, and then waits until both teams get answers at all daemons: the home of a new team starts after its
    /// wait of 6 s.
    auto awaitServing() -> bool;

    auto call(std::size_t daemon, const JsonClient::Call &request) const -> FleetAnswer;
    auto operate(std::size_t daemon, const JsonClient::Call &request) const -> FleetAnswer;
    /// A chat request that is answered whole.
    auto chat(std::size_t daemon, const std::string &key, const std::string &text) const -> FleetAnswer;
    /// A chat request that is answered as a stream; returns when it has ended.
    auto streamChat(std::size_t daemon, const std::string &key, const std::string &text, int tokens) const -> StreamRecord;
    auto submitJob(std::size_t daemon, const std::string &key, const std::string &document) const -> FleetAnswer;
    auto job(std::size_t daemon, const std::string &key, const std::string &jobKey) const -> FleetAnswer;
    /// The member table that a daemon has in force.
    [[nodiscard]] auto members(std::size_t daemon) const -> MemberTable;
    /// Index of the daemon of that name. Precondition: there is one.
    [[nodiscard]] auto indexOf(const std::string &name) const -> std::size_t;
    /// The daemon that is the home of a key by the table that the given daemon has.
    [[nodiscard]] auto homeOf(const std::string &key, std::size_t daemon) const -> std::size_t;
    /// Sets the platform's list of live VMs.
    auto setVms(const std::vector<std::string> &names) const -> void;
    /// A section of the state dump; an empty object when there is none.
    auto dump(std::size_t daemon, const std::string &section) const -> JsonObject::Ptr;
    auto setPlatformFaults(const std::string &json) const -> void;
    auto setUpstreamFaults(std::size_t upstream, const std::string &json) const -> void;
    auto platformStats() const -> JsonObject::Ptr;
    /// Requests that an upstream received since its start.
    auto received(std::size_t upstream) const -> std::vector<JsonObject::Ptr>;
    /// Requests over all upstreams whose body contains the text. Upstreams that do not answer are left out.
    auto receivedCount(const std::string &text) const -> int;

    /// Polls until the condition holds; false after the limit.
    static auto await(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(30000)) -> bool;

private:
    struct Upstream
    {
        std::string name;
        std::string address;
        UpstreamOptions options;
        std::unique_ptr<ChildProcess> process;
    };
    struct Daemon
    {
        std::string name;
        std::string callers;
        std::string operators;
        std::unique_ptr<ChildProcess> process;
    };

    auto launch(const std::string &program, const std::string &name, std::vector<std::string> arguments) const
        -> std::unique_ptr<ChildProcess>;
    auto launchUpstream(Upstream &upstream) const -> void;
    auto launchDaemon(Daemon &daemon) const -> void;
    [[nodiscard]] auto isSettled() const -> bool;

    const std::string binaries_;
    const std::string folder_;
    std::string platformAddress_;
    std::unique_ptr<ChildProcess> platform_;
    std::vector<Upstream> upstreams_;
    std::vector<Daemon> daemons_;
};

constexpr const char *KEY_ANNA = "anna-caller-key-1";
constexpr const char *KEY_BERT = "bert-caller-key-1";

/// Reads the result of a call as a caller would.
auto readAnswer(const CallResult &result) -> FleetAnswer;
/// One request to "IP:port".
auto callAddress(const std::string &address, const JsonClient::Call &request) -> FleetAnswer;
/// Seed of a test, from POPLARDOCK_SEED or drawn; it is printed.
auto testSeed() -> std::uint64_t;

} // namespace poplardock
