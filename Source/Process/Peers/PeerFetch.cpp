#include "Process/Peers/PeerFetch.h"

namespace poplardock {

auto fetchFrom(HttpClient &peers,
               const std::string &address,
               const std::string &path,
               std::function<void(const absl::StatusOr<std::string> &)> handler) -> void
{
    const HttpCall call { "GET", path, {}, {} };
    peers.call(address, call, BootClock::now() + PEER_FETCH_TIMEOUT, [handler = std::move(handler)](const HttpCallOutcome &outcome) {
        const auto *result = std::get_if<HttpResult>(&outcome);
        if (result == nullptr) {
            handler(absl::UnavailableError("no response"));
        } else if (result->status != HttpStatus::OK) {
            handler(absl::NotFoundError("the daemon did not supply its data"));
        } else {
            handler(result->body);
        }
    });
}

} // namespace poplardock
