// The engines that an entry shard may use for each model, derived from membership and configuration.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <vector>

namespace peridotgrade {

/// One engine that may receive new work.
struct EngineCandidate {
    AgentId agent;
    DataCentreId dataCentre;
    ModelId model;
    EngineRole role = EngineRole::Mixed;
};

/// The engines a shard may choose from, already reduced to its stable subset for each model. A leaving engine
/// is not listed; work that runs there continues.
struct RoutingView {
    ConfigVersion version;
    std::vector<EngineCandidate> engines;
};

} // namespace peridotgrade
