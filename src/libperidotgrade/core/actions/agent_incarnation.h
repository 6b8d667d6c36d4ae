// One run of one agent: the owner of one table of actions.
#pragma once

#include "peridotgrade/core/base/ids.h"

namespace peridotgrade {

struct AgentIncarnation {
    AgentId agent;
    Incarnation incarnation;

    friend bool operator==(const AgentIncarnation&, const AgentIncarnation&) = default;
};

} // namespace peridotgrade
