// Message to the other entries: an engine is changing its role.
#pragma once

#include "peridotgrade/core/serving/server_record.h"

#include <chrono>

namespace peridotgrade {

struct RoleNotice {
    ServerId server;
    /// Start of the incarnation that the notice is about.
    WallTime startedAt {};
    /// The role that the engine takes.
    ServerRole role = ServerRole::None;
    /// How long the engine gets no new work of its old role, from receipt.
    std::chrono::milliseconds duration { 0 };
};

} // namespace peridotgrade
