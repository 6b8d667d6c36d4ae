// The state that an engine reports.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// A model that an engine has loaded; an engine holds at most one version of each model.
struct LoadedModel {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;

    friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// The state that an engine reports about itself.
struct EngineState {
    /// Changes with each start of the engine process.
    Incarnation incarnation;
    EngineRole role = EngineRole::Mixed;
    std::vector<LoadedModel> models;
    std::vector<ModelId> loading;
    /// Highest fencing token seen.
    std::uint64_t fence = 0;
    /// True if the engine rejects commands whose fencing token is lower than `fence`.
    bool checksFence = false;
    /// Batch slots of the engine: the maximum number of concurrent reservations.
    std::uint32_t placesTotal = 0;
    /// Size of the KV cache.
    std::uint64_t kvTokensTotal = 0;
    /// Number of tokens in one allocation unit of the KV cache.
    std::uint32_t kvTokensPerPiece = 0;
    double prefillTokensPerSecond = 0;

    friend bool operator==(const EngineState&, const EngineState&) = default;
};

} // namespace peridotgrade
