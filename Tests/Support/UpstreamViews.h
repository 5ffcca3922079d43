#pragma once

#include "Request/UpstreamView.h"

namespace poplardock {

/// The current time in tests of functions that are passed the time.
inline const BootTime VIEW_TIME = BootTime() + std::chrono::hours(1);

/// An upstream with eight slots and the platform's typical response times.
inline auto makeView(const std::string &name, int online, int batch) -> UpstreamView
{
    UpstreamView view;
    view.name = name;
    view.slots = 8;
    view.online = online;
    view.batch = batch;
    view.serviceMs = 680;
    view.firstEventMs = 15;
    return view;
}

} // namespace poplardock
