#include "Support/ChildProcess.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace poplardock {

namespace {

constexpr Milliseconds POLL_INTERVAL { 10 };

auto pointersTo(std::vector<std::string> &texts) -> std::vector<char *>
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

auto environmentWith(const std::map<std::string, std::string> &additions) -> std::vector<std::string>
{
    std::vector<std::string> entries;
    for (char **entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        if (!additions.contains(text.substr(0, text.find('=')))) {
            entries.push_back(text);
        }
    }
    for (const auto &[name, value] : additions) {
        entries.push_back(absl::StrCat(name, "=", value));
    }
    return entries;
}

auto sizeOf(const std::string &file) -> std::streamoff
{
    std::error_code error;
    const auto size = std::filesystem::file_size(file, error);
    return error ? 0 : static_cast<std::streamoff>(size);
}

} // namespace

ChildProcess::ChildProcess(pid_t pid, std::string outputFile, std::streamoff outputStart)
    : pid_(pid)
    , outputFile_(std::move(outputFile))
    , outputStart_(outputStart)
{
}

ChildProcess::~ChildProcess()
{
    kill();
}

auto ChildProcess::start(const Command &command) -> absl::StatusOr<std::unique_ptr<ChildProcess>>
{
    const std::streamoff outputStart = sizeOf(command.outputFile);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, command.outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherits the sockets of the test keeps them open: their peers would not see them closed.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    // The child starts with no blocked signals, whatever the test framework has set.
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);

    std::vector<std::string> arguments = { command.program };
    arguments.insert(arguments.end(), command.arguments.begin(), command.arguments.end());
    std::vector<std::string> environment = environmentWith(command.environment);
    const std::vector<char *> argumentPointers = pointersTo(arguments);
    const std::vector<char *> environmentPointers = pointersTo(environment);
    pid_t pid = 0;
    const int error
        = posix_spawn(&pid, command.program.c_str(), &actions, &attributes, argumentPointers.data(), environmentPointers.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return absl::UnavailableError(absl::StrCat(command.program, ": ", std::generic_category().message(error)));
    }
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid, command.outputFile, outputStart));
}

auto ChildProcess::pid() const -> pid_t
{
    return pid_;
}

auto ChildProcess::signal(int number) -> void
{
    // After waitpid() the id may belong to another process.
    if (!exitStatus_) {
        ::kill(pid_, number);
    }
}

auto ChildProcess::kill() -> void
{
    if (exitStatus_) {
        return;
    }
    ::kill(pid_, SIGKILL);
    int status = 0;
    while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) { }
    exitStatus_ = status;
}

auto ChildProcess::awaitExit(Milliseconds limit) -> std::optional<int>
{
    const TimePoint deadline = Clock::now() + limit;
    while (!exitStatus_) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            exitStatus_ = status;
            break;
        }
        if (Clock::now() > deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    return exitStatus_;
}

auto ChildProcess::awaitLine(const std::string &prefix, Milliseconds limit) -> std::optional<std::string>
{
    const TimePoint deadline = Clock::now() + limit;
    for (;;) {
        const bool hasEnded = awaitExit(Milliseconds(0)).has_value();
        std::ifstream stream(outputFile_);
        stream.seekg(outputStart_);
        std::string line;
        while (std::getline(stream, line)) {
            // A line without its end may still be incomplete.
            if (absl::StartsWith(line, prefix) && !stream.eof()) {
                return line.substr(prefix.size());
            }
        }
        if (hasEnded || Clock::now() > deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
}

} // namespace poplardock
