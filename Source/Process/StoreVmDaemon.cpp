#include "Process/StoreVmDaemon.h"

#include "Process/EventLog.h"

#include <csignal>

namespace poplardock {

namespace {

/// A VM answers for itself; the others answer for one that does not.
constexpr Milliseconds OTHERS_DELAY { 1500 };
constexpr Milliseconds RETRY_PAUSE { 500 };
constexpr Milliseconds LOG_PERIOD { 1000 };

} // namespace

StoreVmDaemon::StoreVmDaemon(FrontSettings settings, WireDialect dialect)
    : settings_(std::move(settings))
    , dialect_(std::move(dialect))
    , store_(loop_, dialect_, settings_.storeAddress)
    , retirements_(loop_,
                   store_,
                   { dialect_.retirementKind, Milliseconds(0), Milliseconds(0), true },
                   { [this](const StoreList &list) {
                        for (const StoredObject &order : list.objects) {
                            answer(order.name);
                        }
                    },
                     [this](const StoreEvents &events) {
                         for (const StoreEvent &event : events.events) {
                             if (!event.isRemoved) {
                                 answer(event.object.name);
                             }
                         }
                     } })
{
}

auto StoreVmDaemon::answer(const std::string &vm) -> void
{
    if (pending_.contains(vm)) {
        return;
    }
    EventLog::write("retirement", { { "vm", vm }, { "own", vm == settings_.name } });
    const Milliseconds delay = vm == settings_.name ? Milliseconds(0) : OTHERS_DELAY;
    const auto write = [this, vm](auto &&self, Milliseconds pause) -> void {
        pending_[vm] = loop_.at(BootClock::now() + pause, [this, vm, self] {
            store_.write(dialect_.retirementDoneCall(vm), [this, vm, self](const absl::Status &status) {
                EventLog::write("retirement_answered", { { "vm", vm }, { "ok", status.ok() }, { "reason", status.message() } });
                if (!status.ok() && !absl::IsNotFound(status)) {
                    self(self, RETRY_PAUSE);
                }
            });
        });
    };
    write(write, delay);
}

auto StoreVmDaemon::run() -> void
{
    EventLog::write("start", { { "vm", settings_.name }, { "data_centre", settings_.dataCentre } });
    loop_.onSignal(SIGTERM, [this] { loop_.stop(); });
    loop_.onSignal(SIGINT, [this] { loop_.stop(); });
    loop_.onSignal(SIGHUP, [] {
        EventLog::write("reload", { { "effect", "settings of the platform are read at the start; nothing changes" } });
    });
    logTimer_ = loop_.every(LOG_PERIOD, [] { EventLog::flush(); });
    retirements_.start();
    loop_.run();
    EventLog::write("stop", { { "vm", settings_.name } });
    EventLog::flush();
}

} // namespace poplardock
