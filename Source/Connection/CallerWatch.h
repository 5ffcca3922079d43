#pragma once

#include "Connection/CallerAuthentication.h"
#include "Process/FleetState.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>

namespace poplardock {

/// Watches the callers of running requests: one thread looks for closed connections and checks the keys of
/// streams again each second. Either one requests a stop of the exchange with the upstream.
/// Thread safety: all methods may be called from any thread.
class CallerWatch
{
public:
    /// The state must outlive the watch.
    explicit CallerWatch(const FleetState &state);
    CallerWatch(const CallerWatch &) = delete;
    auto operator=(const CallerWatch &) -> CallerWatch & = delete;
    CallerWatch(CallerWatch &&) = delete;
    auto operator=(CallerWatch &&) -> CallerWatch & = delete;
    ~CallerWatch();

    /// One watched caller; ends with the object. The watch must outlive it.
    class Registration
    {
    public:
        /// Without a caller only the connection is watched. The descriptor must stay open meanwhile.
        Registration(CallerWatch &watch, int socket, std::optional<Caller> caller);
        Registration(const Registration &) = delete;
        auto operator=(const Registration &) -> Registration & = delete;
        Registration(Registration &&) = delete;
        auto operator=(Registration &&) -> Registration & = delete;
        ~Registration();

        /// Starts the checks of the key.
        auto watchKey() -> void;
        [[nodiscard]] auto stopToken() const -> std::stop_token;
        [[nodiscard]] auto isDisconnected() const -> bool;
        /// True when the key is no longer valid or can no longer be confirmed.
        [[nodiscard]] auto isKeyInvalid() const -> bool;

    private:
        CallerWatch &watch_;
        std::uint64_t id_ = 0;
        std::stop_source stop_;
    };

private:
    struct Entry
    {
        int socket = -1;
        std::optional<Caller> caller;
        /// Unset while the key is not watched.
        std::optional<TimePoint> nextKeyCheckAt;
        std::stop_source stop;
        bool isDisconnected = false;
        /// This process itself has stopped receiving, because it shuts down.
        bool isReceiveShutDown = false;
        bool isKeyInvalid = false;
    };

    auto run(const std::stop_token &stop) -> void;
    auto findDisconnected() -> void;
    auto checkKeys(TimePoint now) -> void;
    auto setDisconnected(std::uint64_t id) -> void;
    auto setReceiveShutDown(std::uint64_t id) -> void;

    const FleetState &state_;
    mutable std::mutex mutex_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, Entry> entries_;
    std::jthread thread_;
};

} // namespace poplardock
