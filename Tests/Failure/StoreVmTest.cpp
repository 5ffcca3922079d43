#include "Fakes/FakeObjectStore.h"
#include "Support/ChildProcess.h"
#include "Support/FreePort.h"
#include "Support/TestEnvironment.h"
#include "platform/Adapter.h"
#include "platform/WireNames.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace poplardock {

namespace {

constexpr const char *KIND_BEGIN = "GET /-/objects/";
constexpr Milliseconds ANSWER_TIME { 4000 };

/// One `poplardock store` process over the stand-in of the platform's store.
class StoreVm
{
public:
    StoreVm()
        : store(loop)
        , folder_(std::filesystem::temp_directory_path() / absl::StrCat("poplardock-store-vm-", getpid()))
    {
        std::filesystem::create_directories(folder_);
        const int port = freePort();
        const std::string settings = (folder_ / "settings.conf").string();
        std::ofstream(settings) << "nodeName=vm1\nzone=east-a\nserves=storage\nipAddress=127.0.0.1\ninternalPorts=" << port << ","
                                << port + 1 << "\nplatform.address=" << store.address() << "\n";
        ChildProcess::Command command;
        command.program = binaryFolder() + "/poplardock";
        command.arguments = { "store" };
        command.environment = { { "POPLARDOCK_CONFIG", settings } };
        command.outputFile = (folder_ / "log").string();
        process = *ChildProcess::start(command);
    }
    StoreVm(const StoreVm &) = delete;
    auto operator=(const StoreVm &) -> StoreVm & = delete;
    StoreVm(StoreVm &&) = delete;
    auto operator=(StoreVm &&) -> StoreVm & = delete;
    ~StoreVm()
    {
        process = nullptr;
        std::filesystem::remove_all(folder_);
    }

    /// Orders a VM to be emptied; whether the order is answered as done.
    auto isAnswered(const std::string &vm) -> bool
    {
        const std::string kind = platform::makeAdapter().retirementKind;
        store.put(kind, vm, "{}");
        return runLoopUntil(
            loop, [&] { return absl::StrContains(store.statusOf(kind, vm), platform::wire::COMPLETED); }, ANSWER_TIME);
    }

    EventLoop loop;
    FakeObjectStore store;
    std::unique_ptr<ChildProcess> process;

private:
    const std::filesystem::path folder_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreVmSuite)

// Guards against an order to empty a VM that nobody answers when it comes long after the start: the watch on the orders
// had stopped after its first list. Found on cypress-hollow trouble-1.
BOOST_AUTO_TEST_CASE(OrdersThatComeLaterAreAnswered)
{
    StoreVm vm;
    const std::string list = absl::StrCat(KIND_BEGIN, platform::makeAdapter().retirementKind);
    BOOST_REQUIRE(runLoopUntil(
        vm.loop, [&] { return vm.store.callCount(list) > 0; }, ANSWER_TIME));
    vm.loop.runUntil(BootClock::now() + Milliseconds(500));
    BOOST_TEST(vm.isAnswered("vm1"));
    // One that does not answer for itself is answered for.
    BOOST_TEST(vm.isAnswered("vm2"));
    vm.process->signal(SIGTERM);
    const auto status = vm.process->awaitExit(ANSWER_TIME);
    BOOST_TEST((status && *status == 0));
}

// Guards against a VM that is retired again under its former name and never answered for.
BOOST_AUTO_TEST_CASE(ASecondRetirementIsAnswered)
{
    StoreVm vm;
    for (const std::string name : { "vm1", "vm2" }) {
        BOOST_TEST(vm.isAnswered(name), name);
        vm.store.remove(platform::makeAdapter().retirementKind, name);
        vm.loop.runUntil(BootClock::now() + Milliseconds(500));
        BOOST_TEST(vm.isAnswered(name), name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace poplardock
