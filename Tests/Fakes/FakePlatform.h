#pragma once

#include "Connection/HttpService.h"
#include "Process/Json.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace poplardock {

/// Stand-in for the platform: an object store with versions, conditional updates and watches, and a VM list.
/// It follows the Kubernetes API conventions as far as the daemon uses them.
///
/// POST /faults sets switches; keys that are absent keep their value:
///   "outage": every call is cut off without an answer;
///   "delay_ms": each call is answered this much later;
///   "lose_write_answers": the next N writes take effect and are cut off without an answer;
///   "refuse_writes": writes are answered with 503 and do not take effect;
///   "stale_reads": reads of one object return the version before the last one.
/// PUT /apis/platform/v1/vms sets the VM list. GET /stats returns call counts by method and kind.
class FakePlatform
{
public:
    /// Serves on "IP:port"; port 0 takes a free one.
    static auto start(const std::string &address) -> absl::StatusOr<std::unique_ptr<FakePlatform>>;

    [[nodiscard]] auto address() const -> std::string;
    auto setFaults(const std::string &json) -> absl::Status;
    /// Number of calls so far whose key in GET /stats starts with the prefix, for example "PUT chunks".
    auto callCount(const std::string &prefix) -> std::uint64_t;

private:
    struct Object
    {
        std::uint64_t version = 0;
        JsonObject::Ptr whole;
        JsonObject::Ptr previous;
    };
    struct Faults
    {
        bool outage = false;
        bool refuseWrites = false;
        bool staleReads = false;
        std::int64_t delayMs = 0;
        std::int64_t loseWriteAnswers = 0;
    };
    struct Reply
    {
        int status = 200;
        std::string body;
    };

    FakePlatform() = default;
    auto handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) -> void;
    auto handleObjects(const std::string &method,
                       const std::string &kind,
                       const std::string &name,
                       const std::map<std::string, std::string> &query,
                       const std::string &body) -> Reply;
    auto handleControl(const std::string &method, const std::string &path, const std::string &body) -> Reply;
    auto create(const std::string &kind, const JsonObject::Ptr &whole) -> Reply;
    auto replace(const std::string &kind, const std::string &name, const JsonObject::Ptr &whole) -> Reply;
    auto erase(const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query) -> Reply;
    auto read(const std::string &kind, const std::string &name) -> Reply;
    auto list(const std::string &kind, const std::map<std::string, std::string> &query) -> Reply;
    auto watch(const std::string &kind,
               const std::string &name,
               const std::map<std::string, std::string> &query,
               Poco::Net::HTTPServerResponse &response) -> void;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::map<std::string, std::uint64_t> calls_;
    std::string vms_ = R"({"items":[]})";
    Faults faults_;
    std::uint64_t lastVersion_ = 0;
    std::unique_ptr<HttpService> service_;
};

} // namespace poplardock
