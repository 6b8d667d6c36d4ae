// What a process tells about its configuration at `GET /status` of its admin address.
#pragma once

#include "peridotgrade/core/config/reconciler.h"
#include "peridotgrade/services/configuration_follower.h"

#include <optional>
#include <string>

namespace peridotgrade {

/// `{"node":…,"kind":"entry|agent","version":…,"digest":…,"isReady":…,"isLogAvailable":…,"engine":{"wanted":…,
/// "isInForce":…,"waitingFor":…,"failures":…,"undone":…}}`; `engine` only where there is one.
std::string nodeStatusJson(const std::string& node, const std::string& kind,
    const ConfigurationFollower& follower, const std::optional<ReconcilerStatus>& engine);

} // namespace peridotgrade
