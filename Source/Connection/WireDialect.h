#pragma once

#include "Connection/Io/HttpMessage.h"
#include "Process/Clock.h"
#include "Process/StoredObject.h"
#include "Request/JobItem.h"
#include "Version/ServingVersion.h"
#include "Version/Upstream.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplardock {

/// What a caller says about its request.
struct RequestTerms
{
    /// Unique for each attempt of a caller.
    std::string requestId;
    std::string key;
    std::string host;
    /// Time for which the caller waits, counted from its send; unset when it does not say.
    std::optional<Milliseconds> patience;
    /// The last event that the caller has of a stream that it resumes.
    std::optional<std::int64_t> lastEventId;
    /// Prompt tokens and the most output tokens; 0 when the request does not say.
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// Ids of the parts of the prompt that other requests may share, in order: all but the last. At most
    /// MAXIMUM_SHARED_PARTS; further ones are left out.
    std::vector<std::string> sharedParts;
    /// Time for which the caller waits for more results of a job.
    Milliseconds resultWait { 0 };
    /// Only an upstream with the version of the weights that the request names is to run it.
    bool namesWeightVersion = false;

    static constexpr std::size_t MAXIMUM_SHARED_PARTS = 32;

    auto operator==(const RequestTerms &) const -> bool = default;
};

/// What the system says to an upstream beside what the caller sent.
struct UpstreamTerms
{
    /// Empty for an open route.
    std::string team;
    Milliseconds patience { 0 };
    /// Only this upstream is to run the request.
    std::string upstream;
    std::optional<std::int64_t> lastEventId;

    auto operator==(const UpstreamTerms &) const -> bool = default;
};

/// What an upstream says about its answer.
struct AnswerTerms
{
    std::string requestId;
    /// The upstream states that the request has not run and will not.
    bool isNotRun = false;
    /// The upstream is not the one that was meant, or does not have the version of the weights that the request names.
    bool isMisdirected = false;
    /// The answer bears the mark of an upstream. A success without it is none of an upstream's.
    bool isFromUpstream = false;
    /// The upstream states that it leaves: it is to get no more requests.
    bool isLeaving = false;
    /// Requests that run and wait there, and its slots; 0 for a figure that is missing or cannot be read.
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Whether at least one of the three can be read.
    bool hasLoad = false;
    /// Factor by which work takes longer there than usual at this moment (1: as usual); unset when the upstream does not say.
    std::optional<double> slowdown;
    /// Requests a second that the upstream takes from all daemons together at present; unset when it names no limit.
    std::optional<double> requestLimit;
    /// How long the upstream stays cold, 0 when it is warm; unset when it does not say.
    std::optional<Milliseconds> coldRemaining;
    /// Time after which the upstream closes an idle connection; unset when it does not say.
    std::optional<Milliseconds> idleTime;

    auto operator==(const AnswerTerms &) const -> bool = default;
};

/// One HTTP request of this process.
struct HttpCall
{
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;

    auto operator==(const HttpCall &) const -> bool = default;
};

/// A whole HTTP answer.
struct HttpResult
{
    int status = 0;
    HeaderList headers;
    std::string body;

    auto operator==(const HttpResult &) const -> bool = default;
};

/// A call of a caller on the jobs interface.
struct JobCall
{
    enum class Kind
    {
        Submit,
        ReadResults,
        ReadItem,
        Cancel,
    };

    Kind kind = Kind::Submit;
    std::string jobId;
    /// ReadResults only: the first position wanted.
    std::size_t from = 0;
    /// ReadItem only.
    std::string itemId;

    auto operator==(const JobCall &) const -> bool = default;
};

/// Objects of one kind, in pages.
struct StoreList
{
    std::vector<StoredObject> objects;
    /// Objects without a readable name or revision, which are left out.
    std::size_t unreadable = 0;
    /// Read on after the last object's name.
    bool hasMore = false;
    std::uint64_t revision = 0;

    auto operator==(const StoreList &) const -> bool = default;
};

struct StoreEvent
{
    StoredObject object;
    bool isRemoved = false;

    auto operator==(const StoreEvent &) const -> bool = default;
};

