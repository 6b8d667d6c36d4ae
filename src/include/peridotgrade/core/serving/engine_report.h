// What an engine reports of its role and of the commands that it got.
#pragma once

#include "peridotgrade/core/serving/server_record.h"

#include <cstdint>

namespace peridotgrade {

struct EngineReport {
    ServerRole role = ServerRole::None;
    bool isCommandInProgress = false;
    std::uint64_t acceptedCommands = 0;
    /// Start of the incarnation that reports; zero if it does not state it.
    WallTime startedAt {};
};

} // namespace peridotgrade
