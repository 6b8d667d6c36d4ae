// What an entry shard knows of one agent.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <chrono>
#include <set>

namespace peridotgrade {

enum class AgentLink : std::uint8_t { Down, Opening, Open };

/// The session at one agent, and its load as last heard.
struct AgentSession {
    AgentId agent;
    AgentLink link = AgentLink::Down;
    SessionEpoch epoch;
    std::chrono::milliseconds leaseDuration { 0 };
    bool isDraining = false;
    LiveLoad load;
    TimePoint loadSeenAt;
    std::uint64_t ownPrefillTokensSince = 0;
    /// Attempts that ask, hold or use something there. Invariant: empty unless the link is open.
    std::set<AttemptId> held;
    bool hasRenewTimer = false;

    bool isUsable() const { return this->link == AgentLink::Open && !this->isDraining; }
};

} // namespace peridotgrade
