// One incarnation of one agent, which owns one key table.
#pragma once

#include "peridotgrade/core/base/ids.h"

namespace peridotgrade {

struct AgentIncarnation {
    AgentId agent;
    Incarnation incarnation;

    friend bool operator==(const AgentIncarnation&, const AgentIncarnation&) = default;
};

} // namespace peridotgrade
