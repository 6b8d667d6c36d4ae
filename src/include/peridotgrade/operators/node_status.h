// Configuration status of a process, the response to `GET /status` at its admin address.
#pragma once

#include "peridotgrade/core/config/reconciler.h"
#include "peridotgrade/services/configuration_follower.h"

#include <optional>
#include <string>

namespace peridotgrade {

/// Returns `{"node":…,"kind":"entry|agent","version":…,"digest":…,"isReady":…,"isLogAvailable":…,
/// "engine":{"wanted":…,"isInForce":…,"waitingFor":…,"failures":…,"undone":…}}`; `engine` is present only if
/// the process has one.
std::string nodeStatusJson(const std::string& node, const std::string& kind,
    const ConfigurationFollower& follower, const std::optional<ReconcilerStatus>& engine);

} // namespace peridotgrade
