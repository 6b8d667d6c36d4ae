// State of an entry shard's session at one agent.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <chrono>
#include <set>

namespace peridotgrade {

enum class AgentLink : std::uint8_t { Down, Opening, Open };

/// The session at one agent, and the agent's last known load.
struct AgentSession {
    AgentId agent;
    AgentLink link = AgentLink::Down;
    SessionEpoch epoch;
    std::chrono::milliseconds leaseDuration { 0 };
    bool isDraining = false;
    LiveLoad load;
    TimePoint loadSeenAt;
    std::uint64_t ownPrefillTokensSinceReport = 0;
    /// Attempts that request, hold or use something there. Invariant: empty unless the link is open.
    std::set<AttemptId> held;
    bool hasRenewTimer = false;

    bool isUsable() const { return this->link == AgentLink::Open && !this->isDraining; }
};

} // namespace peridotgrade
