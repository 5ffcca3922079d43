#pragma once

#include "Fakes/FakeEngine.h"
#include "Fakes/FakeObjectStore.h"
#include "Process/FrontDaemon.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplardock {

/// Front daemons over the stand-ins of the platform's store and servers, all on one event loop of the test.
/// The configuration has host "shop", group "models" and the routes of ROUTES; team "weavers" has key "key1" and
/// team "dyers" key "key2".
class PlatformFleet
{
public:
    PlatformFleet(int daemons, int engines);
    PlatformFleet(const PlatformFleet &) = delete;
    auto operator=(const PlatformFleet &) -> PlatformFleet & = delete;
    PlatformFleet(PlatformFleet &&) = delete;
    auto operator=(PlatformFleet &&) -> PlatformFleet & = delete;
    ~PlatformFleet();

    EventLoop loop;
    FakeObjectStore store;
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::vector<std::unique_ptr<FrontDaemon>> daemons;
    /// Changes the settings of each daemon that is started from then on; unset for none.
    std::function<void(FrontSettings &)> adjustSettings;

    /// Writes a configuration whose team "weavers" has these keys. "serviceFields" are further fields of the group, each with a
    /// comma before it.
    auto configure(const std::vector<std::string> &keys, const std::string &serviceFields = {}) -> void;
    /// Registers the engine in the store.
    auto registerEngine(const FakeEngine &engine, const std::string &state) -> void;
    /// Starts one more daemon of that name and returns its number.
    auto startDaemon(const std::string &name) -> std::size_t;
    /// Ends a daemon without a shutdown.
    auto killDaemon(std::size_t daemon) -> void;

    /// Runs the loop until the condition holds; false when it did not within the time.
    auto runUntil(const std::function<bool()> &condition, Milliseconds time) -> bool;
    auto runFor(Milliseconds time) -> void;
    /// Runs until all daemons are ready and know each other.
    auto awaitReady() -> void;

    /// Sends a request and runs the loop until its answer; unset when the connection ended without a whole answer.
    auto call(std::size_t daemon, const HttpCall &call) -> std::optional<HttpResult>;
    /// As call(), for "IP:port".
    auto callAddress(const std::string &address, const HttpCall &call) -> std::optional<HttpResult>;
    /// Sends a request whose answer does not matter, without running the loop.
    auto post(std::size_t daemon, const HttpCall &call) -> void;
    auto isReady(std::size_t daemon) -> bool;
    /// All results of a job as the daemon gives them out.
    auto results(std::size_t daemon, const std::string &job, const std::string &key) -> std::vector<JobResult>;

    /// A request on a route, with its id, key and patience.
    static auto request(const std::string &path, const std::string &id, const std::string &key) -> HttpCall;
    /// As request(), for tokens.
    static auto streamRequest(const std::string &path, const std::string &id, const std::string &key) -> HttpCall;
    /// A submission of that many items, named ID-0, ID-1 and so on.
    static auto submission(const std::string &id, int items, const std::string &key) -> HttpCall;

private:
    std::vector<std::unique_ptr<FrontDaemon>> killed_;
    ClientPool pool_;
    HttpClient client_;
};

} // namespace poplardock
