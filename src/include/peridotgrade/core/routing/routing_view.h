// The candidates of an entry shard: which engines may be used for which model, derived from membership and
// configuration.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <vector>

namespace peridotgrade {

/// One engine that may get new work.
struct EngineCandidate {
    AgentId agent;
    DataCentreId dataCentre;
    ModelId model;
    EngineRole role = EngineRole::Mixed;
};

/// The engines a shard may choose from, already reduced to its stable subset for each model. An engine that
/// is leaving is not in it; what runs there goes on.
struct RoutingView {
    ConfigVersion version;
    std::vector<EngineCandidate> engines;
};

} // namespace peridotgrade
