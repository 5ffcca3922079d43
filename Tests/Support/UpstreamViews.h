#pragma once

#include "Request/UpstreamView.h"

namespace poplardock {

/// A moment of the tests that take times.
inline const BootTime VIEW_TIME = BootTime() + std::chrono::hours(1);

/// An upstream of the platform's usual speed with eight slots.
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