struct StoreEvents
{
    std::vector<StoreEvent> events;
    /// Events without a readable name or revision, which are left out.
    std::size_t unreadable = 0;
    std::uint64_t revision = 0;

    auto operator==(const StoreEvents &) const -> bool = default;
};

/// Options of a list or watch.
struct StoreQuery
{
    std::string after;
    /// The answer may be seconds old, and costs a tenth.
    bool allowsStale = false;
    std::optional<std::uint64_t> watchRevision;
    Milliseconds wait { 0 };

    auto operator==(const StoreQuery &) const -> bool = default;
};

/// The words and shapes of the platform, as functions between them and the product's types. The product holds no
/// name of the wire. All functions are pure and thread-safe.
struct WireDialect
{
    std::string readyTarget;
    std::string configurationKind;
    std::string upstreamKind;
    /// One object for each data centre that is evacuated, which it is named after.
    std::string evacuationKind;
    std::string retirementKind;

    std::function<RequestTerms(const HeaderList &)> requestTerms;
    /// The headers for an upstream from those of a caller; the caller's key and connection headers are left out.
    std::function<HeaderList(const HeaderList &, const UpstreamTerms &)> upstreamHeaders;
    std::function<AnswerTerms(const MessageHead &)> answerTerms;
    /// Headers of a refusal, with the time after which the caller may come again.
    std::function<HeaderList(std::optional<Milliseconds>)> refusalHeaders;

    /// The jobs call that a request is; unset for any other request. "onJobRoute": the path is on a batch route.
    std::function<std::optional<JobCall>(const MessageHead &, const RequestTerms &, bool onJobRoute)> jobCall;
    /// The items of a submission. Errors: InvalidArgument, with the position of an item that is malformed, that checkItem()
    /// refuses or whose id another one has.
    std::function<absl::StatusOr<std::vector<JobItem>>(const std::string &body)> decodeSubmission;
    /// Items from encodeItems(). Errors: InvalidArgument.
    std::function<absl::StatusOr<std::vector<JobItem>>(const std::string &body)> decodeItems;
    /// Whether an item makes one request to an upstream, for its team and from its first event. Errors: InvalidArgument.
    std::function<absl::Status(const JobItem &)> checkItem;
    /// The headers of an item as those of a caller's request.
    std::function<HeaderList(const JobItem &, const std::string &host)> itemHeaders;
    /// JSON text.
    std::function<std::string(const std::vector<JobItem> &)> encodeItems;
    /// The answer to a read of results: those from position "from" on, cut to a size.
    std::function<std::string(std::size_t total, std::size_t from, const std::vector<JobResult> &all)> encodeResults;
    /// As encodeResults(), for results of which the first stands at position "from".
    std::function<std::string(std::size_t total, std::size_t from, std::span<const JobResult> results)> encodeResultPage;
    /// Most bytes that the texts of one answer take as JSON, unless it has a single result.
    std::size_t resultPageBytes = 0;
    std::function<absl::StatusOr<std::vector<JobResult>>(const std::string &body)> decodeResults;

    std::function<HttpCall(const std::string &kind, const std::string &name)> readCall;
    std::function<HttpCall(const std::string &kind, const StoreQuery &)> listCall;
    std::function<HttpCall(const StoredObject &)> createCall;
    /// Replaces the spec on the condition that the object has still the version that the argument has.
    std::function<HttpCall(const StoredObject &)> replaceCall;
    std::function<HttpCall(const std::string &kind, const std::string &name)> removeCall;
    std::function<absl::StatusOr<StoredObject>(const std::string &kind, const std::string &body)> decodeObject;
    std::function<absl::StatusOr<StoreList>(const std::string &kind, const std::string &body)> decodeList;
    std::function<absl::StatusOr<StoreEvents>(const std::string &kind, const std::string &body)> decodeEvents;
    /// Says that a VM with a disk is empty.
    std::function<HttpCall(const std::string &vm)> retirementDoneCall;

    std::function<absl::StatusOr<ServingVersion::Data>(const StoredObject &)> decodeConfiguration;
    /// Errors: InvalidArgument for an entry of another writer, which names no upstream.
    std::function<absl::StatusOr<Upstream>(const StoredObject &)> decodeUpstream;
};

} // namespace poplardock
