// The agents of an entry shard: sessions, leases, load.
#pragma once

#include "agent_session.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/policy/placement.h"
#include "peridotgrade/core/routing/router_action.h"
#include "peridotgrade/core/routing/routing_view.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Opens and renews sessions and tracks the attempts under each. Appends its messages to the router's action
/// list.
class AgentDirectory {
public:
    AgentDirectory(
        EntryId entry, Incarnation incarnation, TimerService& timers, std::vector<RouterAction>& actions);

    void setVersion(ConfigVersion version) { this->version = version; }

    /// Each of these returns the attempts that were lost with the previous session.
    std::vector<AttemptId> onConnected(const AgentId& agent);
    std::vector<AttemptId> onLost(const AgentId& agent);
    std::vector<AttemptId> onRefused(const AgentId& agent, SessionEpoch epoch);
    void onOpened(const AgentId& agent, const SessionOpened& message);
    void onDraining(const AgentId& agent);
    void onLoad(const AgentId& agent, const LiveLoad& load);

    bool isUsable(const AgentId& agent) const;
    SessionEpoch epochOf(const AgentId& agent) const;

    /// Includes the attempt in the renewals sent to the agent from now on.
    void track(const AgentId& agent, const AttemptId& attempt);
    /// Tells the agent to free everything it holds for the attempt; does nothing if it is not tracked there.
    void release(const AgentId& agent, const AttemptId& attempt);
    /// Stops tracking an attempt that the agent has ended by itself.
    void forget(const AgentId& agent, const AttemptId& attempt);
    void countPrefill(const AgentId& agent, std::uint32_t promptTokens);

    EngineView viewOf(const EngineCandidate& candidate) const;
    std::size_t heldAttempts() const;
    bool holdsAnyOf(RequestId request) const;

    void send(const AgentId& agent, EntryMessage message);

private:
    AgentSession* find(const AgentId& agent);
    const AgentSession* find(const AgentId& agent) const;
    void open(AgentSession& session);
    std::vector<AttemptId> takeHeld(AgentSession& session);
    void armRenewTimer(AgentSession& session);
    void onRenewTimer(const AgentId& agent, SessionEpoch epoch);

    EntryId entry;
    Incarnation incarnation;
    ConfigVersion version;
    TimerService& timers;
    std::vector<RouterAction>& actions;
    std::map<AgentId, AgentSession> sessions;
};

} // namespace peridotgrade
