#pragma once

#include "Connection/HttpClient.h"
#include "Fakes/FakeObjectStore.h"
#include "Support/ChildProcess.h"

#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace poplardock {

/// What a case saw, one line each with the seconds since its start. Written to the file that RECORD names.
class CaseRecord
{
public:
    CaseRecord();

    auto write(const std::string &line) -> void;

private:
    std::ofstream file_;
    const BootTime startedAt_;
};

/// A small deployment on loopback: front daemons as processes of their own, run as the deploy file does, and the platform's
/// store as a stand-in. The environment names the program (PROGRAM) and a folder for settings and logs (FOLDER).
/// Thread safety: the loop's thread only.
class Deployment
{
public:
    struct Daemon
    {
        std::string name;
        std::string zone;
        std::string callersAddress;
        std::string readyAddress;
        std::string settingsFile;
        std::string logFile;
        /// The daemon's own address of the store.
        std::size_t storeView = 0;
        std::unique_ptr<ChildProcess> process;
    };

    /// One daemon for each zone of the list; a zone may be named several times.
    Deployment(EventLoop &loop, CaseRecord &record, const std::vector<std::string> &zones);

    /// Writes the operator's configuration. "tenants" and "routes" are the items of the JSON lists.
    auto configure(const std::string &routes, const std::string &tenants) -> void;
    /// Registers a server of the service "models".
    auto registerServer(const std::string &name, const std::string &address, int slots) -> void;
    auto start(std::size_t daemon) -> void;
    /// Whether all daemons that run report ready within the time.
    auto awaitReady(Milliseconds time) -> bool;
    auto isReady(std::size_t daemon) -> bool;
    /// Calls a daemon on a new connection.
    auto send(std::size_t daemon, const HttpCall &call, Milliseconds time, HttpClient::Handler handler) -> void;
    /// As send(), and waits for the answer: its status, 0 for none, and its body.
    auto call(std::size_t daemon, const HttpCall &call, Milliseconds time) -> HttpResult;
    auto sleep(Milliseconds time) -> void;

    EventLoop &loop;
    CaseRecord &record;
    FakeObjectStore store;
    std::vector<Daemon> daemons;
    /// Hears of the store's answers to each daemon.
    std::function<void(std::size_t daemon, const std::string &body)> onStoreAnswer;

private:
    const std::string folder_;
    ClientPool pool_;
    HttpClient client_;
    int version_ = 0;
};

/// Headers of a call of the tenant with that key on the host "shop".
auto callerHeaders(const std::string &requestId, const std::string &key) -> HeaderList;
/// The submission of a batch with the items' JSON.
auto submissionCall(const std::string &id, const std::string &key, const std::string &items) -> HttpCall;
auto resultsCall(const std::string &id, const std::string &key, std::size_t after) -> HttpCall;
auto cancelCall(const std::string &id, const std::string &key) -> HttpCall;
/// The results in the answer to resultsCall(), and the total.
auto resultsIn(const HttpResult &answer) -> std::vector<std::pair<std::string, std::string>>;
/// False for TROUBLE=0.
auto hasTrouble() -> bool;

/// Exit statuses of a case.
namespace CaseExit {

inline constexpr int HELD = 0;
inline constexpr int BROKEN = 1;
inline constexpr int NOT_RUN = 2;

} // namespace CaseExit

} // namespace poplardock
