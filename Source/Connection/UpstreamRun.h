#pragma once

#include "Process/FrontParts.h"
#include "Request/EventSplitter.h"

#include <functional>
#include <memory>
#include <string>

namespace poplardock {

/// How one attempt at one upstream ended.
enum class RunEnd
{
    /// The whole answer came.
    Complete,
    /// The upstream stated that it did not run the request, or could not be reached: nothing ran.
    NotRun,
    /// The upstream declined a request that names a version of the weights: nothing ran, and nothing is said about the upstream.
    OtherVersion,
    /// The answer broke off or never came: the request may have run.
    Lost,
    /// Bytes came that are no answer to this request: it may have run.
    Invalid,
};

/// What the owner of a run hears. No handler is called after onEnd or cancel().
struct RunHandlers
{
    /// The head of the answer; not called for answers that say "not run".
    std::function<void(const MessageHead &)> onHead;
    /// Bytes of the body of a plain answer, or of one that is no success; for a successful stream that is complete, those
    /// that follow its last event.
    std::function<void(std::string_view)> onBody;
    /// A whole event of a successful stream.
    std::function<void(const StreamEvent &)> onEvent;
    std::function<void(RunEnd)> onEnd;
};

/// One attempt of a request at one upstream: counts the work, sends the request over a kept connection, checks that
/// the answer belongs to it, and learns from the outcome.
/// Thread safety: the loop's thread only.
class UpstreamRun : public std::enable_shared_from_this<UpstreamRun>
{
public:
    struct Order
    {
        /// The headers are those for the upstream.
        HttpCall call;
        std::string requestId;
        std::string upstream;
        std::string address;
        Work work = Work::Online;
        bool isStream = false;
        /// The events may have to be joined with those of another attempt: a success must be an event stream, and each event
        /// needs an id.
        bool needsEventIds = false;
        /// A request that may not be repeated needs a connection that the upstream has certainly not closed.
        bool needsFreshConnection = false;
        /// Upstreams without the version of the weights that the request names decline it.
        bool namesWeightVersion = false;
        /// The run is expected to find a free slot, so that its times tell the speed of the upstream.
        bool isTimed = false;
        /// What a crash of the upstream is attributed to.
        CrashSubject subject;
    };

    UpstreamRun(FrontParts &parts, Order order, RunHandlers handlers);
    UpstreamRun(const UpstreamRun &) = delete;
    auto operator=(const UpstreamRun &) -> UpstreamRun & = delete;
    UpstreamRun(UpstreamRun &&) = delete;
    auto operator=(UpstreamRun &&) -> UpstreamRun & = delete;
    ~UpstreamRun();

    /// Call once after construction.
    auto start() -> void;
    /// Ends the run at once; the upstream drops the request when its connection closes.
    auto cancel() -> void;
    auto pause() -> void;
    auto resume() -> void;
    [[nodiscard]] auto upstream() const -> const std::string &;
    /// Whether bytes of the request have been handed to a connection.
    [[nodiscard]] auto isSent() const -> bool;
    [[nodiscard]] auto hasFirst() const -> bool;

private:
    /// Gets the connection on which the request is sent, or null when none could be made.
    auto takeChannel(const std::shared_ptr<ClientChannel> &channel) -> void;
    auto send(const std::shared_ptr<ClientChannel> &channel) -> void;
    auto takeHead(const MessageHead &head) -> void;
    /// Marks the upstream as leaving, here at once and at the other daemons with the next report.
    auto recordLeaving() -> void;
    auto takeBody(std::string_view bytes) -> void;
    auto takeEnd(ExchangeEnd end) -> void;
    /// Ends the run with a whole answer. "isEvidence" tells whether the upstream is known to live after it.
    auto finishComplete(bool isEvidence) -> void;
    /// Ends a run whose answer may be the start of one, after finding out whether the upstream has crashed.
    auto finishClosed() -> void;
    /// Counts the run as a failure of the upstream and logs why the answer did not come whole.
    auto recordLoss(const char *how) -> void;
    auto finish(RunEnd end) -> void;
    auto release() -> void;
    /// Closes the connection and ends the run: what comes is no answer to the request, or exceeds what is held in memory.
    auto endInvalid(const char *how) -> void;
    /// Ends the run, after finding out whether the upstream has crashed, if the request may be the cause.
    auto finishLost() -> void;
    auto probe(std::function<void(Reachability)> handler) -> void;
    /// Attributes a crash of the upstream to the request, if it may be the cause.
    auto recordCrash() -> void;
    /// Whether a crash of the upstream may be due to the request: it crashes upstreams as its answer begins, and an item of
    /// a job never does.
    [[nodiscard]] auto mayCrashUpstreams() const -> bool;
    auto recordFirst() -> void;

    FrontParts &parts_;
    const Order order_;
    RunHandlers handlers_;
    std::shared_ptr<ClientChannel> channel_;
    EventSplitter splitter_;
    AnswerTerms terms_;
    BootTime reservedAt_;
    BootTime sentAt_;
    /// Bytes of an answer that is collected whole.
    std::size_t bodyBytes_ = 0;
    int status_ = 0;
    /// Whole events of a successful stream.
    int eventCount_ = 0;
    bool isCounted_ = false;
    bool isSent_ = false;
    bool hasHead_ = false;
    bool hasFirst_ = false;
    bool isDone_ = false;
};

} // namespace poplardock
