#include "FrontFleet.h"

#include "Support/FreePort.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace poplardock::review {

namespace {

constexpr Milliseconds CHECK_PERIOD { 10 };
constexpr Milliseconds GRACE { 8000 };
constexpr double BYTES_PER_MB = 1 << 20U;

/// Resident memory of a process in MB; 0 for one that has ended.
auto residentMb(pid_t process) -> double
{
    std::ifstream file(absl::StrCat("/proc/", process, "/statm"));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / BYTES_PER_MB;
}

/// Two ports in a row: the first and the last of the ports between daemons.
auto freePortPair() -> int
{
    int first = freePort();
    for (;;) {
        const int second = freePort();
        if (second == first + 1) {
            return first;
        }
        first = second;
    }
}

} // namespace

FrontFleet::FrontFleet(EventLoop &loop,
                       PagedStore &store,
                       Record &record,
                       std::string program,
                       std::string folder,
                       const std::vector<std::string> &zones,
                       int memoryMb)
    : loop_(loop)
    , store_(store)
    , record_(record)
    , program_(std::move(program))
    , folder_(std::move(folder))
    , memoryMb_(memoryMb)
{
    for (const std::string &zone : zones) {
        Machine machine;
        machine.role = "front";
        machine.zone = zone;
        machine.name = absl::StrCat("front-", zone, "-", machines_.size() + 1);
        machine.callersAddress = absl::StrCat("127.0.0.1:", freePort());
        machine.readyAddress = absl::StrCat("127.0.0.1:", freePort());
        machines_.push_back(std::move(machine));
    }
    Machine storage;
    storage.role = "store";
    storage.zone = zones.front();
    storage.name = absl::StrCat("storage-", zones.front(), "-1");
    machines_.push_back(std::move(storage));
    for (std::size_t index = 0; index < machines_.size(); ++index) {
        writeSettings(machines_[index], memoryMb);
        start(index);
    }
    checkTimer_ = loop_.every(CHECK_PERIOD, [this] { checkProcesses(); });
}

auto FrontFleet::fronts() const -> std::size_t
{
    return machines_.size() - 1;
}

auto FrontFleet::machine(std::size_t index) const -> const Machine &
{
    return machines_[index];
}

auto FrontFleet::writeSettings(Machine &machine, int memoryMb) -> void
{
    const bool isFront = machine.role == "front";
    const int ports = freePortPair();
    machine.settingsFile = absl::StrCat(folder_, "/", machine.name, ".conf");
    machine.outputFile = absl::StrCat(folder_, "/", machine.name, ".log");
    std::ofstream file(machine.settingsFile);
    file << "nodeName=" << machine.name << "\nrole=" << machine.role << "\nmachineClass=" << (isFront ? "front" : "storage")
         << "\nserves=" << (isFront ? "front" : "storage") << "\nipAddress=127.0.0.1\nzone=" << machine.zone
         << "\nregion=dixie-east\nzones.dixie-east-a=dixie-east\nzones.dixie-east-b=dixie-east\nzones.dixie-east-c=dixie-east\n";
    if (isFront) {
        file << "listen.front=" << machine.callersAddress << "\nlisten.ready=" << machine.readyAddress << "\n";
    }
    file << "internalPorts=" << ports << "," << ports + 1 << "\nseeds=\nbootstrap=false\ncountsLoss=" << (isFront ? "false" : "true")
         << "\nlimits.cpuShare=" << (isFront ? "0.25" : "0.5") << "\nlimits.cpuCores=1\nlimits.memoryMb=" << (isFront ? memoryMb : 290)
         << "\nlimits.maxFds=" << (isFront ? 4100 : 8200) << "\nlimits.linkMbps=1000.0\nlimits.diskMb=" << (isFront ? 0 : 460)
         << "\ndiscovery=platform\nentry=virtual_ip\nheartbeatMs=1200\n"
            "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform\n"
            "tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\n"
            "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4.7\n"
            "bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\n"
            "bounds.maxStretchMs=5000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.quotaWindowS=5\n"
            "bounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\n"
            "bounds.finishS=18\nbounds.statusS=120\nbounds.cancelMs=3000\nbounds.settleMs=1000\n"
         << "platform.address=" << store_.address()
         << "\nplatform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
            "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
    if (!file.flush()) {
        throw std::runtime_error(machine.settingsFile + " cannot be written");
    }
}

auto FrontFleet::start(std::size_t machine) -> void
{
    Machine &started = machines_[machine];
    ChildProcess::Command command;
    command.program = program_;
    command.arguments = { started.role };
    command.environment = { { "POPLARDOCK_CONFIG", started.settingsFile } };
    command.outputFile = started.outputFile;
    auto process = ChildProcess::start(command);
    if (!process.ok()) {
        throw std::runtime_error(std::string(process.status().message()));
    }
    started.process = *std::move(process);
    record_.write(absl::StrCat("start ", started.name));
}

auto FrontFleet::restart(std::size_t machine) -> void
{
    Machine &stopped = machines_[machine];
    record_.write(absl::StrCat("SIGTERM ", stopped.name));
    stopped.process->signal(SIGTERM);
    stopped.restart = loop_.at(BootClock::now() + GRACE, [this, machine] {
        machines_[machine].process->signal(SIGKILL);
        record_.write(absl::StrCat("SIGKILL ", machines_[machine].name, " after its time to stop"));
    });
}

auto FrontFleet::kill(std::size_t machine, Milliseconds downTime) -> void
{
    record_.write(absl::StrCat("SIGKILL ", machines_[machine].name));
    machines_[machine].downTime = downTime;
    machines_[machine].process->signal(SIGKILL);
}

auto FrontFleet::checkProcesses() -> void
{
    for (std::size_t index = 0; index < machines_.size(); ++index) {
        Machine &machine = machines_[index];
        if (machine.process == nullptr) {
            continue;
        }
        if (const auto status = machine.process->awaitExit(Milliseconds(0))) {
            record_.write(absl::StrCat("end of ", machine.name, ", wait status ", *status));
            machine.process = nullptr;
            machine.restart = loop_.at(BootClock::now() + machine.downTime, [this, index] { start(index); });
            continue;
        }
        const double residentNow = residentMb(machine.process->pid());
        machine.peakMb = std::max(machine.peakMb, residentNow);
        if (machine.role == "front" && residentNow > memoryMb_) {
            ++machine.memoryKills;
            record_.write(absl::StrFormat("%s uses %.0f MB of %d: ended by the platform", machine.name, residentNow, memoryMb_));
            machine.process->signal(SIGKILL);
        }
    }
}

} // namespace poplardock::review
