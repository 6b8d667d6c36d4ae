// One run of one agent: the owner of one table of actions.
#pragma once

#include "peridotgrade/core/base/ids.h"

namespace peridotgrade {

struct AgentRun {
    AgentId agent;
    Incarnation incarnation;

    friend bool operator==(const AgentRun&, const AgentRun&) = default;
};

} // namespace peridotgrade
