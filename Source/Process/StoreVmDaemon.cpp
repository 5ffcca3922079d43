#include "Process/StoreVmDaemon.h"

#include "Process/EventLog.h"

#include <csignal>
#include <set>

namespace poplardock {

namespace {

/// The daemon of the retired VM reports at once; the others report after this delay, in case that daemon is down.
constexpr Milliseconds PEER_REPORT_DELAY { 1500 };
constexpr Milliseconds RETRY_DELAY { 500 };
constexpr Milliseconds LOG_FLUSH_PERIOD { 1000 };

} // namespace

StoreVmDaemon::StoreVmDaemon(FrontSettings settings, WireDialect adapter)
    : settings_(std::move(settings))
    , adapter_(std::move(adapter))
    , store_(loop_, adapter_, settings_.storeAddress)
    , retirements_(loop_,
                   store_,
                   { adapter_.retirementKind, Milliseconds(0), Milliseconds(0), true },
                   { [this](const StoreList &list) { handleList(list); },
                     [this](const StoreEvents &events) {
                         handleEvents(events);
                     } })
{
}

auto StoreVmDaemon::handleList(const StoreList &list) -> void
{
    std::set<std::string> listed;
    for (const StoredObject &retirement : list.objects) {
        listed.insert(retirement.name);
        completeRetirement(retirement.name);
    }
    // A VM of the same name may be retired again.
    std::erase_if(reportTimers_, [&listed](const auto &entry) { return !listed.contains(entry.first); });
}

auto StoreVmDaemon::handleEvents(const StoreEvents &events) -> void
{
    for (const StoreEvent &event : events.events) {
        if (event.isRemoved) {
            reportTimers_.erase(event.object.name);
        } else {
            completeRetirement(event.object.name);
        }
    }
}

auto StoreVmDaemon::completeRetirement(const std::string &vm) -> void
{
    if (reportTimers_.contains(vm)) {
        return;
    }
    EventLog::write("retirement", { { "vm", vm }, { "own", vm == settings_.name } });
    const Milliseconds delay = vm == settings_.name ? Milliseconds(0) : PEER_REPORT_DELAY;
    const auto report = [this, vm](auto &&self, Milliseconds reportDelay) -> void {
        reportTimers_[vm] = loop_.at(BootClock::now() + reportDelay, [this, vm, self] {
            store_.write(adapter_.retirementDoneCall(vm), [this, vm, self](const absl::Status &status) {
                EventLog::write("retirement_answered", { { "vm", vm }, { "ok", status.ok() }, { "reason", status.message() } });
                if (absl::IsNotFound(status)) {
                    reportTimers_.erase(vm);
                } else if (!status.ok()) {
                    self(self, RETRY_DELAY);
                }
            });
        });
    };
    report(report, delay);
}

auto StoreVmDaemon::run() -> void
{
    EventLog::write("start", { { "vm", settings_.name }, { "data_centre", settings_.dataCentre } });
    loop_.onSignal(SIGTERM, [this] { loop_.stop(); });
    loop_.onSignal(SIGINT, [this] { loop_.stop(); });
    loop_.onSignal(SIGHUP, [] {
        EventLog::write("reload", { { "effect", "settings of the platform are read at the start; nothing changes" } });
    });
    logFlushTimer_ = loop_.every(LOG_FLUSH_PERIOD, [] { EventLog::flush(); });
    retirements_.start();
    loop_.setExceptionHandler([failures = 0](std::string_view reason) mutable {
        EventLog::write("task_failed", { { "reason", reason }, { "count", ++failures } });
    });
    loop_.run();
    EventLog::write("stop", { { "vm", settings_.name } });
    EventLog::flush();
}

} // namespace poplardock
