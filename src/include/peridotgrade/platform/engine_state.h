// The state of an engine as it reports it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// One model that an engine has loaded.
struct LoadedModel {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;

    friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// What `GET /v1/state` of an engine says.
struct EngineState {
    /// Changes with each run of the engine.
    Incarnation incarnation;
    EngineRole role = EngineRole::Mixed;
    std::vector<LoadedModel> models;
    std::vector<ModelId> loading;
    /// Highest fencing number seen.
    std::uint64_t fence = 0;
    bool checksFence = false;
    std::uint32_t placesTotal = 0;
    std::uint64_t kvTokensTotal = 0;
    std::uint32_t kvTokensPerPiece = 0;
    double prefillTokensPerSecond = 0;

    friend bool operator==(const EngineState&, const EngineState&) = default;
};

} // namespace peridotgrade
