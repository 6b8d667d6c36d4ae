// Connections of one entry shard to agents.
#pragma once

#include "peridotgrade/core/base/backoff.h"
#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/membership/vm_record.h"
#include "peridotgrade/net/frame_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Identifies one connection, so that late events of an earlier connection to the same agent are ignored.
using LinkId = StrongId<struct LinkIdTag, std::uint64_t>;

/// Receives the events of connections, on their strands and without a lock held.
class AgentLinkListener {
public:
    virtual ~AgentLinkListener() = default;
    virtual void onConnectEnded(const AgentId& agent, LinkId link, ConnectResult result) = 0;
    virtual void onFrame(const AgentId& agent, LinkId link, std::string_view frame) = 0;
    virtual void onClosed(const AgentId& agent, LinkId link) = 0;
};

/// Keeps a connection to each target agent and reconnects with backoff. Used under the shard's lock. The
/// listener is referenced weakly; an event that arrives after its end is dropped.
class AgentLinks {
public:
    AgentLinks(boost::asio::any_io_executor executor, FrameSettings settings, TimerService& timers,
        RandomSource& random);

    /// Must be called once, before any other function.
    void setListener(std::weak_ptr<AgentLinkListener> listener);

    /// Sets the agents to connect to. Connections to others stay open but are not reopened once they close.
    void setTargets(const std::vector<VmRecord>& agents);

    /// Handles the result of a connection attempt. Returns true if the agent is now connected.
    bool onConnectEnded(const AgentId& agent, LinkId link, ConnectResult result);
    /// A valid frame shows that the agent runs; an accepted connection does not. The next reconnect is fast
    /// again.
    void noteFrame(const AgentId& agent);
    /// Handles the end of a connection and schedules a reconnect if the agent is still a target. Returns true
    /// if it was the agent's current connection.
    bool onClosed(const AgentId& agent, LinkId link);
    bool isCurrent(const AgentId& agent, LinkId link) const;

    void send(const AgentId& agent, std::string_view frame);
    void sendToAll(std::string_view frame);
    /// Closes the agent's connection; `onClosed` follows.
    void close(const AgentId& agent);
    void closeAll();
    boost::asio::any_io_executor getExecutor() const { return this->executor; }

    std::size_t connectedCount() const;
    FrameTraffic traffic() const;

private:
    struct Link {
        VmRecord vm;
        LinkId currentId;
        bool isTarget = true;
        bool isConnecting = false;
        /// Set while connected.
        std::shared_ptr<FrameConnection> connection;
        Backoff backoff;
    };

    void connect(const AgentId& agent, Link& link);
    void scheduleReconnect(const AgentId& agent, Link& link);

    boost::asio::any_io_executor executor;
    const FrameSettings settings;
    TimerService& timers;
    RandomSource& random;
    std::weak_ptr<AgentLinkListener> listener;
    std::uint64_t lastLinkId = 0;
    bool isStopped = false;
    std::map<AgentId, Link> links;
    /// Traffic of the connections that have closed.
    FrameTraffic closedTraffic;
};

} // namespace peridotgrade
