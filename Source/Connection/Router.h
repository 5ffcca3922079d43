#pragma once

#include "Connection/HttpService.h"

#include <string>
#include <vector>

namespace poplardock {

/// Maps method and path to handlers. Register all routes before the first request; after that the router is
/// immutable and safe for use from many threads.
class Router
{
public:
    using Handler = HttpService::Handler;

    /// Exact path. An empty method matches every method.
    auto add(std::string method, std::string path, Handler handler) -> void;
    /// Path prefix; the longest matching prefix wins, and exact paths go before prefixes.
    auto addPrefix(std::string method, std::string prefix, Handler handler) -> void;

    /// Calls the handler of the request. Answers RouteUnknown when no path matches and MethodNotAllowed when
    /// only the method differs.
    auto handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) const -> void;

private:
    struct Entry
    {
        std::string method;
        std::string path;
        bool isPrefix = false;
        Handler handler;
    };

    std::vector<Entry> entries_;
};

} // namespace poplardock
