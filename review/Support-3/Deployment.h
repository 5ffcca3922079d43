#pragma once

#include "BatchClient.h"
#include "FrontFleet.h"
#include "PagedStore.h"
#include "Record.h"
#include "TokenServer.h"

#include <memory>
#include <string>
#include <vector>

namespace poplardock::review {

/// A small deployment with one route for streams and one for batch submissions: the stand-ins, and the daemons as processes.
/// Thread safety: the loop's thread only.
class Deployment
{
public:
    static constexpr const char *HOST = "ficu95.example";
    static constexpr const char *BATCH_PREFIX = "/pule252/";
    static constexpr const char *ONLINE_PREFIX = "/lohu930/";
    static constexpr const char *KEY = "2b9wu3fexd9dnn2ctnfz";
    /// A tenant with this key and without an allotment, as the configuration names it.
    static constexpr const char *TENANT = R"({"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"]})";
    /// Bounds and limits of the small deployment's sheet.
    static constexpr Milliseconds FINISH_TIME { 18000 };
    static constexpr int MEMORY_MB = 260;

    /// "folder" takes settings and logs; it must exist. One front for each of the zones, by default one in each of the three.
    Deployment(EventLoop &eventLoop,
               Record &record,
               const std::string &program,
               const std::string &folder,
               TokenServer::Shape shape,
               const std::vector<std::string> &frontZones = {});

    /// Writes the next version of the configuration, with these tenants and routes beside the usual ones (elements of JSON arrays).
    auto configure(const std::string &tenants, const std::string &moreRoutes = {}) -> void;
    /// Runs the loop until all fronts answer that they are ready. Returns false when they are not within the time.
    auto awaitReady(Milliseconds limit) -> bool;
    /// Runs the loop for this time.
    auto runFor(Milliseconds time) -> void;
    /// Addresses of all fronts for callers.
    [[nodiscard]] auto fronts() const -> std::vector<std::string>;

    EventLoop &loop;
    PagedStore store;
    std::vector<std::unique_ptr<TokenServer>> servers;
    std::unique_ptr<FrontFleet> fleet;
    BatchClient client;

private:
    int version_ = 0;
};

} // namespace poplardock::review
