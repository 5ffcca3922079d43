#include "Connection/Router.h"

#include "Connection/HttpReply.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace poplardock {

auto Router::add(std::string method, std::string path, Handler handler) -> void
{
    entries_.push_back({ std::move(method), std::move(path), false, std::move(handler) });
}

auto Router::addPrefix(std::string method, std::string prefix, Handler handler) -> void
{
    entries_.push_back({ std::move(method), std::move(prefix), true, std::move(handler) });
}

auto Router::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) const -> void
{
    const std::string path = HttpReply::pathOf(request);
    const Entry *best = nullptr;
    bool isPathKnown = false;
    for (const Entry &entry : entries_) {
        const bool matchesPath = entry.isPrefix ? absl::StartsWith(path, entry.path) : path == entry.path;
        if (!matchesPath) {
            continue;
        }
        if (!entry.method.empty() && entry.method != request.getMethod()) {
            isPathKnown = true;
            continue;
        }
        const bool isBetter = best == nullptr || (best->isPrefix && (!entry.isPrefix || entry.path.size() > best->path.size()));
        best = isBetter ? &entry : best;
    }
    if (best != nullptr) {
        best->handler(request, response);
        return;
    }
    response.setKeepAlive(false);
    const ResultCode code = isPathKnown ? ResultCode::MethodNotAllowed : ResultCode::RouteUnknown;
    HttpReply::sendError(response, { code, {} });
}

} // namespace poplardock
